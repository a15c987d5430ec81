//! Reading of a host's settings: defaults, and the key named in each fault.

use std::time::Duration;

use papayayard_coordination::quota::Tolerance;
use papayayard_gateway::settings;
use rstest::rstest;

const GOOD: &str = r#"
host: entry-1
zone: a
listen: { callers: "10.0.0.1:80", operators: "10.0.0.1:81", peers: "10.0.0.1:82" }
seeds: ["10.0.0.2:82", "10.0.0.3:82"]
capacity: 0.25
memory_mb: 110.5
store: "10.0.0.9:80"
bounds:
  strict_revocation: true
  revocation_ms: 5000
  configuration_ms: 3000
  old_weights_ms: 12000
  repeat_ratio: 0.2
  repeat_slack: 58
  quota_window_ms: 8e3
  quota_ratio: 0.125
  quota_slack: 110000
first_start: true
"#;

#[test]
fn settings_are_read() {
    let settings = settings::parse(GOOD).expect("settings");
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.bounds.revocation, Some(Duration::from_secs(5)));
    assert_eq!(settings.bounds.configuration, Duration::from_secs(3));
    assert_eq!(settings.bounds.old_weights, Duration::from_secs(12));
    assert_eq!(settings.bounds.lease, Duration::from_secs(3), "the default");
    assert_eq!(settings.capacity, 250);
    assert_eq!(settings.memory_bytes, 110_500_000);
    assert_eq!(settings.seeds.len(), 2);
}

/// Guards against tolerances of quotas that are not those of the settings, or of another unit.
#[test]
fn settings_of_quotas_are_read() {
    let settings = settings::parse(GOOD).expect("settings");
    let tolerance = Tolerance {
        window: Duration::from_secs(8),
        ratio: 0.125,
        slack: 110_000.0,
    };
    assert_eq!(settings.bounds.quotas, tolerance);
    assert!(settings.first_start);
}

/// Guards against hosts that start with full buckets, or exceed quotas, without being told so.
#[test]
fn quotas_are_exact_by_default() {
    let (head, _) = GOOD.split_once("  quota_window_ms").expect("a setting");
    let settings = settings::parse(head).expect("settings");
    let tolerance = Tolerance {
        window: Duration::from_secs(8),
        ratio: 0.0,
        slack: 0.0,
    };
    assert_eq!(settings.bounds.quotas, tolerance);
    assert!(!settings.first_start);
}

#[rstest]
#[case::as_listened("", "10.0.0.1:82")]
#[case::announced("announced_peers: \"10.9.0.1:82\"\n", "10.9.0.1:82")]
fn hosts_may_announce_another_address(#[case] line: &str, #[case] expected: &str) {
    let settings = settings::parse(&format!("{GOOD}{line}")).expect("settings");
    assert_eq!(settings.announced_peers.to_string(), expected);
}

#[rstest]
#[case::none("", None)]
#[case::one(", forwarded: \"10.0.0.1:83\"", Some("10.0.0.1:83"))]
fn hosts_may_pass_requests_on(#[case] field: &str, #[case] expected: Option<&str>) {
    let peers = "peers: \"10.0.0.1:82\"";
    let text = GOOD.replacen(peers, &format!("{peers}{field}"), 1);
    let settings = settings::parse(&text).expect("settings");
    let forwarded = settings.forwarded.map(|address| address.to_string());
    assert_eq!(forwarded.as_deref(), expected);
}

#[test]
fn without_strict_revocation_there_is_no_bound() {
    let text = GOOD.replace("strict_revocation: true", "strict_revocation: false");
    let settings = settings::parse(&text).expect("settings");
    assert_eq!(settings.bounds.revocation, None);
}

#[rstest]
#[case::no_host("host: entry-1", "", "host")]
#[case::no_address("10.0.0.9:80", "store", "store")]
#[case::negative("58", "-1", "bounds.repeat_slack")]
#[case::no_number("ratio: 0.2", "ratio: many", "bounds.repeat_ratio")]
#[case::too_long("12000", "99999999999", "bounds.old_weights_ms")]
#[case::no_time(
    "configuration_ms: 3000",
    "configuration_ms: soon",
    "bounds.configuration_ms"
)]
#[case::unknown("revocation_ms", "revoke", "bounds.revoke")]
#[case::no_seed("10.0.0.3:82", "three", "seeds[1]")]
#[case::no_forwarded("listen: { ", "listen: { forwarded: there, ", "listen.forwarded")]
#[case::no_announced("capacity: 0.25", "announced_peers: here", "announced_peers")]
#[case::no_memory("110.5", "plenty", "memory_mb")]
#[case::no_window("8e3", "0", "bounds.quota_window_ms")]
#[case::negative_ratio("0.125", "-0.125", "bounds.quota_ratio")]
#[case::infinite_slack("110000", "inf", "bounds.quota_slack")]
#[case::no_flag("first_start: true", "first_start: once", "first_start")]
#[case::not_finite("58", "NaN", "bounds.repeat_slack")]
fn a_fault_names_its_key(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let faults = settings::parse(&GOOD.replacen(from, to, 1)).expect_err("faults");
    assert!(faults.iter().any(|fault| fault.key == key), "{faults:?}");
}
