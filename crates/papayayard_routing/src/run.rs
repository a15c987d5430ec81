//! Detection of the current run of an endpoint's process.
//!
//! Messages of a run that ended may arrive after those of the next run. Run numbers
//! are unordered, so the last few ended runs are kept. A report that was measured
//! after the recorded end of its run proves that the run is alive.

use std::time::Duration;

use papayayard_wire::id;

const MAX_ENDED: usize = 4;

/// Relation of a message to the current run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// The message belongs to the current run, or to the first known run.
    Same,
    /// The message belongs to a new run; the previous run ended and lost its state.
    New,
    /// The message belongs to a run that has ended.
    Ended,
}

/// The runs of one endpoint's process.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    current: Option<id::Incarnation>,
    ended: Vec<End>,
}

/// A run that ended.
#[derive(Clone, Copy, Debug)]
struct End {
    incarnation: id::Incarnation,
    at: Duration,
}

impl Tracker {
    /// The current run, if known.
    pub const fn current(&self) -> Option<id::Incarnation> {
        self.current
    }

    /// Processes a message that names a run. `measured_at` is when its content was
    /// measured, if known.
    pub fn observe(
        &mut self,
        incarnation: id::Incarnation,
        measured_at: Option<Duration>,
        now: Duration,
    ) -> Match {
        if self.current == Some(incarnation) {
            return Match::Same;
        }
        if self.is_ended(incarnation, measured_at) {
            return Match::Ended;
        }
        self.ended.retain(|end| end.incarnation != incarnation);
        let had_run = self.current.is_some() || !self.ended.is_empty();
        self.end(now);
        self.current = Some(incarnation);
        if had_run { Match::New } else { Match::Same }
    }

    /// Ends the current run.
    pub fn end(&mut self, now: Duration) {
        let Some(incarnation) = self.current.take() else {
            return;
        };
        if self.ended.len() == MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push(End {
            incarnation,
            at: now,
        });
    }

    fn is_ended(&self, incarnation: id::Incarnation, measured_at: Option<Duration>) -> bool {
        let end = self.ended.iter().find(|end| end.incarnation == incarnation);
        end.is_some_and(|end| measured_at.is_none_or(|measured_at| measured_at <= end.at))
    }
}
