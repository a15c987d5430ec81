//! Records of hosts of the previous version and of this one.

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use rstest::rstest;
use serde::Deserialize;

use super::Report;

/// Content of a record as the previous version reads it.
#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Previous {
    Ended {
        run: Run,
        waiting: Vec<Fingerprint>,
        begun: Vec<Fingerprint>,
    },
    Cleared {
        fingerprint: Fingerprint,
    },
}

fn run() -> Run {
    Run {
        endpoint: id::Endpoint::from("e".to_owned()),
        started: id::Incarnation(5),
    }
}

#[rstest]
#[case::crash(r#"{"ended":{"run":{"endpoint":"e","started":5},"waiting":[1],"begun":[2]}}"#)]
#[case::success(r#"{"cleared":{"fingerprint":3}}"#)]
fn a_record_of_the_previous_version_has_no_parts(#[case] text: &str) {
    let report: Report = serde_json::from_str(text).expect("a report");
    let (Report::Ended { parts, .. } | Report::Cleared { parts, .. }) = report;
    assert!(parts.is_empty());
}

#[test]
fn the_previous_version_reads_records_with_parts() {
    let requests = [(Fingerprint(1), Progress::Waiting)];
    let parts = [Fingerprint(8), Fingerprint(9)];
    let crash = Report::crash(&run(), &requests, &parts, vec![Fingerprint(9)]);
    let cleared = Report::Cleared {
        fingerprint: Fingerprint(3),
        parts: parts.to_vec(),
    };
    let read = [crash, cleared].map(|report| {
        let value = serde_json::to_vec(&report).expect("a record");
        serde_json::from_slice::<Previous>(&value).expect("a record of the previous version")
    });
    let expected = [
        Previous::Ended {
            run: run(),
            waiting: vec![Fingerprint(1)],
            begun: Vec::new(),
        },
        Previous::Cleared {
            fingerprint: Fingerprint(3),
        },
    ];
    assert_eq!(read, expected);
}
