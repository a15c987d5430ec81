//! Valid documents are decoded into their types.

use papayayard_document::document::{Document, Fencing, Kind};
use rstest::rstest;

const SMALL: &str = include_str!("fixtures/small.yaml");

#[test]
fn every_key_is_read() {
    let document = Document::parse(SMALL).expect("the document has no fault");
    assert_eq!(document.block.bytes(), 2048);
    let [city, voss] = document.accounts.as_slice() else {
        panic!("two accounts, not {:?}", document.accounts);
    };
    assert_eq!((city.priority, city.weight), (0, 1));
    assert_eq!((voss.priority, voss.weight), (1, 2));
    assert_eq!((voss.requests_per_second, voss.open_requests), (20, 10));
    assert_eq!(voss.key_digests, ["2".repeat(64)]);
    assert_eq!(document.services[0].replicas, 18);
    let Kind::Model(model) = &document.services[0].kind else {
        panic!("match-llm is a model service");
    };
    assert_eq!(model.name.as_str(), "match");
    assert_eq!(model.version.as_str(), "1.10");
    assert_eq!(model.adapters.len(), 2);
    assert_eq!((model.loads_at_once, model.first_token_ms), (3, 1400));
    assert_eq!(model.fencing, Fencing::Checked);
    let Kind::Plain(plain) = &document.services[1].kind else {
        panic!("studio-app is a plain service");
    };
    assert_eq!(plain.timeout_ms, 2000);
    let idempotent: Vec<bool> = plain.routes.iter().map(|route| route.idempotent).collect();
    assert_eq!(idempotent, [true, false]);
}

#[rstest]
#[case::service_named_like_the_product("name: studio-app", "name: papayayard")]
#[case::account_named_like_the_product("id: voss", "id: papayayard")]
#[case::model_with_parts("name: match\n", "name: fjordtakt/match\n")]
#[case::same_word_for_service_and_model("name: match\n", "name: match-llm\n")]
#[case::quoted_name("name: match\n", "name: 'match'\n")]
#[case::route_of_the_whole_service("path: /schedule", "path: /")]
#[case::no_routes(
    "      routes:\n        - { method: GET, path: /schedule, idempotent: true }\n        - { method: POST, path: /bookings, idempotent: false }\n",
    ""
)]
#[case::comment("format: 1", "# trial and production\nformat: 1 # the first")]
#[case::lengths_in_tokens("unit: byte", "unit: token")]
#[case::windows_line_ends("\n", "\r\n")]
fn accepted(#[case] from: &str, #[case] to: &str) {
    assert!(SMALL.contains(from), "{from:?} is not in the fixture");
    let text = SMALL.replace(from, to);
    Document::parse(&text).unwrap_or_else(|faults| panic!("{faults:#?}"));
}
