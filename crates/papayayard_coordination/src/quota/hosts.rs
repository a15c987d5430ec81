//! The number of hosts that quotas are divided over.
//!
//! Hosts that joined a short time ago are not known to all pools: a pool without a recent
//! reading may give each of its parts the size that it had before. So for [`MEMORY`]
//! after the number has grown, a pool takes the parts that it does not hold for parts of
//! that size. A process that has just started does not know how many there were, and
//! assumes that up to a fifth have joined. A number that falls takes effect after the
//! same time.

use std::time::Duration;

/// How long a change of the number is remembered.
pub(super) const MEMORY: Duration = Duration::from_mins(1);

/// Numbers of hosts, as this host and those that pool with it know them.
#[derive(Debug)]
pub(super) struct Hosts {
    own: u32,
    /// Highest number that was known lately, and when.
    high: (u32, Duration),
    /// Number before it grew, and when it did.
    before: Option<(u32, Duration)>,
    /// Start of the process, unless the whole deployment starts for the first time.
    started_at: Option<Duration>,
}

impl Hosts {
    pub(super) const fn new(started_at: Option<Duration>) -> Self {
        Self {
            own: 0,
            high: (0, Duration::ZERO),
            before: None,
            started_at,
        }
    }

    /// Number that this host has read; 0 before it has read any.
    pub(super) const fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn set_own(&mut self, hosts: u32, now: Duration) {
        let old = self.count(now);
        self.own = hosts;
        self.observe(old.max(hosts), now);
        self.note_growth(old, now);
    }

    /// Takes in the number that another host knows.
    pub(super) fn observe(&mut self, hosts: u32, now: Duration) {
        let old = self.count(now);
        if hosts >= self.high.0 || now >= self.high.1 + MEMORY {
            self.high = (hosts, now);
        }
        self.note_growth(old, now);
    }

    /// Number that quotas are divided over; 0 if this host has read none.
    pub(super) fn count(&self, now: Duration) -> u32 {
        if self.own == 0 || now >= self.high.1 + MEMORY {
            return self.own;
        }
        self.own.max(self.high.0)
    }

    /// Part of each quota that a pool of `parts` parts may use, 0 to 1.
    pub(super) fn share(&self, parts: u32, now: Duration) -> f64 {
        let count = self.count(now);
        if count == 0 {
            return 0.0;
        }
        let missing = count.saturating_sub(parts);
        let share = 1.0 - f64::from(missing) / f64::from(self.count_before(count, now));
        share.max(0.0)
    }

    fn count_before(&self, count: u32, now: Duration) -> u32 {
        let is_recent = self.started_at.is_some_and(|at| now < at + MEMORY);
        let least = if is_recent { count - count / 6 } else { count };
        let known = self.before.filter(|(_, at)| now < *at + MEMORY);
        known.map_or(least, |(before, _)| before.min(least))
    }

    fn note_growth(&mut self, old: u32, now: Duration) {
        if old == 0 || self.count(now) <= old {
            return;
        }
        let known = self.before.filter(|(_, at)| now < *at + MEMORY);
        let before = known.map_or(old, |(before, _)| before.min(old));
        self.before = Some((before, now));
    }
}
