//! State machine of a host's planned stop.
//!
//! Peers and the load balancer are notified first, and the host accepts requests for a
//! grace period, so that callers routed before the balancer reacted are served. After
//! that nothing new is accepted, every request ends normally, leases are handed over,
//! and peers receive the leave notice. Only the wait for requests has no bound: a
//! planned stop cuts none.

use std::time::Duration;

/// Time limits of the steps.
#[derive(Clone, Debug)]
pub struct Times {
    /// From readiness turning false to the end of listening.
    pub grace: Duration,
    /// Maximum wait for leases to be released; they expire by themselves.
    pub handover: Duration,
    /// Maximum wait for peers to receive the leave notice.
    pub leave_notice: Duration,
}

/// Phase of the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was requested.
    Serving,
    /// Readiness is false, and requests are still accepted.
    Announced,
    /// Nothing new is accepted, and open requests end.
    Finishing,
    /// Leases are being released.
    HandingOver,
    /// The leave notice is being sent to peers.
    Leaving,
    /// The process may end.
    Left,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator requested the stop.
    Requested,
    /// Time passed.
    Tick,
    /// No request is open.
    Idle,
    /// No lease is held.
    Released,
    /// Peers have received the leave notice.
    Notified,
}

/// Action for the host to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Set readiness to false, notify peers, and issue no more orders.
    Announce,
    /// Stop listening for callers.
    StopListening,
    /// Notify peers that the host has left.
    SendLeaveNotice,
    /// End the process.
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
    /// Creates the machine of a serving host.
    pub const fn new(times: Times) -> Self {
        Self {
            times,
            phase: Phase::Serving,
            deadline: Duration::MAX,
            is_released: false,
        }
    }

    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// When [`Event::Tick`] is due.
    pub const fn next_at(&self) -> Duration {
        self.deadline
    }

    /// Applies an event and returns the action that follows from it.
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
