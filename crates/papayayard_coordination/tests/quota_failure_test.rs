//! Quotas during single failures, each injected alone.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::quota::{
    Caller, Charge, LEASE, Ledger, Offer, Quota, Reply, Settings, Tolerance, Verdict,
};
use papayayard_wire::id;
use rstest::rstest;

const QUOTA: Quota = Quota {
    per_second: 1_000.0,
    burst: 1_000.0,
};
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(8),
    ratio: 0.1,
    slack: 0.0,
};
/// Time between two calls of a host.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest time for which a part is bound.
const BOUND: Duration = Duration::from_millis(2_725);

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn name(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

fn account() -> id::Account {
    id::Account::from("studio")
}

fn charge(cost: f64) -> Charge {
    Charge {
        account: account(),
        cost,
        quota: QUOTA,
        revision: id::Revision(1),
    }
}

/// Hosts whose clocks agree.
struct Fleet {
    hosts: Vec<Ledger>,
    runs: Vec<u64>,
    now: Duration,
    last_number: u64,
}

impl Fleet {
    /// Hosts that have started, of which none has called another.
    fn new(count: usize, is_first_start: bool) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            runs: (0..count as u64).collect(),
            now: ms(1_000),
            last_number: 0,
        };
        for index in 0..count {
            let ledger = fleet.ledger(index, count, is_first_start);
            fleet.hosts.push(ledger);
        }
        fleet
    }

    /// Hosts that have pooled their parts with host 0 for some time.
    fn pooled(count: usize) -> Self {
        let mut fleet = Self::new(count, false);
        fleet.run_until(ms(100_000), |fleet| fleet.call_all(0));
        assert_eq!(fleet.parts(0), u32::try_from(count).unwrap());
        fleet
    }

    fn ledger(&self, index: usize, count: usize, is_first_start: bool) -> Ledger {
        let settings = Settings {
            host: name(index),
            run: self.runs[index],
            tolerance: TOLERANCE,
            is_first_start,
        };
        let mut ledger = Ledger::new(settings, self.now);
        let quotas = BTreeMap::from([(account(), QUOTA)]);
        ledger.configure(id::Revision(1), &quotas, self.now);
        ledger.set_hosts(count, self.now);
        ledger
    }

    fn restart(&mut self, index: usize) {
        self.runs[index] += 1_000;
        self.hosts[index] = self.ledger(index, self.hosts.len(), false);
    }

    /// Repeats a step until a time.
    fn run_until(&mut self, end: Duration, mut step: impl FnMut(&mut Self)) {
        while self.now < end {
            self.now += PERIOD;
            step(self);
        }
    }

    fn receive(&mut self, from: usize, to: usize, offer: &Offer) -> Reply {
        let host = name(from);
        let caller = Caller {
            host: &host,
            run: self.runs[from],
        };
        self.hosts[to].receive(caller, offer, self.now)
    }

    fn call(&mut self, from: usize, to: usize) -> Reply {
        let offer = self.hosts[from].offer(&name(to), self.now);
        let reply = self.receive(from, to, &offer);
        let run = self.runs[to];
        self.hosts[from].accept(&name(to), run, Some(&reply), self.now, self.now);
        self.now += ms(1);
        reply
    }

    fn call_all(&mut self, to: usize) {
        for from in 0..self.hosts.len() {
            if from != to {
                self.call(from, to);
            }
        }
    }

    /// Charges a request of one host at another.
    fn charge(&mut self, from: usize, to: usize, cost: f64) -> Verdict {
        self.last_number += 1;
        self.charge_number(from, to, self.last_number, cost)
    }

    fn charge_number(&mut self, from: usize, to: usize, number: u64, cost: f64) -> Verdict {
        let host = name(from);
        let caller = Caller {
            host: &host,
            run: self.runs[from],
        };
        let caller = (from != to).then_some(caller);
        let deadline = self.now + ms(10_000);
        self.hosts[to].charge(caller, number, &charge(cost), deadline, self.now)
    }

    fn return_charge(&mut self, from: usize, to: usize, number: u64) -> bool {
        let host = name(from);
        let caller = Caller {
            host: &host,
            run: self.runs[from],
        };
        let caller = (from != to).then_some(caller);
        self.hosts[to].return_charge(caller, number, self.now)
    }

    fn parts(&mut self, index: usize) -> u32 {
        self.hosts[index].parts(self.now)
    }

    fn share(&mut self, index: usize) -> f64 {
        self.hosts[index].share(self.now)
    }

    fn level(&mut self, index: usize) -> f64 {
        self.hosts[index].readings(self.now)[0].level
    }

    fn total_share(&mut self) -> f64 {
        (0..self.hosts.len()).map(|index| self.share(index)).sum()
    }
}

fn is_close(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-6
}

/// Guards against hosts that count their parts at the next dispatcher while the one that
/// was killed might still use them, and against a pool that gets them too late.
#[test]
fn dispatcher_killed_parts_move_after_the_lease() {
    let mut fleet = Fleet::pooled(4);
    let killed_at = fleet.now;
    let mut moved_at = None;
    fleet.run_until(killed_at + ms(5_000), |fleet| {
        fleet.call(2, 1);
        fleet.call(3, 1);
        let parts = fleet.parts(1);
        assert!(parts == 0 || fleet.now + PERIOD > killed_at + LEASE);
        if parts == 3 {
            moved_at.get_or_insert(fleet.now);
        }
    });
    let moved_at = moved_at.expect("all parts move");
    assert!(moved_at <= killed_at + BOUND.mul_f64(1.09) + PERIOD * 2);
    assert!(is_close(fleet.share(1), 0.75));
}

/// Guards against a failover during which the next dispatcher refuses everything, or in
/// which the allowance is contributed again and again.
#[test]
fn dispatcher_killed_allowances_are_contributed_once() {
    let mut fleet = Fleet::pooled(4);
    // A quarter of the tolerance of 900 comes from four hosts; two of them have moved,
    // and the pool adds its own.
    let third = 0.25 * 900.0 / 4.0 * 3.0;
    fleet.call(2, 1);
    fleet.call(3, 1);
    fleet.now += PERIOD;
    fleet.call(2, 1);
    fleet.call(3, 1);
    assert_eq!(fleet.charge(2, 1, third - 1.0), Verdict::Charged);
    fleet.run_until(fleet.now + ms(1_000), |fleet| {
        fleet.call(2, 1);
        fleet.call(3, 1);
        assert_ne!(fleet.charge(2, 1, 50.0), Verdict::Charged);
    });
}

/// Guards against a host that uses its part itself after it has sent it to a dispatcher
/// whose answer is lost.
#[test]
fn answer_lost_the_part_is_counted_by_the_dispatcher_alone() {
    let mut fleet = Fleet::new(2, false);
    fleet.now += ms(10_000);
    fleet.call(1, 0);
    assert_eq!(fleet.parts(1), 1);
    let now = fleet.now;
    let offer = fleet.hosts[1].offer(&name(0), now);
    assert_eq!(fleet.parts(1), 0);
    fleet.receive(1, 0, &offer);
    assert_eq!(fleet.parts(0), 2);
}

/// Guards against an account whose bucket starts full at each pool that learns of it.
#[test]
fn account_added_later_starts_with_an_empty_bucket() {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    let other = id::Account::from("other");
    let quotas = BTreeMap::from([(account(), QUOTA), (other.clone(), QUOTA)]);
    fleet.hosts[0].configure(id::Revision(2), &quotas, now);
    let readings = fleet.hosts[0].readings(now);
    let reading = readings.iter().find(|one| one.account == other).unwrap();
    assert!(is_close(reading.level, 0.0));
}

/// Guards against parts that stay bound to a process that has ended, and against a
/// process that spends its burst again at each restart.
#[test]
fn dispatcher_restarted_parts_are_free_at_once_and_buckets_empty() {
    let mut fleet = Fleet::pooled(4);
    assert!(is_close(fleet.level(0), 1_000.0));
    fleet.now += ms(100);
    fleet.restart(0);
    fleet.call_all(0);
    assert_eq!(fleet.parts(0), 0);
    fleet.call_all(0);
    assert_eq!(fleet.parts(0), 3);
    assert!(fleet.level(0) < 10.0);
}

/// Guards against a late answer of the earlier process, which would free the part that
/// the present process counts.
#[test]
fn dispatcher_restarted_late_answers_of_the_earlier_process_are_ignored() {
    let mut fleet = Fleet::pooled(4);
    let sent_at = fleet.now;
    let offer = fleet.hosts[1].offer(&name(0), sent_at);
    let late = fleet.receive(1, 0, &offer);
    let earlier_run = fleet.runs[0];
    fleet.now += ms(50);
    fleet.restart(0);
    fleet.call(1, 0);
    fleet.call(1, 0);
    let now = fleet.now;
    fleet.hosts[1].accept(&name(0), earlier_run, Some(&late), sent_at, now);
    fleet.now += ms(1);
    assert_eq!(fleet.parts(1), 0);
    assert_eq!(fleet.parts(0), 1);
}

/// Guards against a part that leaves the pool with its host's process, and against a new
/// process whose part is counted twice.
#[test]
fn host_restarted_its_part_stays_until_the_lease_ends() {
    let mut fleet = Fleet::pooled(4);
    fleet.restart(3);
    let restarted_at = fleet.now;
    fleet.run_until(restarted_at + ms(6_000), |fleet| {
        fleet.call_all(0);
        assert!(fleet.total_share() <= 1.0 + 1e-9);
        let age = fleet.now.saturating_sub(restarted_at);
        let is_between = age + PERIOD > LEASE && age < BOUND.mul_f64(1.09) + PERIOD * 2;
        assert!(fleet.parts(0) == 4 || is_between, "3 parts after {age:?}");
    });
    assert_eq!(fleet.parts(0), 4);
}

/// Guards against a process that uses its part while its earlier process's dispatcher
/// still counts it.
#[test]
fn host_restarted_its_part_is_bound_at_first() {
    let mut fleet = Fleet::pooled(4);
    fleet.restart(3);
    let restarted_at = fleet.now;
    fleet.run_until(restarted_at + ms(4_000), |fleet| {
        let is_bound = fleet.now < restarted_at + BOUND;
        assert_eq!(fleet.parts(3), u32::from(!is_bound));
    });
}

/// Guards against a deployment that loses its quota for long after all hosts restarted.
#[test]
fn all_hosts_restarted_the_quota_is_back_after_one_lease() {
    let mut fleet = Fleet::pooled(10);
    for index in 0..10 {
        fleet.restart(index);
    }
    let restarted_at = fleet.now;
    fleet.run_until(restarted_at + BOUND.mul_f64(1.09) + PERIOD * 2, |fleet| {
        fleet.call_all(0);
        assert!(fleet.total_share() <= 1.0 + 1e-9);
    });
    assert!(is_close(fleet.share(0), 1.0));
}

/// Guards against two sides of a partition that both use the same part, and against a
/// side that cannot use its own.
#[test]
fn zone_partitioned_each_side_has_its_own_parts() {
    let mut fleet = Fleet::pooled(6);
    let cut_at = fleet.now;
    let mut step = |fleet: &mut Fleet| {
        for from in [1, 2, 3] {
            fleet.call(from, 0);
        }
        fleet.call(5, 4);
        assert!(fleet.total_share() <= 1.0 + 1e-9);
    };
    fleet.run_until(cut_at + ms(6_000), &mut step);
    assert!(is_close(fleet.share(0), 4.0 / 6.0));
    assert!(is_close(fleet.share(4), 2.0 / 6.0));
    fleet.run_until(cut_at + ms(12_000), |fleet| {
        fleet.call_all(0);
        assert!(fleet.total_share() <= 1.0 + 1e-9);
    });
    assert!(is_close(fleet.share(0), 1.0));
}

/// Guards against a host that moves back and forth and is counted by two dispatchers.
#[rstest]
fn host_moves_its_part_is_counted_once(#[values(1, 3, 7, 12, 20)] calls: usize) {
    let mut fleet = Fleet::pooled(3);
    let mut count = 0;
    let mut held = 0;
    fleet.run_until(fleet.now + ms(60_000), |fleet| {
        let to = (count / calls) % 2;
        fleet.call(2, to);
        if to == 1 {
            fleet.call(0, 2);
        }
        count += 1;
        assert!(fleet.total_share() <= 1.0 + 1e-9);
        held += usize::from(fleet.parts(to) == 2);
    });
    assert!(held > 0 || calls < 12);
}

/// Guards against a late call that extends a lease.
#[rstest]
fn call_late_extends_nothing(#[values(1_000, 2_400, 2_600, 9_000)] delay: u64) {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    let last_token_at = now;
    let offer = fleet.hosts[1].offer(&name(0), now);
    fleet.now += ms(delay);
    fleet.receive(1, 0, &offer);
    let is_held = fleet.now < last_token_at + LEASE;
    assert_eq!(fleet.parts(0), 1 + u32::from(is_held));
    fleet.now = last_token_at + LEASE;
    assert_eq!(fleet.parts(0).min(1), 1);
    fleet.now = last_token_at + LEASE.max(ms(delay)) + ms(1);
    assert_eq!(fleet.parts(0), 1);
}

/// Guards against a token of an earlier process, whose clock may be far ahead.
#[test]
fn call_late_with_a_token_of_an_earlier_process_counts_nothing() {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    let offer = fleet.hosts[1].offer(&name(0), now);
    fleet.now = ms(99_000);
    fleet.restart(0);
    fleet.now = now;
    fleet.receive(1, 0, &offer);
    assert_eq!(fleet.parts(0), 0);
}

/// Guards against a repeated call that is charged twice, and a repeated return.
#[test]
fn call_repeated_is_charged_and_returned_once() {
    let mut fleet = Fleet::pooled(2);
    assert_eq!(fleet.charge_number(1, 0, 7, 400.0), Verdict::Charged);
    assert_eq!(fleet.charge_number(1, 0, 7, 400.0), Verdict::Charged);
    assert!(is_close(fleet.level(0), 600.0));
    assert!(fleet.return_charge(1, 0, 7));
    assert!(!fleet.return_charge(1, 0, 7));
    assert!(is_close(fleet.level(0), 1_000.0));
    assert_eq!(fleet.charge(1, 0, 1_000.0), Verdict::Charged);
    assert!(!fleet.return_charge(1, 0, 7));
    assert!(is_close(fleet.level(0), 0.0));
}

/// Guards against the return of a request of an earlier process under the same number.
#[test]
fn host_restarted_its_numbers_are_new() {
    let mut fleet = Fleet::pooled(2);
    assert_eq!(fleet.charge_number(1, 0, 7, 400.0), Verdict::Charged);
    fleet.restart(1);
    assert!(!fleet.return_charge(1, 0, 7));
    assert_eq!(fleet.charge_number(1, 0, 7, 400.0), Verdict::Charged);
    assert!(is_close(fleet.level(0), 200.0));
}

/// Guards against returns that are kept from the dispatcher.
#[test]
fn charge_of_a_request_that_did_not_run_is_returned_with_the_next_call() {
    let mut fleet = Fleet::pooled(2);
    assert_eq!(fleet.charge_number(1, 0, 7, 1_000.0), Verdict::Charged);
    fleet.hosts[1].return_to(&name(0), 7);
    fleet.call(1, 0);
    assert_eq!(fleet.charge(1, 0, 990.0), Verdict::Charged);
}

/// Guards against a late return that raises a bucket which has refilled since: a window
/// could then admit the burst twice.
#[test]
fn return_late_adds_nothing_to_a_bucket_that_was_full_since() {
    let mut fleet = Fleet::pooled(2);
    assert_eq!(fleet.charge_number(1, 0, 7, 1_000.0), Verdict::Charged);
    for _ in 0..2 {
        fleet.now += ms(1_000);
        fleet.call(1, 0);
    }
    assert_eq!(fleet.charge(1, 0, 1_000.0), Verdict::Charged);
    fleet.return_charge(1, 0, 7);
    assert!(is_close(fleet.level(0), 0.0));
}

/// Guards against prepaid amounts that are spent long after they were charged, or beyond
/// their bound when answers are lost.
#[test]
fn grant_lost_or_late_is_lost_for_two_seconds() {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    for _ in 0..100 {
        assert!(!fleet.hosts[1].spend_prepaid(&charge(5.0), now));
    }
    let offer = fleet.hosts[1].offer(&name(0), now);
    let reply = fleet.receive(1, 0, &offer);
    let prepaid = fleet.hosts[0].readings(now)[0].prepaid;
    assert!(is_close(prepaid, 900.0 * 0.125));
    // The repeated call gets nothing more.
    fleet.receive(1, 0, &offer);
    assert!(is_close(fleet.hosts[0].readings(now)[0].prepaid, prepaid));
    let late = now + ms(2_000);
    let run = fleet.runs[0];
    fleet.hosts[1].accept(&name(0), run, Some(&reply), now, late);
    assert!(!fleet.hosts[1].spend_prepaid(&charge(5.0), late));
    fleet.now = now + ms(2_200);
    fleet.call(1, 0);
    fleet.call(1, 0);
    let now = fleet.now;
    assert!(fleet.hosts[1].spend_prepaid(&charge(5.0), now));
}

/// Guards against a plain request whose cost is kept although it did not run, and
/// against an amount that outlives its grant by being given back.
#[test]
fn prepaid_amount_is_given_back_for_the_time_of_its_grant() {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    assert!(!fleet.hosts[1].spend_prepaid(&charge(50.0), now));
    let sent_at = fleet.now;
    fleet.call(1, 0);
    let now = fleet.now;
    assert!(fleet.hosts[1].spend_prepaid(&charge(50.0), now));
    fleet.hosts[1].return_prepaid(&charge(50.0), now);
    assert!(fleet.hosts[1].spend_prepaid(&charge(50.0), now));
    fleet.hosts[1].return_prepaid(&charge(50.0), now);
    assert!(!fleet.hosts[1].spend_prepaid(&charge(50.0), sent_at + ms(2_000)));
}

/// Guards against quotas that change while the store cannot be read.
#[test]
fn store_unavailable_nothing_changes() {
    let mut fleet = Fleet::pooled(4);
    fleet.run_until(fleet.now + ms(600_000), |fleet| {
        fleet.call_all(0);
        assert!(is_close(fleet.share(0), 1.0));
    });
    assert!(is_close(fleet.level(0), 1_000.0));
}

/// Guards against hosts that join and bring more than the whole, also where a cut-off
/// part of the hosts does not know them.
#[rstest]
fn hosts_join_all_pools_stay_within_the_whole(#[values(1, 5, 9)] stale: usize) {
    let mut fleet = Fleet::pooled(10);
    let joined_at = fleet.now;
    for index in 10..12 {
        fleet.runs.push(index);
        let ledger = fleet.ledger(fleet.runs.len() - 1, 12, false);
        fleet.hosts.push(ledger);
    }
    let now = fleet.now;
    for index in stale..10 {
        fleet.hosts[index].set_hosts(12, now);
    }
    fleet.run_until(joined_at + ms(30_000), |fleet| {
        for from in 1..stale {
            fleet.call(from, 0);
        }
        for from in stale..11 {
            fleet.call(from, 11);
        }
        assert!(fleet.total_share() <= 1.0 + 1e-9);
    });
    for index in 0..stale {
        let now = fleet.now;
        fleet.hosts[index].set_hosts(12, now);
    }
    fleet.run_until(joined_at + ms(40_000), |fleet| fleet.call_all(0));
    assert!(is_close(fleet.share(0), 1.0));
}

/// Guards against a new deployment that refuses requests until its buckets have filled,
/// and against a burst that is spent by the host and by its dispatcher.
#[rstest]
fn first_start_buckets_are_full(#[values(1, 4, 75)] count: u8) {
    let part = 1_000.0 / f64::from(count);
    let count = usize::from(count);
    let mut fleet = Fleet::new(count, true);
    fleet.call_all(0);
    fleet.call_all(0);
    assert!(fleet.level(0) > 990.0);
    let mut spent = Fleet::new(count, true);
    for index in 1..count {
        assert_eq!(spent.charge(index, index, part), Verdict::Charged);
    }
    spent.call_all(0);
    spent.call_all(0);
    assert!(spent.level(0) < part + 250.0);
}

/// Guards against a host that admits without knowing how many hosts there are.
#[test]
fn nothing_is_admitted_before_the_number_of_hosts_is_known() {
    let settings = Settings {
        host: name(0),
        run: 1,
        tolerance: TOLERANCE,
        is_first_start: true,
    };
    let mut ledger = Ledger::new(settings, ms(0));
    let verdict = ledger.charge(None, 1, &charge(1.0), ms(1_000), ms(100));
    assert!(matches!(verdict, Verdict::Refused { .. }));
}

/// Guards against a pool that cannot read a lowered quota and goes on with the old one.
#[test]
fn quota_lowered_is_learned_from_a_charge() {
    let mut fleet = Fleet::pooled(2);
    let mut lowered = charge(10.0);
    lowered.quota = Quota {
        per_second: 100.0,
        burst: 100.0,
    };
    lowered.revision = id::Revision(2);
    let deadline = fleet.now + ms(10_000);
    let now = fleet.now;
    let verdict = fleet.hosts[0].charge(None, 1, &lowered, deadline, now);
    assert_eq!(verdict, Verdict::Charged);
    assert!(is_close(fleet.level(0), 90.0));
    // A charge of the older revision does not raise it again.
    assert_ne!(fleet.charge(1, 0, 91.0), Verdict::Charged);
    assert!(is_close(fleet.level(0), 90.0));
}

/// Guards against refused callers that are all told the same time, and against a time
/// that is moved by callers who will not retry.
#[test]
fn retry_after_is_the_time_after_what_was_promised_before() {
    let mut fleet = Fleet::pooled(2);
    assert_eq!(fleet.charge(1, 0, 1_000.0), Verdict::Charged);
    let refused = |verdict| match verdict {
        Verdict::Refused { retry_after } => retry_after.as_secs_f64(),
        Verdict::Charged => panic!("charged"),
    };
    assert!(is_close(refused(fleet.charge(1, 0, 500.0)), 0.5));
    assert!(is_close(refused(fleet.charge(1, 0, 500.0)), 1.0));
    let (now, deadline) = (fleet.now, fleet.now + ms(800));
    let verdict = fleet.hosts[0].charge(None, 90, &charge(500.0), deadline, now);
    assert!(is_close(refused(verdict), 1.5));
    assert!(is_close(refused(fleet.charge(1, 0, 500.0)), 1.5));
    fleet.now += ms(500);
    assert_eq!(fleet.charge(1, 0, 500.0), Verdict::Charged);
}

/// Guards against callers that are sent away for long while the parts of the hosts are
/// about to come: one part alone would need 20 s for this request.
#[test]
fn dispatcher_restarted_retry_after_counts_on_the_parts_of_all() {
    let mut fleet = Fleet::pooled(10);
    for index in 0..10 {
        fleet.restart(index);
    }
    let verdict = fleet.charge(1, 0, 200.0);
    let Verdict::Refused { retry_after } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(retry_after < ms(4_000), "{retry_after:?}");
    let end = fleet.now + retry_after + PERIOD * 2;
    fleet.run_until(end, |fleet| fleet.call_all(0));
    assert_eq!(fleet.charge(1, 0, 200.0), Verdict::Charged);
}

/// Guards against a request that can never be admitted and is told to retry soon.
#[test]
fn request_beyond_the_burst_is_refused_until_its_deadline() {
    let mut fleet = Fleet::pooled(2);
    let verdict = fleet.charge(1, 0, 1_001.0);
    let Verdict::Refused { retry_after } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(retry_after >= ms(10_000));
    assert_eq!(fleet.charge(1, 0, 1_000.0), Verdict::Charged);
}

/// Guards against a part that is given to a dispatcher of a release without quotas.
#[test]
fn dispatcher_of_an_older_release_gets_no_part() {
    let mut fleet = Fleet::new(2, false);
    let run = fleet.runs[0];
    fleet.run_until(ms(10_000), |fleet| {
        let now = fleet.now;
        let offer = fleet.hosts[1].offer(&name(0), now);
        assert_eq!(serde_json::to_value(&offer).unwrap().get("token"), None);
        fleet.hosts[1].accept(&name(0), run, None, now, now);
    });
    assert_eq!(fleet.parts(1), 1);
    assert_eq!(fleet.charge(1, 1, 500.0), Verdict::Charged);
}

/// Guards against a metric that shows prepaid amounts which no host may spend any more.
#[test]
fn prepaid_amount_that_has_expired_is_not_reported() {
    let mut fleet = Fleet::pooled(2);
    let now = fleet.now;
    assert!(!fleet.hosts[1].spend_prepaid(&charge(50.0), now));
    let offer = fleet.hosts[1].offer(&name(0), now);
    fleet.receive(1, 0, &offer);
    assert!(is_close(fleet.hosts[0].readings(now)[0].prepaid, 50.0));
    let late = now + ms(2_200);
    assert!(is_close(fleet.hosts[0].readings(late)[0].prepaid, 0.0));
}

/// Guards against a pool that uses parts of the earlier size for seconds after a call has
/// stated that there are more hosts.
#[test]
fn number_of_hosts_learned_from_a_call_takes_effect_at_once() {
    let mut fleet = Fleet::pooled(4);
    assert!(is_close(fleet.share(0), 1.0));
    let offer: Offer = serde_json::from_str(r#"{"hosts":6}"#).unwrap();
    fleet.receive(1, 0, &offer);
    assert!(is_close(fleet.share(0), 0.5));
}

/// Guards against an overflow of the number of hosts in a process that has just started.
#[test]
fn number_of_hosts_is_as_large_as_a_message_allows() {
    let mut fleet = Fleet::new(2, false);
    let offer: Offer = serde_json::from_str(r#"{"hosts":4294967295}"#).unwrap();
    fleet.receive(1, 0, &offer);
    fleet.now += ms(12_000);
    assert!(is_close(fleet.share(0), 0.0));
}

/// Guards against a message that a host of another release cannot decode.
#[test]
fn message_without_optional_fields_is_decoded() {
    let offer: Offer = serde_json::from_str("{}").unwrap();
    assert_eq!(offer, Offer::default());
    let reply: Reply = serde_json::from_str(r#"{"token":5}"#).unwrap();
    assert_eq!(serde_json::to_string(&reply).unwrap(), r#"{"token":5}"#);
    let text = serde_json::to_string(&charge(860.0)).unwrap();
    assert_eq!(
        serde_json::from_str::<Charge>(&text).unwrap(),
        charge(860.0)
    );
}
