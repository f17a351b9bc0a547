//! Targets that crash when they have to reject too many requests in a second, and say so in their answers.

mod support;

use std::time::Duration;

use futures::future::join_all;
use holdpoint_adapter_standin::{Behaviour, CallerRequest};

use crate::support::fleet::{Exchange, fleet};

/// Rejections per second that a target can bear.
const LIMIT: u64 = 6;

/// Guards against instances that together send a full target more than it can reject.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejections_by_a_full_target_stay_within_what_it_can_bear() {
    let fleet = fleet(&[Behaviour::Slots(8); 2], &[]).await;
    let targets = &fleet.system.plain;
    targets.iter().for_each(|it| it.set_overload_limit(LIMIT));
    let safe = |_, id: &str| CallerRequest::new(id, "/safe/");
    fleet.send_for(Duration::from_millis(1000), "before", safe).await;
    // Room for one request at a time, while each instance sends as before.
    targets.iter().for_each(|it| it.set_behaviour(Behaviour::Slots(1)));
    let names: Vec<String> = (0..6).map(|it| format!("full-{it}")).collect();
    let sending = names.iter().map(|it| fleet.send_for(Duration::from_millis(4000), it, safe));
    let exchanges: Vec<Exchange> = join_all(sending).await.into_iter().flatten().collect();
    for it in targets {
        let rejected = it.rejected_per_s();
        assert!(rejected <= LIMIT as usize, "{} rejected {rejected} in a second", it.id);
    }
    assert!(exchanges.iter().any(|it| it.is_served()));
}
