//! Compares transcripts of whole sessions of callers and operators with golden files.

use std::{fmt::Write, time::Duration};

use holdpoint_emulator::{
    caller::{self, Reply, Request},
    load::instances,
    world::{OPERATOR_TOKEN, Plan, World},
};
use holdpoint_platform::operators::ChangeOptions;
use holdpointd::StopOutcome;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use uuid::Uuid;

/// A transcript in which values that vary between runs are redacted.
struct Session {
    world: World,
    text: String,
}

impl Session {
    async fn start() -> Session {
        Session { world: World::start(&Plan::new(3)).await, text: String::new() }
    }

    fn add_comment(&mut self, text: &str) {
        writeln!(self.text, "# {text}").unwrap();
    }

    /// Makes a call and adds the request and the reply to the transcript.
    async fn call(
        &mut self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Value {
        let shown: Vec<String> = headers
            .iter()
            .filter(|it| it.0 != "idempotency-key")
            .map(|it| format!("{}: {}", it.0, it.1))
            .collect();
        writeln!(self.text, "> {method} {path} [{}]", shown.join(", ")).unwrap();
        if !body.is_empty() {
            writeln!(self.text, "> {}", String::from_utf8_lossy(body)).unwrap();
        }
        let limit = Duration::from_secs(20);
        let sent = self.world.http.call(method, address, path, headers, body.to_vec(), limit);
        let reply = sent.await.expect("the instance answers");
        let value: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        for name in ["retry-after", "holdpoint-replayed"] {
            if let Some(it) = reply.headers.get(name) {
                writeln!(self.text, "< {name}: {}", it.to_str().unwrap()).unwrap();
            }
        }
        writeln!(self.text, "< {} {}", reply.status.as_u16(), redacted(value.clone())).unwrap();
        value
    }

    async fn post(
        &mut self,
        pipeline: &str,
        bearer: &str,
        key: Option<&str>,
        body: &[u8],
    ) -> Value {
        let mut headers = vec![("authorization", format!("Bearer {bearer}"))];
        headers.extend(key.map(|it| ("idempotency-key", it.to_owned())));
        let path = format!("/v1/pipelines/{pipeline}/requests");
        let address = self.world.callers(0);
        self.call(&address, Method::POST, &path, &headers, body).await
    }

    async fn put(
        &mut self,
        index: usize,
        path: &str,
        headers: &[(&str, &str)],
        spec: &Value,
    ) -> Value {
        let mut all = vec![("authorization", format!("Bearer {OPERATOR_TOKEN}"))];
        all.extend(headers.iter().map(|it| (it.0, it.1.to_owned())));
        let address = self.world.operators(index);
        self.call(&address, Method::PUT, path, &all, spec.to_string().as_bytes()).await
    }

    fn record_reply(&mut self, who: &str, reply: &Reply) {
        let text = match reply {
            Reply::Whole { answer, text, replayed } => {
                let answer = redacted(serde_json::to_value(answer).unwrap());
                format!("whole, replayed {replayed}, text {text:?}, {answer}")
            }
            Reply::Problem(it) => redacted(serde_json::to_value(it).unwrap()).to_string(),
            Reply::Silence(it) => format!("{it:?}"),
        };
        writeln!(self.text, "< {who}: {text}").unwrap();
    }
}

/// Replaces ids, addresses, times and costs.
fn redacted(mut value: Value) -> Value {
    match &mut value {
        Value::Object(map) => {
            for (name, inner) in map.iter_mut() {
                let is_varying = matches!(name.as_str(), "request" | "target" | "ms" | "cost");
                *inner = if is_varying { json!("…") } else { redacted(inner.take()) };
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|it| *it = redacted(it.take())),
        _ => (),
    }
    value
}

/// Starts to read a long stream at instance 0; returns once generation has started.
async fn begin_stream(world: &World, marker: &str) -> JoinHandle<Reply> {
    let (http, addresses) = (world.http.clone(), instances(world));
    let call = request("allocation-summary", "demo-head-office", marker);
    let reading = tokio::spawn(async move { caller::request(&http, &addresses, 0, &call).await });
    world.wait_until("the stream has begun", |it| it.tally.total("wine-models") == 1).await;
    reading
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

fn request(pipeline: &str, bearer: &str, marker: &str) -> Request {
    Request {
        pipeline: pipeline.to_owned(),
        bearer: bearer.to_owned(),
        input: json!({ "marker": marker, "text": "duck" }),
        timeout: Duration::from_secs(8),
        key: None,
        streamed: true,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer() {
    let mut session = Session::start().await;
    let call = request("pairing", "demo-regina-shops", "a1");
    let reply = caller::request(&session.world.http, &instances(&session.world), 0, &call).await;
    session.add_comment("a pairing through encode, retrieve and generate, streamed");
    session.record_reply("pairing", &reply);
    let call = request("fault-report", "demo-planners", "a2");
    let reply = caller::request(&session.world.http, &instances(&session.world), 1, &call).await;
    session.add_comment("a fault report through all four stages at another instance");
    session.record_reply("fault-report", &reply);
    session.add_comment("the same pairing, not streamed");
    session.post("pairing", "demo-regina-shops", None, br#"{"input":{"marker":"a3"}}"#).await;
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests() {
    let mut session = Session::start().await;
    let shop = "demo-regina-shops";
    let good = br#"{"input":{"marker":"b1"}}"#;
    session.add_comment("unknown key, unknown pipeline");
    session.post("pairing", "nobody", None, good).await;
    session.post("no-such", shop, None, good).await;
    session.add_comment("bodies: truncated, unknown field, missing field, not UTF-8");
    session.post("pairing", shop, None, br#"{"input":{"#).await;
    session.post("pairing", shop, None, br#"{"input":1,"extra":2}"#).await;
    session.post("pairing", shop, None, b"{}").await;
    session.post("pairing", shop, None, b"{\"input\":\"\xff\"}").await;
    session.add_comment("a hold without a key, with a key that is no UUID, with one of 2021");
    session.post("stock-hold", shop, None, good).await;
    session.post("stock-hold", shop, Some("17"), good).await;
    session.post("stock-hold", shop, Some("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), good).await;
    session.add_comment("a resume without a token, and with one of nobody's making");
    let address = session.world.callers(0);
    let bearer = ("authorization", format!("Bearer {shop}"));
    session.call(&address, Method::GET, "/v1/requests/x", std::slice::from_ref(&bearer), b"").await;
    let forged = ("last-event-id", "1.e30.AAAAAAAAAAAAAAAAAAAAAA".to_owned());
    session.call(&address, Method::GET, "/v1/requests/x", &[bearer, forged], b"").await;
    assert_eq!(session.world.tally.total("wine-models"), 0, "nothing of this was run");
    assert_eq!(session.world.tally.total("till-stock"), 0, "nothing of this was run");
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn hold_repeated() {
    let mut session = Session::start().await;
    let shop = "demo-saskatoon-shops";
    let (key, body) = (key(), br#"{"input":{"marker":"c1","bottles":6}}"#);
    session.add_comment("a hold, then the same key at the same instance");
    session.post("stock-hold", shop, Some(&key), body).await;
    session.post("stock-hold", shop, Some(&key), body).await;
    session.add_comment("the same key with another body");
    session.post("stock-hold", shop, Some(&key), br#"{"input":{"marker":"c1","bottles":7}}"#).await;
    session.add_comment("the same key from another organisation is another call");
    session
        .post("stock-hold", "demo-calgary-shops", Some(&key), br#"{"input":{"marker":"c2"}}"#)
        .await;
    session.add_comment("the same key after the instance that held it has died");
    session.world.kill(0);
    let mut call = request("stock-hold", shop, "c1");
    call.input = json!({ "marker": "c1", "bottles": 6 });
    (call.key, call.streamed) = (Some(key), false);
    let reply = caller::request(&session.world.http, &instances(&session.world), 1, &call).await;
    session.record_reply("stock-hold", &reply);
    assert_eq!(session.world.tally.runs("till-stock", "c1"), 1);
    assert_eq!(session.world.tally.runs("till-stock", "c2"), 1);
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let mut session = Session::start().await;
    let path = "/apis/v1/policies/two-choices";
    let address = session.world.operators(2);
    let token = ("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    session
        .add_comment("two operators read the same version and change it at two instances at once");
    let before = session.call(&address, Method::GET, path, std::slice::from_ref(&token), b"").await;
    let base = before["version"].as_u64().unwrap();
    let spec = |percent: u32| json!({ "route": "two-choices", "retry_percent": percent });
    let form = |change: &str| ChangeOptions { base: Some(base), change: Some(change.to_owned()) };
    let (spec_a, spec_b) = (spec(1), spec(2));
    let (form_a, form_b) = (form("change-a"), form("change-b"));
    let (a, b) = tokio::join!(
        session.world.put(0, "policies", "two-choices", &spec_a, &form_a),
        session.world.put(1, "policies", "two-choices", &spec_b, &form_b),
    );
    let mut states = [a.unwrap().state.to_string(), b.unwrap().state.to_string()];
    let a_won = states[0] == "accepted";
    states.sort();
    session.add_comment(&format!("one of them wins, whichever it is: {}", states.join(" and ")));
    let (won, lost) = if a_won { ("change-a", "change-b") } else { ("change-b", "change-a") };
    let wanted = if a_won { 1 } else { 2 };
    for index in 0..3 {
        let operator = session.world.operator(index);
        let active = operator.get(path).await.unwrap();
        assert_eq!(active["spec"]["retry_percent"], wanted);
        let lost = operator.get(&format!("/apis/v1/changes/{lost}")).await.unwrap();
        session.add_comment(&format!("instance {index}: the loser is told {}", lost["state"]));
    }
    session.add_comment("the same change again, by its id, at another instance: nothing changes");
    let same = if a_won { spec_a } else { spec_b };
    let (address, base) = (session.world.operators(2), base.to_string());
    let headers =
        [token.clone(), ("if-match", base.clone()), ("holdpoint-change", "winner".to_owned())];
    let form = ChangeOptions { base: Some(base.parse().unwrap()), change: Some(won.to_owned()) };
    let again = session.world.put(2, "policies", "two-choices", &same, &form).await.unwrap();
    session.add_comment(&format!("answer: {}", again.state));
    session.add_comment("a new change against the old version");
    let any = json!({ "route": "two-choices" });
    session.call(&address, Method::PUT, path, &headers, any.to_string().as_bytes()).await;
    session.add_comment("bad specifications change nothing and name their faults");
    session.put(0, path, &[], &json!({ "route": "psychic" })).await;
    session
        .put(
            0,
            "/apis/v1/pipelines/loop",
            &[],
            &json!({ "stages": [
        { "name": "a", "pool": "wine-models", "inputs": { "x": "stages.b" } },
        { "name": "b", "pool": "no-pool", "inputs": { "x": "stages.a" } }
    ] }),
        )
        .await;
    session
        .put(0, "/apis/v1/pools/Bad_Name", &[], &json!({ "kind": "engine", "targest": [] }))
        .await;
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut session = Session::start().await;
    session.add_comment("a long stream is under way at instance 0 when it is stopped");
    let reading = begin_stream(&session.world, "e1").await;
    let ended = session.world.stop(0).await;
    assert_eq!(ended, Some(StopOutcome::Drained));
    let reply = reading.await.unwrap();
    session.add_comment("the stop waited for it");
    session.record_reply("allocation-summary", &reply);
    session.add_comment("the next request goes to another instance");
    let mut call = request("price-lookup", "demo-calgary-shops", "e2");
    call.streamed = false;
    let reply = caller::request(&session.world.http, &instances(&session.world), 0, &call).await;
    session.record_reply("price-lookup", &reply);
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_handed_over_at_the_drain_limit() {
    let plan = Plan::new(3).with_settings(json!({ "timing": { "drain_ms": 100 } }));
    let mut session = Session { world: World::start(&plan).await, text: String::new() };
    session.add_comment(
        "the drain limit passes while a stream is under way: its token goes on elsewhere",
    );
    let reading = begin_stream(&session.world, "f1").await;
    assert_eq!(session.world.stop(0).await, Some(StopOutcome::Cut));
    session.record_reply("allocation-summary", &reading.await.unwrap());
    assert_eq!(session.world.tally.runs("wine-models", "f1"), 1, "generated once");
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_after_a_crash() {
    let mut session = Session::start().await;
    session
        .add_comment("the instance dies in the middle of a stream: the caller resumes at another");
    let reading = begin_stream(&session.world, "g1").await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    session.world.kill(0);
    session.record_reply("allocation-summary", &reading.await.unwrap());
    assert_eq!(session.world.tally.runs("wine-models", "g1"), 1, "generated once");
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn hold_while_the_log_is_down() {
    let mut session = Session::start().await;
    let shop = "demo-saskatoon-shops";
    let (key, body) = (key(), br#"{"input":{"marker":"h1"}}"#);
    session.add_comment("the log is down: a hold is refused as not run, a lookup is answered");
    session.world.log.faults().outage = true;
    session.post("stock-hold", shop, Some(&key), body).await;
    session.post("price-lookup", "demo-calgary-shops", None, br#"{"input":{"marker":"h2"}}"#).await;
    assert_eq!(session.world.tally.runs("till-stock", "h1"), 0);
    session.add_comment("the log is back: the same key runs, once");
    session.world.log.faults().outage = false;
    let mut call = request("stock-hold", shop, "h1");
    call.input = json!({ "marker": "h1" });
    (call.key, call.streamed) = (Some(key), false);
    let reply = caller::request(&session.world.http, &instances(&session.world), 0, &call).await;
    session.record_reply("stock-hold", &reply);
    assert_eq!(session.world.tally.runs("till-stock", "h1"), 1);
    insta::assert_snapshot!(session.text);
}
