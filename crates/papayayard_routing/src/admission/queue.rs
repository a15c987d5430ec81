//! Waiting requests: by priority, then start-time fair queueing.
//!
//! Each request gets a tag on a virtual clock: where its account's last one
//! ended, or now if that is later. It ends its cost over its weight after
//! that. The clock is the tag of the request that was started last.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use papayayard_wire::id;

use crate::admission::{Demand, Ticket};

/// Place in the queue: priority, tag, arrival, handle.
type Place = (Reverse<u8>, u64, u64, Ticket);

const TAG_UNITS_PER_TOKEN: u64 = 1 << 16;

#[derive(Debug)]
struct Entry {
    place: Place,
    account: id::Account,
    length: u64,
    deadline: Duration,
}

/// What one account has waiting.
#[derive(Debug, Default)]
struct Backlog {
    end: u64,
    length: u64,
    places: BTreeSet<Place>,
}

/// Requests that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    places: BTreeSet<Place>,
    deadlines: BTreeSet<(Duration, Ticket)>,
    entries: HashMap<Ticket, Entry>,
    backlogs: HashMap<id::Account, Backlog>,
    clock: u64,
    arrivals: u64,
}

impl Queue {
    pub(super) fn push(&mut self, ticket: Ticket, demand: &Demand<'_>, weight: u32) {
        let length = u64::from(demand.cost.max(1)) * TAG_UNITS_PER_TOKEN / u64::from(weight);
        let backlog = self.backlogs.entry(demand.account.clone()).or_default();
        let tag = backlog.end.max(self.clock);
        self.arrivals += 1;
        let place = (Reverse(demand.priority), tag, self.arrivals, ticket);
        backlog.end = tag + length;
        backlog.length += length;
        backlog.places.insert(place);
        self.places.insert(place);
        self.deadlines.insert((demand.deadline, ticket));
        let entry = Entry {
            place,
            account: demand.account.clone(),
            length,
            deadline: demand.deadline,
        };
        self.entries.insert(ticket, entry);
    }

    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let &(_, tag, _, ticket) = self.places.first()?;
        self.clock = self.clock.max(tag);
        self.take(ticket);
        Some(ticket)
    }

    /// Takes a request out that will not be served; its account gets the
    /// virtual time back if it was the last.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let Some(entry) = self.take(ticket) else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&entry.account)
            && backlog.end == entry.place.1 + entry.length
        {
            backlog.end = entry.place.1;
        }
    }

    /// Requests that are started before this one.
    pub(super) fn ahead(&self, ticket: Ticket) -> usize {
        let entry = self.entries.get(&ticket);
        entry.map_or(0, |entry| self.places.range(..entry.place).count())
    }

    /// The last request of the account with most work waiting for its weight.
    pub(super) fn last_of_longest(&self) -> Option<Ticket> {
        let longest = self
            .backlogs
            .values()
            .max_by_key(|backlog| backlog.length)?;
        longest.places.last().map(|place| place.3)
    }

    pub(super) fn expired(&self, now: Duration) -> Option<Ticket> {
        let &(deadline, ticket) = self.deadlines.first()?;
        (deadline < now).then_some(ticket)
    }

    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn take(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.places.remove(&entry.place);
        self.deadlines.remove(&(entry.deadline, ticket));
        if let Some(backlog) = self.backlogs.get_mut(&entry.account) {
            backlog.places.remove(&entry.place);
            backlog.length -= entry.length;
        }
        Some(entry)
    }
}
