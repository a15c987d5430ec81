//! Parsing arbitrary text is deterministic and yields a document or a list of
//! faults, without a panic.

use papayayard_document::document::Document;
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::Config;
use rstest::rstest;

/// Nesting depth beyond that of any sound document.
const DEPTH: usize = 100_000;

const SMALL: &str = include_str!("fixtures/small.yaml");

/// Generates a valid document with a few passages replaced.
fn damaged() -> impl Strategy<Value = String> {
    let passage = prop_oneof![
        Just(String::new()),
        Just("\n".to_owned()),
        Just("  - ".to_owned()),
        Just("{".to_owned()),
        Just("*a".to_owned()),
        Just("&a ".to_owned()),
        Just("? ".to_owned()),
        Just("---\n".to_owned()),
        "\\PC{0,8}",
    ];
    let damage = (0..SMALL.len(), 0..16_usize, passage);
    proptest::collection::vec(damage, 1..6).prop_map(|damages| {
        let mut text = SMALL.as_bytes().to_vec();
        for (start, length, passage) in damages {
            let start = start.min(text.len());
            let end = (start + length).min(text.len());
            text.splice(start..end, passage.bytes());
        }
        String::from_utf8_lossy(&text).into_owned()
    })
}

fn check(text: &str) -> Result<(), proptest::test_runner::TestCaseError> {
    let first = Document::parse(text);
    if let Err(faults) = &first {
        prop_assert!(!faults.is_empty(), "refused without a fault");
        prop_assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
    }
    prop_assert_eq!(first, Document::parse(text));
    Ok(())
}

/// A document from the log may be as long as the log takes it.
#[rstest]
#[case::lists("[")]
#[case::mappings("{a: ")]
#[case::block_lists("- ")]
#[case::block_keys("? ")]
fn a_deeply_nested_document_is_refused(#[case] level: &str) {
    let faults = Document::parse(&level.repeat(DEPTH)).expect_err("a fault");
    assert_eq!(faults.len(), 1);
}

proptest! {
    #![proptest_config(Config { cases: 1000, failure_persistence: None, ..Config::default() })]

    #[test]
    fn damaged_documents(text in damaged()) {
        check(&text)?;
    }

    #[test]
    fn any_text(text in any::<String>()) {
        check(&text)?;
    }
}
