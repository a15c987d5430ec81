//! Different scopes never share a salt, and therefore never a block.

use std::collections::HashSet;

use papayayard_routing::salt;
use papayayard_wire::{block, id};
use proptest::prelude::*;
use rstest::rstest;

type Parts = (String, String, String, Option<String>, String);

fn compute(parts: &Parts) -> block::Salt {
    let (account, service, model, adapter, version) = parts;
    let adapter = adapter.as_deref().map(id::Adapter::from);
    salt::compute(&salt::Scope {
        account: &account.as_str().into(),
        service: &service.as_str().into(),
        model: &model.as_str().into(),
        adapter: adapter.as_ref(),
        version: &version.as_str().into(),
    })
}

fn parts() -> impl Strategy<Value = Parts> {
    let text = "[ab]{0,3}";
    (text, text, text, proptest::option::of(text), text)
}

fn named(parts: [&str; 4], adapter: Option<&str>) -> block::Salt {
    let [account, service, model, version] = parts.map(String::from);
    let adapter = adapter.map(String::from);
    compute(&(account, service, model, adapter, version))
}

#[rstest]
#[case::account(["x", "s", "m", "v"], Some("l"))]
#[case::service(["a", "x", "m", "v"], Some("l"))]
#[case::model(["a", "s", "x", "v"], Some("l"))]
#[case::version(["a", "s", "m", "x"], Some("l"))]
#[case::adapter(["a", "s", "m", "v"], Some("x"))]
#[case::empty_adapter(["a", "s", "m", "v"], Some(""))]
#[case::no_adapter(["a", "s", "m", "v"], None)]
#[case::parts_run_together(["as", "", "m", "v"], Some("l"))]
fn each_part_of_the_scope_counts(#[case] parts: [&str; 4], #[case] adapter: Option<&str>) {
    let base = named(["a", "s", "m", "v"], Some("l"));
    assert_ne!(named(parts, adapter), base);
    let absent = named(["a", "s", "m", "v"], None);
    if adapter.is_some() {
        assert_ne!(named(parts, adapter), absent);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn salts_are_equal_only_for_equal_scopes(left in parts(), right in parts()) {
        prop_assert_eq!(compute(&left) == compute(&right), left == right);
    }

    #[test]
    fn one_prompt_in_two_scopes_shares_no_key(
        left in parts(),
        right in parts(),
        prompt in proptest::collection::vec(any::<u8>(), 64..256),
    ) {
        prop_assume!(left != right);
        let keys = |parts: &Parts| {
            let mut chain = block::Chain::new(compute(parts), 32);
            chain.push(&prompt);
            chain.finish()
        };
        let ours: HashSet<_> = keys(&left).into_iter().collect();
        prop_assert!(keys(&right).iter().all(|key| !ours.contains(key)));
    }
}
