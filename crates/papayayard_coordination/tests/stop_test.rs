//! The planned stop: its order, its bounds, and that it cuts no request.

use std::time::Duration;

use papayayard_coordination::stop::{Action, Event, Machine, Phase, Times};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

fn machine() -> Machine {
    Machine::new(Times {
        grace: Duration::from_secs(2),
        handover: Duration::from_secs(3),
        leave_notice: Duration::from_secs(1),
    })
}

use Event::{Idle, Notified, Released, Requested, Tick};

#[rstest]
#[case::not_requested(&[(0, Idle), (0, Released), (9, Tick)], Phase::Serving)]
#[case::requested(&[(0, Requested)], Phase::Announced)]
#[case::idle_in_the_grace_period(&[(0, Requested), (1, Idle), (1, Tick)], Phase::Announced)]
#[case::requested_twice(&[(0, Requested), (2, Tick), (2, Requested)], Phase::Finishing)]
#[case::open_for_long(&[(0, Requested), (2, Tick), (9_000, Tick)], Phase::Finishing)]
#[case::leases_are_held(&[(0, Requested), (2, Tick), (5, Idle), (7, Tick)], Phase::HandingOver)]
#[case::released_late(&[(0, Requested), (2, Tick), (5, Idle), (6, Released)], Phase::Leaving)]
#[case::released_early(&[(0, Requested), (1, Released), (2, Tick), (5, Idle)], Phase::Leaving)]
#[case::never_released(&[(0, Requested), (2, Tick), (5, Idle), (8, Tick)], Phase::Leaving)]
#[case::notified(&[(0, Requested), (0, Released), (2, Tick), (5, Idle), (5, Notified)], Phase::Left)]
#[case::never_notified(&[(0, Requested), (0, Released), (2, Tick), (5, Idle), (6, Tick)], Phase::Left)]
fn the_stop_follows_its_phases(#[case] events: &[(u64, Event)], #[case] phase: Phase) {
    let mut machine = machine();
    for (second, event) in events {
        machine.handle(*event, Duration::from_secs(*second));
    }
    assert_eq!(machine.phase(), phase);
}

#[test]
fn any_order_of_events_cuts_nothing_and_ends() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut machine = machine();
        let mut now = Duration::ZERO;
        let mut open: u32 = random.random_range(0..5);
        let mut is_listening = true;
        let mut actions = Vec::new();
        machine.handle(Requested, now);
        for step in 0..400 {
            now += Duration::from_millis(random.random_range(0..400));
            let is_settling = step >= 200;
            if is_listening && random.random_bool(0.3) {
                open += 1;
            }
            if random.random_bool(0.4) || is_settling {
                open = open.saturating_sub(1);
            }
            let event = match random.random_range(0..6) {
                0 if !is_settling => Requested,
                1 => Released,
                2 => Notified,
                3 if open == 0 => Idle,
                _ => Tick,
            };
            let Some(action) = machine.handle(event, now) else {
                continue;
            };
            actions.push(action);
            match action {
                Action::StopListening => is_listening = false,
                Action::SendLeaveNotice | Action::Exit => {
                    assert!(!is_listening && open == 0, "seed {seed}: {open} cut");
                }
                Action::Announce => panic!("seed {seed}: announced twice"),
            }
        }
        let all = [Action::StopListening, Action::SendLeaveNotice, Action::Exit];
        assert_eq!(actions, all, "seed {seed}");
    }
}
