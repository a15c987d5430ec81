//! Which statuses answers have.

use papayayard_wire::status;
use rstest::rstest;

#[rstest]
#[case::zero(0, false)]
#[case::interim(100, false)]
#[case::other_protocol(101, false)]
#[case::last_interim(199, false)]
#[case::success(200, true)]
#[case::last_error(599, true)]
#[case::beyond(600, false)]
#[case::last_of_three_digits(999, false)]
fn an_answer_has_a_status_from_200_to_599(#[case] status: u16, #[case] is_final: bool) {
    assert_eq!(status::is_final(status), is_final);
}
