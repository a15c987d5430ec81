//! `papayayardctl load` and `demo` as an operator runs them.

use std::process::{Command, Output};

use papayayard_stand_in::engine::{self, Fault};
use rstest::rstest;
use serde_json::Value;
use tokio::task;

async fn papayayardctl(arguments: Vec<String>) -> Output {
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_papayayardctl"))
            .args(arguments)
            .output()
            .expect("papayayardctl runs")
    };
    task::spawn_blocking(run).await.expect("the thread ends")
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("no JSON: {output:?}"))
}

#[rstest]
#[case::sound(None, true, "lost", 0)]
#[case::cut(Some(Fault::CutStreams { count: 1, after_tokens: 1 }), false, "cut", 1)]
#[case::answer_lost(Some(Fault::LoseAnswers { count: 1 }), false, "unanswered", 1)]
#[tokio::test]
async fn a_load_tells_what_went_wrong(
    #[case] fault: Option<Fault>,
    #[case] succeeds: bool,
    #[case] count: &str,
    #[case] expected: u64,
) {
    let options = engine::Options {
        time_scale: 20.0,
        ..engine::Options::default()
    };
    let engine = engine::start(options).await.unwrap();
    if let Some(fault) = fault {
        engine.fault(fault);
    }
    let mut arguments = words("load --rate 40 --duration 1 --seed 5 --max-tokens 4 --format json");
    arguments.extend(["--direct".to_owned(), engine.address().to_string()]);
    arguments.extend(["--ledger".to_owned(), engine.control().to_string()]);
    arguments.extend(["--pid".to_owned(), std::process::id().to_string()]);
    let output = papayayardctl(arguments).await;
    assert_eq!(output.status.success(), succeeds, "{output:?}");
    let report = &json(&output)["direct"];
    assert_eq!(report[count], expected);
    assert_eq!(report["requests"], engine.ledger().len());
    assert_eq!(report["audit"]["ran_twice"], 0);
    assert!(report["process"]["resident_mib"].as_f64() > Some(0.0));
}

#[tokio::test]
async fn a_second_load_is_not_blamed_for_the_first() {
    let engine = engine::start(engine::Options::default()).await.unwrap();
    for seed in [5, 5, 6] {
        let options = format!("load --rate 20 --duration 0.5 --seed {seed} --max-tokens 2");
        let mut arguments = words(&options);
        arguments.extend(["--direct".to_owned(), engine.address().to_string()]);
        arguments.extend(["--ledger".to_owned(), engine.control().to_string()]);
        let output = papayayardctl(arguments).await;
        assert!(output.status.success(), "{output:?}");
    }
}

#[rstest]
#[case::nowhere("load", "--target or --direct")]
#[case::no_rate("load --direct 127.0.0.1:1 --rate 0", "--rate must be above zero")]
#[case::workload("load --workload noon", "class-start")]
#[case::policy("demo --policy best", "least-loaded")]
#[case::fault("demo --fault flood", "zone-cut")]
#[tokio::test]
async fn bad_arguments_name_the_remedy(#[case] arguments: &str, #[case] remedy: &str) {
    let output = papayayardctl(words(arguments)).await;
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(remedy), "{error}");
}

#[tokio::test]
async fn the_demo_ends_with_nothing_lost_and_prints_its_keys() {
    let arguments = "demo --workload mixed-day --rate 8 --duration 2 --format json";
    let output = papayayardctl(words(arguments)).await;
    assert!(output.status.success(), "{output:?}");
    let summary = json(&output);
    let keys: Vec<&str> = summary
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    let expected = [
        "complete",
        "duplicated",
        "lost",
        "policy",
        "prefix_hit_rate",
        "refused",
        "requests",
        "ttft_ms",
    ];
    assert_eq!(keys, expected);
    assert_eq!(summary["policy"], "papayayard");
    assert_eq!(
        (&summary["lost"], &summary["duplicated"]),
        (&0.into(), &0.into())
    );
    let times: Vec<&str> = summary["ttft_ms"]
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    assert_eq!(times, ["p50", "p95", "p99"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("requests ended"));
}
