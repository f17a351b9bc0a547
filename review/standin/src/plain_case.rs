//! What the cases with plain services have in common: configuration, servers and instances.

use std::path::Path;

use crate::{
    plain_server::{Profile, Runs, start},
    store::Store,
    system::{Entry, Record, System, keep_entries},
    wire::wire,
};

/// A configuration with one route to the service `desk`.
pub fn configuration(kind: &str, timeout_ms: u64, latency_ms: u64, attempts: u32) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-hold","host":"shop.example","{prefix}":"/hold/","kind":"{kind}","timeout-ms":{timeout_ms},"{latency}":{latency_ms},"priority":0,"service":"desk","{attempts_name}":{attempts},"stages":[],"anonymous":false,"sticky-sessions":false,"stream-resume":false}}],"services":[{{"name":"desk","health-path":"/health","max-connections":96,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"shop-1","api-keys":["key-1"],"priority":1}}]}}"#,
        prefix = wire("prefix"),
        latency = wire("latency"),
        attempts_name = wire("attempts"),
    )
}

/// Starts the store, the servers and the instances.
pub fn begin(
    root: &Path,
    record: &Record,
    configuration: &str,
    profiles: &[Profile],
    instances: usize,
) -> Option<(System, Runs)> {
    let store = Store::start();
    store.put(wire("topic-op"), "config", configuration);
    let runs = Runs::new(record);
    let entries = profiles.iter().enumerate().map(|(number, profile)| {
        let id = format!("i-desk-{number}");
        let address = start(&runs, &id, profile.clone());
        let zone = format!("z{}", number % 3 + 1);
        Entry { id, service: "desk".to_owned(), address, zone, slots: 6 }
    });
    keep_entries(&store, entries.collect());
    Some((System::start(root, &store, instances, record)?, runs))
}

/// The headers of a client's request.
pub fn headers<'a>(id: &'a str, deadline: &'a str) -> Vec<(&'static str, &'a str)> {
    vec![
        ("Host", "shop.example"),
        (wire("id"), id),
        (wire("deadline"), deadline),
        ("Authorization", "Bearer key-1"),
    ]
}
