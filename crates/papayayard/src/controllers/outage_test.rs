//! What hosts follow, after outages of the log of any kind and length.

use std::time::Duration;

use papayayard_wire::configuration::STREAM;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::configuration_test::{Host, entry_of, json};
use super::fake_log_test::{CALL_TIMEOUT, Log, Outage};
use super::peer_net_test::{Net, Port};

/// Time after a log's return from which confirmed records count.
const SETTLED: Duration = Duration::from_secs(3);
/// Time from a confirmed record to its effect on all hosts.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Longest time between two records here.
const QUIET: Duration = Duration::from_secs(6);
/// Time without records after which pauses have grown as long as they get.
const LONG_QUIET: Duration = Duration::from_secs(30);
/// Most reads a second of a host whose log is away.
const READS_PER_SECOND: usize = 2;
/// Most reads of a host beyond that, right after the log went away.
const FIRST_READS: usize = 5;
/// Most reads of a host in the second after the log's return.
const RETURN_READS: usize = 5;

const DOCUMENT: &str = "format: 1
block: {unit: token, size: 2048}
accounts:
  - id: studio
    key_digests: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
    requests_per_second: 1000
    open_requests: 1000
services:
  - name: studio-app
    replicas: 1
    plain: {timeout_ms: 1000}
";

/// Hosts that follow logs with the same records, and each other.
struct Fleet {
    logs: Vec<Log>,
    hosts: Vec<Host>,
    revision: u64,
    _peers: JoinSet<()>,
}

impl Fleet {
    /// Hosts share the last log where there are more of them than logs.
    async fn start(logs: Vec<Log>, count: usize, seed: u64) -> Self {
        let log = |index: usize| logs.get(index).or(logs.last()).unwrap();
        let hosts: Vec<Host> = (0..count).map(|index| Host::start(log(index))).collect();
        let ports = hosts.iter().map(|host| Port {
            accepted: host.accepted.clone(),
            adopt: host.adopt.clone(),
        });
        let mut peers = JoinSet::new();
        peers.spawn(Net::new(ports.collect(), seed).run());
        let mut fleet = Self {
            logs,
            hosts,
            revision: 0,
            _peers: peers,
        };
        fleet.publish();
        for host in &mut fleet.hosts {
            host.reaches(1).await;
        }
        fleet
    }

    fn publish(&mut self) {
        let record = json(&entry_of(DOCUMENT, self.revision, None));
        for log in &self.logs {
            log.put(STREAM, &record);
        }
        self.revision += 1;
    }

    /// Hosts without the newest revision.
    fn late(&self) -> usize {
        let hosts = self.hosts.iter();
        let late = hosts.filter(|host| host.revision() != self.revision);
        late.count()
    }
}

fn up_to(random: &mut StdRng, most: Duration) -> Duration {
    most.mul_f64(random.random())
}

/// What one outage led to.
struct Played {
    late: usize,
    late_afterwards: usize,
    reads_away: usize,
    reads_on_return: usize,
}

async fn play(count: usize, outage: Outage, length: Duration, seed: u64) -> Played {
    let mut random = StdRng::seed_from_u64(seed);
    let log = Log::new();
    let mut fleet = Fleet::start(vec![log.clone()], count, seed).await;
    time::sleep(up_to(&mut random, QUIET)).await;
    let begun = Instant::now();
    log.set_outage(Some(outage));
    time::sleep(length).await;
    let back = Instant::now();
    let reads_away = log.reads_since(begun);
    log.set_outage(None);
    time::sleep(up_to(&mut random, SETTLED.saturating_sub(IN_FORCE))).await;
    fleet.publish();
    time::sleep_until(back + Duration::from_secs(1)).await;
    let reads_on_return = log.reads_since(back);
    time::sleep_until(back + SETTLED).await;
    let late = fleet.late();
    time::sleep(up_to(&mut random, QUIET)).await;
    fleet.publish();
    time::sleep(IN_FORCE).await;
    Played {
        late,
        late_afterwards: fleet.late(),
        reads_away,
        reads_on_return,
    }
}

/// Plays outages of many lengths, each at some moments of the hosts' reads.
async fn play_all(count: usize, outage: Outage, seeds: u64) {
    let mut failures = Vec::new();
    for length_ms in [300, 1_100, 2_300, 5_000, 8_200, 13_000, 20_000] {
        for seed in 0..seeds {
            let length = Duration::from_millis(length_ms);
            let seed = length_ms + seed;
            let played = play(count, outage, length, seed).await;
            let seconds = usize::try_from(length_ms.div_ceil(1_000)).unwrap();
            let most_away = count * (FIRST_READS + READS_PER_SECOND * seconds);
            let is_kept = played.late == 0
                && played.late_afterwards == 0
                && played.reads_away <= most_away
                && played.reads_on_return <= count * RETURN_READS;
            if !is_kept {
                failures.push(format!(
                    "{length:?}, seed {seed}: {} and {} hosts late, {} reads (of {most_away}) \
                     while the log was away, {} on its return",
                    played.late, played.late_afterwards, played.reads_away, played.reads_on_return
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_confirmed_configuration_is_in_force_after_an_outage(
    #[values((1, 8), (9, 3), (80, 1))] plays: (usize, u64),
    #[values(
        Outage::Unreachable,
        Outage::Reset,
        Outage::Refused(503),
        Outage::Refused(429),
        Outage::Frozen
    )]
    outage: Outage,
) {
    play_all(plays.0, outage, plays.1).await;
}

/// Calls that were made before the log's return are never answered.
#[rstest]
#[case::one(1, 16)]
#[case::few(9, 5)]
#[case::many(80, 1)]
#[tokio::test(start_paused = true)]
async fn a_confirmed_configuration_is_in_force_after_a_silence(
    #[case] count: usize,
    #[case] seeds: u64,
) {
    play_all(count, Outage::Silent, seeds).await;
}
#[rstest]
#[case::a_little(300)]
#[case::half_the_timeout(1_000)]
#[case::most_of_the_timeout(1_500)]
#[tokio::test(start_paused = true)]
async fn a_confirmed_configuration_is_in_force_although_the_log_is_slow(#[case] delay_ms: u64) {
    let mut random = StdRng::seed_from_u64(delay_ms);
    let log = Log::new();
    let mut fleet = Fleet::start(vec![log.clone()], 1, delay_ms).await;
    log.set_delay(Duration::from_millis(delay_ms));
    for _ in 0..40 {
        time::sleep(up_to(&mut random, LONG_QUIET)).await;
        fleet.publish();
        time::sleep(IN_FORCE).await;
        assert_eq!(fleet.late(), 0, "revision {}", fleet.revision);
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_that_took_its_whole_time_is_not_followed_by_a_pause() {
    let log = Log::new();
    let _fleet = Fleet::start(vec![log.clone()], 1, 0).await;
    time::sleep(Duration::from_millis(1)).await;
    let begun = Instant::now();
    log.set_outage(Some(Outage::Silent));
    time::sleep(CALL_TIMEOUT * 10).await;
    let reads = log.reads_since(begun);
    assert!((9..=10).contains(&reads), "{reads}");
}

/// Only the first host's calls go unanswered, before and after it asks again.
#[rstest]
#[case::few(9)]
#[case::many(80)]
#[tokio::test(start_paused = true)]
async fn a_host_whose_log_stays_silent_follows_its_peers(#[case] count: usize) {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let logs = vec![Log::new(), Log::new()];
        let mut fleet = Fleet::start(logs, count, seed).await;
        time::sleep(up_to(&mut random, QUIET)).await;
        fleet.logs[0].set_outage(Some(Outage::Silent));
        time::sleep(up_to(&mut random, QUIET)).await;
        fleet.publish();
        time::sleep(IN_FORCE).await;
        assert_eq!(fleet.late(), 0, "seed {seed}");
    }
}
