//! Settings are checked whole, and each fault is told with its place and remedy.

use std::time::Duration;

use papayayard::settings::Settings;
use papayayard_document::fault;
use papayayard_routing::choice;
use rstest::rstest;

const WHOLE: &str = include_str!("fixtures/settings.yaml");
const FJORDTAKT: &str = include_str!("../../../examples/fjordtakt-host.yaml");
const HALVORSEN: &str = include_str!("../../../examples/halvorsen-host.yaml");

fn read(text: &str) -> Settings {
    Settings::parse(text).unwrap_or_else(|faults| panic!("{}", fault::lines(&faults)))
}

#[test]
fn every_key_is_read() {
    let settings = read(WHOLE);
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.zone.as_str(), "bergen-a");
    assert_eq!(settings.listen.operators.port(), 8082);
    assert_eq!(settings.platform.directory.port(), 9091);
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.peer_secret.0, "0123456789abcdef");
    assert_eq!(settings.policy, choice::Name::Rendezvous);
    assert_eq!(settings.limits.body_bytes, 1_000_000);
    assert_eq!(settings.limits.header_bytes, 16_384);
    assert_eq!(settings.limits.send, Duration::from_secs(5));
    assert_eq!(settings.periods.directory, Duration::from_millis(100));
    assert_eq!(settings.periods.report, Duration::from_millis(200));
    assert_eq!(settings.periods.events, Duration::from_millis(300));
    assert_eq!(settings.periods.peers, Duration::from_millis(400));
    assert_eq!(
        settings.periods.platform_timeout,
        Duration::from_millis(500)
    );
    assert_eq!(settings.stop_grace, Duration::from_millis(600));
}

#[rstest]
#[case::fjordtakt(FJORDTAKT, "bergen-a")]
#[case::halvorsen(HALVORSEN, "sound-west-a")]
fn examples_have_no_fault(#[case] text: &str, #[case] zone: &str) {
    let settings = read(text);
    assert_eq!(settings.zone.as_str(), zone);
    assert_eq!(settings.policy, choice::Name::Papayayard);
}

#[test]
fn written_settings_are_read_again() {
    let text = serde_saphyr::to_string(&read(WHOLE)).expect("settings can be written");
    assert_eq!(format!("{:?}", read(&text)), format!("{:?}", read(WHOLE)));
}

#[rstest]
#[case::unknown_key("host: entry-1", "host: entry-1\nregion: west", (2, "region"), "unknown key", "one of: host, zone")]
#[case::unknown_key_below("send_ms: 5000", "send_ms: 5000\n  open: 3", (19, "limits.open"), "unknown key", "body_bytes")]
#[case::key_twice("zone: bergen-a", "zone: bergen-a\nzone: bergen-b", (3, "zone"), "duplicate key", "remove one")]
#[case::missing("zone: bergen-a\n", "", (1, "zone"), "is missing", "add the key")]
#[case::host_name("host: entry-1", "host: \"entry\\r\\nx: 1\"", (1, "host"), "is not a valid name", "letter or digit")]
#[case::name_of_a_machine("10.0.0.1:8080", "localhost:8080", (4, "listen.callers"), "not a valid address", "an IP address and a port")]
#[case::no_port("10.0.0.1:8080", "10.0.0.1", (4, "listen.callers"), "not a valid address", "an IP address and a port")]
#[case::port_twice("10.0.0.1:8081", "10.0.0.1:8080", (5, "listen.peers"), "already used by listen.callers", "a port of its own")]
#[case::platform_port("10.0.9.9:9090", "10.0.9.9:0", (8, "platform.log"), "cannot be connected to", "of the other side")]
#[case::platform_address("10.0.9.9:9090", "0.0.0.0:9090", (8, "platform.log"), "cannot be connected to", "of the other side")]
#[case::peer_twice("10.0.0.3:8081", "10.0.0.2:8081", (12, "peers[1]"), "already used by peers[0]", "each peer once")]
#[case::short_secret("0123456789abcdef", "0123456789abcde", (13, "peer_secret"), "too short", "at least 16")]
#[case::secret_with_a_space("0123456789abcdef", "0123456789 abcdef", (13, "peer_secret"), "other characters", "at least 16")]
#[case::policy("policy: rendezvous", "policy: fastest", (14, "policy"), "not an allowed value", "round-robin, least-loaded, rendezvous, papayayard")]
#[case::oracle("policy: rendezvous", "policy: oracle", (14, "policy"), "not an allowed value", "rendezvous")]
#[case::empty_body("body_bytes: 1000000", "body_bytes: 0", (16, "limits.body_bytes"), "out of range", "from 1 to")]
#[case::small_headers("header_bytes: 16384", "header_bytes: 8191", (17, "limits.header_bytes"), "out of range", "from 8192")]
#[case::no_time_to_send("send_ms: 5000", "send_ms: 0", (18, "limits.send_ms"), "out of range", "from 1 to")]
#[case::no_period("report_ms: 200", "report_ms: 0", (21, "periods.report_ms"), "out of range", "from 1 to")]
#[case::negative_grace("stop_grace_ms: 600", "stop_grace_ms: -1", (25, "stop_grace_ms"), "out of range", "from 0 to")]
fn faults(
    #[case] from: &str,
    #[case] to: &str,
    #[case] place: (usize, &str),
    #[case] problem: &str,
    #[case] remedy: &str,
) {
    assert!(WHOLE.contains(from), "{from:?} is not in the fixture");
    let found = Settings::parse(&WHOLE.replacen(from, to, 1)).expect_err("there is a fault");
    let [fault] = found.as_slice() else {
        panic!("one fault, not {found:#?}");
    };
    assert_eq!(
        (fault.line, fault.key.as_str()),
        (Some(place.0), place.1),
        "{fault}"
    );
    assert!(fault.problem.contains(problem), "{fault}");
    assert!(fault.remedy.contains(remedy), "{fault}");
}

#[test]
fn every_fault_is_listed_at_once() {
    let text = WHOLE
        .replace("host: entry-1", "host: entry 1")
        .replace("10.0.9.9:9090", "log-service")
        .replace("report_ms: 200", "report_ms: often");
    let found = Settings::parse(&text).expect_err("there are faults");
    let keys: Vec<&str> = found.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["host", "platform.log", "periods.report_ms"]);
}

#[test]
fn no_fault_shows_the_secret() {
    let text = WHOLE.replace("0123456789abcdef", "hush");
    let found = Settings::parse(&text).expect_err("the secret is short");
    assert!(!fault::lines(&found).contains("hush"));
}
