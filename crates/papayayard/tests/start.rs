//! The program refuses to start, with a reason and an exit code, where its
//! settings or its machine do not allow it.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const SETTINGS: &str = include_str!("fixtures/settings.yaml");

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    std::fs::write(&path, text).expect("the test's directory can be written");
    path
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_papayayard"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn told(output: &Output) -> String {
    let both = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[rstest]
#[case::no_option(&[], 2, "--settings")]
#[case::unknown_option(&["--verbose"], 2, "verbose")]
#[case::missing_file(&["--settings", "no-such-file.yaml"], 1, "check the path")]
#[case::missing_routes_file(&["--routes", "no-such-file.yaml"], 1, "check the path")]
#[case::both(&["--settings", "a.yaml", "--routes", "b.yaml"], 2, "give one of")]
fn misuse(#[case] arguments: &[&str], #[case] code: i32, #[case] reason: &str) {
    let output = run(arguments);
    let told = told(&output);
    assert_eq!(output.status.code(), Some(code), "{told}");
    assert!(told.contains(reason), "{told}");
}

#[test]
fn every_fault_of_the_settings_is_listed_and_the_secret_is_not_shown() {
    let text = SETTINGS
        .replace("zone: bergen-a", "zone: a b\nregion: west")
        .replace("10.0.9.9:9090", "log-service")
        .replace("0123456789abcdef", "hush-hush");
    let path = file("faulty", &text);
    let output = run(&["--settings", path.to_str().expect("the path is text")]);
    let told = told(&output);
    assert_eq!(output.status.code(), Some(1), "{told}");
    let parts = [
        "line 2: zone:",
        "line 3: region: is an unknown key",
        "line 9: platform.log:",
        "line 14: peer_secret:",
    ];
    for part in parts {
        assert!(told.contains(part), "{part:?} is not in {told}");
    }
    assert!(!told.contains("hush"), "{told}");
}

#[test]
fn a_port_that_is_taken_is_told() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = taken.local_addr().expect("it is bound").to_string();
    let text = SETTINGS
        .replace("10.0.0.1:8080", &address)
        .replace("10.0.0.1:8081", "127.0.0.1:0")
        .replace("10.0.0.1:8082", "127.0.0.1:0");
    let path = file("taken", &text);
    let output = run(&["--settings", path.to_str().expect("the path is text")]);
    let told = told(&output);
    assert_eq!(output.status.code(), Some(2), "{told}");
    assert!(told.contains(&address), "{told}");
}
