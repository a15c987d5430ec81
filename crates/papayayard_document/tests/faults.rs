//! Each fault of a document is reported with its line, key and remedy.

use papayayard_document::document::Document;
use papayayard_document::fault::{Fault, MAX_FAULTS};
use papayayard_document::tree;
use rstest::rstest;

const SMALL: &str = include_str!("fixtures/small.yaml");
const TWOS: &str = "2222222222222222222222222222222222222222222222222222222222222222";
const ONES: &str = "1111111111111111111111111111111111111111111111111111111111111111";
const EMPTY_KEY: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

fn faults(text: &str) -> Vec<Fault> {
    Document::parse(text).expect_err("the document has a fault")
}

/// Replaces `from` by `to` in the fixture and expects exactly one fault.
fn expect_fault(from: &str, to: &str, place: (usize, &str), problem: &str, remedy: &str) {
    assert!(SMALL.contains(from), "{from:?} is not in the fixture");
    let found = faults(&SMALL.replacen(from, to, 1));
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

#[rstest]
#[case::at_the_root("format: 1", "format: 1\nregion: vestland", (2, "region"), "unknown key", "format, block, accounts, services")]
#[case::in_block("size: 2048", "size: 2048\n  count: 2", (5, "block.count"), "unknown key", "unit, size")]
#[case::in_account("weight: 2", "weight: 2\n    colour: red", (18, "accounts[1].colour"), "unknown key", "priority, weight")]
#[case::in_service("replicas: 18", "replicas: 18\n    zone: bergen-a", (21, "services[0].zone"), "unknown key", "model, plain")]
#[case::in_model("fencing: checked", "fencing: checked\n      gpu: 8", (27, "services[0].model.gpu"), "unknown key", "loads_at_once")]
#[case::in_plain("timeout_ms: 2000", "timeout_ms: 2000\n      retries: 3", (32, "services[1].plain.retries"), "unknown key", "routes, timeout_ms")]
#[case::in_route("path: /schedule,", "path: /schedule, cached: true,", (33, "services[1].plain.routes[0].cached"), "unknown key", "method, path, idempotent")]
#[case::merge_key("weight: 2", "weight: 2\n    <<: 3", (18, "accounts[1].<<"), "unknown key", "remove it")]
fn unknown_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] place: (usize, &str),
    #[case] problem: &str,
    #[case] remedy: &str,
) {
    expect_fault(from, to, place, problem, remedy);
}

#[rstest]
#[case::root("format: 1", "format: 1\nformat: 1", (2, "format"))]
#[case::nested("replicas: 18", "replicas: 18\n    replicas: 19", (21, "services[0].replicas"))]
#[case::of_a_mapping("block:", "block: { unit: byte, size: 1 }\nblock:", (3, "block"))]
fn duplicate_key(#[case] from: &str, #[case] to: &str, #[case] place: (usize, &str)) {
    expect_fault(from, to, place, "duplicate key", "remove one of the two");
}

#[rstest]
#[case::format("format: 1\n", "", (1, "format"))]
#[case::block_unit("  unit: byte\n", "", (3, "block.unit"))]
#[case::account_limit("    requests_per_second: 100\n", "", (6, "accounts[0].requests_per_second"))]
#[case::replicas("    replicas: 18\n", "", (19, "services[0].replicas"))]
#[case::model_version("      version: 1.10\n", "", (22, "services[0].model.version"))]
#[case::first_token("      first_token_ms: 1400\n", "", (22, "services[0].model.first_token_ms"))]
#[case::idempotent(", idempotent: true", "", (33, "services[1].plain.routes[0].idempotent"))]
fn missing_key(#[case] from: &str, #[case] to: &str, #[case] place: (usize, &str)) {
    expect_fault(from, to, place, "is missing", "add the key");
}

#[rstest]
#[case::zero_replicas("replicas: 18", "replicas: 0", (20, "services[0].replicas"), "0 is out of range", "from 1 to")]
#[case::zero_block("size: 2048", "size: 0", (4, "block.size"), "0 is out of range", "from 1 to")]
#[case::huge_block("size: 2048", "size: 99999999", (4, "block.size"), "out of range", "to 1048576")]
#[case::negative_rate("requests_per_second: 100", "requests_per_second: -1", (9, "accounts[0].requests_per_second"), "-1 is out of range", "from 1 to")]
#[case::negative_open("open_requests: 50", "open_requests: -50", (10, "accounts[0].open_requests"), "-50 is out of range", "from 1 to")]
#[case::zero_weight("weight: 2", "weight: 0", (17, "accounts[1].weight"), "0 is out of range", "from 1 to")]
#[case::high_priority("priority: 1", "priority: 256", (16, "accounts[1].priority"), "256 is out of range", "from 0 to 255")]
#[case::zero_loads("loads_at_once: 3", "loads_at_once: 0", (25, "services[0].model.loads_at_once"), "0 is out of range", "from 1 to")]
#[case::zero_time("first_token_ms: 1400", "first_token_ms: 0", (27, "services[0].model.first_token_ms"), "0 is out of range", "from 1 to")]
#[case::long_timeout("timeout_ms: 2000", "timeout_ms: 3600001", (31, "services[1].plain.timeout_ms"), "out of range", "to 3600000")]
#[case::fraction("replicas: 18", "replicas: 1.5", (20, "services[0].replicas"), "not a whole number", "without quotes")]
#[case::beyond_any_integer("replicas: 18", "replicas: 999999999999999999999999999999999999999999", (20, "services[0].replicas"), "not a whole number", "from 1 to")]
#[case::quoted("replicas: 18", "replicas: '18'", (20, "services[0].replicas"), "is quoted text", "without quotes")]
#[case::word("replicas: 18", "replicas: many", (20, "services[0].replicas"), "not a whole number", "from 1 to")]
#[case::null("replicas: 18", "replicas:", (20, "services[0].replicas"), "is empty", "remove the key")]
#[case::list("replicas: 18", "replicas: [18]", (20, "services[0].replicas"), "list or a mapping", "one value")]
#[case::flag("idempotent: true", "idempotent: yes", (33, "services[1].plain.routes[0].idempotent"), "\"yes\" is not an allowed value", "true, false")]
#[case::unit("unit: byte", "unit: kilobyte", (3, "block.unit"), "not an allowed value", "byte, token")]
#[case::fencing("fencing: checked", "fencing: often", (26, "services[0].model.fencing"), "not an allowed value", "checked, ignored")]
#[case::old_format("format: 1", "format: 0", (1, "format"), "format 0 is not supported", "write format 1")]
#[case::new_format("format: 1", "format: 2", (1, "format"), "format 2 is not supported", "use a release that reads 2")]
fn value_out_of_bounds(
    #[case] from: &str,
    #[case] to: &str,
    #[case] place: (usize, &str),
    #[case] problem: &str,
    #[case] remedy: &str,
) {
    expect_fault(from, to, place, problem, remedy);
}

#[rstest]
#[case::account("id: voss", "id: bergen-sentrum", (11, "accounts[1].id"), "already used by accounts[0].id", "unique name")]
#[case::service("name: studio-app", "name: match-llm", (28, "services[1].name"), "already used by services[0].name", "unique name")]
#[case::adapter("[waltz, tango]", "[waltz, waltz]", (24, "services[0].model.adapters[1]"), "adapters[0]", "unique name")]
#[case::key_of_two_accounts(TWOS, ONES, (13, "accounts[1].key_digests[0]"), "accounts[0].key_digests[0]", "in one account only")]
#[case::route("method: POST, path: /bookings", "method: GET, path: /schedule", (34, "services[1].plain.routes[1]"), "routes[0]", "one route")]
fn duplicate_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] place: (usize, &str),
    #[case] problem: &str,
    #[case] remedy: &str,
) {
    expect_fault(from, to, place, problem, remedy);
}

#[test]
fn model_of_two_services() {
    let second = "  - name: other-llm\n    replicas: 1\n    model: { name: match, version: 1, \
                  loads_at_once: 1, fencing: ignored, first_token_ms: 1 }\n";
    let found = faults(&format!("{SMALL}{second}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!(found[0].key, "services[2].model.name");
    assert!(found[0].problem.contains("services[0].model.name"));
}

#[rstest]
#[case::short("1111", "4 characters")]
#[case::upper_case(
    "ABCDEF1111111111111111111111111111111111111111111111111111111111",
    "64 characters"
)]
#[case::not_hexadecimal(
    "g111111111111111111111111111111111111111111111111111111111111111",
    "64 characters"
)]
#[case::long(
    "11111111111111111111111111111111111111111111111111111111111111111",
    "65 characters"
)]
#[case::of_an_empty_key(EMPTY_KEY, "empty key")]
fn malformed_digest(#[case] digest: &str, #[case] problem: &str) {
    let place = (8, "accounts[0].key_digests[0]");
    expect_fault(ONES, digest, place, problem, "digest of");
}

#[rstest]
#[case::slash("voss/1")]
#[case::space("'voss 1'")]
#[case::line_break("\"voss\\r\\nx-priority: 9\"")]
#[case::nul("\"voss\\0\"")]
#[case::colon("'voss:1'")]
#[case::dots("..")]
#[case::query("'voss?1'")]
#[case::percent("voss%2f")]
#[case::beyond_ascii("vøss")]
#[case::long(
    "a1234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890"
)]
fn unusable_name(#[case] name: &str) {
    let to = format!("id: {name}");
    let place = (11, "accounts[1].id");
    expect_fault(
        "id: voss",
        &to,
        place,
        "is not a valid name",
        "start with a letter or digit",
    );
}

#[rstest]
#[case::service("name: studio-app", "name: a/b", (28, "services[1].name"))]
#[case::model("name: match\n", "name: match:waltz\n", (22, "services[0].model.name"))]
#[case::version("version: 1.10", "version: 1 10", (23, "services[0].model.version"))]
#[case::adapter("[waltz, tango]", "[waltz, 'a:b']", (24, "services[0].model.adapters[1]"))]
fn unusable_name_elsewhere(#[case] from: &str, #[case] to: &str, #[case] place: (usize, &str)) {
    expect_fault(
        from,
        to,
        place,
        "is not a valid name",
        "start with a letter or digit",
    );
}

#[rstest]
#[case::relative("schedule", "does not start with `/`")]
#[case::query("/schedule?day=1", "characters")]
#[case::fragment("'/schedule#1'", "characters")]
#[case::space("'/my schedule'", "characters")]
#[case::line_break("\"/a\\nb\"", "characters")]
#[case::percent("/a%2fb", "characters")]
#[case::parent("/a/../b", "segment")]
#[case::empty_segment("/a//b", "segment")]
#[case::trailing_slash("/a/", "segment")]
fn unusable_path(#[case] path: &str, #[case] problem: &str) {
    let to = format!("path: {path},");
    let place = (33, "services[1].plain.routes[0].path");
    expect_fault(
        "path: /schedule,",
        &to,
        place,
        problem,
        "each after one `/`",
    );
}

#[rstest]
#[case::lower_case("get")]
#[case::unknown("FETCH")]
#[case::injected("\"GET\\r\\nx: y\"")]
fn unusable_method(#[case] method: &str) {
    let to = format!("method: {method},");
    let place = (33, "services[1].plain.routes[0].method");
    expect_fault(
        "method: GET,",
        &to,
        place,
        "is not an allowed value",
        "GET, HEAD, POST",
    );
}

#[rstest]
#[case::no_kind("    plain:\n      timeout_ms: 2000\n      routes:\n        - { method: GET, path: /schedule, idempotent: true }\n        - { method: POST, path: /bookings, idempotent: false }\n", "", (28, "services[1]"), "neither")]
#[case::both_kinds("    plain:", "    model: {}\n    plain:", (28, "services[1]"), "both")]
#[case::no_routes_list("path: /schedule, idempotent: true }", "path: /schedule, idempotent: true }\n        - GET", (34, "services[1].plain.routes[1]"), "is not a mapping")]
#[case::no_digests("\n      - 1111111111111111111111111111111111111111111111111111111111111111", " []", (7, "accounts[0].key_digests"), "is an empty list")]
#[case::digests_no_list("\n      - 1111111111111111111111111111111111111111111111111111111111111111", " abc", (7, "accounts[0].key_digests"), "is not a list")]
#[case::anchor("id: voss", "id: &name voss", (11, "accounts[1].id"), "anchor")]
#[case::tag("id: voss", "id: !!str voss", (11, "accounts[1].id"), "tag")]
fn wrong_shape(
    #[case] from: &str,
    #[case] to: &str,
    #[case] place: (usize, &str),
    #[case] problem: &str,
) {
    expect_fault(from, to, place, problem, "");
}

#[rstest]
#[case::empty("", None)]
#[case::only_a_comment("# nothing\n", None)]
#[case::null("~\n", Some(1))]
#[case::a_word("papayayard\n", Some(1))]
#[case::a_list("- format: 1\n", Some(1))]
#[case::open_bracket("format: 1\nblock: [\n", Some(2))]
#[case::tab("block:\n\tunit: byte\n", Some(2))]
#[case::open_quote("format: \"1\n", Some(1))]
#[case::list_as_key("format: 1\n? [a]\n: b\n", Some(2))]
#[case::unknown_alias("format: *one\n", Some(1))]
#[case::nul("format: \0\n", Some(1))]
fn no_document(#[case] text: &str, #[case] line: Option<usize>) {
    let found = faults(text);
    if line.is_some() {
        assert_eq!(found[0].line, line, "{found:#?}");
    }
    assert!(!found[0].remedy.is_empty(), "{found:#?}");
}

#[test]
fn a_second_document_is_refused() {
    let found = faults(&format!("{SMALL}---\n{SMALL}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].problem.contains("second document"));
}

#[test]
fn deep_nesting_is_refused() {
    let found = faults(&"[".repeat(100_000));
    assert_eq!(found.len(), 1);
    assert!(found[0].problem.contains("not valid YAML"), "{found:#?}");
}

#[rstest]
#[case::at_the_bound(0, "\0")]
#[case::over_the_bound(1, "more than 1048576")]
fn size(#[case] extra: usize, #[case] problem: &str) {
    let fill = tree::MAX_BYTES + extra - SMALL.len();
    let text = format!("{SMALL}{}", "#".repeat(fill));
    match Document::parse(&text) {
        Ok(_) => assert_eq!(extra, 0),
        Err(found) => assert!(found[0].problem.contains(problem), "{found:#?}"),
    }
}

#[test]
fn every_fault_is_listed_at_once() {
    let text = SMALL
        .replace("format: 1", "format: 7\nregion: vestland")
        .replace("size: 2048", "size: 0")
        .replace("id: voss", "id: bergen-sentrum")
        .replace("replicas: 18", "replicas: none")
        .replace("path: /bookings", "path: bookings");
    let found = faults(&text);
    let places: Vec<(Option<usize>, &str)> = found
        .iter()
        .map(|fault| (fault.line, fault.key.as_str()))
        .collect();
    let expected = [
        (Some(1), "format"),
        (Some(2), "region"),
        (Some(5), "block.size"),
        (Some(12), "accounts[1].id"),
        (Some(21), "services[0].replicas"),
        (Some(35), "services[1].plain.routes[1].path"),
    ];
    assert_eq!(places, expected);
}

#[test]
fn the_list_of_faults_is_bounded() {
    let lines: Vec<String> = (0..20_000).map(|index| format!("k{index}: 1")).collect();
    assert_eq!(faults(&lines.join("\n")).len(), MAX_FAULTS);
}

#[test]
fn a_fault_is_shown_on_one_line() {
    let found = faults(&SMALL.replace("replicas: 18", "replicas: 0"));
    let shown = found[0].to_string();
    let expected = "line 20: services[0].replicas: 0 is out of range; \
                    write a whole number from 1 to 100000, without quotes";
    assert_eq!(shown, expected);
}
