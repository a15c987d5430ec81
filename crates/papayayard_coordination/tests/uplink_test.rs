//! A host that loses its way to all endpoints knows it soon, and crashes of endpoints do not
//! mislead it.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::time::Duration;

use papayayard_coordination::uplink::{Change, Comparison, Evidence, Probe, Target, Uplink};
use papayayard_wire::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const RESET_TIMEOUT: Duration = Duration::from_millis(900);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a request is sent elsewhere without an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a request that may run once is given up without an answer: its deadline.
const DEADLINE: Duration = Duration::from_secs(5);
const ROUND_TRIP: Duration = Duration::from_millis(2);
const ANSWER_TIME: Duration = Duration::from_millis(60);
const LONG_ANSWER_TIME: Duration = Duration::from_secs(3);
const ZONES: usize = 3;
const MAX_ATTEMPTS: usize = 6;
const FAULT_START: Duration = Duration::from_secs(5);
const FAULT_END: Duration = Duration::from_secs(17);
const END: Duration = Duration::from_secs(25);
const SEEDS: u64 = 40;

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// New connections time out, and open ones transmit nothing.
    Hang,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones transmit nothing.
    Refuse,
    /// New connections are refused, and open ones go on.
    Spare,
    /// Connections are accepted, and reset once something is sent.
    Close,
    /// Connections are accepted and transmit nothing.
    Mute,
    /// New connections are accepted and reset once something is sent, and open ones go on.
    SpareClose,
    /// New connections are accepted and transmit nothing, and open ones go on.
    SpareMute,
}

/// Times at which an endpoint cannot be reached.
type Fault = Box<dyn Fn(usize, Duration) -> bool>;

struct World {
    kind: Kind,
    fault: Fault,
    targets: Vec<Target>,
    /// Endpoints to which there is an idle connection, and the time at which it was opened.
    idle: HashMap<usize, Duration>,
    /// Time from a request to the head of its answer.
    answer_time: Duration,
    /// Whether the fault concerns the way to other hosts, too.
    cuts_hosts: bool,
    /// Whether requests that were sent are not repeated, so that each lasts to its deadline.
    runs_once: bool,
}

enum Action {
    Request,
    Attempt(Vec<usize>),
    /// Evidence of an attempt, and the endpoints tried if another attempt follows.
    Report(usize, Evidence, Option<Vec<usize>>),
    Outcome(Probe, bool),
    Compared(Comparison),
}

struct Replay {
    world: World,
    uplink: Uplink,
    rng: ChaCha8Rng,
    period: Duration,
    due: BTreeMap<(Duration, u64), Action>,
    sequence: u64,
    changes: Vec<(Duration, Change)>,
    probes: Vec<Duration>,
}

impl Replay {
    fn new(number: usize, kind: Kind, period: Duration, seed: u64, fault: Fault) -> Self {
        let targets = (0..number).map(|index| Target {
            endpoint: id::Endpoint::from(format!("e-{index}")),
            zone: id::Zone::from(format!("zone-{}", index % ZONES)),
        });
        let world = World {
            kind,
            fault,
            targets: targets.collect(),
            idle: HashMap::new(),
            answer_time: ANSWER_TIME,
            cuts_hosts: false,
            runs_once: false,
        };
        let mut uplink = Uplink::new(seed);
        assert_eq!(
            uplink.set_targets(world.targets.clone(), Duration::ZERO),
            None
        );
        Self {
            world,
            uplink,
            rng: ChaCha8Rng::seed_from_u64(seed),
            period,
            due: BTreeMap::new(),
            sequence: 0,
            changes: Vec::new(),
            probes: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        self.schedule(Duration::ZERO, Action::Request);
        loop {
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let probe = self.uplink.next_probe();
            let now = match (next, probe) {
                (Some(next), Some(probe)) => next.min(probe),
                (Some(at), None) | (None, Some(at)) => at,
                (None, None) => return self,
            };
            if now > END {
                return self;
            }
            if next == Some(now)
                && let Some((_, action)) = self.due.pop_first()
            {
                self.perform(action, now);
            }
            let round = self.uplink.probes(now);
            for probe in round.probes {
                self.probe(probe, now);
            }
            if round.compares {
                self.compare(now);
            }
        }
    }

    fn schedule(&mut self, at: Duration, action: Action) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), action);
    }

    fn perform(&mut self, action: Action, now: Duration) {
        let change = match action {
            Action::Request => {
                let jitter = self.rng.random_range(0.5..1.5);
                let next = now + self.period.mul_f64(jitter);
                self.schedule(next, Action::Request);
                self.attempt(Vec::new(), now);
                None
            }
            Action::Attempt(tried) => {
                self.attempt(tried, now);
                None
            }
            Action::Report(index, evidence, tried) => {
                let retry = tried.filter(|tried| tried.len() < MAX_ATTEMPTS);
                if let Some(tried) = retry {
                    self.schedule(now, Action::Attempt(tried));
                }
                if let Evidence::Answered { opened } = evidence {
                    self.world.idle.insert(index, opened);
                }
                let endpoint = self.world.targets[index].endpoint.clone();
                self.uplink.record(&endpoint, evidence, now)
            }
            Action::Outcome(probe, is_connected) => self.uplink.probed(&probe, is_connected, now),
            Action::Compared(comparison) => self.uplink.compared(comparison, now),
        };
        if let Some(change) = change {
            self.changes.push((now, change));
        }
    }

    /// Sends a request to an endpoint that it has not tried.
    fn attempt(&mut self, mut tried: Vec<usize>, now: Duration) {
        let all = 0..self.world.targets.len();
        let left: Vec<usize> = all.filter(|index| !tried.contains(index)).collect();
        if left.is_empty() {
            return;
        }
        let index = left[self.rng.random_range(0..left.len())];
        tried.push(index);
        // Half of the requests find the idle connection in use.
        let is_reused = self.rng.random_bool(0.5) && self.world.idle.contains_key(&index);
        let is_cut = (self.world.fault)(index, now);
        let opened = if is_reused {
            self.world.idle.remove(&index).unwrap_or_default()
        } else {
            now + ROUND_TRIP
        };
        let answered = Action::Report(index, Evidence::Answered { opened }, None);
        let runs_once = self.world.runs_once;
        let silent = |tried| {
            let is_new = !is_reused;
            let retry = (!runs_once).then_some(tried);
            Action::Report(index, Evidence::Silent { is_new }, retry)
        };
        let answer_timeout = if runs_once { DEADLINE } else { ANSWER_TIMEOUT };
        let answer_time = self.world.answer_time;
        match (self.world.kind, is_cut, is_reused) {
            (_, false, false) => self.schedule(now + ROUND_TRIP + answer_time, answered),
            (_, false, true) | (Kind::Spare | Kind::SpareClose | Kind::SpareMute, true, true) => {
                self.schedule(now + answer_time, answered);
            }
            (Kind::Mute | Kind::SpareMute, true, _) => {
                self.schedule(now + answer_timeout, silent(tried));
            }
            (Kind::Close | Kind::SpareClose, true, false) => {
                self.schedule(now + 2 * ROUND_TRIP, silent(tried));
            }
            (Kind::Hang | Kind::Refuse, true, true) => {
                self.schedule(now + RESET_TIMEOUT, silent(tried));
            }
            (Kind::Reset | Kind::Close, true, true) => {
                self.schedule(now + ROUND_TRIP, silent(tried));
            }
            (kind, true, false) => {
                let unreachable = Action::Report(index, Evidence::Unreachable, Some(tried));
                self.schedule(now + failed_probe_time(kind), unreachable);
            }
        }
    }

    fn probe(&mut self, probe: Probe, now: Duration) {
        self.probes.push(now);
        let mut targets = self.world.targets.iter();
        let index = targets.position(|target| target.endpoint == probe.endpoint);
        let index = index.expect("only listed endpoints are probed");
        let is_cut = (self.world.fault)(index, now);
        let time = if is_cut {
            failed_probe_time(self.world.kind)
        } else {
            ROUND_TRIP
        };
        self.schedule(now + time, Action::Outcome(probe, !is_cut));
    }

    /// Connects to another host.
    fn compare(&mut self, now: Duration) {
        let is_cut = self.world.cuts_hosts && (self.world.fault)(0, now);
        let (time, comparison) = if is_cut {
            (CONNECT_TIMEOUT, Comparison::Unreachable)
        } else {
            (ROUND_TRIP, Comparison::Reached)
        };
        self.schedule(now + time, Action::Compared(comparison));
    }

    fn probes_in(&self, span: Range<Duration>) -> usize {
        let probes = self.probes.iter();
        probes.filter(|at| span.contains(*at)).count()
    }
}

/// Time until a new connection, or a probe that is to be answered on one, has failed.
fn failed_probe_time(kind: Kind) -> Duration {
    match kind {
        Kind::Hang => CONNECT_TIMEOUT,
        Kind::Mute | Kind::SpareMute => PROBE_TIMEOUT,
        _ => ROUND_TRIP,
    }
}

fn cut(_: usize, now: Duration) -> bool {
    (FAULT_START..FAULT_END).contains(&now)
}

fn per_second(rate: u32) -> Duration {
    Duration::from_secs(1) / rate
}

/// Guards against a cut that is hidden by answers on connections opened before it: to endpoints
/// that have accepted a new one, and the first answers on connections, if these take long.
#[rstest]
fn answers_on_older_connections_do_not_hide_a_cut(
    #[values(Kind::Spare, Kind::SpareClose, Kind::SpareMute)] kind: Kind,
    #[values(3, 18, 90)] endpoints: usize,
    #[values(5, 20)] rate: u32,
    #[values(ANSWER_TIME, LONG_ANSWER_TIME)] answer_time: Duration,
) {
    for seed in 0..SEEDS {
        let mut replay = Replay::new(endpoints, kind, per_second(rate), seed, Box::new(cut));
        replay.world.answer_time = answer_time;
        let replay = replay.run();
        let [
            (detached_at, Change::Detached { .. }),
            (attached_at, Change::Attached { .. }),
        ] = replay.changes.as_slice()
        else {
            panic!("seed {seed}: {:?}", replay.changes);
        };
        let detection = detached_at.saturating_sub(FAULT_START);
        // With few endpoints most requests find an open connection, and run.
        let bound_ms = match kind {
            _ if endpoints == 3 => 5000,
            Kind::SpareMute => 3000,
            _ => 2000,
        };
        assert!(
            detection < Duration::from_millis(bound_ms),
            "seed {seed}: {detection:?}"
        );
        let recovery = attached_at.saturating_sub(FAULT_END);
        assert!(
            recovery < Duration::from_secs(1),
            "seed {seed}: {recovery:?}"
        );
    }
}

/// Guards against hosts that go on trying endpoints while they reach none, and against hosts
/// that pass requests on after the cut has healed.
#[rstest]
fn a_cut_is_known_in_time_and_so_is_its_end(
    #[values(
        Kind::Hang,
        Kind::Reset,
        Kind::Refuse,
        Kind::Spare,
        Kind::Close,
        Kind::Mute
    )]
    kind: Kind,
    #[values(3, 18, 90)] endpoints: usize,
) {
    for seed in 0..SEEDS {
        let replay = Replay::new(endpoints, kind, per_second(5), seed, Box::new(cut)).run();
        let [
            (detached_at, Change::Detached { failed, probes }),
            (attached_at, Change::Attached { .. }),
        ] = replay.changes.as_slice()
        else {
            panic!("seed {seed}: {:?}", replay.changes);
        };
        let detection = detached_at.saturating_sub(FAULT_START);
        // With few endpoints most requests find an open connection, and run.
        let bound_ms = match kind {
            Kind::Spare if endpoints == 3 => 5000,
            Kind::Reset => 1000,
            Kind::Mute => 3000,
            _ => 2000,
        };
        assert!(
            detection < Duration::from_millis(bound_ms),
            "seed {seed}: {detection:?}"
        );
        assert!(failed.len() >= 3, "seed {seed}: {failed:?}");
        assert!(*probes <= 8, "seed {seed}: {probes}");
        let recovery = attached_at.saturating_sub(FAULT_END);
        assert!(
            recovery < Duration::from_secs(1),
            "seed {seed}: {recovery:?}"
        );
        assert_eq!(
            replay.probes_in(Duration::ZERO..FAULT_START),
            0,
            "seed {seed}"
        );
        // Two endpoints in 400 ms for as long as the host is detached.
        let during = replay.probes_in(*detached_at..FAULT_END);
        assert!(during <= 62, "seed {seed}: {during}");
    }
}

/// Guards against a host that learns nothing of a cut before its requests' deadlines, since each of
/// them waits for an answer until then.
#[rstest]
fn a_cut_is_known_in_time_although_requests_wait_to_their_deadlines(
    #[values(3, 18, 90)] endpoints: usize,
    #[values(5, 20)] rate: u32,
) {
    for seed in 0..SEEDS {
        let period = per_second(rate);
        let mut replay = Replay::new(endpoints, Kind::Mute, period, seed, Box::new(cut));
        replay.world.runs_once = true;
        let replay = replay.run();
        let first = replay.changes.first();
        let Some((detached_at, Change::Detached { .. })) = first else {
            panic!("seed {seed}: {:?}", replay.changes);
        };
        let detection = detached_at.saturating_sub(FAULT_START);
        assert!(
            detection < Duration::from_secs(3),
            "seed {seed}: {detection:?}"
        );
    }
}

/// Guards against hosts on a congested network that take themselves for detached, although other
/// hosts are out of reach too.
#[rstest]
fn a_host_that_reaches_no_other_host_either_is_not_detached(
    #[values(Kind::Hang, Kind::Mute, Kind::SpareMute)] kind: Kind,
    #[values(3, 18, 90)] endpoints: usize,
) {
    for seed in 0..SEEDS {
        let mut replay = Replay::new(endpoints, kind, per_second(20), seed, Box::new(cut));
        replay.world.cuts_hosts = true;
        let replay = replay.run();
        assert_eq!(replay.changes, [], "seed {seed}");
    }
}

#[rstest]
fn a_host_with_few_requests_knows_a_cut(
    #[values(
        Kind::Hang,
        Kind::Reset,
        Kind::Refuse,
        Kind::Spare,
        Kind::Close,
        Kind::Mute,
        Kind::SpareClose,
        Kind::SpareMute
    )]
    kind: Kind,
) {
    for seed in 0..SEEDS {
        let replay = Replay::new(18, kind, per_second(1), seed, Box::new(cut)).run();
        let changes = &replay.changes;
        assert_eq!(changes.len(), 2, "seed {seed}: {changes:?}");
        let detection = changes[0].0.saturating_sub(FAULT_START);
        assert!(
            detection < Duration::from_secs(6),
            "seed {seed}: {detection:?}"
        );
    }
}

/// Guards against hosts that pass their requests on, or give up their duties, because endpoints
/// have crashed together or because one zone is cut off.
#[rstest]
fn endpoints_that_fail_together_detach_no_host(
    #[values(
        Kind::Hang,
        Kind::Reset,
        Kind::Refuse,
        Kind::Spare,
        Kind::Close,
        Kind::Mute,
        Kind::SpareClose,
        Kind::SpareMute
    )]
    kind: Kind,
    #[values(9, 18, 90)] endpoints: usize,
    #[values(true, false)] is_zone: bool,
    #[values(1, 5, 50)] rate: u32,
) {
    for seed in 0..SEEDS {
        let fault = move |index: usize, now: Duration| {
            let is_affected = if is_zone {
                index.is_multiple_of(ZONES)
            } else {
                index < endpoints / 3
            };
            is_affected && cut(index, now)
        };
        let replay = Replay::new(endpoints, kind, per_second(rate), seed, Box::new(fault)).run();
        assert_eq!(replay.changes, Vec::new(), "seed {seed}");
        let during = replay.probes_in(FAULT_START..FAULT_END + CONNECT_TIMEOUT);
        assert!(during <= 4 * 13, "seed {seed}: {during}");
    }
}

/// Guards against hosts that take endpoints which restart or are silent one after the other for a
/// cut of their own, while most answers arrive on older connections or take long.
#[rstest]
fn endpoints_that_are_away_for_a_second_detach_no_host(
    #[values(Kind::Reset, Kind::Close, Kind::SpareClose, Kind::SpareMute)] kind: Kind,
    #[values(9, 90)] endpoints: usize,
    #[values(5, 50)] rate: u32,
    #[values(ANSWER_TIME, LONG_ANSWER_TIME)] answer_time: Duration,
) {
    for seed in 0..SEEDS {
        let fault = |index: usize, now: Duration| {
            let turn = usize::try_from(now.as_secs()).expect("a short replay");
            index % ZONES == turn % ZONES && cut(index, now)
        };
        let mut replay = Replay::new(endpoints, kind, per_second(rate), seed, Box::new(fault));
        replay.world.answer_time = answer_time;
        let replay = replay.run();
        assert_eq!(replay.changes, Vec::new(), "seed {seed}");
    }
}

/// Guards against a state that follows each failure and success of a link that flaps.
#[rstest]
fn a_flapping_link_changes_the_state_seldom(
    #[values(
        Kind::Hang,
        Kind::Reset,
        Kind::Refuse,
        Kind::Spare,
        Kind::Close,
        Kind::Mute,
        Kind::SpareClose,
        Kind::SpareMute
    )]
    kind: Kind,
    #[values(100, 300, 700)] half_ms: u64,
) {
    for seed in 0..SEEDS {
        let flapping = move |index: usize, now: Duration| {
            let halves = now.as_millis() / u128::from(half_ms);
            cut(index, now) && halves.is_multiple_of(2)
        };
        let replay = Replay::new(18, kind, per_second(5), seed, Box::new(flapping)).run();
        let changes = &replay.changes;
        assert!(!replay.uplink.is_detached(), "seed {seed}: {changes:?}");
        // At most once to and fro in the time between two verifications.
        assert!(changes.len() <= 2 * 12, "seed {seed}: {}", changes.len());
        for pair in changes.chunks(2) {
            let [(detached_at, _), (attached_at, _)] = pair else {
                panic!("seed {seed}: {pair:?}");
            };
            let time = attached_at.saturating_sub(*detached_at);
            assert!(time < Duration::from_millis(1700), "seed {seed}: {time:?}");
        }
    }
}

/// Guards against hosts that never ask others because they know too few endpoints to be sure.
#[rstest]
fn a_host_whose_few_endpoints_are_all_dead_is_detached(#[values(1, 2)] endpoints: usize) {
    let replay = Replay::new(endpoints, Kind::Reset, per_second(5), 1, Box::new(cut)).run();
    let changes: Vec<bool> = replay
        .changes
        .iter()
        .map(|(_, change)| matches!(change, Change::Detached { .. }))
        .collect();
    assert_eq!(changes, [true, false]);
}

#[test]
fn calm_costs_no_probes() {
    let calm = |_: usize, _: Duration| false;
    let replay = Replay::new(18, Kind::Hang, per_second(50), 1, Box::new(calm)).run();
    assert!(replay.probes.is_empty());
    assert!(replay.changes.is_empty());
}

fn targets(names: &[&str]) -> Vec<Target> {
    let listed = names.iter().map(|name| Target {
        endpoint: id::Endpoint::from(*name),
        zone: id::Zone::from("a"),
    });
    listed.collect()
}

fn suspect(uplink: &mut Uplink, names: &[&str], now: Duration) -> Vec<Probe> {
    for name in names {
        let endpoint = id::Endpoint::from(*name);
        let change = uplink.record(&endpoint, Evidence::Unreachable, now);
        assert_eq!(change, None);
    }
    start_round(uplink, now)
}

/// Starts the probes that are due, at a host that knows no other one.
fn start_round(uplink: &mut Uplink, now: Duration) -> Vec<Probe> {
    let round = uplink.probes(now);
    if round.compares {
        assert_eq!(uplink.compared(Comparison::Alone, now), None);
    }
    round.probes
}

/// Guards against suspicion of the host's network by endpoints that have left the list.
#[test]
fn endpoints_that_are_gone_do_not_count() {
    let mut uplink = Uplink::new(1);
    uplink.set_targets(targets(&["a", "b", "c", "d", "e"]), FAULT_START);
    assert_eq!(suspect(&mut uplink, &["a", "b"], FAULT_START), []);
    uplink.set_targets(targets(&["c", "d", "e"]), FAULT_START);
    assert_eq!(suspect(&mut uplink, &["a", "b", "c"], FAULT_START), []);
}

/// Guards against a verification that never ends because the endpoints left to probe are gone.
#[test]
fn a_list_that_shrinks_ends_the_verification() {
    let mut uplink = Uplink::new(1);
    uplink.set_targets(targets(&["a", "b", "c", "d", "e", "f"]), FAULT_START);
    let probes = suspect(&mut uplink, &["a", "b", "c"], FAULT_START);
    assert_eq!(probes.len(), 4);
    for probe in &probes {
        assert_eq!(uplink.probed(probe, false, FAULT_START), None);
    }
    let left: Vec<&str> = probes.iter().map(|probe| probe.endpoint.as_str()).collect();
    let change = uplink.set_targets(targets(&left), FAULT_START);
    assert!(
        matches!(change, Some(Change::Detached { .. })),
        "{change:?}"
    );
    assert!(uplink.is_detached());
}

/// Guards against a host that stays detached because its list was empty for a moment.
#[test]
fn probes_go_on_after_the_list_was_empty() {
    let mut uplink = Uplink::new(1);
    uplink.set_targets(targets(&["a"]), FAULT_START);
    for probe in suspect(&mut uplink, &["a"], FAULT_START) {
        uplink.probed(&probe, false, FAULT_START);
    }
    assert!(uplink.is_detached());
    uplink.set_targets(Vec::new(), FAULT_START);
    assert_eq!(uplink.next_probe(), None);
    uplink.set_targets(targets(&["b"]), FAULT_START);
    let due = uplink.next_probe().expect("a probe is due");
    let probes = start_round(&mut uplink, due);
    let change = uplink.probed(&probes[0], true, due);
    assert!(
        matches!(change, Some(Change::Attached { .. })),
        "{change:?}"
    );
}

/// Requests go to the same few endpoints again and again while their host reaches none. With
/// `number` of these, all probes fail; a single one that is down says nothing of the host.
#[rstest]
#[case::one(1, None)]
#[case::two(2, Some(4))]
fn failures_at_the_same_few_endpoints_make_a_host_detached(
    #[case] number: usize,
    #[case] expected: Option<usize>,
) {
    let mut uplink = Uplink::new(1);
    let targets = (0..9).map(|index| Target {
        endpoint: id::Endpoint::from(format!("e-{index}")),
        zone: id::Zone::from("a"),
    });
    let targets: Vec<Target> = targets.collect();
    uplink.set_targets(targets.clone(), Duration::ZERO);
    let mut detached_after = None;
    for attempt in 0..20 {
        let now = Duration::from_millis(200) * u32::try_from(attempt).expect("few attempts");
        let endpoint = &targets[attempt % number].endpoint;
        uplink.record(endpoint, Evidence::Unreachable, now);
        loop {
            let probes = start_round(&mut uplink, now);
            if probes.is_empty() || uplink.is_detached() {
                break;
            }
            for probe in probes {
                uplink.probed(&probe, false, now);
            }
        }
        if uplink.is_detached() {
            detached_after.get_or_insert(attempt + 1);
        }
    }
    assert_eq!(detached_after, expected);
}
