//! Queued requests, by priority, then by start-time fair queueing (see [`fairness`]).
//!
//! An account is charged when its request is queued, so that each request keeps its position.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use papayayard_wire::id;
use slotmap::SecondaryMap;

use crate::admission::{Demand, Ticket};
use crate::fairness;

/// Position in the queue: priority, start tag, arrival number, handle.
type Position = (Reverse<u8>, u64, u64, Ticket);

#[derive(Debug)]
struct Entry {
    position: Position,
    flow: fairness::Key,
    length: u64,
    deadline: Duration,
}

/// Queued requests of one account.
#[derive(Debug, Default)]
struct Backlog {
    length: u64,
    positions: BTreeSet<Position>,
}

/// Queued requests of all accounts.
#[derive(Debug, Default)]
pub(super) struct Queue {
    positions: BTreeSet<Position>,
    deadlines: BTreeSet<(Duration, Ticket)>,
    entries: HashMap<Ticket, Entry>,
    flows: fairness::Flows<id::Account>,
    backlogs: SecondaryMap<fairness::Key, Backlog>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn push(&mut self, ticket: Ticket, demand: &Demand<'_>, weight: u32) {
        let length = fairness::length(demand.cost, weight);
        let flow = self.flows.join(demand.account);
        let tag = self.flows.charge(flow, length);
        self.arrivals += 1;
        let position = (Reverse(demand.priority), tag, self.arrivals, ticket);
        let mut backlog = self.backlogs.remove(flow).unwrap_or_default();
        backlog.length += length;
        backlog.positions.insert(position);
        self.backlogs.insert(flow, backlog);
        self.positions.insert(position);
        self.deadlines.insert((demand.deadline, ticket));
        let entry = Entry {
            position,
            flow,
            length,
            deadline: demand.deadline,
        };
        self.entries.insert(ticket, entry);
    }

    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let &(_, tag, _, ticket) = self.positions.first()?;
        let entry = self.take(ticket)?;
        self.flows.serve(tag);
        self.flows.leave(entry.flow);
        Some(ticket)
    }

    /// Removes a request that will not be served. If it was its account's last
    /// request, the account's finish tag moves back to the request's start tag.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let Some(entry) = self.take(ticket) else {
            return;
        };
        self.flows
            .refund(entry.flow, entry.position.1, entry.length);
        self.flows.leave(entry.flow);
    }

    /// Number of requests that start before this one.
    pub(super) fn ahead(&self, ticket: Ticket) -> usize {
        let entry = self.entries.get(&ticket);
        entry.map_or(0, |entry| self.positions.range(..entry.position).count())
    }

    /// Last request of the account with the most queued work relative to its weight.
    pub(super) fn last_of_longest(&self) -> Option<Ticket> {
        let longest = self
            .backlogs
            .values()
            .max_by_key(|backlog| backlog.length)?;
        longest.positions.last().map(|position| position.3)
    }

    pub(super) fn expired(&self, now: Duration) -> Option<Ticket> {
        let &(deadline, ticket) = self.deadlines.first()?;
        (deadline < now).then_some(ticket)
    }

    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    fn take(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.positions.remove(&entry.position);
        self.deadlines.remove(&(entry.deadline, ticket));
        if let Some(backlog) = self.backlogs.get_mut(entry.flow) {
            backlog.positions.remove(&entry.position);
            backlog.length -= entry.length;
            if backlog.positions.is_empty() {
                self.backlogs.remove(entry.flow);
            }
        }
        Some(entry)
    }
}
