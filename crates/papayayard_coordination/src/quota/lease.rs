//! Times in which a pool counts the part of one host.
//!
//! Each call of a host allows the pool to count its part in one span: from the time at
//! which the part is free until the end of the lease of the call's token. Each span is
//! valid by itself, also if its call is late, so their union is. Spans that do not
//! meet are not joined, since the part may be bound elsewhere between them.

use std::time::Duration;

/// Spans of one host's part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    /// End of the present span.
    held_until: Option<Duration>,
    /// A later span: its start and end.
    pending: Option<(Duration, Duration)>,
}

impl Lease {
    pub(super) const fn is_held(&self) -> bool {
        self.held_until.is_some()
    }

    /// Start of the later span.
    pub(super) fn starts_at(&self) -> Option<Duration> {
        self.pending.map(|(from, _)| from)
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.held_until.is_none() && self.pending.is_none()
    }

    /// Adds a span.
    pub(super) fn extend(&mut self, from: Duration, until: Duration, now: Duration) {
        if until <= now || until <= from {
            return;
        }
        let is_joined = self.held_until.is_some_and(|end| from <= end);
        if from <= now || is_joined {
            self.held_until = self.held_until.max(Some(until));
            return;
        }
        let (mut from, mut until) = (from, until);
        if let Some((start, end)) = self.pending {
            if start <= until && from <= end {
                from = from.min(start);
                until = until.max(end);
            } else if end > until {
                return;
            }
        }
        self.pending = Some((from, until));
    }

    /// Applies starts and ends up to `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        self.held_until = self.held_until.filter(|until| *until > now);
        let Some((from, until)) = self.pending else {
            return;
        };
        if from <= now {
            self.pending = None;
            if until > now {
                self.held_until = self.held_until.max(Some(until));
            }
        }
    }

    /// Time of the next start or end.
    pub(super) fn next(&self) -> Option<Duration> {
        let start = self.starts_at();
        let times = [self.held_until, start];
        times.into_iter().flatten().min()
    }
}
