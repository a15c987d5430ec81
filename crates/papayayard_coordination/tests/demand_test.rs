//! Shares of limits: the sum never exceeds the limit, and is not far below it.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::{amount::Amount, demand};
use papayayard_wire::{id, peer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const LIMIT: Amount = Amount {
    rate: 100_000,
    open: 50,
};

fn name(index: usize) -> id::Host {
    id::Host::from(format!("host-{index}"))
}

fn account() -> id::Account {
    id::Account::from("studio")
}

/// A host whose clock runs at its own rate.
struct Host {
    shares: demand::Table,
    clock_percent: u32,
    sequence: u64,
}

impl Host {
    fn new(index: usize, count: usize, clock_percent: u32, now: Duration) -> Self {
        let at = now * clock_percent / 100;
        let mut shares = demand::Table::new(name(index), demand::Limits::default(), at);
        let hosts: Vec<id::Host> = (0..count).map(name).collect();
        shares.configure(&BTreeMap::from([(account(), LIMIT)]));
        shares.set_hosts(hosts.clone(), hosts);
        Self {
            shares,
            clock_percent,
            sequence: 0,
        }
    }

    fn at(&self, now: Duration) -> Duration {
        now * self.clock_percent / 100
    }

    fn share(&self, now: Duration) -> Amount {
        self.shares.share(&account(), self.at(now))
    }
}

/// A call in flight.
struct Call {
    from: usize,
    to: usize,
    sent_at: Duration,
    sequence: u64,
    fresh: bool,
    wants: Vec<peer::Share>,
    grants: Option<Vec<peer::Grant>>,
    /// The caller no longer waits; the call may still arrive.
    is_abandoned: bool,
}

fn send(hosts: &mut [Host], from: usize, to: usize, now: Duration, sequence: u64) -> Call {
    let host = &mut hosts[from];
    let sent_at = host.at(now);
    host.sequence = sequence;
    Call {
        from,
        to,
        sent_at,
        sequence,
        fresh: host.shares.is_fresh(sent_at),
        wants: host.shares.share_requests(&name(to), sent_at),
        grants: None,
        is_abandoned: false,
    }
}

fn deliver(hosts: &mut [Host], call: &mut Call, now: Duration) {
    let host = &mut hosts[call.to];
    let at = host.at(now);
    if call.fresh {
        host.shares.drop_grants_from(&name(call.from), at);
    }
    let wants = &call.wants;
    call.grants = Some(
        host.shares
            .release(&name(call.from), wants, call.sequence, at),
    );
}

fn deliver_reply(hosts: &mut [Host], call: &Call) {
    let shares = &mut hosts[call.from].shares;
    if call.fresh {
        shares.confirm(&name(call.to));
    }
    shares.accept(
        &name(call.to),
        call.grants.as_deref().unwrap_or(&[]),
        call.sent_at,
    );
}

fn exchange(hosts: &mut [Host], from: usize, to: usize, now: Duration, sequence: u64) {
    let mut call = send(hosts, from, to, now, sequence);
    deliver(hosts, &mut call, now);
    deliver_reply(hosts, &call);
}

fn sum(hosts: &[Host], now: Duration) -> Amount {
    let shares = hosts.iter().map(|host| host.share(now));
    shares.fold(Amount::default(), |sum, share| Amount {
        rate: sum.rate + share.rate,
        open: sum.open + share.open,
    })
}

fn settled_hosts(count: usize, random: &mut ChaCha8Rng) -> Vec<Host> {
    let mut clock = || random.random_range(96..=104);
    let mut hosts: Vec<Host> = (0..count)
        .map(|index| Host::new(index, count, clock(), Duration::ZERO))
        .collect();
    let mut sequence = 0;
    for from in 0..count {
        for to in (0..count).filter(|to| *to != from) {
            sequence += 1;
            exchange(&mut hosts, from, to, Duration::ZERO, sequence);
        }
    }
    hosts
}

/// Covers any order of calls, slow and lost replies, partitions, clock drift and
/// restarts.
#[test]
fn the_sum_never_exceeds_the_limit() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(2..=9);
        let mut hosts = settled_hosts(count, &mut random);
        let mut calls: Vec<Call> = Vec::new();
        let mut sequence = 1_000;
        let mut now = Duration::from_secs(1);
        let mut split = count;
        for _ in 0..300 {
            now += Duration::from_millis(random.random_range(0..3_000));
            let index = random.random_range(0..count);
            match random.random_range(0..20) {
                0 => split = random.random_range(0..=count),
                1 => {
                    let rate = hosts[index].clock_percent;
                    hosts[index] = Host::new(index, count, rate, now);
                    let outgoing = calls.iter_mut().filter(|call| call.from == index);
                    outgoing.for_each(|call| call.is_abandoned = true);
                }
                2..=5 => {
                    let demand = Amount {
                        rate: random.random_range(0..150_000),
                        open: random.random_range(0..60),
                    };
                    hosts[index].shares.observe(&account(), demand);
                }
                6 => {
                    let outgoing = calls.iter_mut().filter(|call| call.from == index);
                    outgoing.for_each(|call| call.is_abandoned = true);
                }
                7..=11 => {
                    let to = random.random_range(0..count);
                    let is_waiting =
                        |call: &Call| call.from == index && call.to == to && !call.is_abandoned;
                    let is_busy = calls.iter().any(is_waiting);
                    if to != index && !is_busy {
                        sequence += 1;
                        calls.push(send(&mut hosts, index, to, now, sequence));
                    }
                }
                _ if !calls.is_empty() => {
                    let at = random.random_range(0..calls.len());
                    let mut call = calls.swap_remove(at);
                    let is_partitioned = (call.from < split) != (call.to < split);
                    if is_partitioned && random.random_bool(0.9) {
                        // Lost; the other direction of the partition may still work.
                    } else if call.grants.is_some() {
                        if !call.is_abandoned {
                            deliver_reply(&mut hosts, &call);
                        }
                    } else {
                        deliver(&mut hosts, &mut call, now);
                        calls.push(call);
                    }
                }
                _ => {}
            }
            let sum = sum(&hosts, now);
            assert!(sum.rate <= LIMIT.rate, "seed {seed} at {now:?}: {sum:?}");
            assert!(sum.open <= LIMIT.open, "seed {seed} at {now:?}: {sum:?}");
        }
    }
}

/// Each host calls one peer per second in rotation, as membership does.
fn rounds(hosts: &mut [Host], seconds: std::ops::Range<usize>) {
    let count = hosts.len();
    for second in seconds {
        let now = Duration::from_secs(second as u64);
        for from in 0..count {
            let to = (from + 1 + second % (count - 1)) % count;
            exchange(hosts, from, to, now, (second * 1_000 + from) as u64);
        }
    }
}

fn usable(hosts: &[Host], demands: &[u64], now: Duration) -> u64 {
    let used = hosts.iter().zip(demands);
    used.map(|(host, demand)| host.share(now).rate.min(*demand))
        .sum()
}

#[rstest]
#[case::even(&[12_000; 9])]
#[case::all_at_one(&[110_000, 0, 0, 0, 0, 0, 0, 0, 0])]
#[case::two_large(&[60_000, 45_000, 1_000, 1_000, 0, 0, 0, 0, 0])]
#[case::one_zone(&[40_000, 40_000, 40_000, 0, 0, 0, 0, 0, 0])]
#[case::three_hosts(&[90_000, 15_000, 0])]
fn shares_reach_the_limit_without_faults(#[case] demands: &[u64]) {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut hosts = settled_hosts(demands.len(), &mut random);
    for (host, rate) in hosts.iter_mut().zip(demands) {
        host.shares.observe(
            &account(),
            Amount {
                rate: *rate,
                open: 0,
            },
        );
    }
    rounds(&mut hosts, 1..61);
    let wanted = demands.iter().sum::<u64>().min(LIMIT.rate);
    for second in 61..121 {
        rounds(&mut hosts, second..second + 1);
        let used = usable(&hosts, demands, Duration::from_secs(second as u64));
        assert!(
            used * 100 >= wanted * 90,
            "{used} of {wanted} at {second} s"
        );
    }
}

#[test]
fn without_contact_hosts_fall_back_to_the_even_share() {
    let mut random = ChaCha8Rng::seed_from_u64(12);
    let mut hosts = settled_hosts(4, &mut random);
    hosts[0].shares.observe(&account(), LIMIT);
    rounds(&mut hosts, 1..31);
    assert!(hosts[0].share(Duration::from_secs(30)).rate > LIMIT.rate / 2);
    let later = Duration::from_mins(5);
    for host in &hosts {
        assert_eq!(host.share(later).rate, LIMIT.rate / 4);
    }
}

#[test]
fn shares_follow_demand_between_hosts() {
    let mut random = ChaCha8Rng::seed_from_u64(13);
    let mut hosts = settled_hosts(6, &mut random);
    hosts[0].shares.observe(&account(), LIMIT);
    rounds(&mut hosts, 1..31);
    hosts[0].shares.observe(&account(), Amount::default());
    hosts[1].shares.observe(&account(), LIMIT);
    rounds(&mut hosts, 31..61);
    let share = hosts[1].share(Duration::from_mins(1));
    assert!(share.rate * 10 >= LIMIT.rate * 8, "{share:?}");
}

#[test]
fn a_restarted_host_uses_its_whole_share_once_all_peers_have_replied() {
    let mut random = ChaCha8Rng::seed_from_u64(14);
    let mut hosts = settled_hosts(3, &mut random);
    let now = Duration::from_secs(10);
    hosts[0] = Host::new(0, 3, 100, now);
    let share = hosts[0].share(now);
    assert!(share.rate > 0 && share.rate < LIMIT.rate / 10, "{share:?}");
    exchange(&mut hosts, 0, 1, now, 9_001);
    assert_eq!(hosts[0].share(now), share);
    exchange(&mut hosts, 0, 2, now, 9_002);
    assert!(hosts[0].share(now).rate >= LIMIT.rate / 3);
}

#[test]
fn an_excessive_request_gains_no_more_than_is_idle() {
    let mut random = ChaCha8Rng::seed_from_u64(15);
    let mut hosts = settled_hosts(2, &mut random);
    hosts[1].shares.observe(&account(), Amount::new(20, 10));
    let excessive = peer::Share {
        account: account(),
        rate: u64::MAX,
        open: u64::MAX,
    };
    let now = Duration::from_secs(5);
    let grants = hosts[1].shares.release(&name(0), &[excessive], 5_000, now);
    assert_eq!(grants[0].share.rate, LIMIT.rate / 2 - 25_000);
    let overlong = peer::Grant {
        share: peer::Share {
            account: account(),
            rate: 7_000,
            open: 0,
        },
        ttl_ms: u64::MAX,
    };
    hosts[1].shares.accept(&name(0), &[overlong], now);
    let later = Duration::from_secs(40);
    assert_eq!(hosts[1].share(later).rate, LIMIT.rate / 2);
}

#[test]
fn a_delayed_call_does_not_lower_a_later_grant() {
    let mut random = ChaCha8Rng::seed_from_u64(16);
    let mut hosts = settled_hosts(2, &mut random);
    let now = Duration::from_secs(5);
    let want = |rate| peer::Share {
        account: account(),
        rate,
        open: 0,
    };
    let grants = hosts[1]
        .shares
        .release(&name(0), &[want(30_000)], 6_000, now);
    assert_eq!(grants.len(), 1);
    assert!(
        hosts[1]
            .shares
            .release(&name(0), &[want(0)], 5_999, now)
            .is_empty()
    );
    assert_eq!(hosts[1].share(now).rate, LIMIT.rate / 2 - 30_000);
}

#[test]
fn open_requests_are_reclaimed_after_the_maximum_request_duration() {
    let mut random = ChaCha8Rng::seed_from_u64(17);
    let mut hosts = settled_hosts(2, &mut random);
    let want = peer::Share {
        account: account(),
        rate: 30_000,
        open: 10,
    };
    let now = Duration::from_secs(5);
    hosts[1].shares.release(&name(0), &[want], 6_000, now);
    let later = hosts[1].share(Duration::from_mins(1));
    assert_eq!(
        (later.rate, later.open),
        (LIMIT.rate / 2, LIMIT.open / 2 - 10)
    );
    let last = hosts[1].share(Duration::from_mins(4));
    assert_eq!(last.open, LIMIT.open / 2);
}
