//! Queued requests, by priority, then by start-time fair queueing.
//!
//! Each request gets a start tag in virtual time: the finish tag of its account's
//! previous request, or the current virtual time if that is later. Its finish tag
//! is the start tag plus its cost divided by the account's weight. Virtual time is
//! the start tag of the last request that was started.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use papayayard_wire::id;

use crate::admission::{Demand, Ticket};

/// Position in the queue: priority, start tag, arrival number, handle.
type Position = (Reverse<u8>, u64, u64, Ticket);

const TAG_UNITS_PER_TOKEN: u64 = 1 << 16;

#[derive(Debug)]
struct Entry {
    position: Position,
    account: id::Account,
    length: u64,
    deadline: Duration,
}

/// Queued requests of one account.
#[derive(Debug, Default)]
struct Backlog {
    end: u64,
    length: u64,
    positions: BTreeSet<Position>,
}

/// Queued requests of all accounts.
#[derive(Debug, Default)]
pub(super) struct Queue {
    positions: BTreeSet<Position>,
    deadlines: BTreeSet<(Duration, Ticket)>,
    entries: HashMap<Ticket, Entry>,
    backlogs: HashMap<id::Account, Backlog>,
    virtual_time: u64,
    arrivals: u64,
}

impl Queue {
    pub(super) fn push(&mut self, ticket: Ticket, demand: &Demand<'_>, weight: u32) {
        let length = u64::from(demand.cost.max(1)) * TAG_UNITS_PER_TOKEN / u64::from(weight);
        let backlog = self.backlogs.entry(demand.account.clone()).or_default();
        let tag = backlog.end.max(self.virtual_time);
        self.arrivals += 1;
        let position = (Reverse(demand.priority), tag, self.arrivals, ticket);
        backlog.end = tag + length;
        backlog.length += length;
        backlog.positions.insert(position);
        self.positions.insert(position);
        self.deadlines.insert((demand.deadline, ticket));
        let entry = Entry {
            position,
            account: demand.account.clone(),
            length,
            deadline: demand.deadline,
        };
        self.entries.insert(ticket, entry);
    }

    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let &(_, tag, _, ticket) = self.positions.first()?;
        self.virtual_time = self.virtual_time.max(tag);
        self.take(ticket);
        Some(ticket)
    }

    /// Removes a request that will not be served. If it was its account's last
    /// request, the account's finish tag moves back to the request's start tag.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let Some(entry) = self.take(ticket) else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&entry.account)
            && backlog.end == entry.position.1 + entry.length
        {
            backlog.end = entry.position.1;
        }
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
        if let Some(backlog) = self.backlogs.get_mut(&entry.account) {
            backlog.positions.remove(&entry.position);
            backlog.length -= entry.length;
        }
        Some(entry)
    }
}
