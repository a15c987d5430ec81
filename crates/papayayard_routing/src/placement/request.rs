//! A waiting request in a round of decisions, with what its evaluations have in common.

use std::time::Duration;

use papayayard_wire::id;

use super::Scheduler;
use super::cost::ZoneCost;
use super::keys::Hashes;
use super::query::Query;
use super::roster::{Entry, Roster};
use super::select::Bounds;

/// A waiting request in a round.
pub(super) struct Request<'a> {
    pub(super) query: &'a Query,
    pub(super) hashes: &'a mut Hashes,
    pub(super) bounds: Bounds,
    /// Even draw from 0 to 1.
    pub(super) draw: f64,
    pub(super) now: Duration,
    pub(super) zone: ZoneCost,
    /// Number of hosts that send to the endpoints.
    pub(super) hosts: usize,
    /// Zones that the sending host does not reach; empty if it reaches all.
    pub(super) unreachable: Vec<bool>,
}

impl<'a> Request<'a> {
    /// Prepares a request.
    pub(super) fn new(
        scheduler: &Scheduler,
        roster: &mut Roster,
        (query, hashes): (&'a Query, &'a mut Hashes),
        draw: f64,
        now: Duration,
    ) -> Self {
        let excludes_any = scheduler.paths.excludes_any(query.sender(), now);
        let is_unreachable = |zone: &id::Zone| scheduler.paths.excludes(query.sender(), zone, now);
        Self {
            query,
            hashes,
            bounds: Bounds::new(query, roster.urgent_ms(scheduler, query), now),
            draw,
            now,
            zone: ZoneCost::new(roster.zone(&query.zone), query.is_repeatable),
            hosts: if excludes_any {
                scheduler.sending_hosts(query, now)
            } else {
                scheduler.schedulers
            },
            unreachable: if excludes_any {
                roster.zones.iter().map(is_unreachable).collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Whether estimates change with time in ways that are not foreseen.
    pub(super) const fn is_unsteady(&self) -> bool {
        self.hosts > 1 || !self.unreachable.is_empty()
    }

    pub(super) fn reaches(&self, entry: &Entry) -> bool {
        !self.unreachable.get(entry.zone).is_some_and(|zone| *zone)
    }
}
