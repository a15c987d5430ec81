//! Hosts that follow a topic while the store is away, and after its return.
//!
//! The replay drives one [`Selector`] for each host as a follower of a topic does: calls
//! to the store and to other hosts take time, a silent store is waited for, and a reading
//! of another host is applied with its age.

use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_coordination::reader::{Scope, Selector, Source};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which published configuration must be in force on every host.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time for which the store holds a read open until a record arrives.
const READ_WAIT: Duration = Duration::from_millis(400);
/// Timeout of such a read, and of a call to a store that did not answer before.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that another host has for a newer reading, unless the store is to be probed
/// sooner, and beyond that time until it is given up.
const MAX_WAIT: Duration = Duration::from_millis(550);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Age at which a reading of another host is of no use.
const STALE: Duration = Duration::from_secs(1);
/// Pause of a host that finds neither the store nor another host to call.
const IDLE: Duration = Duration::from_millis(150);
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Most hosts called in a row.
const MAX_PEERS: u32 = 3;
const ZONES: usize = 3;
/// Start of an outage in the replay.
const START: Duration = Duration::from_secs(10);

/// What calls to a store that is away end with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    Silent,
    Refusing,
}

/// An outage of the store.
#[derive(Clone, Copy, Debug)]
struct Outage {
    absence: Absence,
    until: Duration,
    /// Whether only every second host is affected.
    is_partial: bool,
    /// End of the refusals of every second host; not before the end of the outage.
    refuses_some_until: Duration,
}

struct Host {
    selector: Selector,
    /// When the newest reading was requested.
    reading: Duration,
    /// Whether the host answers no calls.
    is_frozen: bool,
    next_step: Duration,
    /// Calls to the store that were not answered.
    vain_calls: u32,
    /// Largest age that the reading reached after the outage began.
    max_age: Duration,
}

struct Replay {
    hosts: Vec<Host>,
    outage: Outage,
}

fn candidates(number: usize) -> Vec<Candidate> {
    let hosts = (0..number).map(|index| Candidate {
        host: id::Host::from(format!("host-{index}")),
        address: ([10, 0, 0, 1], u16::try_from(7000 + index).unwrap()).into(),
        capacity: 1,
    });
    hosts.collect()
}

fn selector(local: usize, hosts: &[Candidate]) -> Selector {
    let selector = Selector::new(hosts[local].host.clone(), Scope::All);
    let mut selector = selector.with_max_pause(IN_FORCE / 4);
    let zones = hosts.len().min(ZONES);
    let indexed = hosts.iter().cloned().enumerate();
    let (zone, others): (Vec<_>, Vec<_>) =
        indexed.partition(|(index, _)| index % zones == local % zones);
    let hosts = |part: Vec<(usize, Candidate)>| part.into_iter().map(|(_, host)| host).collect();
    selector.set(hosts(zone), hosts(others));
    selector
}

impl Replay {
    fn new(number: usize, outage: Outage, rng: &mut ChaCha8Rng) -> Self {
        let candidates = candidates(number);
        let hosts = (0..number).map(|index| Host {
            selector: selector(index, &candidates),
            reading: Duration::ZERO,
            is_frozen: false,
            next_step: Duration::from_millis(rng.random_range(0..400)),
            vain_calls: 0,
            max_age: Duration::ZERO,
        });
        Self {
            hosts: hosts.collect(),
            outage,
        }
    }

    fn run(&mut self, until: Duration) {
        loop {
            let next = self.hosts.iter().enumerate();
            let next = next.filter(|(_, host)| !host.is_frozen);
            let (index, at) = next
                .map(|(index, host)| (index, host.next_step))
                .min_by_key(|(_, at)| *at)
                .expect("a running host");
            if at >= until {
                return;
            }
            self.step(index, at);
        }
    }

    fn is_away(&self, index: usize, now: Duration) -> bool {
        let is_refused = index.is_multiple_of(2) && now < self.outage.refuses_some_until;
        let is_affected = !self.outage.is_partial || index.is_multiple_of(2);
        let is_away = is_affected && now < self.outage.until;
        now >= START && (is_away || is_refused)
    }

    /// One round of a follower.
    fn step(&mut self, index: usize, now: Duration) {
        if now >= START {
            let host = &mut self.hosts[index];
            host.max_age = host.max_age.max(now.saturating_sub(host.reading));
        }
        let mut now = now;
        for _ in 0..=MAX_PEERS {
            match self.hosts[index].selector.source(now) {
                None => break,
                Some(Source::Peer { host, .. }) => match self.call_peer(index, &host, now) {
                    Ok(at) => {
                        self.hosts[index].next_step = at;
                        return;
                    }
                    Err(at) => now = at,
                },
                Some(source) => {
                    let at = self.call_store(index, &source, now);
                    self.hosts[index].next_step = at;
                    return;
                }
            }
        }
        self.hosts[index].next_step = now + IDLE;
    }

    /// Returns the time of the next step after a useful answer, or the time of a failure.
    fn call_peer(
        &mut self,
        index: usize,
        peer: &id::Host,
        now: Duration,
    ) -> Result<Duration, Duration> {
        let (_, number) = peer.as_str().split_once('-').unwrap();
        let called = &self.hosts[number.parse::<usize>().unwrap()];
        let (reading, is_frozen) = (called.reading, called.is_frozen);
        let host = &mut self.hosts[index];
        if is_frozen {
            let wait = host
                .selector
                .next_probe()
                .map_or(MAX_WAIT, |probe| MAX_WAIT.min(probe.saturating_sub(now)));
            let at = now + wait + ANSWER_TIMEOUT;
            host.selector.failed(peer, at);
            return Err(at);
        }
        let at = now + ROUND_TRIP;
        host.reading = host.reading.max(reading);
        if reading + STALE < at {
            host.selector.outdated(peer, at);
            return Err(at);
        }
        host.selector.answered(peer);
        Ok(at + READ_WAIT)
    }

    fn call_store(&mut self, index: usize, source: &Source, now: Duration) -> Duration {
        let is_away = self.is_away(index, now);
        let host = &mut self.hosts[index];
        let is_probe = *source == Source::Probe;
        if is_away {
            host.vain_calls += 1;
            let at = match self.outage.absence {
                Absence::Silent if is_probe => now + PROBE_TIMEOUT,
                Absence::Silent => now + READ_TIMEOUT,
                Absence::Refusing => now + ROUND_TRIP,
            };
            host.selector.store_failed(at);
            return at;
        }
        host.selector.store_answered();
        host.reading = now + ROUND_TRIP;
        now + ROUND_TRIP + if is_probe { Duration::ZERO } else { READ_WAIT }
    }
}

/// Most calls of one host to a store that is away, within the time in which its return must
/// be noticed, and at the start of the outage.
const CALLS_PER_BOUND: f64 = 4.0;
const FIRST_CALLS: f64 = 3.0;
/// Age of a reading up to which requests with a key are accepted.
const MAX_AGE: Duration = Duration::from_millis(4300);
/// Lengths of outages, in ms.
const LENGTHS_MS: std::ops::Range<u64> = 300..20_000;
const SEEDS: u64 = 24;

/// A replay of an outage of a random length.
struct Play {
    seed: u64,
    rng: ChaCha8Rng,
    length: Duration,
    replay: Replay,
}

/// Replays of outages for all hosts, by seed.
fn plays(hosts: usize, absence: Absence) -> impl Iterator<Item = Play> {
    (0..SEEDS).map(move |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = Duration::from_millis(rng.random_range(LENGTHS_MS));
        let outage = Outage {
            absence,
            until: START + length,
            is_partial: false,
            refuses_some_until: START,
        };
        let replay = Replay::new(hosts, outage, &mut rng);
        Play {
            seed,
            rng,
            length,
            replay,
        }
    })
}

/// Callers got what an outdated configuration says for up to four seconds after the store
/// had returned and confirmed a newer one.
#[rstest]
fn configuration_is_read_in_time_after_an_outage_of_the_store(
    #[values(1, 9, 80)] hosts: usize,
    #[values(Absence::Silent, Absence::Refusing)] absence: Absence,
    #[values(false, true)] freezes: bool,
) {
    for play in plays(hosts, absence) {
        let Play {
            seed,
            mut rng,
            length,
            mut replay,
        } = play;
        let until = START + length;
        replay.run(START + length / 2);
        if freezes && hosts > 1 {
            let frozen = rng.random_range(0..hosts);
            replay.hosts[frozen].is_frozen = true;
        }
        replay.run(until + IN_FORCE);
        let late: Vec<usize> = (0..hosts)
            .filter(|index| {
                let host = &replay.hosts[*index];
                !host.is_frozen && host.reading < until
            })
            .collect();
        assert!(late.is_empty(), "seed {seed}, {length:?}: {late:?}");
    }
}

/// A store that is away is not called more often than a few times within the time in which
/// its return must be noticed.
#[rstest]
fn hosts_call_a_store_that_is_away_rarely(
    #[values(1, 9, 80)] hosts: usize,
    #[values(Absence::Silent, Absence::Refusing)] absence: Absence,
) {
    for play in plays(hosts, absence) {
        let Play {
            seed,
            length,
            mut replay,
            ..
        } = play;
        replay.run(START + length);
        let calls = replay.hosts.iter().map(|host| host.vain_calls);
        let most = calls.max().expect("a host");
        let allowed = length.div_duration_f64(IN_FORCE) * CALLS_PER_BOUND;
        assert!(
            f64::from(most) <= allowed + FIRST_CALLS,
            "seed {seed}, {length:?}: {most}"
        );
    }
}

/// A store that refuses some hosts only: these read from others without a gap, and call
/// the store less and less often.
#[rstest]
fn hosts_that_the_store_refuses_read_from_others(
    #[values(9, 80)] hosts: usize,
    #[values(Absence::Silent, Absence::Refusing)] absence: Absence,
) {
    for play in plays(hosts, absence) {
        let Play {
            seed,
            length,
            mut replay,
            ..
        } = play;
        replay.outage.is_partial = true;
        replay.run(START + length);
        for (index, host) in replay.hosts.iter().enumerate() {
            let Host {
                max_age,
                vain_calls,
                ..
            } = host;
            assert!(
                *max_age <= MAX_AGE,
                "seed {seed}, host {index}: {max_age:?}"
            );
            let allowed = length.div_duration_f64(IN_FORCE) + FIRST_CALLS;
            assert!(
                f64::from(*vain_calls) <= allowed,
                "seed {seed}, host {index}, {length:?}: {vain_calls}"
            );
        }
    }
}

/// Time by which an unstable store stretches the bound on configuration.
const SKEW: Duration = Duration::from_secs(5);

/// Hosts that a store refused after its return got nothing from the others for up to eight
/// seconds, because these had been outdated during the outage.
#[rstest]
fn hosts_that_the_store_refuses_after_an_outage_read_from_others(
    #[values(9, 80)] hosts: usize,
    #[values(Absence::Silent, Absence::Refusing)] absence: Absence,
) {
    for play in plays(hosts, absence) {
        let Play {
            seed,
            length,
            mut replay,
            ..
        } = play;
        let until = START + length;
        let in_force = until + IN_FORCE + SKEW;
        replay.outage.refuses_some_until = in_force;
        replay.run(in_force);
        let indexed = replay.hosts.iter().enumerate();
        let late: Vec<usize> = indexed
            .filter(|(_, host)| host.reading < until)
            .map(|(index, _)| index)
            .collect();
        assert!(late.is_empty(), "seed {seed}, {length:?}: {late:?}");
    }
}
