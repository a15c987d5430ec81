//! Quotas of client accounts and the cost of requests.

use papayayard_routing::prompt::Prompt;
use papayayard_routing::quota::{Error, Quota, Unit};
use papayayard_wire::id;
use rstest::rstest;

const TOKENS: Unit = Unit::Tokens { plain: 200.0 };

/// A prompt of 900 tokens with an answer of at most 100.
fn prompt() -> Prompt {
    Prompt {
        model: id::Model::from("m"),
        tokens: 900,
        max_output: 100,
        expected_output: Some(10),
        parts: Vec::new(),
    }
}

/// Guards against costs that leave out a part of the declared tokens, or count another unit.
#[rstest]
#[case::prompt(TOKENS, Some(prompt()), 1000.0)]
#[case::no_prompt(TOKENS, None, 200.0)]
#[case::request_with_a_prompt(Unit::Requests, Some(prompt()), 1.0)]
#[case::request_without_a_prompt(Unit::Requests, None, 1.0)]
fn a_request_costs_what_it_declares(
    #[case] unit: Unit,
    #[case] prompt: Option<Prompt>,
    #[case] cost: f64,
) {
    let quota = Quota::new(1.0, 2.0, unit).expect("valid").expect("a limit");
    assert!((quota.cost(prompt.as_ref()) - cost).abs() < f64::EPSILON);
}

/// Guards against accounts without a quota that are refused everything.
#[test]
fn numbers_of_zero_are_no_limit() {
    assert_eq!(Quota::new(0.0, 0.0, TOKENS), Ok(None));
}

/// Guards against quotas that admit everything or nothing by a mistake in the configuration.
#[rstest]
#[case::negative_rate(-1.0, 2.0)]
#[case::negative_burst(1.0, -2.0)]
#[case::infinite_rate(f64::INFINITY, 2.0)]
#[case::infinite_burst(1.0, f64::INFINITY)]
fn numbers_that_are_no_amounts_are_rejected(#[case] per_second: f64, #[case] burst: f64) {
    let quota = Quota::new(per_second, burst, Unit::Requests);
    assert!(matches!(quota, Err(Error::NoAmount { .. })), "{quota:?}");
}

/// Guards against comparisons that let a value through which is no number.
#[test]
fn a_cost_that_is_no_number_is_rejected() {
    let unit = Unit::Tokens { plain: f64::NAN };
    let quota = Quota::new(1.0, 2.0, unit);
    assert!(matches!(quota, Err(Error::NoAmount { .. })), "{quota:?}");
}

/// Guards against quotas that can never be spent, or never be refilled.
#[rstest]
#[case::no_burst(1.0, 0.0, Error::NoBurst { per_second: 1.0 })]
#[case::no_rate(0.0, 2.0, Error::NoRate { burst: 2.0 })]
fn a_rate_and_a_burst_need_each_other(
    #[case] per_second: f64,
    #[case] burst: f64,
    #[case] error: Error,
) {
    assert_eq!(Quota::new(per_second, burst, TOKENS), Err(error));
}
