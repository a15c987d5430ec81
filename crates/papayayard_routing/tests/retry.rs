//! Retries: which requests may run twice, and how far a fault is multiplied.

use papayayard_routing::retry::{Budget, Denial, Failure, Settings};
use papayayard_wire::{id, refusal};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rstest::rstest;

#[rstest]
#[case(refusal::Ran::No, false, 1, Ok(()))]
#[case(refusal::Ran::No, true, 1, Ok(()))]
#[case(refusal::Ran::Unknown, true, 1, Ok(()))]
#[case(refusal::Ran::Yes, true, 1, Ok(()))]
#[case(refusal::Ran::Unknown, false, 1, Err(Denial::MayHaveRun))]
#[case(refusal::Ran::Yes, false, 1, Err(Denial::MayHaveRun))]
#[case(refusal::Ran::No, true, 3, Err(Denial::Attempts))]
fn only_requests_that_may_run_again_are_retried(
    #[case] ran: refusal::Ran,
    #[case] idempotent: bool,
    #[case] attempts: u32,
    #[case] expected: Result<(), Denial>,
) {
    let failure = Failure {
        ran,
        idempotent,
        attempts,
    };
    let mut budget = Budget::new(Settings::default());
    let decided = budget.retry(&"s".into(), &"a".into(), failure);
    assert_eq!(decided, expected);
}

#[test]
fn retries_stay_below_reserve_and_fraction_of_successes() {
    let settings = Settings::default();
    let service = id::Service::from("s");
    let accounts = ["a", "b"].map(id::Account::from);
    let failure = Failure {
        ran: refusal::Ran::No,
        idempotent: true,
        attempts: 1,
    };
    for seed in 0..1_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = Budget::new(settings);
        let mut retries = [0_u32; 2];
        let mut successes = [0_u32; 2];
        let failing = rng.next_u32() % 100;
        for _ in 0..500 {
            let at = rng.next_u32() as usize % 2;
            if rng.next_u32() % 100 < failing {
                let decided = budget.retry(&service, &accounts[at], failure);
                retries[at] += u32::from(decided.is_ok());
            } else {
                budget.record_success(&service, &accounts[at]);
                successes[at] += 1;
            }
            let bound = settings.reserve + f64::from(successes[at]) * settings.per_success;
            assert!(f64::from(retries[at]) <= bound + 1e-9, "seed {seed}");
        }
    }
}
