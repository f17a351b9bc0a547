//! Properties of ingress decisions: routing, draining targets, the shared retry budget, event streams.

use std::collections::HashSet;

use holdpoint_core::{
    budget::{SharedBudget, Terms},
    capacity::{Capacity, strong},
    change_log::ChangeLog,
    confinement::Confinement,
    deadline::RecentTime,
    directory::{Change, Directory, TargetInstance},
    experiments::Experiments,
    ingress::{
        CallerLimits, Configuration, Denied, IngressRoute, Repeat, ResponseKind, Service, Tenancy,
        is_newer,
    },
    ledger::{Ledger, OwnAnswer},
    prompt::{Part, Prompt},
    readers::{order_for, readers, sources},
};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> IngressRoute {
    IngressRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: services.iter().map(|it| (it.0.to_owned(), it.1)).collect(),
        repeat: Repeat::Once,
        response: ResponseKind::Whole,
        timeout_ms: 1000,
        objective_ms: 100,
        rank: 2,
        attempts: 1,
        stages: Vec::new(),
        is_anonymous: name == "open",
        is_sticky: false,
        confinement: Confinement::default(),
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 90), ("t", 10)]),
        route("open", "b.example", "/", &[("s", 1)]),
    ];
    let acme =
        Tenancy { name: "acme".to_owned(), rank: Some(0), confinement: Confinement::default() };
    let organisations = vec![(acme, vec!["k-1".to_owned(), "k-2".to_owned()])];
    Configuration::new(3, routes, Vec::new(), CallerLimits::default(), Some(organisations))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration();
    let found = |host, path| configuration.route(host, path).map(|it| it.name.clone());
    assert_eq!(found("a.example", "/x/1"), Ok("short".to_owned()));
    assert_eq!(found("A.Example:8080", "/x/y/1"), Ok("long".to_owned()));
    assert_eq!(found("a.example", "/x"), Err(Denied::NoRoute));
    assert_eq!(found("c.example", "/x/1"), Err(Denied::NoRoute));
}

#[test]
fn keys_identify_organisations_and_anonymous_routes_need_none() {
    let configuration = configuration();
    let long = configuration.route("a.example", "/x/y/").unwrap();
    let organisation = configuration.organisation(long, Some("k-2")).unwrap().unwrap();
    assert_eq!(organisation.name, "acme");
    assert_eq!(
        long.rank_for(Some(organisation)),
        0,
        "an organisation's rank overrides the route's"
    );
    assert_eq!(configuration.organisation(long, Some("k-3")), Err(Denied::BadKey));
    assert_eq!(configuration.organisation(long, None), Err(Denied::BadKey));
    let open = configuration.route("b.example", "/z").unwrap();
    assert_eq!(configuration.organisation(open, None), Ok(None));
}

#[test]
fn a_split_follows_its_weights_and_is_the_same_for_the_same_request() {
    let configuration = configuration();
    let long = configuration.route("a.example", "/x/y/").unwrap();
    let count = (0..10_000).filter(|it| long.service_of(&format!("r-{it}")) == Some("t")).count();
    assert!((800..1200).contains(&count), "{count} of 10,000 at a weight of 10 in 100");
    assert_eq!(long.service_of("r-1"), long.service_of("r-1"));
}

fn entry(sequence: u64, is_draining: bool) -> TargetInstance {
    TargetInstance {
        id: "i".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        domain: "a".to_owned(),
        slots: 1,
        is_draining,
        sequence,
        born: None,
        cold_left_ms: None,
        version: String::new(),
    }
}

#[test]
fn a_heartbeat_changes_nothing_and_an_older_entry_is_ignored() {
    let mut directory = Directory::default();
    assert_eq!(directory.put(0, entry(2, false)), Change::Joined);
    assert_eq!(directory.put(0, entry(3, false)), Change::Nothing);
    assert_eq!(directory.put(0, TargetInstance { slots: 4, ..entry(1, false) }), Change::Nothing);
    assert_eq!(directory.get("i").unwrap().slots, 1);
    assert_eq!(directory.put(0, TargetInstance { slots: 4, ..entry(4, false) }), Change::Altered);
}

/// A restarted target numbers its entries from one again: its new incarnation must not be ignored as older, and the
/// address and the drain notice of the previous one must not be kept.
#[test]
fn a_restarted_target_replaces_its_previous_incarnation() {
    let incarnation = |born, sequence, address: &str| TargetInstance {
        born: Some(born),
        address: address.to_owned(),
        ..entry(sequence, false)
    };
    let mut directory = Directory::default();
    assert_eq!(directory.put(0, incarnation(1000, 900, "10.0.0.1:80")), Change::Joined);
    directory.assume_cold(0, "i", 5000);
    directory.mark_draining("i", None);
    assert_eq!(directory.put(1, incarnation(2000, 1, "10.0.0.2:80")), Change::Restarted);
    let found = directory.get("i").unwrap();
    assert_eq!((found.address.as_str(), found.is_draining), ("10.0.0.2:80", false));
    assert_eq!(
        directory.cold_left(1, "i"),
        0,
        "the cold start of the previous incarnation is dropped"
    );
    assert_eq!(
        directory.put(2, incarnation(1000, 950, "10.0.0.1:80")),
        Change::Nothing,
        "an older incarnation"
    );
    assert_eq!(
        directory.put(3, incarnation(2000, 2, "10.0.0.2:80")),
        Change::Nothing,
        "a heartbeat"
    );
    assert_eq!(directory.get("i").unwrap().address, "10.0.0.2:80");
    let other = Directory::default();
    let digest = |born| {
        let mut directory = other.clone();
        directory.put(0, incarnation(born, 1, "10.0.0.2:80"));
        directory.digest()
    };
    assert_ne!(
        digest(1000),
        digest(2000),
        "a peer with the previous incarnation sees a difference"
    );
}

/// A drain notice in an answer holds for the incarnation that gave it, whatever its entries say.
#[test]
fn a_drain_notice_holds_for_its_incarnation() {
    let incarnation = |born, sequence, is_leaving| TargetInstance {
        born: Some(born),
        ..entry(sequence, is_leaving)
    };
    let is_leaving = |it: &Directory| it.get("i").unwrap().is_draining;
    let mut directory = Directory::default();
    directory.put(0, incarnation(1000, 5, false));
    assert_eq!(
        directory.mark_draining("i", Some(900)),
        Change::Nothing,
        "an answer of the previous incarnation"
    );
    assert_eq!(directory.mark_draining("i", Some(1000)), Change::Leaving);
    assert_eq!(directory.mark_draining("i", Some(1000)), Change::Nothing, "already known");
    directory.put(1, incarnation(1000, 6, false));
    assert!(is_leaving(&directory), "despite a later entry that says ready");
    directory.remove("i");
    directory.put(2, incarnation(1000, 7, false));
    assert!(is_leaving(&directory), "after an entry that lapsed and returned");
    directory.put(3, incarnation(2000, 1, false));
    assert!(!is_leaving(&directory), "the next incarnation");

    // The notice comes while the entry is missing.
    let mut directory = Directory::default();
    assert_eq!(directory.mark_draining("i", Some(1000)), Change::Nothing);
    directory.put(0, incarnation(1000, 5, false));
    assert!(is_leaving(&directory));

    // The notice comes from a peer whose entry of the target is older.
    let mut directory = Directory::default();
    directory.put(0, incarnation(1000, 5, false));
    assert_eq!(directory.put(1, incarnation(1000, 4, true)), Change::Leaving);
    assert_eq!(directory.get("i").unwrap().sequence, 5);
    assert_eq!(directory.sum(), {
        let mut other = Directory::default();
        other.put(0, incarnation(1000, 9, true));
        other.sum()
    });
}

#[test]
fn a_retry_that_reached_no_target_is_not_charged() {
    let terms = Terms { ratio: 0.2, window_ms: 1000, slack: 5.0, instances: 1 };
    let mut budget = SharedBudget::default();
    for now in 0..100 {
        assert!(budget.spend(now, &terms));
        budget.refund(now);
    }
    let spent = (0..100).filter(|it| budget.spend(100 + it, &terms)).count();
    assert_eq!(spent, 3, "60% of the slack");
}

/// Guards against a refund that takes back the retry of another request.
#[test]
fn a_refund_leaves_later_retries_charged() {
    let terms = Terms { ratio: 0.0, window_ms: 1000, slack: 5.0, instances: 1 };
    let mut budget = SharedBudget::default();
    assert!(budget.spend(0, &terms) && budget.spend(500, &terms));
    budget.refund(0);
    assert!(budget.spend(1001, &terms) && budget.spend(1001, &terms));
    assert!(!budget.spend(1001, &terms), "the retry at 500 ms is still charged");
    budget.refund(0);
    assert!(!budget.spend(1001, &terms), "a refund of an expired retry returns nothing");
}

/// Guards against retries that are charged when they are prepared rather than when they are sent.
#[test]
fn a_reserved_retry_is_charged_when_it_is_sent() {
    let terms = Terms { ratio: 0.0, window_ms: 1000, slack: 2.0, instances: 1 };
    let mut budget = SharedBudget::default();
    assert!(budget.reserve(0, &terms));
    assert!(!budget.reserve(0, &terms));
    budget.spend_reserved(900);
    assert!(!budget.can_spend(1900, &terms));
    assert!(budget.can_spend(1901, &terms) && budget.reserve(1901, &terms));
    budget.cancel_reserved();
    assert!(budget.can_spend(1901, &terms));
}

proptest! {
    #[test]
    fn draining_is_final_for_an_id(entries in prop::collection::vec((0..20_u64, any::<bool>()), 1..40)) {
        let mut directory = Directory::default();
        let mut is_draining = false;
        for (sequence, is_leaving) in entries {
            // An older entry counts too: a peer may have the notice from an answer.
            is_draining |= is_leaving;
            directory.put(0, entry(sequence, is_leaving));
            prop_assert_eq!(directory.get("i").unwrap().is_draining, is_draining);
        }
        directory.replace(0, vec![entry(100, false)]);
        prop_assert_eq!(directory.get("i").unwrap().is_draining, is_draining);
    }

    #[test]
    fn versions_only_rise(versions in prop::collection::vec(0..50_u64, 1..40)) {
        let mut in_force = 0;
        for found in versions {
            let before = in_force;
            if is_newer(in_force, found) {
                in_force = found;
            }
            prop_assert!(before <= in_force && found <= in_force);
        }
    }

    /// The budget holds over any window, for all instances together.
    #[test]
    fn retries_of_all_instances_stay_within_the_budget(
        sends in prop::collection::vec((0..4_usize, 0..300_u64, any::<bool>()), 1..400),
    ) {
        let terms = Terms { ratio: 0.2, window_ms: 10_000, slack: 40.0, instances: 4 };
        let mut budgets = vec![SharedBudget::default(); 4];
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (instance, pause, is_repeat) in sends {
            now += pause;
            if is_repeat {
                if budgets[instance].spend(now, &terms) {
                    repeats.push(now);
                }
            } else {
                budgets[instance].request(now, &terms);
                requests.push(now);
            }
            let count = |times: &[u64]| {
                times.iter().filter(|it| now < **it + terms.window_ms).count() as f64
            };
            let allowed = terms.ratio * count(&requests) + terms.slack;
            prop_assert!(count(&repeats) <= allowed);
        }
    }
}

#[test]
fn a_ledger_closes_only_if_no_call_may_have_run() {
    let ledger = Ledger::new();
    let own = OwnAnswer::check(Some("r-1"), Some("r-1")).unwrap();
    ledger.begin().unwrap().declined(&own);
    ledger.begin().unwrap().never_sent();
    assert!(ledger.close().is_ok());
    let ledger = Ledger::new();
    ledger.begin().unwrap().declined(&own);
    drop(ledger.begin().unwrap());
    assert!(ledger.close().is_err(), "one call may have run");
}

#[test]
fn an_answer_without_the_id_of_its_call_proves_nothing() {
    assert!(OwnAnswer::check(Some("r-1"), Some("r-2")).is_none());
    assert!(OwnAnswer::check(Some("r-1"), None).is_none());
    assert!(OwnAnswer::check(None, Some("r-2")).is_none());
    assert!(OwnAnswer::check(Some("r-1"), Some("r-1")).is_some());
}

#[test]
fn requests_with_the_same_shared_parts_have_one_affinity() {
    let part = |id, tokens| Part { id, tokens };
    let prompt = |parts: Vec<Part>| Prompt { parts, tokens_in: 500, ..Prompt::default() };
    let one = prompt(vec![part(1, 100), part(2, 200), part(3, 50)]);
    let two = prompt(vec![part(1, 100), part(2, 200), part(4, 70)]);
    assert_eq!(one.affinity(), two.affinity());
    assert_eq!((one.shared_tokens(), one.tokens_to_read()), (300, 500));
    assert_eq!(prompt(vec![part(9, 10)]).affinity(), None);
    assert_eq!(prompt(Vec::new()).shared_tokens(), 0);
}

#[test]
fn a_long_recent_time_decays_without_new_measurements() {
    let mut time = RecentTime::default();
    assert_eq!(time.get(1000, 300), 300);
    (0..40).for_each(|it| time.record(1000 + it, 4000));
    assert!((3900..=4000).contains(&time.get(1040, 300)));
    assert!(time.get(9000, 300) < 310, "else the requests it rejects would be rejected for good");
}

#[test]
fn instances_with_the_same_members_choose_the_same_readers() {
    let names: Vec<String> = (0..74).map(|it| format!("n-{it}")).collect();
    let members: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen = sources(&members);
    assert_eq!(chosen.len(), 4, "one per 24 members");
    let shuffled: Vec<&str> = members.iter().rev().copied().collect();
    assert!(sources(&shuffled).iter().all(|it| chosen.contains(it)));
    assert_eq!(readers(&members).len(), 3, "for any number of members");
    assert!(readers(&members).iter().all(|it| chosen.contains(it)));
    assert!(readers(&shuffled).iter().all(|it| readers(&members).contains(it)));
    assert_eq!((readers(&members[..2]).len(), sources(&members[..2]).len()), (2, 2));
    // Without one of them, the others stay.
    let rest: Vec<&str> = members.iter().copied().filter(|it| *it != chosen[0]).collect();
    let after = sources(&rest);
    assert!(chosen[1..].iter().all(|it| after.contains(it)));
    let mut read = readers(&members).into_iter().filter(|it| *it != chosen[0]);
    assert!(read.all(|it| readers(&rest).contains(&it)));
    assert!(!order_for(chosen[1], &chosen).contains(&chosen[1]));
    let firsts: HashSet<&str> =
        members.iter().filter_map(|it| order_for(it, &chosen).first().copied()).collect();
    assert_eq!(firsts.len(), 4, "followers are spread over the sources");
}

#[test]
fn a_change_log_returns_every_change_or_reports_a_gap() {
    let mut log = ChangeLog::new(3);
    assert_eq!(log.since(0), Some(Vec::new()));
    for change in 0..5 {
        log.push(change);
    }
    assert_eq!(log.end(), 5);
    assert_eq!(log.since(5), Some(Vec::new()));
    assert_eq!(log.since(2), Some(vec![2, 3, 4]));
    assert_eq!(log.since(1), None, "the first of these changes is no longer kept");
    assert_eq!(log.since(6), None, "another log's position");
}

#[test]
fn a_lapsed_entry_is_kept_until_it_expires_or_returns() {
    let named = |id: &str, sequence| TargetInstance { id: id.into(), ..entry(sequence, false) };
    let mut directory = Directory::default();
    let whole = |directory: &Directory| {
        directory.all().map(|it| it.id.clone()).collect::<Vec<_>>().join(" ")
    };
    for id in ["a", "b", "c"] {
        directory.put(0, named(id, 1));
    }
    directory.mark_draining("c", None);
    for id in ["a", "b", "c"] {
        directory.lapse(id, 100);
    }
    assert_eq!(whole(&directory), "a b", "a draining target is removed at once");
    directory.put(0, named("a", 2));
    assert_eq!(directory.expire(99), Vec::<String>::new());
    assert_eq!(directory.expire(100), vec!["b".to_owned()]);
    assert_eq!(whole(&directory), "a");
}

#[test]
fn directories_that_agree_have_one_digest() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.put(0, entry(1, false));
    other.put(0, entry(7, false));
    assert_eq!(one.digest(), other.digest(), "sequence numbers are ignored");
    other.mark_draining("i", None);
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn a_request_is_assigned_one_arm_of_the_trial_on_its_route() {
    let mut experiments = Experiments::default();
    let trial = br#"{ "pipeline": "safe", "arms": [
        { "name": "one", "policy": "p" }, { "name": "two", "policy": "q", "weight": 3 } ] }"#;
    experiments.set("trials/t", Some(trial)).unwrap();
    experiments.set("policies/p", Some(br#"{ "route": "random" }"#)).unwrap();
    assert_eq!(experiments.arm_for("other", "r-1"), None);
    let arms: Vec<_> =
        (0..400).filter_map(|it| experiments.arm_for("safe", &format!("r-{it}"))).collect();
    assert_eq!(arms.len(), 400);
    assert_eq!(experiments.arm_for("safe", "r-7").as_ref(), Some(&arms[7]));
    let ones = arms.iter().filter(|it| it.arm == "one").count();
    assert!((60..140).contains(&ones), "{ones} of 400 for a weight of one in four");
    assert!(experiments.policy("p").is_some());
    assert!(experiments.policy("q").is_none());
    // An invalid document changes nothing.
    assert!(experiments.set("policies/p", Some(br#"{ "route": "sideways" }"#)).is_err());
    assert!(experiments.set("pools/p", Some(b"{}")).is_err());
    assert!(experiments.policy("p").is_some());
    experiments.set("trials/t", None).unwrap();
    assert_eq!(experiments.arm_for("safe", "r-7"), None);
}

#[test]
fn shared_work_goes_to_instances_close_to_the_strongest() {
    let of = |millicores, link_mbps| Capacity { millicores, link_mbps };
    let members =
        [("a", of(120, 10)), ("b", of(500, 200)), ("c", of(120, 200)), ("d", of(400, 150))];
    assert_eq!(strong(&members), ["b", "d"]);
    // The best processor and the best link are at different instances.
    assert_eq!(strong(&[("a", of(500, 10)), ("b", of(100, 200)), ("c", of(20, 10))]), ["b"]);
    // An instance that states no capacity is skipped; if none states any, all are chosen.
    assert_eq!(strong(&[("a", of(0, 0)), ("b", of(250, 1000))]), ["b"]);
    assert_eq!(strong(&[("a", of(0, 0)), ("b", of(0, 0))]), ["a", "b"]);
    assert!(strong(&[]).is_empty());
}

/// The connection limit of a target is for all instances together.
#[test]
fn idle_connections_stay_within_the_target_limit() {
    for instances in [1, 8, 100, 1000, 2000] {
        for max_connections in [1, 51, 2100] {
            let (cold, engine, batches) = (None, None, None);
            let service = Service { name: "s".to_owned(), max_connections, cold, engine, batches };
            let all = instances * service.idle_connections(instances);
            assert!(all <= max_connections as usize, "{instances}, {max_connections}: {all}");
            assert!(instances < 8 || max_connections < 2 * 51 || 0 < all);
        }
    }
}
