//! The `regions` command against a store and a running instance.

use std::{
    path::Path,
    process::{Command, Output},
    time::Duration,
};

use holdpoint_adapter_standin::{Behaviour, Store, Target, sample_configuration};
use holdpointd::ingress::Ingress;
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_holdpoint");
/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

async fn run(args: Vec<String>) -> Output {
    let run = move || Command::new(BINARY).args(args).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn regions_are_listed_with_their_instances_and_targets() {
    let store = Store::start().await;
    store.put_configuration(&sample_configuration(1));
    let mut targets = Vec::new();
    for (id, domain) in [("i-0", "z1"), ("i-1", "z2"), ("i-2", "z3"), ("i-3", "elsewhere")] {
        let target = Target::start(id, "plain", Behaviour::Answer).await;
        store.put_target_in(&target, domain, 0);
        targets.push(target);
    }
    store.evacuate("z3");
    let address = store.endpoint.address.to_string();
    let settings = json!({
        "instance": "a", "domain": "z1", "region": "east",
        "regions": { "z1": "east", "z2": "north", "z3": "north" },
        "listen": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics": "127.0.0.1:0" },
        "store": { "address": address, "poll_ms": 50, "timeout_ms": 300 },
    });
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("regions.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
    let ready = async {
        while !instance.is_ready() || instance.open_count() != 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, ready).await.unwrap();
    let path = file.to_str().unwrap();
    let metrics = instance.listen().metrics.clone();
    let args = ["-o", "json", "regions", "--store", &address, "--settings", path, "--metrics"];
    let args: Vec<String> = args.iter().map(ToString::to_string).chain([metrics]).collect();
    let list = async || {
        let output = run(args.clone()).await;
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice::<Value>(&output.stdout).unwrap()
    };
    // The instance may be ready before its entry is in the store.
    let listed = async {
        loop {
            let listed = list().await;
            if listed["east"]["instances"] != 0 {
                return listed;
            }
        }
    };
    let listed = tokio::time::timeout(CONDITION_TIMEOUT, listed)
        .await
        .expect("the instance was not listed within the timeout");
    let count = |region: &str, what: &str| listed[region][what].as_u64().unwrap();
    assert_eq!(
        (count("east", "instances"), count("east", "targets"), count("east", "held")),
        (1, 1, 0)
    );
    assert_eq!(
        (count("north", "instances"), count("north", "targets"), count("north", "held")),
        (0, 1, 1)
    );
    assert_eq!(count("unknown", "targets"), 1, "its failure domain has no region");
    assert_eq!((count("north", "sent"), count("north", "kept")), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_cannot_be_read_are_named() {
    let args = ["regions", "--store", "127.0.0.1:1", "--settings", "/nowhere/settings.json"];
    let output = run(args.iter().map(ToString::to_string).collect()).await;
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/settings.json"));
}
