//! The `domains` command against a store and a running instance.

use std::{
    process::{Command, Output},
    time::Duration,
};

use holdpoint_adapter_standin::{Behaviour, Store, Target, sample_configuration};
use holdpointd::ingress::Ingress;
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_holdpoint");
/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

async fn run(store: &str, args: &[&str]) -> Output {
    let mut all = vec!["-o", "json", "domains", "--store", store];
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

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_is_listed_evacuated_and_restored() {
    let store = Store::start().await;
    let address = store.endpoint.address.to_string();
    store.put_configuration(&sample_configuration(1));
    let targets = [
        Target::start("i-0", "plain", Behaviour::Answer).await,
        Target::start("i-1", "plain", Behaviour::Answer).await,
    ];
    store.put_target_in(&targets[0], "one", 0);
    store.put_target_in(&targets[1], "two", 0);
    let settings = json!({
        "instance": "a", "domain": "one",
        "listen": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics": "127.0.0.1:0" },
        "store": { "address": address, "poll_ms": 50, "timeout_ms": 300 },
    });
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    wait_until(|| instance.is_ready() && instance.open_count() == 2).await;
    assert!(run(&address, &["evacuate", "two"]).await.status.success());
    wait_until(|| instance.open_count() == 1).await;
    assert!(run(&address, &["evacuate", "nobody"]).await.status.success());
    let listed = list(&address).await;
    assert_eq!(listed["one"], json!({ "evacuated_by": null, "targets": 1, "slots": 8 }));
    assert_eq!(listed["two"], json!({ "evacuated_by": 1, "targets": 1, "slots": 8 }));
    assert_eq!(listed["nobody"], json!({ "evacuated_by": 2, "targets": 0, "slots": 0 }));
    assert!(run(&address, &["restore", "two"]).await.status.success());
    wait_until(|| instance.open_count() == 2).await;
    assert_eq!(list(&address).await["two"]["evacuated_by"], Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_name_and_a_silent_store_have_exit_codes_of_their_own() {
    let store = Store::start().await;
    let address = store.endpoint.address.to_string();
    for bad in ["", "a\nb", &"x".repeat(201)] {
        let output = run(&address, &["evacuate", bad]).await;
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("name:"));
    }
    assert_eq!(list(&address).await, json!({}), "nothing was changed");
    let silent = refusing_address().await;
    assert_eq!(run(&silent, &["restore", "a"]).await.status.code(), Some(4));
}

/// Returns an address that refuses connections: its port is bound but not listening.
async fn refusing_address() -> String {
    let bound = tokio::net::TcpSocket::new_v4().unwrap();
    bound.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = bound.local_addr().unwrap().to_string();
    // Keeps the port bound for the rest of the process, so that no other test gets it.
    std::mem::forget(bound);
    address
}
