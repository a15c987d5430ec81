//! Deterministic generation.

use std::collections::HashSet;

use papayayard_stand_in::generate::{self, Digest, TOKEN_BYTES};
use papayayard_wire::completion::Request;
use rstest::rstest;

#[rstest]
#[case::text(r#"{"model":"m","prompt":"ab"}"#, b"ab")]
#[case::chat(
    r#"{"model":"m","messages":[{"role":"user","content":"ab"}]}"#,
    b"user\nab\n"
)]
#[case::tokens(r#"{"model":"m","prompt":[1,2]}"#, &[1, 0, 0, 0, 2, 0, 0, 0])]
fn the_digest_is_that_of_the_prompts_bytes(#[case] body: &str, #[case] bytes: &[u8]) {
    let request: Request<'_> = serde_json::from_str(body).unwrap();
    assert_eq!(Digest::of_prompt(&request), Digest::of_body(bytes));
}

#[test]
fn parts_join_into_the_whole() {
    let digest = Digest(7);
    for middle in 0..=20 {
        let joined = generate::text(digest, 0, middle) + &generate::text(digest, middle, 20);
        assert_eq!(joined, generate::text(digest, 0, 20));
    }
}

#[test]
fn another_prompt_or_position_gives_another_text() {
    let texts: HashSet<String> = (0..100)
        .flat_map(|digest| [0, 4, 8].map(|from| generate::text(Digest(digest), from, from + 4)))
        .collect();
    assert_eq!(texts.len(), 300);
}

#[rstest]
#[case::none(0, 0)]
#[case::part(1, 1)]
#[case::whole(4, 1)]
#[case::more(5, 2)]
fn a_token_of_a_prompt_is_a_fixed_number_of_bytes(#[case] bytes: usize, #[case] tokens: u64) {
    assert_eq!(generate::tokens(bytes), tokens);
    assert_eq!(generate::text(Digest(1), 0, 3).len(), 3 * TOKEN_BYTES);
}
