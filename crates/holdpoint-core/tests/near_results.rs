//! Where a prompt is read whose inputs lie in one failure domain.

use holdpoint_core::{
    cold::Share,
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
        // Each has shown that it reads 50 tokens in a millisecond.
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
    }
}

#[test]
fn a_prompt_is_read_in_the_failure_domain_of_its_large_inputs() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for prefix in 0..40 {
        let mut router = router();
        let inputs = [("d-1".to_owned(), 30_000_000), ("d-2".to_owned(), 3_000_000)];
        let choice = router.choose(10, &POLICY, &prompt(prefix, &inputs), &mut rng).unwrap();
        assert_eq!(domain_of(&choice.address), "d-1");
    }
}

#[test]
fn small_inputs_leave_a_prompt_where_its_prefix_is() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for prefix in 0..40 {
        let home = router().choose(10, &POLICY, &prompt(prefix, &[]), &mut rng).unwrap();
        let inputs = [("d-1".to_owned(), 100_000)];
        let choice = router().choose(10, &POLICY, &prompt(prefix, &inputs), &mut rng).unwrap();
        assert_eq!(choice.address, home.address);
    }
}
