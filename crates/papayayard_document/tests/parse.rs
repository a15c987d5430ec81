//! Documents are read from YAML.

use papayayard_document::document;

const SMALL: &str = "\
format: 1
block: { unit: byte, size: 2048 }
accounts:
  - id: bergen-sentrum
    key_digests: [0000000000000000000000000000000000000000000000000000000000000001]
    requests_per_second: 100
    open_requests: 50
services:
  - name: match-llm
    replicas: 2
    model:
      name: match
      version: '3'
      loads_at_once: 1
      fencing: checked
      first_token_ms: 1400
  - name: studio-app
    replicas: 1
    plain:
      timeout_ms: 2000
      routes:
        - { method: GET, path: /schedule, idempotent: true }
";

#[test]
fn a_small_document_is_read() {
    let document = document::Document::parse(SMALL).expect("the document has no fault");
    assert_eq!(document.block.bytes(), 2048);
    assert_eq!(document.accounts[0].weight, 1);
    assert!(matches!(
        &document.services[0].kind,
        document::Kind::Model(model) if model.version.as_str() == "3"
    ));
    assert!(matches!(
        &document.services[1].kind,
        document::Kind::Plain(plain) if plain.routes[0].idempotent
    ));
}

#[test]
fn a_broken_document_is_refused_with_its_line() {
    let faults = document::Document::parse("format: 1\nblock: [\n").expect_err("it is broken");
    assert!(faults[0].line.is_some(), "{faults:?}");
}
