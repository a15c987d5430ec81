//! The example documents are valid and match the sizes of their deployments.

use papayayard_document::document::{Document, Kind};
use papayayard_document::fault;
use rstest::rstest;

const FJORDTAKT: &str = include_str!("../../../examples/fjordtakt.yaml");
const HALVORSEN: &str = include_str!("../../../examples/halvorsen.yaml");

fn read(text: &str) -> Document {
    Document::parse(text).unwrap_or_else(|faults| panic!("{}", fault::lines(&faults)))
}

#[rstest]
#[case::fjordtakt(FJORDTAKT, "match-llm", 18, 3, &[("prompt-keep", 3), ("studio-app", 3)])]
#[case::halvorsen(HALVORSEN, "tallow", 12, 2, &[("papayayard", 3), ("slipbook", 3)])]
fn sizes(
    #[case] text: &str,
    #[case] model_service: &str,
    #[case] replicas: u32,
    #[case] loads_at_once: u32,
    #[case] plain_services: &[(&str, u32)],
) {
    let document = read(text);
    assert_eq!(document.block.size, 2048);
    assert_eq!(document.accounts.len(), 8);
    let mut plain = Vec::new();
    for service in &document.services {
        match &service.kind {
            Kind::Model(model) => {
                assert_eq!(service.name.as_str(), model_service);
                assert_eq!(service.replicas, replicas);
                assert_eq!(model.loads_at_once, loads_at_once);
            }
            Kind::Plain(_) => plain.push((service.name.as_str(), service.replicas)),
        }
    }
    assert_eq!(plain, plain_services);
}

#[rstest]
#[case::fjordtakt(FJORDTAKT)]
#[case::halvorsen(HALVORSEN)]
fn documents_contain_idempotent_and_other_routes(#[case] text: &str) {
    let document = read(text);
    let routes = document
        .services
        .iter()
        .flat_map(|service| match &service.kind {
            Kind::Plain(plain) => plain.routes.as_slice(),
            Kind::Model(_) => &[],
        });
    let (idempotent, others): (Vec<_>, Vec<_>) = routes.partition(|route| route.idempotent);
    assert!(!idempotent.is_empty());
    assert!(!others.is_empty());
}

#[rstest]
#[case::fjordtakt(FJORDTAKT)]
#[case::halvorsen(HALVORSEN)]
fn key_digests_match_the_documented_example_keys(#[case] text: &str) {
    for account in read(text).accounts {
        let key = format!("{}-example-key", account.id);
        let digest = blake3::hash(key.as_bytes()).to_hex();
        assert_eq!(account.key_digests, [digest.as_str()], "{}", account.id);
    }
}
