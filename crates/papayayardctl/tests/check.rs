//! `check` prints every fault and ends with the stated exit code.

mod common;

use rstest::rstest;

#[rstest]
#[case::fjordtakt("fjordtakt.yaml", "configuration document without faults")]
#[case::halvorsen("halvorsen.yaml", "configuration document without faults")]
#[case::fjordtakt_host("fjordtakt-host.yaml", "settings without faults")]
#[case::halvorsen_host("halvorsen-host.yaml", "settings without faults")]
#[tokio::test]
async fn examples_pass(#[case] name: &str, #[case] told: &str) {
    let path = common::example(name);
    let ended = common::ctl(&["check".as_ref(), path.as_os_str()]).await;
    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert!(ended.out.contains(told), "{ended:?}");
}

#[rstest]
#[case::document(
    "document",
    "format: 9\nblock: { unit: byte, size: 0 }\naccounts: []\n",
    &["4 fault(s)", "line 1: format:", "line 2: block.size:", "line 3: accounts:", "services: is missing"]
)]
#[case::settings(
    "settings",
    "host: a b\nzone: bergen-a\npeer_secret: short\nregion: west\n",
    &["5 fault(s)", "line 1: host:", "line 3: peer_secret:", "line 4: region:", "listen: is missing"]
)]
#[case::no_yaml("no_yaml", "format: [", &["line 1:", "not valid YAML"])]
#[case::empty("empty", "", &["the text is empty"])]
#[tokio::test]
async fn every_fault_is_printed(#[case] test: &str, #[case] text: &str, #[case] told: &[&str]) {
    let path = common::file(test, text.as_bytes());
    let ended = common::ctl(&["check".as_ref(), path.as_os_str()]).await;
    assert_eq!(ended.code, Some(1), "{ended:?}");
    for part in told {
        assert!(ended.err.contains(part), "{part:?} is not in {ended:?}");
    }
}

#[tokio::test]
async fn text_in_another_encoding_is_refused() {
    let path = common::file("encoding", b"format: \xff\n");
    let ended = common::ctl(&["check".as_ref(), path.as_os_str()]).await;
    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.err.contains("UTF-8"), "{ended:?}");
}

#[rstest]
#[case::missing_file(&["check", "no-such-file.yaml"], 1, "check the path")]
#[case::no_file(&["check"], 2, "required free argument")]
#[case::unknown_option(&["check", "--strict", "x.yaml"], 2, "strict")]
#[case::no_address(&["publish", "--platform", "log-service", "x.yaml"], 2, "is no address")]
#[case::no_platform(&["show"], 2, "platform")]
#[case::no_host(&["status"], 2, "host")]
#[case::unknown_format(&["status", "--host", "127.0.0.1:1", "--format", "xml"], 2, "choose table or json")]
#[case::bad_operator(&["promote", "--from", "127.0.0.1:1", "--to", "127.0.0.1:1", "--by", "a b"], 1, "operator's name")]
#[case::no_command(&[], 1, "publish")]
#[tokio::test]
async fn misuse(#[case] arguments: &[&str], #[case] code: i32, #[case] told: &str) {
    let ended = common::ctl(arguments).await;
    assert_eq!(ended.code, Some(code), "{ended:?}");
    assert!(ended.err.contains(told), "{ended:?}");
}
