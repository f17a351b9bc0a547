//! Commands that call the operator API of an instance.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use holdpoint_emulator::plot::{Texts, bars};
use holdpoint_platform::{
    Http, OperatorClient,
    operators::{ApiError, ChangeOptions},
};
use holdpoint_schema::{
    Part,
    caller::{ChangeState, ChangeStatus},
    faults,
    resources::ResourceFile,
};
use holdpointd::settings::{self, fault_line, read_jsonc};
use http_body_util::BodyExt;
use serde_json::Value;

use crate::{
    experiments,
    failure::Failure,
    losses,
    output::{Format, print},
};

/// Runs a command that calls an instance.
pub(crate) async fn run(name: &str, own: &ArgMatches, all: &ArgMatches) -> Result<(), Failure> {
    let client = client(own);
    let format = output_format(all);
    match name {
        "get" => get(&client, own, format).await,
        "apply" => apply(&client, own).await,
        "delete" => delete(&client, own).await,
        "watch" => watch(&client, own).await,
        "status" => status(&client, format).await,
        "change" => change(&client, own, format).await,
        "report" => match own.subcommand() {
            Some(("arms", it)) => experiments::arms(it, format).await,
            Some(("losses", it)) => losses::run(it, format),
            _ => report(&client, own, format).await,
        },
        _ => Ok(()),
    }
}

/// Checks a settings file.
pub(crate) fn check_settings(matches: &ArgMatches) -> Result<(), Failure> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    match settings::load(path) {
        Ok(_) => {
            println!("{}: valid", path.display());
            Ok(())
        }
        Err(it) => Err(file_failure(path, it.current_context())),
    }
}

fn file_failure(path: &Path, error: &settings::FileError) -> Failure {
    let text = match error {
        settings::FileError::Faults(faults) => {
            let lines: Vec<String> = faults.iter().map(fault_line).collect();
            lines.join("\n  ")
        }
        other => other.to_string(),
    };
    Failure::Input(format!("{}:\n  {text}", path.display()))
}

fn client(matches: &ArgMatches) -> OperatorClient {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let token = match text("token") {
        it if it.is_empty() => std::env::var("HOLDPOINT_TOKEN").unwrap_or_default(),
        it => it,
    };
    OperatorClient::new(Http::new(), &text("instance"), &token)
}

pub(crate) fn output_format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Table,
    }
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

async fn get(client: &OperatorClient, matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let kind = argument(matches, "kind");
    let name = argument(matches, "name");
    if name.is_empty() {
        let list = client.get(&format!("/apis/v1/{kind}")).await?;
        let items = list["items"].as_array().cloned().unwrap_or_default();
        let rows = items
            .iter()
            .map(|it| vec![text(&it["name"]), it["version"].to_string(), it["spec"].to_string()]);
        print(format, &list, &["NAME", "VERSION", "SPEC"], rows.collect());
        return Ok(());
    }
    let resource = client.get(&format!("/apis/v1/{kind}/{name}")).await?;
    println!("{}", serde_json::to_string_pretty(&resource).unwrap_or_default());
    Ok(())
}

/// Reads and validates a resource file; the error lists every fault found.
pub(crate) fn read_resources(path: &Path) -> Result<ResourceFile, Failure> {
    let value = read_jsonc(path).map_err(|it| file_failure(path, it.current_context()))?;
    let found = faults(Part::ResourceFile, &value);
    if !found.is_empty() {
        return Err(file_failure(path, &settings::FileError::Faults(found)));
    }
    serde_json::from_value(value).map_err(|it| Failure::Input(it.to_string()))
}

async fn apply(client: &OperatorClient, matches: &ArgMatches) -> Result<(), Failure> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let file = read_resources(path)?;
    for resource in file.resources {
        let (kind, name) = (resource.kind.to_string(), resource.name);
        let spec = Value::Object(resource.spec);
        let form = ChangeOptions { base: resource.version, change: None };
        let status = client.put(&kind, &name, &spec, &form).await?;
        print_change(&format!("{kind}/{name}"), &status)?;
    }
    Ok(())
}

async fn delete(client: &OperatorClient, matches: &ArgMatches) -> Result<(), Failure> {
    let (kind, name) = (argument(matches, "kind"), argument(matches, "name"));
    let form = ChangeOptions { base: matches.get_one("version").copied(), change: None };
    let status = client.delete(kind, name, &form).await?;
    print_change(&format!("{kind}/{name}"), &status)
}

/// Prints the state of a change; returns an error for every state but `Accepted`.
fn print_change(what: &str, status: &ChangeStatus) -> Result<(), Failure> {
    let version = status.version.unwrap_or(0);
    println!("{what}: {} (version {version}, change {})", status.state, status.change);
    match status.state {
        ChangeState::Accepted => Ok(()),
        ChangeState::Conflict => Err(Failure::Conflict(what.to_owned())),
        ChangeState::Pending => {
            let missing = status.missing.join(", ");
            let change = &status.change;
            Err(Failure::NotApplied(format!(
                "{what}: change {change} is not yet applied on {missing}"
            )))
        }
        ChangeState::Unknown => {
            let change = &status.change;
            let text = format!(
                "{what}: change {change} may still be applied; check with `holdpoint change`"
            );
            Err(Failure::NotApplied(text))
        }
    }
}

async fn watch(client: &OperatorClient, matches: &ArgMatches) -> Result<(), Failure> {
    let from = matches.get_one("from").copied().unwrap_or(0);
    let reply = client.watch(argument(matches, "kind"), from).await?;
    let mut body = reply.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            print!("{}", String::from_utf8_lossy(&data));
        }
    }
    Ok(())
}

async fn status(client: &OperatorClient, format: Format) -> Result<(), Failure> {
    let status = client.get("/apis/v1/instances").await?;
    let instances = status["instances"].as_array().cloned().unwrap_or_default();
    let row = |it: &Value| {
        let names = ["name", "phase", "applied", "domain", "incarnation"];
        names.iter().map(|name| text(&it[*name])).collect()
    };
    let rows = instances.iter().map(row).collect();
    print(format, &status, &["INSTANCE", "PHASE", "OFFSET", "DOMAIN", "INCARNATION"], rows);
    Ok(())
}

async fn change(
    client: &OperatorClient,
    matches: &ArgMatches,
    format: Format,
) -> Result<(), Failure> {
    let status = client.get(&format!("/apis/v1/changes/{}", argument(matches, "id"))).await?;
    let missing = status["missing"].as_array().cloned().unwrap_or_default();
    let missing: Vec<String> = missing.iter().map(text).collect();
    let row = vec![
        text(&status["change"]),
        text(&status["state"]),
        text(&status["version"]),
        missing.join(", "),
    ];
    print(format, &status, &["CHANGE", "STATE", "VERSION", "MISSING"], vec![row]);
    Ok(())
}

async fn report(
    client: &OperatorClient,
    matches: &ArgMatches,
    format: Format,
) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("burn", it)) => {
            let report = client.get("/report/burn").await?;
            print(format, &report, &BURN_HEADER, burn_rows(&report));
            let texts = Texts { title: "Error budget burn over the last hour", x: "", y: "rate" };
            draw_bars(it, texts, &burn_bars(&report))
        }
        Some(("trial", it)) => {
            let report = client.get(&format!("/report/trials/{}", argument(it, "name"))).await?;
            print(format, &report, &TRIAL_HEADER, trial_rows(&report));
            if format == Format::Table {
                println!("verdict: {}", report["verdict"]);
            }
            let title = format!("Attainment of the arms of {}", argument(it, "name"));
            draw_bars(it, Texts { title: &title, x: "", y: "attainment" }, &trial_bars(&report))
        }
        _ => Err(Failure::Api(ApiError::Refused(404, Value::Null))),
    }
}

/// Draws a bar chart if `--plot` was given.
fn draw_bars(
    matches: &ArgMatches,
    texts: Texts<'_>,
    values: &[(String, f64)],
) -> Result<(), Failure> {
    match matches.get_one::<PathBuf>("plot") {
        None => Ok(()),
        Some(it) => bars(it, texts, values).map_err(Failure::Plot),
    }
}

/// Burn rate of each pipeline over the second window, which is one hour.
fn burn_bars(report: &Value) -> Vec<(String, f64)> {
    let pipelines = report["pipelines"].as_array().into_iter().flatten();
    let rate = |it: &Value| it["windows"][1]["rate"].as_f64().unwrap_or(0.0);
    pipelines.map(|it| (text(&it["pipeline"]), rate(it))).collect()
}

fn trial_bars(report: &Value) -> Vec<(String, f64)> {
    let arms = report["arms"].as_object().into_iter().flatten();
    arms.map(|(name, it)| (name.clone(), it["attainment"]["mid"].as_f64().unwrap_or(0.0))).collect()
}

const BURN_HEADER: [&str; 8] =
    ["PIPELINE", "OBJECTIVE", "WINDOW", "REQUESTS", "ATTAINED", "RATE", "LEFT", "MOST LOST TO"];

fn burn_rows(report: &Value) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for pipeline in report["pipelines"].as_array().into_iter().flatten() {
        for window in pipeline["windows"].as_array().into_iter().flatten() {
            let cause = &window["causes"][0];
            let worst = match cause[1].as_u64() {
                None => String::new(),
                Some(n) => {
                    let parts = ["stage", "target", "kind"].map(|it| text(&cause[0][it]));
                    format!("{} ×{n}", parts.join(" ").trim())
                }
            };
            let minutes = window["window_ms"].as_u64().unwrap_or(0) / 60_000;
            rows.push(vec![
                text(&pipeline["pipeline"]),
                text(&pipeline["objective"]),
                format!("{minutes} min"),
                text(&window["requests"]),
                text(&window["attained"]),
                decimal(&window["rate"]),
                decimal(&window["left"]),
                worst,
            ]);
        }
    }
    rows
}

const TRIAL_HEADER: [&str; 7] =
    ["ARM", "REQUESTS", "ATTAINED", "LOW", "HIGH", "ENGINE MS A REQUEST", "COST (WASTED) BY STAGE"];

fn trial_rows(report: &Value) -> Vec<Vec<String>> {
    let row = |(name, arm): (&String, &Value)| {
        let stats = &arm["stats"];
        let costs = stats["cost"].as_object().cloned().unwrap_or_default();
        let stages = costs.iter().map(|(stage, ms)| {
            let wasted = stats["wasted"][stage].as_u64().unwrap_or(0);
            format!("{stage} {ms} ({wasted})")
        });
        vec![
            name.clone(),
            text(&stats["requests"]),
            decimal(&arm["attainment"]["mid"]),
            decimal(&arm["attainment"]["low"]),
            decimal(&arm["attainment"]["high"]),
            decimal(&arm["mean_cost"]),
            stages.collect::<Vec<_>>().join(", "),
        ]
    };
    report["arms"].as_object().into_iter().flatten().map(row).collect()
}

fn decimal(value: &Value) -> String {
    format!("{:.4}", value.as_f64().unwrap_or(0.0))
}

fn text(value: &Value) -> String {
    match value {
        Value::String(it) => it.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
