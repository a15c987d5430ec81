//! Which requests share cached parts of prompts, over any order of configurations.

use std::collections::HashSet;

use papayayard_routing::prompt;
use papayayard_routing::sharing::Group;
use papayayard_routing::table::{Account, Accounts};
use papayayard_wire::id;
use proptest::prelude::*;
use rstest::rstest;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Accounts of a configuration, of which each is isolated or not.
fn accounts(isolated: &[bool]) -> Vec<Account> {
    let pairs = NAMES.iter().zip(isolated);
    let accounts = pairs.map(|(name, isolated)| Account {
        name: id::Account::from(*name),
        priority: None,
        isolated: *isolated,
        quota: None,
    });
    accounts.collect()
}

fn group(accounts: &[Account], name: &str) -> Group {
    let table = Accounts::new(
        accounts
            .iter()
            .cloned()
            .map(|account| (account, Vec::new())),
    );
    let account = accounts
        .iter()
        .find(|account| account.name.as_str() == name);
    table.group(account)
}

fn names(names: &[&str]) -> Vec<id::Account> {
    names.iter().map(|name| id::Account::from(*name)).collect()
}

proptest! {
    /// Guards against parts that an account shared before it became isolated, however often it
    /// is isolated and freed.
    #[test]
    fn an_isolated_account_shares_nothing_that_was_ever_made(
        configurations in prop::collection::vec(prop::array::uniform4(any::<bool>()), 1..12)
    ) {
        let mut makers: HashSet<(Group, &str)> = HashSet::new();
        for isolated in configurations {
            let accounts = accounts(&isolated);
            let is_isolated = |name: &str| {
                accounts.iter().any(|account| account.name.as_str() == name && account.isolated)
            };
            for name in NAMES {
                let group = group(&accounts, name);
                for (_, maker) in makers.iter().filter(|(made, maker)| *made == group && *maker != name) {
                    prop_assert!(!is_isolated(name) && !is_isolated(maker), "{name} and {maker}");
                }
            }
            makers.extend(NAMES.map(|name| (group(&accounts, name), name)));
        }
    }

    /// What callers keep: all others share, on each host, as before a change that isolates none.
    #[test]
    fn all_others_share(isolated in prop::array::uniform4(any::<bool>())) {
        let accounts = accounts(&isolated);
        let mut reversed = accounts.clone();
        reversed.reverse();
        let others = accounts.iter().filter(|account| !account.isolated);
        let groups: HashSet<Group> = others
            .flat_map(|account| [group(&accounts, account.name.as_str()), group(&reversed, account.name.as_str())])
            .collect();
        prop_assert!(groups.len() <= 1);
    }
}

/// A request that was admitted before its account was isolated, or freed, shares with none.
#[rstest]
#[case::isolated_meanwhile(false, true)]
#[case::freed_meanwhile(true, false)]
fn isolation_counts_in_either_configuration(#[case] before: bool, #[case] after: bool) {
    let admitted = &accounts(&[before, false, false, false])[0];
    let now = accounts(&[after, false, false, false]);
    let table = Accounts::new(now.into_iter().map(|account| (account, Vec::new())));
    assert_eq!(
        table.group(Some(admitted)),
        Group::of_account(&admitted.name)
    );
}

/// Names with separators cannot spell another group or salt.
#[rstest]
#[case::one_account_or_two(&["a", "b"], &["ab"])]
#[case::moved_boundary(&["a", "bc"], &["ab", "c"])]
#[case::separator(&["a/b"], &["a", "b"])]
#[case::empty(&[""], &[])]
fn names_do_not_run_together(#[case] left: &[&str], #[case] right: &[&str]) {
    assert_ne!(
        Group::of_others(&names(left)),
        Group::of_others(&names(right))
    );
    let alone = id::Account::from(left[0]);
    assert_ne!(Group::of_account(&alone), Group::of_others([&alone]));
}

#[test]
fn salts_of_models_with_separators_differ() {
    let group = Group::default();
    let account = Group::of_account(&id::Account::from("2"));
    let models = ["m", "m/1", "1/m", "m/1/2"];
    let salts: HashSet<String> = models
        .into_iter()
        .flat_map(|model| {
            let model = id::Model::from(model);
            [1, 2, 11]
                .map(|version| [group, account].map(|group| prompt::salt(&model, version, group)))
        })
        .flatten()
        .collect();
    assert_eq!(salts.len(), models.len() * 3 * 2);
}
