use std::time::Duration;

use http::HeaderValue;
use rstest::rstest;

use super::Allowance;

const ATTEMPTS: u32 = 3;

/// Guards against runs that are lost or added between hosts.
#[rstest]
#[case::all(Allowance::all(2))]
#[case::single(Allowance::single(3, Duration::from_millis(1500)))]
fn what_a_host_hands_over_is_read_alike(#[case] allowance: Allowance) {
    let value = allowance.encode();
    assert_eq!(Allowance::decode(Some(&value), ATTEMPTS), allowance);
}

/// Guards against more runs than the route allows, or more than a host counts that hands over
/// nothing readable.
#[rstest]
#[case::absent(None, Allowance::all(1))]
#[case::zero(Some("0 2 9"), Allowance::all(1))]
#[case::fewer_in_all(Some("2 1 9"), Allowance::all(1))]
#[case::short(Some("2 2"), Allowance::all(1))]
#[case::long(Some("2 2 0 0"), Allowance::all(1))]
#[case::negative(Some("-1 2 0"), Allowance::all(1))]
#[case::text(Some("many"), Allowance::all(1))]
#[case::beyond_the_route(Some("9 9 0"), Allowance::all(ATTEMPTS))]
fn a_host_uses_no_more_runs_than_it_may(
    #[case] value: Option<&'static str>,
    #[case] expected: Allowance,
) {
    let value = value.map(HeaderValue::from_static);
    assert_eq!(Allowance::decode(value.as_ref(), ATTEMPTS), expected);
}

/// Guards against a stream that goes on at this host although another one may have begun it.
#[test]
fn a_stream_uses_the_rest_only_if_it_has_begun_in_time() {
    let within = Duration::from_millis(1500);
    let single = Allowance::single(2, within);
    assert_eq!(single.of_stream(within).runs, 2);
    assert_eq!(single.of_stream(within + Duration::from_millis(1)).runs, 1);
    assert_eq!(Allowance::all(2).of_stream(within).runs, 2);
}
