//! Leases: the holder by the log's clock, and whether a host may act by its own.

use std::time::Duration;

use papayayard_coordination::holder::{Holder, Step, Times};
use papayayard_coordination::lease::{self, Action, Table, Verdict};
use papayayard_wire::{id, log};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const NAME: &str = "orders/match-llm";
const HOLD: Action = Action::Hold { ttl_ms: 12_000 };

fn host_id(index: usize) -> id::Host {
    id::Host::from(format!("entry-{index}"))
}

fn record(offset: u64, time_ms: u64, holder: usize, action: Action) -> log::Record {
    let content = lease::Record {
        format: lease::FORMAT,
        lease: NAME.to_owned(),
        holder: host_id(holder % 10),
        run: holder as u64 / 10,
        action,
    };
    log::Record {
        offset: log::Offset(offset),
        id: id::Record::from(format!("r{offset}")),
        time_ms,
        payload: serde_json::value::to_raw_value(&content).unwrap(),
    }
}

#[rstest]
#[case::free(&[(0, 1, HOLD)], Verdict::Taken(id::Fence(0)))]
#[case::held(&[(0, 1, HOLD), (11_999, 2, HOLD)], Verdict::Refused)]
#[case::over(&[(0, 1, HOLD), (12_000, 2, HOLD)], Verdict::Taken(id::Fence(1)))]
#[case::extended(&[(0, 1, HOLD), (6_000, 1, HOLD)], Verdict::Extended(id::Fence(0)))]
#[case::held_longer(&[(0, 1, HOLD), (6_000, 1, HOLD), (17_999, 2, HOLD)], Verdict::Refused)]
#[case::too_late_to_extend(&[(0, 1, HOLD), (12_000, 1, HOLD)], Verdict::Taken(id::Fence(1)))]
#[case::released(&[(0, 1, HOLD), (1, 1, Action::Release), (2, 2, HOLD)],
    Verdict::Taken(id::Fence(2)))]
#[case::released_by_another(&[(0, 1, HOLD), (1, 2, Action::Release)], Verdict::Refused)]
#[case::by_another_run(&[(0, 1, HOLD), (1, 11, HOLD)], Verdict::Refused)]
#[case::released_by_another_run(&[(0, 11, HOLD), (1, 1, Action::Release)], Verdict::Refused)]
#[case::clock_steps_back(&[(9_000, 1, HOLD), (0, 1, HOLD), (20_999, 2, HOLD)], Verdict::Refused)]
#[case::clock_is_set_right(&[(9_000, 1, HOLD), (9_000, 1, Action::Release), (0, 2, HOLD),
    (13_000, 1, HOLD)], Verdict::Refused)]
#[case::extended_by_less(&[(0, 1, HOLD), (1, 1, Action::Hold { ttl_ms: 1 }), (5_000, 2, HOLD)],
    Verdict::Refused)]
#[case::too_long(&[(0, 1, Action::Hold { ttl_ms: 120_001 })], Verdict::Skipped)]
#[case::endless(&[(0, 1, Action::Hold { ttl_ms: u64::MAX })], Verdict::Skipped)]
fn the_records_decide_the_holder(#[case] records: &[(u64, usize, Action)], #[case] last: Verdict) {
    let mut table = Table::default();
    let mut verdict = Verdict::Skipped;
    for (offset, (time_ms, holder, action)) in (0..).zip(records) {
        verdict = table.apply(&record(offset, *time_ms, *holder, *action));
    }
    assert_eq!(verdict, last);
}

#[rstest]
#[case::not_ours("{\"a\":1}")]
#[case::truncated("\"{\"")]
#[case::other_format(r#"{"format":9,"lease":"x","holder":"h","run":1,"action":"release"}"#)]
fn other_records_are_skipped(#[case] payload: &str) {
    let mut table = Table::default();
    let mut foreign = record(0, 0, 1, HOLD);
    foreign.payload = serde_json::value::RawValue::from_string(payload.to_owned()).unwrap();
    assert_eq!(table.apply(&foreign), Verdict::Skipped);
    assert_eq!(table.next(), log::Offset(1));
    assert!(table.get(NAME).is_none());
}

#[test]
fn a_record_that_is_stored_twice_counts_once() {
    let mut table = Table::default();
    let first = record(0, 0, 1, HOLD);
    assert_eq!(table.apply(&first), Verdict::Taken(id::Fence(0)));
    let mut again = record(1, 5_000, 1, HOLD);
    again.id = first.id.clone();
    assert_eq!(table.apply(&again), Verdict::Refused);
    assert_eq!(table.get(NAME).unwrap().until_ms, 12_000);
}

/// Run number of a process that starts at `now`.
fn run_number(now: Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap()
}

/// Simulated host, whose clock runs at `clock_percent` of true time.
struct Host {
    holder: Holder,
    table: Table,
    clock_percent: u32,
    paused_until: Duration,
    run: u64,
}

impl Host {
    fn new(index: usize, clock_percent: u32, now: Duration) -> Self {
        let at = now * clock_percent / 100;
        let delay = Duration::from_secs(index as u64);
        let run = run_number(now);
        Self {
            holder: Holder::new(host_id(index), run, Times::default(), delay, at),
            table: Table::default(),
            clock_percent,
            paused_until: now,
            run,
        }
    }

    fn local_time(&self, now: Duration) -> Duration {
        now * self.clock_percent / 100
    }

    fn read(&mut self, stream: &[log::Record], now: Duration) {
        let at = self.local_time(now);
        let from = usize::try_from(self.table.next().0).unwrap();
        for record in &stream[from..] {
            let verdict = self.table.apply(record);
            let lease = self.table.get(NAME);
            self.holder.observe(&record.id, verdict, lease, at);
        }
    }
}

/// An append in flight: the time at which it is stored, and its content.
type PendingAppend = (Duration, usize, id::Record, Action);

/// An append whose answer is lost: the time at which its host knows, the host with its
/// run, and the record, which may be stored nevertheless.
type FailedAppend = (Duration, (usize, u64), id::Record);

fn store(stream: &mut Vec<log::Record>, append: PendingAppend) {
    let (at, holder, id, action) = append;
    let time_ms = u64::try_from(at.as_millis()).unwrap();
    let mut stored = record(stream.len() as u64, time_ms, holder, action);
    stored.id = id;
    stream.push(stored);
}

/// At most one host may act at a time despite pauses past the end of the lease, lost
/// and late appends, log outages, drifting clocks, planned stops and restarts.
#[test]
fn two_hosts_never_act_at_the_same_time() {
    let mut held_steps = 0;
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Duration::from_secs(100);
        let mut hosts: Vec<Host> = (0..3)
            .map(|index| Host::new(index, random.random_range(95..=105), now))
            .collect();
        let mut stream: Vec<log::Record> = Vec::new();
        let mut pending: Vec<PendingAppend> = Vec::new();
        let mut failed: Vec<FailedAppend> = Vec::new();
        let mut number = 0;
        let mut last = id::Fence(0);
        for _ in 0..300 {
            now += Duration::from_millis(random.random_range(0..800));
            pending.sort_by_key(|append| append.0);
            let due = pending.iter().take_while(|append| append.0 <= now).count();
            for append in pending.drain(..due) {
                store(&mut stream, append);
            }
            let index = random.random_range(0..3);
            let host = &mut hosts[index];
            let run = host.run;
            let known = failed.extract_if(.., |failed| failed.0 <= now && failed.1 == (index, run));
            for (_, _, id) in known {
                host.holder.append_failed(&id);
            }
            if now >= host.paused_until {
                match random.random_range(0..40) {
                    0 => host.paused_until = now + Duration::from_secs(random.random_range(5..30)),
                    1 => host.holder.stop(),
                    2 => *host = Host::new(index, host.clock_percent, now),
                    3..=20 => host.read(&stream, now),
                    _ => {
                        let at = host.local_time(now);
                        if let Step::Append(action) = host.holder.step(at) {
                            number += 1;
                            let id = id::Record::from(format!("a{number}"));
                            host.holder.sent(id.clone(), at);
                            let delay = Duration::from_millis(random.random_range(0..15_000));
                            if random.random_bool(0.8) {
                                let holder = index + 10 * usize::try_from(host.run).unwrap();
                                pending.push((now + delay / 5, holder, id.clone(), action));
                            }
                            if random.random_bool(0.5) {
                                failed.push((now + delay / 7, (index, host.run), id));
                            }
                        }
                    }
                }
            }
            let acting: Vec<id::Fence> = hosts
                .iter()
                .filter_map(|host| host.holder.fence(host.local_time(now)))
                .collect();
            assert!(acting.len() <= 1, "seed {seed} at {now:?}: {acting:?}");
            if let Some(fence) = acting.first() {
                assert!(
                    *fence >= last,
                    "seed {seed} at {now:?}: {fence:?} after {last:?}"
                );
                last = *fence;
                held_steps += 1;
            }
        }
    }
    assert!(
        held_steps > 30_000,
        "the lease was rarely held: {held_steps}"
    );
}

#[test]
fn a_holder_paused_past_the_end_of_its_lease_may_not_act() {
    let mut host = Host::new(0, 100, Duration::ZERO);
    let start = Duration::from_secs(1);
    assert_eq!(host.holder.step(start), Step::Append(HOLD));
    host.holder.sent(id::Record::from("r0"), start);
    host.read(&[record(0, 1_000, 0, HOLD)], start);
    assert_eq!(host.holder.fence(start), Some(id::Fence(0)));
    let end = start + Times::default().ttl.saturating_sub(Times::default().margin);
    assert_eq!(host.holder.fence(end), None);
}

#[test]
fn a_record_read_late_does_not_lengthen_the_lease() {
    let mut host = Host::new(0, 100, Duration::ZERO);
    host.holder.sent(id::Record::from("r0"), Duration::ZERO);
    let late = Duration::from_secs(10);
    host.read(&[record(0, 9_000, 0, HOLD)], late);
    assert_eq!(host.holder.fence(late), None);
}

#[test]
fn a_planned_stop_hands_the_lease_over() {
    let mut hosts = [
        Host::new(0, 100, Duration::ZERO),
        Host::new(1, 100, Duration::ZERO),
    ];
    let mut stream = vec![record(0, 0, 0, HOLD)];
    hosts[0].holder.sent(id::Record::from("r0"), Duration::ZERO);
    for host in &mut hosts {
        host.read(&stream, Duration::ZERO);
    }
    let now = Duration::from_secs(2);
    hosts[0].holder.stop();
    assert_eq!(hosts[0].holder.fence(now), None);
    assert!(!hosts[0].holder.is_released(now));
    assert_eq!(hosts[0].holder.step(now), Step::Append(Action::Release));
    hosts[0].holder.sent(id::Record::from("r1"), now);
    stream.push(record(1, 2_000, 0, Action::Release));
    for host in &mut hosts {
        host.read(&stream, now);
    }
    assert!(hosts[0].holder.is_released(now));
    let soon = now + Duration::from_secs(1);
    assert_eq!(hosts[1].holder.step(soon), Step::Append(HOLD));
}

/// The log is away when the lease is due to be extended, and is back before it ends.
#[test]
fn a_lease_whose_extension_failed_is_extended_before_it_ends() {
    let mut host = Host::new(0, 100, Duration::ZERO);
    host.holder.sent(id::Record::from("r0"), Duration::ZERO);
    host.read(&[record(0, 0, 0, HOLD)], Duration::ZERO);
    let mut now = Times::default().renew_interval;
    assert_eq!(host.holder.step(now), Step::Append(HOLD));
    let failed = id::Record::from("failed");
    host.holder.sent(failed.clone(), now);
    host.holder.append_failed(&failed);
    now += Times::default().retry_interval;
    assert_eq!(host.holder.step(now), Step::Append(HOLD));
    host.holder.sent(id::Record::from("r1"), now);
    let time_ms = u64::try_from(now.as_millis()).unwrap();
    host.read(&[record(0, 0, 0, HOLD), record(1, time_ms, 0, HOLD)], now);
    assert_eq!(host.holder.fence(Times::default().ttl), Some(id::Fence(0)));
}

#[test]
fn the_failure_of_an_earlier_append_changes_nothing() {
    let mut host = Host::new(0, 100, Duration::ZERO);
    host.holder.sent(id::Record::from("r0"), Duration::ZERO);
    host.holder.append_failed(&id::Record::from("earlier"));
    let soon = Times::default().retry_interval;
    assert!(matches!(host.holder.step(soon), Step::Wait(_)));
}

#[test]
fn a_failed_append_does_not_shorten_the_wait_for_another_holder() {
    let mut host = Host::new(0, 100, Duration::ZERO);
    host.holder.sent(id::Record::from("failed"), Duration::ZERO);
    host.read(&[record(0, 0, 1, HOLD)], Duration::ZERO);
    host.holder.append_failed(&id::Record::from("failed"));
    let times = Times::default();
    let until = times.ttl + times.margin;
    assert_eq!(host.holder.step(times.ttl), Step::Wait(until));
    assert_eq!(host.holder.step(until), Step::Append(HOLD));
}
