use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use papayayard_coordination::configuration as rules;
use papayayard_wire::configuration::{Entry, FORMAT, Proposal, STREAM};
use papayayard_wire::{id, log as stream};
use rstest::rstest;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use super::configuration::{Current, follow, link};
use super::fake_log_test::{Fault, Log};
use crate::clock::Clock;
use crate::metrics::Metrics;

const DOCUMENT: &str = include_str!("../../../../examples/fjordtakt.yaml");
/// Time within which each host without an anchor offers one.
const OFFERS_TIME: Duration = Duration::from_secs(11);

pub(super) struct Host {
    current: watch::Receiver<Current>,
    pub(super) accepted: watch::Receiver<Option<Entry>>,
    pub(super) adopt: mpsc::Sender<Entry>,
    _task: JoinHandle<()>,
}

impl Host {
    pub(super) fn start(log: &Log) -> Self {
        let (current_sender, current) = watch::channel(None);
        let (link, accepted, adopt) = link();
        let metrics = Metrics::new(Clock::start());
        let task = tokio::spawn(follow(log.clone(), current_sender, link, metrics));
        Self {
            current,
            accepted,
            adopt,
            _task: task,
        }
    }

    pub(super) async fn reaches(&mut self, revision: u64) {
        let reached = |current: &Current| revision_of(current) == revision;
        let wait = self.current.wait_for(reached);
        let hours = Duration::from_hours(2);
        time::timeout(hours, wait).await.unwrap().unwrap();
    }

    async fn offered(&mut self) -> Entry {
        let seen = self.accepted.wait_for(Option::is_some).await;
        seen.unwrap().clone().unwrap()
    }

    pub(super) fn revision(&self) -> u64 {
        revision_of(&self.current.borrow())
    }
}

fn revision_of(current: &Current) -> u64 {
    current.as_ref().map_or(0, |active| active.revision.0)
}

fn entry(base: u64, read_to: Option<u64>) -> Entry {
    entry_of(DOCUMENT, base, read_to)
}

pub(super) fn entry_of(document: &str, base: u64, read_to: Option<u64>) -> Entry {
    let document = format!("{document}\n# revision after {base}\n");
    Entry {
        proposal: Proposal {
            format: FORMAT,
            base: id::Revision(base),
            revision: id::Revision(base + 1),
            digest: rules::digest(&document),
            document,
        },
        read_to: read_to.map(stream::Offset),
    }
}

pub(super) fn json(entry: &Entry) -> String {
    serde_json::to_string(entry).unwrap()
}

#[tokio::test(start_paused = true)]
async fn the_stream_decides_and_bad_records_pass_by() {
    let log = Log::new();
    log.put(STREAM, "{\"foreign\":true}");
    log.put(STREAM, &json(&entry(0, None)));
    let mut host = Host::start(&log);
    host.reaches(1).await;
    log.put(STREAM, &json(&entry(4, None)));
    log.put(STREAM, "\"x\"");
    log.put(STREAM, &json(&entry(1, None)));
    host.reaches(2).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_goes_on_through_an_outage() {
    let log = Log::new();
    log.put(STREAM, &json(&entry(0, None)));
    let mut host = Host::start(&log);
    host.reaches(1).await;
    log.set_down(true);
    time::advance(Duration::from_hours(1)).await;
    assert_eq!(host.revision(), 1);
    log.put(STREAM, &json(&entry(1, None)));
    log.set_down(false);
    host.reaches(2).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_is_ready_from_a_peer_while_the_log_is_down() {
    let log = Log::new();
    log.put(STREAM, &json(&entry(0, None)));
    let mut first = Host::start(&log);
    first.reaches(1).await;
    let offered = first.offered().await;
    log.set_down(true);
    let mut second = Host::start(&log);
    second.adopt.send(offered).await.unwrap();
    second.reaches(1).await;
    log.put(STREAM, &json(&entry(1, None)));
    log.set_down(false);
    second.reaches(2).await;
}

#[tokio::test(start_paused = true)]
async fn an_older_peer_changes_nothing() {
    let log = Log::new();
    log.put(STREAM, &json(&entry(0, None)));
    log.put(STREAM, &json(&entry(1, None)));
    let mut host = Host::start(&log);
    host.reaches(2).await;
    host.adopt.send(entry(0, Some(1))).await.unwrap();
    log.put(STREAM, &json(&entry(2, None)));
    host.reaches(3).await;
}

/// All hosts restart after the log has forgotten the accepted record's start:
/// no host accepts by itself, and one repetition anchors all of them.
#[tokio::test(start_paused = true)]
async fn hosts_without_an_anchor_agree_on_one() {
    let log = Log::new();
    for base in 0..4 {
        log.put(STREAM, &json(&entry(base, None)));
    }
    log.forget(STREAM, 2);
    let mut hosts = [Host::start(&log), Host::start(&log), Host::start(&log)];
    log.wait_for(STREAM, 5).await;
    for host in &mut hosts {
        host.reaches(4).await;
    }
    let digests = hosts.map(|host| Arc::clone(host.current.borrow().as_ref().unwrap()));
    assert!(
        digests
            .iter()
            .all(|active| active.digest == digests[0].digest)
    );
    log.put(STREAM, &json(&entry(4, None)));
}

/// Each host's first offer of an anchor fails.
#[rstest]
#[case::unreachable(Fault::Unreachable)]
#[case::lost(Fault::LostBefore)]
#[tokio::test(start_paused = true)]
async fn hosts_whose_anchor_was_not_stored_offer_another_one_soon(#[case] fault: Fault) {
    let log = Log::new();
    for base in 0..4 {
        log.put(STREAM, &json(&entry(base, None)));
    }
    log.forget(STREAM, 2);
    log.fail(&[fault; 3]);
    let started = Instant::now();
    let mut hosts = [Host::start(&log), Host::start(&log), Host::start(&log)];
    for host in &mut hosts {
        host.reaches(4).await;
    }
    let elapsed = started.elapsed();
    assert!(elapsed <= OFFERS_TIME * 2, "{elapsed:?}");
}

/// The log's clock is decades behind the host's.
#[tokio::test(start_paused = true)]
async fn a_log_with_a_slow_clock_is_not_flooded() {
    let log = Log::new();
    log.put(STREAM, &json(&entry(0, None)));
    let mut host = Host::start(&log);
    host.reaches(1).await;
    time::sleep(Duration::from_hours(24)).await;
    assert!((1..=9).contains(&log.appends()), "{}", log.appends());
}

#[tokio::test(start_paused = true)]
async fn the_accepted_record_is_repeated_before_it_is_forgotten() {
    let log = Log::new();
    let since = UNIX_EPOCH.elapsed().unwrap();
    log.set_time(u64::try_from(since.as_millis()).unwrap());
    log.put(STREAM, &json(&entry(0, None)));
    let mut host = Host::start(&log);
    host.reaches(1).await;
    time::sleep(Duration::from_hours(11)).await;
    assert_eq!(log.records(STREAM).len(), 1);
    time::sleep(Duration::from_hours(8)).await;
    let repeated: Entry = serde_json::from_str(&log.records(STREAM)[1]).unwrap();
    assert_eq!(repeated.proposal, entry(0, None).proposal);
    assert_eq!(repeated.read_to, Some(stream::Offset(1)));
}
