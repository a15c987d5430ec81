//! The host's side: where its part of the quotas is.
//!
//! A dispatcher counts the part until the end of the lease of the newest token that the
//! host repeated to it. The host received that token after the dispatcher read its clock
//! for it, so the part is free one lease after that, with a margin for the clocks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

use super::message::{MAX_RETURNED, Offer, Reply, Token};
use super::{CLOCK_MARGIN, LEASE, Tolerance, bound};

/// Maximum number of charges that wait for the next call to a dispatcher.
const MAX_WAITING: usize = 4_096;
/// Maximum number of dispatchers that are remembered.
const MAX_LINKS: usize = 256;

/// What a host knows about one dispatcher.
#[derive(Debug, Default)]
struct Link {
    /// Process that answered last.
    run: Option<u64>,
    answered_at: Duration,
    /// Newest token of that process, and when it was received.
    token: Option<(Token, Duration)>,
    /// End of the time in which that process may count the part.
    bound_until: Duration,
    /// Numbers of charges to be returned.
    returned: VecDeque<u64>,
    used_at: Duration,
}

/// A contribution of the failover allowance.
#[derive(Clone, Debug)]
struct Allowance {
    token_run: u64,
    at: Duration,
}

/// State of one host's part.
#[derive(Debug)]
pub(super) struct Member {
    links: BTreeMap<id::Host, Link>,
    /// End of the time in which an earlier process's dispatcher may count the part.
    bound_until: Duration,
    /// Time from which the host may contribute its failover allowance again.
    allowance_from: Duration,
    allowance_period: Duration,
    allowance: Option<Allowance>,
    /// Whether the part is new, so that its buckets start full.
    is_full: bool,
    /// Process of the dispatcher that gets the part with full buckets, and when.
    full_at: Option<(u64, Duration)>,
}

impl Member {
    pub(super) fn new(is_first_start: bool, tolerance: Tolerance, now: Duration) -> Self {
        // An allowance may still be spent two leases after it was contributed; the host
        // repeats it for one lease, and the last message may be one lease late.
        let allowance_period = (tolerance.window + LEASE * 4).mul_f64(CLOCK_MARGIN);
        let bound_until = if is_first_start { now } else { now + bound() };
        let allowance_from = if is_first_start {
            now
        } else {
            now + allowance_period
        };
        Self {
            links: BTreeMap::new(),
            bound_until,
            allowance_from,
            allowance_period,
            allowance: None,
            is_full: is_first_start,
            full_at: None,
        }
    }

    /// Time from which the part is bound at no dispatcher.
    pub(super) fn free_from(&self) -> Duration {
        let bounds = self.links.values().map(|link| link.bound_until);
        bounds.max().unwrap_or_default().max(self.bound_until)
    }

    /// Records that this host's own pool has used the part.
    pub(super) fn use_own(&mut self) {
        self.is_full = false;
    }

    /// Uses the failover allowance, if that is permitted now.
    pub(super) fn take_allowance(&mut self, now: Duration) -> bool {
        if now < self.allowance_from {
            return false;
        }
        self.allowance_from = now + self.allowance_period;
        true
    }

    pub(super) fn offer(&mut self, dispatcher: &id::Host, hosts: u32, now: Duration) -> Offer {
        self.forget_links(now);
        let elsewhere = self.bound_elsewhere(dispatcher);
        let link = self.links.entry(dispatcher.clone()).or_default();
        link.used_at = now;
        let count = link.returned.len().min(MAX_RETURNED);
        let returned = link.returned.drain(..count).collect();
        let token = link.token.filter(|(_, at)| now < *at + bound());
        if let Some((_, received_at)) = token {
            link.bound_until = link.bound_until.max(received_at + bound());
        }
        let token = token.map(|(token, _)| token);
        let free_in = elsewhere.saturating_sub(now);
        Offer {
            token,
            free_in_ms: to_ms(free_in.mul_f64(CLOCK_MARGIN)),
            allowance: token.is_some_and(|token| self.contributes(token.run, free_in, now)),
            is_full: token.is_some_and(|token| self.is_full_for(token.run, now)),
            hosts,
            wants: Vec::new(),
            returned,
        }
    }

    /// Applies an answer; returns whether it is from the dispatcher's present process.
    pub(super) fn accept(
        &mut self,
        dispatcher: &id::Host,
        run: u64,
        reply: Option<&Reply>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let link = self.links.entry(dispatcher.clone()).or_default();
        if link.run.is_some_and(|known| known != run) {
            // Only a call that was sent after the known process had answered shows that
            // the other process is the later one.
            if sent_at <= link.answered_at {
                return false;
            }
            *link = Link::default();
        }
        link.run = Some(run);
        link.answered_at = link.answered_at.max(now);
        link.used_at = now;
        let Some(reply) = reply else {
            link.token = None;
            return true;
        };
        let is_newer = link.token.is_none_or(|(token, _)| reply.token > token.ms);
        if is_newer {
            let token = Token {
                run,
                ms: reply.token,
            };
            link.token = Some((token, now));
        }
        true
    }

    pub(super) fn return_to(&mut self, dispatcher: &id::Host, number: u64) {
        let link = self.links.entry(dispatcher.clone()).or_default();
        if link.returned.len() < MAX_WAITING {
            link.returned.push_back(number);
        }
    }

    fn bound_elsewhere(&self, dispatcher: &id::Host) -> Duration {
        let others = self.links.iter().filter(|(host, _)| *host != dispatcher);
        let bounds = others.map(|(_, link)| link.bound_until);
        bounds.max().unwrap_or_default().max(self.bound_until)
    }

    /// Whether a call contributes the failover allowance. This is repeated for one
    /// lease, since a call may be lost.
    fn contributes(&mut self, run: u64, free_in: Duration, now: Duration) -> bool {
        if let Some(allowance) = &self.allowance
            && now < allowance.at + LEASE
        {
            return allowance.token_run == run;
        }
        if free_in.is_zero() || !self.take_allowance(now) {
            return false;
        }
        self.allowance = Some(Allowance {
            token_run: run,
            at: now,
        });
        true
    }

    fn is_full_for(&mut self, run: u64, now: Duration) -> bool {
        if !self.is_full {
            return false;
        }
        let (full_run, at) = *self.full_at.get_or_insert((run, now));
        full_run == run && now < at + LEASE
    }

    fn forget_links(&mut self, now: Duration) {
        if self.links.len() < MAX_LINKS {
            return;
        }
        self.links
            .retain(|_, link| now < link.used_at + LEASE * 4 || now < link.bound_until);
    }
}

/// Rounds up to milliseconds, the unit of the message.
fn to_ms(time: Duration) -> Duration {
    let ms = u64::try_from(time.as_micros().div_ceil(1_000));
    ms.map_or(Duration::MAX, Duration::from_millis)
}
