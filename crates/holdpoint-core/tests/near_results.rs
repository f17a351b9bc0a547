//! Placement of prompts and work items whose inputs lie in one failure domain.

use holdpoint_core::{
    batcher::Batcher,
    cold::Share,
    pieces::{Call as ItemCall, CallEnd, Sizes, Waiting},
    route::{Call, End, Member, Router},
};
use holdpoint_schema::resources::{Policy, Route};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const POLICY: Policy = Policy {
    route: Route::Affinity,
    subset: 100,
    choices: 4,
    report_trust_ms: 400,
    eject_failures: 2,
    eject_ms: 1500,
    eject_floor: 0.3,
    retry_percent: 0,
};

fn router() -> Router {
    let mut router = Router::new("i", "d-0", POLICY);
    let member = |index: usize| Member {
        address: format!("t-{index}"),
        domain: format!("d-{}", index % 3),
        ..Member::default()
    };
    let members: Vec<Member> = (0..12).map(member).collect();
    router.set_members(&members);
    for it in members {
        // Each processes 50 tokens per millisecond.
        router.sent(1, &it.address, &prompt(0, &[]));
        router.ended(1, &it.address, 4000.0, End::Whole(80));
    }
    router
}

fn domain_of(address: &str) -> String {
    let index: usize = address.trim_start_matches("t-").parse().unwrap();
    format!("d-{}", index % 3)
}

fn prompt(prefix: u64, inputs: &[(String, u64)]) -> Call<'_> {
    Call {
        work: 4000.0,
        prefix_work: 300.0,
        prefix: Some(prefix),
        tried: &[],
        cap: u32::MAX,
        share: Share::Whole,
        inputs,
        is_own: true,
        within: None,
    }
}

#[test]
fn a_prompt_goes_to_the_failure_domain_of_its_large_inputs() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for prefix in 1..40 {
        let mut router = router();
        let inputs = [("d-1".to_owned(), 30_000_000), ("d-2".to_owned(), 3_000_000)];
        let choice = router.choose(10, &POLICY, &prompt(prefix, &inputs), &mut rng).unwrap();
        assert_eq!(domain_of(&choice.address), "d-1");
    }
}

#[test]
fn small_inputs_do_not_move_a_prompt_from_its_prefix() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for prefix in 1..40 {
        let home = router().choose(10, &POLICY, &prompt(prefix, &[]), &mut rng).unwrap();
        let inputs = [("d-1".to_owned(), 100_000)];
        let choice = router().choose(10, &POLICY, &prompt(prefix, &inputs), &mut rng).unwrap();
        assert_eq!(choice.address, home.address);
    }
}

/// Offers a service more work items per millisecond than its targets process, with the inputs of half of them in
/// each of two failure domains. Returns how many items were processed, and how many of these in the other domain.
fn surge(targets: &[(&str, &str)], per_ms: f64, ms: u64) -> (usize, usize) {
    let sizes =
        Sizes { calls: 1, pieces: 40, call_ms: 150.0, piece_ms: 1.5, room_bytes: 0, keep_ms: 4000 };
    let mut batcher = Batcher::new(sizes);
    batcher.set_targets(targets.iter().map(|it| (it.0, it.1, false)));
    let (mut running, mut offered): (Vec<(u64, ItemCall)>, u64) = (Vec::new(), 0);
    let (mut processed, mut moved) = (0, 0);
    for now in 1000..1000 + ms {
        while (offered as f64) < (now - 1000) as f64 * per_ms {
            offered += 1;
            let due = now + 500;
            let item = Waiting {
                ticket: offered,
                group: offered,
                due,
                late_due: due + 3000,
                deadline: due + 4000,
                domain: if offered.is_multiple_of(2) { "a" } else { "b" }.to_owned(),
                near_bytes: 480_000,
                ..Waiting::default()
            };
            batcher.offer(now, item);
        }
        for (_, call) in running.extract_if(.., |it| it.0 <= now) {
            let ms = call.sizes.stated_ms(call.pieces.len()) as u64;
            batcher.ended(now, &call, CallEnd::Answered(ms), &[]);
        }
        while let Some(call) = batcher.next(now) {
            let domain = targets.iter().find(|it| it.0 == call.target).unwrap().1;
            processed += call.pieces.len();
            moved += call.pieces.iter().filter(|it| it.domain != domain).count();
            running.push((now + call.sizes.stated_ms(call.pieces.len()) as u64, call));
        }
    }
    (processed, moved)
}

#[test]
fn equally_loaded_domains_exchange_few_items_in_a_surge() {
    // Four targets process 0.76 items per millisecond; 1.0 is offered.
    let (processed, moved) = surge(&[("1", "a"), ("2", "a"), ("3", "b"), ("4", "b")], 1.0, 4000);
    assert!(2700 < processed, "only {processed} processed: targets were idle");
    assert!(moved * 20 < processed, "{moved} of {processed} moved");
}

#[test]
fn a_domain_that_lost_targets_sends_items_to_the_other() {
    // One target processes 0.19 of the 0.35 items per millisecond whose inputs lie in its domain.
    let (processed, moved) = surge(&[("1", "a"), ("2", "b"), ("3", "b"), ("4", "b")], 0.7, 4000);
    assert!(2500 < processed, "{processed} processed");
    assert!(300 < moved, "{moved} of {processed} moved");
}
