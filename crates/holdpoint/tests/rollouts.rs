//! The `rollouts` command against a store and a running instance.

use std::{
    process::{Command, Output},
    time::Duration,
};

use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Store, Target, call, sample_configuration,
};
use holdpointd::ingress::Ingress;
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_holdpoint");
/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

async fn run(store: &str, args: &[&str]) -> Output {
    let mut all = vec!["-o", "json", "rollouts", "--store", store];
    all.extend(args);
    let all: Vec<String> = all.into_iter().map(str::to_owned).collect();
    let run = move || Command::new(BINARY).args(all).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

async fn list(store: &str) -> Value {
    let output = run(store, &[]).await;
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait)
        .await
        .expect("the condition did not become true within the timeout");
}

async fn start(new: Behaviour) -> (Store, Ingress, Vec<Target>) {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let targets = vec![
        Target::start("i-0", "plain", Behaviour::Answer).await,
        Target::start("i-1", "plain", new).await,
    ];
    store.put_version(&targets[0], "v1", false);
    store.put_version(&targets[1], "v2", false);
    let settings = json!({
        "instance": "a", "domain": "z1",
        "listen": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics": "127.0.0.1:0" },
        "store": { "address": store.endpoint.address.to_string(), "poll_ms": 50, "timeout_ms": 300 },
    });
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    wait_until(|| instance.is_ready() && instance.target_count() == 2).await;
    (store, instance, targets)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_waited_for_and_its_end_has_an_exit_code() {
    let (store, instance, _targets) = start(Behaviour::Fail).await;
    let address = store.endpoint.address.to_string();
    let callers = instance.listen().callers.parse().unwrap();
    let calling = tokio::spawn(async move {
        for id in 0.. {
            drop(call(callers, CallerRequest::new(&format!("r-{id}"), "/unsafe/")).await);
        }
    });
    let output = run(&address, &["start", "plain", "v2", "--within", "20s", "--wait"]).await;
    assert_eq!(output.status.code(), Some(8), "{output:?}");
    calling.abort();
    let listed = list(&address).await;
    assert_eq!(listed["plain"]["state"], "rolled back");
    assert_eq!(listed["plain"]["targets"], json!({ "v1": 1, "v2": 1 }));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_listed_and_withdrawn() {
    let (store, _instance, _targets) = start(Behaviour::Answer).await;
    let address = store.endpoint.address.to_string();
    assert_eq!(list(&address).await, json!({}));
    let output = run(&address, &["start", "plain", "v2", "--within", "1m"]).await;
    assert!(output.status.success(), "{output:?}");
    wait_until(|| !store.rollout_statuses("plain").is_empty()).await;
    let listed = list(&address).await;
    assert_eq!(listed["plain"]["version"], "v2");
    assert_eq!(listed["plain"]["within_s"], 60.0);
    assert_eq!(listed["plain"]["state"], "running");
    let output = run(&address, &["abort", "plain", "--wait"]).await;
    assert!(output.status.success(), "{output:?}");
    assert_eq!(list(&address).await["plain"]["state"], "rolled back");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_ordered_is_refused() {
    let (store, _instance, _targets) = start(Behaviour::Answer).await;
    let address = store.endpoint.address.to_string();
    for bad in [
        vec!["start", "nobody", "v2"],
        vec!["start", "plain", ""],
        vec!["start", "plain", "v2", "--within", "soon"],
        vec!["start", "plain", "v2", "--within", "1s"],
        vec!["abort", "plain"],
    ] {
        let output = run(&address, &bad).await;
        assert_eq!(output.status.code(), Some(2), "{bad:?}: {output:?}");
    }
    assert_eq!(list(&address).await, json!({}), "nothing was changed");
}
