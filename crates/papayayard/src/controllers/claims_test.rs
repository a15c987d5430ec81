use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::claim::{self, Settlement};
use papayayard_wire::claim::{Answer, Digest};
use papayayard_wire::refusal::{Kind, Ran};
use papayayard_wire::{directory, id};
use rstest::rstest;
use tokio::sync::watch;
use tokio::time;

use super::claims::{Claimed, Handle, Permit, Sources, start};
use super::fake_log_test::{Fault, Log, Outage};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::refusal::Refusal;

const STREAM: &str = "claims-00";
const SECOND: Duration = Duration::from_secs(1);

struct Host {
    handle: Handle,
    clock: Clock,
    metrics: Metrics,
    _list: watch::Sender<Option<directory::List>>,
}

impl Host {
    fn start(log: &Log, name: &str) -> Self {
        let (list_sender, list) = watch::channel(None);
        let clock = Clock::start();
        let metrics = Metrics::new(clock);
        let handle = start(&Sources {
            log: log.clone(),
            host: id::Host::from(name),
            list,
            known_hosts: 3,
            clock,
            metrics: metrics.clone(),
        });
        Self {
            handle,
            clock,
            metrics,
            _list: list_sender,
        }
    }

    async fn claim(&self, key: &str, body: &str) -> Result<Claimed, Refusal> {
        let deadline = self.clock.now() + SECOND * 5;
        let request = claim::request_digest("POST", "/book", body.as_bytes());
        self.handle.claim(digest(key), request, deadline).await
    }

    async fn permit(&self, key: &str) -> Permit {
        match self.claim(key, "body").await {
            Ok(Claimed::Run(permit)) => permit,
            Ok(Claimed::Replay(answer)) => panic!("replayed {answer:?}"),
            Err(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    async fn refusal(&self, key: &str, body: &str) -> (Kind, Ran) {
        match self.claim(key, body).await {
            Ok(_) => panic!("not refused"),
            Err(refusal) => (refusal.kind, refusal.ran),
        }
    }
}

fn digest(key: &str) -> Digest {
    let account = id::Account::from("a");
    claim::key_digest(&account, &id::Service::from("s"), &id::Key::from(key))
}

fn answer(body: Option<&str>) -> Answer {
    Answer {
        status: 201,
        headers: BTreeMap::from([("content-type".to_owned(), "text/plain".to_owned())]),
        body: body.map(|body| body.as_bytes().to_vec()),
    }
}

#[tokio::test(start_paused = true)]
async fn one_host_runs_and_the_others_get_its_outcome() {
    let log = Log::new();
    let hosts = [Host::start(&log, "a"), Host::start(&log, "b")];
    let mut permit = hosts[0].permit("k").await;
    permit.start();
    let (second, ()) = tokio::join!(hosts[1].claim("k", "body"), async {
        log.wait_for(STREAM, 1).await;
        permit.settle(Settlement::Answered(answer(Some("done"))));
    });
    let Ok(Claimed::Replay(replayed)) = second else {
        panic!("the loser is not led to the outcome");
    };
    assert_eq!(replayed, answer(Some("done")));
    let again = Host::start(&log, "c").claim("k", "body").await;
    assert!(matches!(again, Ok(Claimed::Replay(_))));
}

#[rstest]
#[case::unreachable(Fault::Unreachable)]
#[case::lost_after_effect(Fault::LostAfter)]
#[case::lost_before_effect(Fault::LostBefore)]
#[tokio::test(start_paused = true)]
async fn a_failed_append_is_made_good_and_counted_once(#[case] fault: Fault) {
    let log = Log::new();
    let host = Host::start(&log, "a");
    log.fail(&[fault, fault]);
    let _permit = host.permit("k").await;
    assert_eq!(log.records(STREAM).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_claim_without_the_log_is_refused_as_not_run() {
    let log = Log::new();
    log.set_down(true);
    let host = Host::start(&log, "a");
    let refused = host.refusal("k", "body").await;
    assert_eq!(refused, (Kind::ClaimUnavailable, Ran::No));
    log.set_down(false);
    let _permit = host.permit("k").await;
}

#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_refused() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    let _permit = host.permit("k").await;
    let refused = host.refusal("k", "other").await;
    assert_eq!(refused, (Kind::KeyReused, Ran::No));
}

#[tokio::test(start_paused = true)]
async fn a_permit_dropped_before_its_start_frees_the_key() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    drop(host.permit("k").await);
    let _permit = host.permit("k").await;
}

#[tokio::test(start_paused = true)]
async fn a_permit_dropped_after_its_start_is_unknown_and_never_runs_again() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    let mut permit = host.permit("k").await;
    permit.start();
    drop(permit);
    let refused = host.refusal("k", "body").await;
    assert_eq!(refused, (Kind::OutcomeUnknown, Ran::Unknown));
}

#[tokio::test(start_paused = true)]
async fn a_dead_hosts_key_becomes_unknown() {
    let log = Log::new();
    let dead = Host::start(&log, "a");
    let permit = dead.permit("k").await;
    // The host dies with the permit in hand.
    std::mem::forget(permit);
    let host = Host::start(&log, "b");
    let refused = host.refusal("k", "body").await;
    assert_eq!(refused, (Kind::KeyInProgress, Ran::Unknown));
    time::sleep(SECOND * 120).await;
    let refused = host.refusal("k", "body").await;
    assert_eq!(refused, (Kind::OutcomeUnknown, Ran::Unknown));
}

#[tokio::test(start_paused = true)]
async fn an_answer_too_long_to_keep_is_said_to_have_run() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    let mut permit = host.permit("k").await;
    permit.start();
    let text = "x".repeat(20 << 10);
    permit.settle(Settlement::Answered(answer(Some(&text))));
    let refused = host.refusal("k", "body").await;
    assert_eq!(refused, (Kind::OutcomeUnknown, Ran::Yes));
}

#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_outcomes() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    let mut permit = host.permit("k").await;
    permit.start();
    log.set_down(true);
    permit.settle(Settlement::Answered(answer(Some("done"))));
    assert!(time::timeout(SECOND, host.handle.flush()).await.is_err());
    log.set_down(false);
    host.handle.flush().await;
    assert_eq!(log.records(STREAM).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn many_claims_share_an_append() {
    let log = Log::new();
    let host = Host::start(&log, "a");
    let names: Vec<String> = (0..200).map(|number| format!("k{number}")).collect();
    let claims = names.iter().map(|name| host.permit(name));
    let permits = futures_util::future::join_all(claims).await;
    assert_eq!(permits.len(), 200);
    assert!(log.appends() <= 2, "{} appends", log.appends());
}

#[tokio::test(start_paused = true)]
async fn foreign_records_pass_by() {
    let log = Log::new();
    log.put(STREAM, "[1,2]");
    let host = Host::start(&log, "a");
    let _permit = host.permit("k").await;
    log.put(STREAM, "{\"format\":7}");
    let _other = host.permit("l").await;
}

#[tokio::test(start_paused = true)]
async fn skipped_records_and_failed_appends_are_counted() {
    let log = Log::new();
    log.put(STREAM, "[1,2]");
    let host = Host::start(&log, "a");
    log.fail(&[Fault::LostAfter]);
    let _permit = host.permit("k").await;
    let text = String::from_utf8(host.metrics.text()).unwrap();
    let counts = |name: &str, label: &str| {
        let mut lines = text.lines().filter(|line| line.starts_with(name));
        lines.any(|line| line.contains(label) && line.ends_with(" 1"))
    };
    assert!(counts("papayayard_log_records_total", "result=\"foreign\""));
    assert!(counts("papayayard_log_failures_total", "reason=\"lost\""));
}

/// A request waits in the outage or none does, and another comes with the log's return.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_keyed_request_right_after_an_outage_is_not_refused(
    #[values(
        Outage::Unreachable,
        Outage::Reset,
        Outage::Refused(503),
        Outage::Frozen,
        Outage::Silent
    )]
    outage: Outage,
    #[values(300, 1_100, 2_300, 5_000, 8_200, 13_000)] length_ms: u64,
    #[values(false, true)] has_waiting: bool,
) {
    for step in 0..12 {
        let log = Log::new();
        let host = Host::start(&log, "entry-1");
        let _first = host.permit("before").await;
        time::sleep(Duration::from_millis(331) * step).await;
        log.set_outage(Some(outage));
        let waiting = async {
            if has_waiting {
                // Its deadline may pass.
                let _ = host.claim("meanwhile", "body").await;
            }
        };
        let returned = async {
            time::sleep(Duration::from_millis(length_ms)).await;
            log.set_outage(None);
            let _permit = host.permit("after").await;
        };
        tokio::join!(waiting, returned);
    }
}
