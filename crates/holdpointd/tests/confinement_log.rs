//! What the log says of regions that are not known. A file of its own, since a process has one logger.

mod support;

use std::sync::Mutex;

use holdpoint_adapter_standin::{Behaviour, confine_route, sample_configuration};
use log::{LevelFilter, Log, Metadata, Record};

use crate::support::{start_at, start_in, until};

struct Lines(Mutex<Vec<String>>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

static LINES: Lines = Lines(Mutex::new(Vec::new()));

fn named(text: &str) -> usize {
    let lines = LINES.0.lock().unwrap();
    lines.iter().filter(|it| it.starts_with("E641") && it.contains(text)).count()
}

#[tokio::test]
async fn unknown_regions_and_domains_without_one_are_named_once_and_not_without_end() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Info);
    let domain = |index| if index == 0 { "z1" } else { "nowhere" };
    let system =
        start_at(|gate| start_in("a", "east", "z1", gate), domain, &[Behaviour::Answer; 3], &[])
            .await;
    assert_eq!(named(""), 0, "it does not matter as long as nobody is confined");
    for version in 2..4 {
        let mut configuration = sample_configuration(version);
        confine_route(&mut configuration, 0, &["east", "moon"]);
        system.store.put_configuration(&configuration);
        until(|| system.instance.version() == version).await;
    }
    assert_eq!((named("region=moon"), named("domain=nowhere"), named("")), (1, 1, 2));
    let mut configuration = sample_configuration(4);
    let many: Vec<String> = (0..500).map(|it| format!("r-{it}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    confine_route(&mut configuration, 0, &many);
    system.store.put_configuration(&configuration);
    until(|| system.instance.version() == 4).await;
    assert_eq!(named(""), 64);
}
