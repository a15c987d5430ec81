//! Limits, fairness, deadlines and queue bounds of admission.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_routing::admission::{self, Admission, Demand, Share, Ticket, Verdict};
use papayayard_wire::{id, refusal};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rstest::rstest;

const ORDERS: u64 = 1_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn admission(capacity: u32, queue: usize) -> Admission {
    Admission::new(admission::Settings {
        capacity,
        queue,
        burst: ms(500),
    })
}

const UNLIMITED: Share = Share {
    per_second: 1_000_000.0,
    open: 1_000_000,
    weight: 1,
};

fn demand(account: &id::Account, deadline: Duration) -> Demand<'_> {
    Demand {
        account,
        priority: 0,
        cost: 1_000,
        deadline,
        needs_slot: true,
    }
}

fn ticket(verdict: Verdict) -> Ticket {
    match verdict {
        Verdict::Start(ticket) | Verdict::Wait(ticket) => ticket,
    }
}

#[rstest]
#[case::rate(Share { per_second: 2.0, ..UNLIMITED }, 1, refusal::Kind::RateLimited)]
#[case::open(Share { open: 3, ..UNLIMITED }, 3, refusal::Kind::TooManyOpen)]
fn limits_are_enforced(#[case] share: Share, #[case] admitted: u32, #[case] kind: refusal::Kind) {
    let account = id::Account::from("a");
    let mut admission = admission(100, 100);
    admission.set_share(&account, share, ms(0));
    for _ in 0..admitted {
        let offered = admission.offer(&demand(&account, ms(1_000)), ms(0), 0);
        assert!(matches!(offered, Ok(Verdict::Start(_))));
    }
    let refused = admission.offer(&demand(&account, ms(1_000)), ms(0), 0);
    assert_eq!(refused.map_err(|refusal| refusal.kind), Err(kind));
    assert_eq!(admission.open(&account), admitted);
}

#[test]
fn unknown_account_is_refused() {
    let account = id::Account::from("a");
    let refused = admission(1, 1).offer(&demand(&account, ms(1)), ms(0), 0);
    let kind = refused.map_err(|refusal| refusal.kind);
    assert_eq!(kind, Err(refusal::Kind::NotReady));
}

#[test]
fn rate_is_enforced_over_time() {
    let account = id::Account::from("a");
    for seed in 0..ORDERS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut admission = admission(1_000_000, 0);
        let per_second = f64::from(1 + rng.next_u32() % 40);
        let share = Share {
            per_second,
            ..UNLIMITED
        };
        admission.set_share(&account, share, ms(0));
        let mut now = 0;
        let mut admitted = 0;
        while now < 20_000 {
            now += u64::from(rng.next_u32() % 25);
            let offered = admission.offer(&demand(&account, ms(now)), ms(now), 0);
            admitted += u32::from(offered.is_ok());
        }
        let allowed = per_second * 20.1 + (per_second * 0.5).max(1.0);
        assert!(f64::from(admitted) <= allowed, "seed {seed}: {admitted}");
        assert!(
            f64::from(admitted) >= per_second * 19.0,
            "seed {seed}: {admitted}"
        );
    }
}

#[test]
fn idle_time_accumulates_at_most_the_burst() {
    let account = id::Account::from("a");
    let mut admission = admission(1_000, 0);
    let share = Share {
        per_second: 10.0,
        ..UNLIMITED
    };
    admission.set_share(&account, share, ms(0));
    let now = ms(60_000);
    let offers = (0..100).map(|_| admission.offer(&demand(&account, now), now, 0));
    assert_eq!(offers.flatten().count(), 5);
}

#[test]
fn many_requests_of_one_account_do_not_starve_a_small_account() {
    let large = id::Account::from("large");
    let small = id::Account::from("small");
    let mut admission = admission(1, 100);
    admission.set_share(&large, UNLIMITED, ms(0));
    admission.set_share(&small, UNLIMITED, ms(0));
    let late = ms(1_000_000);
    let mut running = ticket(admission.offer(&demand(&large, late), ms(0), 0).unwrap());
    for _ in 0..200 {
        let _ = admission.offer(&demand(&large, late), ms(0), 0);
    }
    let offers = (0..10).map(|_| admission.offer(&demand(&small, late), ms(0), 0));
    let waiting: Vec<_> = offers.map(|offered| ticket(offered.unwrap())).collect();
    let mut served = 0;
    for _ in 0..22 {
        admission.end(running, ms(0));
        running = admission.poll(ms(0), 0).started[0];
        served += usize::from(waiting.contains(&running));
    }
    assert_eq!(served, 10);
}

#[test]
fn shares_follow_weights() {
    let heavy = id::Account::from("heavy");
    let light = id::Account::from("light");
    let mut admission = admission(1, 1_000);
    admission.set_share(
        &heavy,
        Share {
            weight: 3,
            ..UNLIMITED
        },
        ms(0),
    );
    admission.set_share(&light, UNLIMITED, ms(0));
    let late = ms(10_000_000);
    let mut owners = HashMap::new();
    for _ in 0..100 {
        for account in [&heavy, &light] {
            let offered = admission.offer(&demand(account, late), ms(0), 0).unwrap();
            owners.insert(ticket(offered), account.clone());
        }
    }
    let mut counts: HashMap<id::Account, i32> = HashMap::new();
    let mut running = *owners
        .keys()
        .find(|ticket| !admission.is_waiting(**ticket))
        .unwrap();
    for _ in 0..80 {
        admission.end(running, ms(0));
        running = admission.poll(ms(0), 0).started[0];
        *counts.entry(owners[&running].clone()).or_default() += 1;
    }
    assert!((counts[&heavy] - 60).abs() <= 1, "{counts:?}");
}

#[test]
fn higher_priority_goes_first() {
    let account = id::Account::from("a");
    let mut admission = admission(1, 10);
    admission.set_share(&account, UNLIMITED, ms(0));
    let late = ms(100_000);
    let first = ticket(admission.offer(&demand(&account, late), ms(0), 0).unwrap());
    let mut offer = |priority| {
        let demand = Demand {
            priority,
            ..demand(&account, late)
        };
        ticket(admission.offer(&demand, ms(0), 0).unwrap())
    };
    let low = offer(0);
    let high = offer(5);
    let middle = offer(3);
    let mut running = first;
    for expected in [high, middle, low] {
        admission.end(running, ms(0));
        running = admission.poll(ms(0), 0).started[0];
        assert_eq!(running, expected);
    }
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_on_arrival() {
    let account = id::Account::from("a");
    let mut admission = admission(1, 1_000);
    admission.set_share(&account, UNLIMITED, ms(0));
    let limit = ms(4_500);
    let offers = (0..10).map(|_| admission.offer(&demand(&account, limit), ms(0), 0));
    let kinds: Vec<_> = offers
        .map(|offered| offered.map_err(|refusal| refusal.kind))
        .collect();
    assert_eq!(kinds.iter().filter(|kind| kind.is_ok()).count(), 5);
    assert_eq!(kinds[9], Err(refusal::Kind::Overloaded));
    let outcome = admission.poll(ms(4_501), 0);
    let expired = outcome.refused.iter().map(|(_, refusal)| refusal.kind);
    assert_eq!(
        expired.collect::<Vec<_>>(),
        [refusal::Kind::DeadlinePassed; 4]
    );
    assert_eq!(admission.open(&account), 1);
}

#[test]
fn retry_delays_are_spread() {
    let after: Vec<_> = (0..100_u64)
        .map(|part| admission::jitter(ms(1_000), part * (u64::MAX / 99)))
        .collect();
    assert!(
        after
            .iter()
            .all(|after| (ms(1_000)..=ms(1_500)).contains(after))
    );
    let middle = after.iter().filter(|after| **after < ms(1_250)).count();
    assert!((45..=55).contains(&middle), "{middle}");
}

/// Every request is started, refused or cancelled exactly once, and the limits
/// hold at every step.
#[test]
fn every_request_ends_once_and_limits_hold() {
    let accounts = ["a", "b", "c"].map(id::Account::from);
    for seed in 0..ORDERS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut admission = admission(3, 6);
        for account in &accounts {
            let share = Share {
                open: 7,
                ..UNLIMITED
            };
            admission.set_share(account, share, ms(0));
        }
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        for step in 0..200 {
            let now = ms(step * 50);
            let account = &accounts[rng.next_u32() as usize % 3];
            match rng.next_u32() % 4 {
                0 if !running.is_empty() => {
                    let at = rng.next_u32() as usize % running.len();
                    admission.end(running.swap_remove(at), now);
                }
                1 if !waiting.is_empty() && rng.next_u32().is_multiple_of(4) => {
                    let at = rng.next_u32() as usize % waiting.len();
                    admission.end(waiting.swap_remove(at), now);
                }
                _ => {
                    let deadline = now + ms(u64::from(rng.next_u32() % 5_000));
                    match admission.offer(&demand(account, deadline), now, 0) {
                        Ok(Verdict::Start(ticket)) => running.push(ticket),
                        Ok(Verdict::Wait(ticket)) => waiting.push(ticket),
                        Err(_) => {}
                    }
                }
            }
            let outcome = admission.poll(now, 0);
            for (ticket, _) in &outcome.refused {
                let at = waiting
                    .iter()
                    .position(|waiting_ticket| waiting_ticket == ticket);
                waiting.swap_remove(at.unwrap_or_else(|| panic!("seed {seed}: refused twice")));
            }
            for ticket in outcome.started {
                let at = waiting
                    .iter()
                    .position(|waiting_ticket| *waiting_ticket == ticket);
                waiting.swap_remove(at.unwrap_or_else(|| panic!("seed {seed}: started twice")));
                running.push(ticket);
            }
            assert_eq!(admission.waiting(), waiting.len(), "seed {seed}");
            assert_eq!(admission.running() as usize, running.len(), "seed {seed}");
            assert!(running.len() <= 3 && waiting.len() <= 6, "seed {seed}");
            let open: u32 = accounts.iter().map(|account| admission.open(account)).sum();
            assert_eq!(open as usize, running.len() + waiting.len(), "seed {seed}");
            let kept = accounts.iter().all(|account| admission.open(account) <= 7);
            assert!(kept, "seed {seed}");
        }
    }
}

#[rstest]
fn a_request_without_a_slot_is_limited_by_its_account_only() {
    let account = id::Account::from("a");
    let mut admission = admission(1, 8);
    admission.set_share(
        &account,
        Share {
            open: 4,
            ..UNLIMITED
        },
        ms(0),
    );
    let with_slot = demand(&account, ms(10_000));
    let without_slot = Demand {
        needs_slot: false,
        ..with_slot
    };
    let mut started = |demand: &Demand<'_>| {
        let verdict = admission.offer(demand, ms(0), 0);
        verdict.map(|verdict| matches!(verdict, Verdict::Start(_)))
    };
    assert_eq!(started(&with_slot), Ok(true));
    assert_eq!(started(&without_slot), Ok(true));
    assert_eq!(started(&with_slot), Ok(false));
    assert_eq!(started(&without_slot), Ok(true));
    let over = started(&without_slot).map_err(|refusal| refusal.kind);
    assert_eq!(over, Err(refusal::Kind::TooManyOpen));
    assert_eq!(admission.running(), 1);
}
