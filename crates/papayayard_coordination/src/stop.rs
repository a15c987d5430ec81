//! The planned stop of a host, step by step.
//!
//! Peers and the balancer are told first, and the host goes on taking requests
//! for a grace period, so that callers sent before the balancer noticed are
//! served. Then nothing new is taken, every request ends as it would have,
//! leases are handed over, and peers hear the farewell. Only the requests are
//! waited for without a bound: a planned stop cuts none.

use std::time::Duration;

/// Bounds of the steps.
#[derive(Clone, Debug)]
pub struct Times {
    /// Between readiness turning false and the end of listening.
    pub grace: Duration,
    /// Longest wait for leases to be released; they end by themselves.
    pub handover: Duration,
    /// Longest wait for peers to hear the farewell.
    pub leave_notice: Duration,
}

/// Where the stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// Readiness is false, and requests are still taken.
    Announced,
    /// Nothing new is taken, and open requests end.
    Finishing,
    /// Leases are being released.
    HandingOver,
    /// Peers are told the farewell.
    Leaving,
    /// The process may end.
    Left,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator asks for the stop.
    Requested,
    /// Time passed.
    Tick,
    /// No request is open.
    Idle,
    /// No lease is held.
    Released,
    /// Peers have heard the farewell.
    Notified,
}

/// What the host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Turns readiness false, tells peers, and gives no more orders.
    Announce,
    /// Ends listening for callers.
    StopListening,
    /// Tells peers that it has left.
    SendLeaveNotice,
    /// Ends the process.
    Exit,
}

/// The stop of one host.
#[derive(Clone, Debug)]
pub struct Machine {
    times: Times,
    phase: Phase,
    deadline: Duration,
    is_released: bool,
}

impl Machine {
    /// A host that serves.
    pub const fn new(times: Times) -> Self {
        Self {
            times,
            phase: Phase::Serving,
            deadline: Duration::MAX,
            is_released: false,
        }
    }

    /// Where the stop stands.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// When [`Event::Tick`] is due.
    pub const fn next_at(&self) -> Duration {
        self.deadline
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Duration) -> Option<Action> {
        self.is_released |= event == Event::Released;
        let is_late = event == Event::Tick && now >= self.deadline;
        match (self.phase, event) {
            (Phase::Serving, Event::Requested) => {
                self.enter(Phase::Announced, now + self.times.grace);
                Some(Action::Announce)
            }
            (Phase::Announced, _) if is_late => {
                self.enter(Phase::Finishing, Duration::MAX);
                Some(Action::StopListening)
            }
            (Phase::Finishing, Event::Idle) if self.is_released => Some(self.leave(now)),
            (Phase::Finishing, Event::Idle) => {
                self.enter(Phase::HandingOver, now + self.times.handover);
                None
            }
            (Phase::HandingOver, Event::Released) => Some(self.leave(now)),
            (Phase::HandingOver, _) if is_late => Some(self.leave(now)),
            (Phase::Leaving, event) if is_late || event == Event::Notified => {
                self.enter(Phase::Left, Duration::MAX);
                Some(Action::Exit)
            }
            _ => None,
        }
    }

    fn leave(&mut self, now: Duration) -> Action {
        self.enter(Phase::Leaving, now + self.times.leave_notice);
        Action::SendLeaveNotice
    }

    const fn enter(&mut self, phase: Phase, deadline: Duration) {
        self.phase = phase;
        self.deadline = deadline;
    }
}
