//! Policies and trials on the platform's ingress, through the command line: declared, evaluated on the
//! requests that instances serve, and dropped.

use std::{
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, sample_configuration,
};
use holdpointd::ingress::Ingress;
use http::Method;
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_holdpoint");
/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

async fn run(args: Vec<String>) -> Output {
    let run = move || Command::new(BINARY).args(args).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

fn file(name: &str, value: &Value) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, value.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

fn start(name: &str, store: &Store) -> Ingress {
    let settings = json!({
        "instance": name, "domain": "z1",
        "listen": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics": "127.0.0.1:0" },
        "store": { "address": store.endpoint.address.to_string(), "poll_ms": 50, "timeout_ms": 300 },
    });
    Ingress::start(serde_json::from_value(settings).unwrap()).unwrap()
}

async fn metrics(instance: &Ingress) -> String {
    let address = instance.listen().metrics.parse().unwrap();
    let request = CallerRequest::new("m", "/metrics").with_method(Method::GET);
    String::from_utf8_lossy(&call(address, request).await.unwrap().body).into_owned()
}

async fn send_request(instance: &Ingress, id: &str) -> u16 {
    let callers = instance.listen().callers.parse().unwrap();
    call(callers, CallerRequest::new(id, "/safe/")).await.unwrap().status.as_u16()
}

/// Sends requests until the instance's metrics show that they are (or are not) assigned to a trial.
async fn wait_for_trial(instance: &Ingress, is_active: bool) {
    let reached = async {
        for round in 0.. {
            let before = metrics(instance).await;
            assert_eq!(send_request(instance, &format!("warm-{round}")).await, 200);
            let after = metrics(instance).await;
            let count = |page: &str| -> f64 {
                let lines = page.lines().filter(|it| it.starts_with("holdpoint_trial_requests"));
                lines.filter_map(|it| it.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
            };
            if (count(&before) < count(&after)) == is_active {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, reached)
        .await
        .expect("the trial was not activated or dropped within the timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trial_is_declared_judged_and_dropped_on_the_platform() {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let target = Target::start("i-plain", "plain", Behaviour::Answer).await;
    store.put_target(&target, false);
    let instances = [start("a", &store), start("b", &store)];
    let is_ready = || instances.iter().all(Ingress::is_ready);
    let ready = async {
        while !is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, ready)
        .await
        .expect("the instances did not become ready within the timeout");
    let address = store.endpoint.address.to_string();
    let declare = |args: &[&str]| {
        let fixed = ["declare", "--store", &address];
        run(fixed.iter().chain(args).map(|it| (*it).to_owned()).collect())
    };
    let resources = file(
        "experiment.json",
        &json!({ "resources": [
            { "kind": "policies", "name": "any", "spec": { "route": "random" } },
            { "kind": "policies", "name": "idle", "spec": { "route": "least-loaded" } },
            { "kind": "trials", "name": "safe-routes", "spec": { "pipeline": "safe",
                "min_requests": 5, "arms": [
                    { "name": "one", "policy": "any" }, { "name": "two", "policy": "idle" } ] } },
        ] }),
    );
    let declared = declare(&["-f", &resources]).await;
    assert!(declared.status.success(), "{}", String::from_utf8_lossy(&declared.stderr));
    for it in &instances {
        wait_for_trial(it, true).await;
    }
    for id in 0..40 {
        assert_eq!(send_request(&instances[id % 2], &format!("r-{id}")).await, 200);
    }
    let metrics = instances.each_ref().map(|it| it.listen().metrics.clone());
    let mut args = vec!["-o", "json", "report", "arms", "safe-routes", "--store", &address];
    args.extend(["--metrics", &metrics[0], &metrics[1]]);
    let reported = run(args.into_iter().map(str::to_owned).collect()).await;
    let report: Value = serde_json::from_slice(&reported.stdout).unwrap();
    let arm = |name: &str, field: &str| report["arms"][name][field].as_u64().unwrap();
    assert!(40 <= arm("one", "requests") + arm("two", "requests"), "{report}");
    assert!(5 <= arm("one", "requests") && 5 <= arm("two", "requests"), "{report}");
    assert_eq!(arm("one", "attained"), arm("one", "requests"), "{report}");
    assert_ne!(report["verdict"], "not-enough-data", "{report}");

    let dropped = declare(&["--drop", "trials/safe-routes"]).await;
    assert!(dropped.status.success());
    let released = declare(&["--drop", "quarantine/0011223344556677"]).await;
    assert!(released.status.success());
    wait_for_trial(&instances[0], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resource_with_a_fault_is_named_and_nothing_is_written() {
    let store = Store::start().await;
    let address = store.endpoint.address.to_string();
    let resources = file(
        "faulty.json",
        &json!({ "resources": [
            { "kind": "policies", "name": "good", "spec": { "route": "random" } },
            { "kind": "policies", "name": "bad", "spec": { "route": "sideways" } },
        ] }),
    );
    let args = ["declare", "--store", &address, "-f", &resources];
    let declared = run(args.iter().map(|it| (*it).to_owned()).collect()).await;
    assert_eq!(declared.status.code(), Some(2));
    let text = String::from_utf8_lossy(&declared.stderr).into_owned();
    assert!(text.contains("bad") || text.contains("sideways"), "{text}");
    assert!(store.calls().is_empty());
}
