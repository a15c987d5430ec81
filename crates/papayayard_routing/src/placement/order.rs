//! Order in which waiting requests are decided.
//!
//! The order is priority, then arrival. Among the requests of one service and priority, a *lane*,
//! the requests of several client accounts change places: first those that have been passed over
//! for long, then by the virtual start of their account (see [`fairness`]), then by arrival. An
//! account is charged when its request is placed, so refused requests cost it nothing. Requests
//! that find room at once are served by arrival: places change only from the moment on at which
//! one has to wait, until none waits. State exists only for lanes in which requests wait, and a
//! dispatcher that takes over begins without any.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;
use slotmap::{SecondaryMap, SlotMap};

use super::query::{PendingKey, Query};
use super::reservation::Room;
use crate::fairness;

/// Fraction of the time until a request's target after which it goes first if it was passed over.
/// A quarter of the time that it may wait is left for it to obtain room. A lower
/// fraction lets the excess of an account go first so often that others lose more requests.
const GOES_FIRST_FRACTION: f64 = 0.3;
/// Fraction of that time after which a request that was passed over holds room at an engine. Most
/// of the time that it may wait is left for memory to become free there.
const HOLDS_ROOM_FRACTION: f64 = 0.1;
/// Cost of a request that declares no prompt, in tokens.
const PLAIN_COST: u32 = 1;
/// Weight of each client account.
const WEIGHT: u32 = 1;

slotmap::new_key_type! {
    /// Key of the requests of one service and priority.
    struct LaneKey;
}

/// Number of events in the order of placement since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Requests placed before an earlier one of their service and priority by the shares of
    /// client accounts.
    pub out_of_order: u64,
    /// Requests placed first because they had been passed over for long.
    pub passed_over: u64,
    /// Reservations of room for a request at an endpoint.
    pub reserved: u64,
}

/// Lanes with waiting requests.
#[derive(Default)]
pub(super) struct Order {
    by_name: HashMap<(id::Service, u8), LaneKey>,
    lanes: SlotMap<LaneKey, Lane>,
    pub(super) counts: OrderCounts,
}

struct Lane {
    name: (id::Service, u8),
    flows: fairness::Flows<Option<id::Account>>,
    /// Whether a request has had to wait since the lane began.
    is_contended: bool,
    /// Latest arrival among the requests that were placed.
    newest_placed: Duration,
    /// When a request of a flow was last placed because it had been passed over.
    went_first: SecondaryMap<fairness::Key, Duration>,
}

/// Lane and flow of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    lane: LaneKey,
    flow: fairness::Key,
    /// Length in virtual time.
    length: u64,
}

/// What the order of a waiting request depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) priority: u8,
    pub(super) arrived_at: Duration,
    pub(super) arrival: u64,
    pub(super) key: PendingKey,
    pub(super) position: Position,
    pub(super) target: Duration,
}

/// A request's turn to be decided.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    pub(super) entry: Entry,
    /// Whether an earlier request of the lane comes later.
    pub(super) is_early: bool,
    /// Whether the request goes first because it has been passed over for long.
    pub(super) goes_first: bool,
    /// Room that an engine holds for the request against later ones of its lane.
    pub(super) room: Option<Room>,
}

/// Order within a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_in_turn: bool,
    /// Start tag.
    start: u64,
    /// Index by arrival.
    index: usize,
}

impl Order {
    /// Adds a waiting request.
    pub(super) fn join(&mut self, query: &Query) -> Position {
        let name = (query.service.clone(), query.priority);
        let lanes = &mut self.lanes;
        let lane = *self.by_name.entry(name).or_insert_with_key(|name| {
            lanes.insert(Lane {
                name: name.clone(),
                flows: fairness::Flows::default(),
                is_contended: false,
                newest_placed: Duration::ZERO,
                went_first: SecondaryMap::new(),
            })
        });
        Position {
            lane,
            flow: self.lanes[lane].flows.join(&query.account),
            length: fairness::length(cost(query), WEIGHT),
        }
    }

    /// Removes a waiting request.
    pub(super) fn leave(&mut self, position: Position) {
        let Some(lane) = self.lanes.get_mut(position.lane) else {
            return;
        };
        lane.flows.leave(position.flow);
        if lane.flows.is_idle()
            && let Some(lane) = self.lanes.remove(position.lane)
        {
            self.by_name.remove(&lane.name);
        }
    }

    /// Records that a request could not be placed at once.
    pub(super) fn record_waiting(&mut self, position: Position) {
        if let Some(lane) = self.lanes.get_mut(position.lane) {
            lane.is_contended = true;
        }
    }

    /// Charges the account of a request that is placed, which still has to leave.
    pub(super) fn record_placed(&mut self, turn: &Turn, now: Duration) {
        let Entry {
            position,
            arrived_at,
            ..
        } = turn.entry;
        let Some(lane) = self.lanes.get_mut(position.lane) else {
            return;
        };
        let start = lane.flows.charge(position.flow, position.length);
        lane.flows.serve(start);
        lane.newest_placed = lane.newest_placed.max(arrived_at);
        if turn.goes_first {
            lane.went_first.insert(position.flow, now);
        }
        self.counts.passed_over += u64::from(turn.goes_first && turn.is_early);
        self.counts.out_of_order += u64::from(turn.is_early);
    }

    /// Returns the requests in the order in which they are to be decided.
    pub(super) fn turns(&self, mut entries: Vec<Entry>, now: Duration) -> Vec<Turn> {
        entries.sort_unstable_by_key(|entry| (entry.priority, entry.arrived_at, entry.arrival));
        let indexes = entries.iter().enumerate();
        let mut by_lane: Vec<(LaneKey, usize)> = indexes
            .map(|(index, entry)| (entry.position.lane, index))
            .collect();
        by_lane.sort_unstable();
        let mut turns: Vec<Turn> = entries.iter().map(|entry| Turn::new(*entry)).collect();
        for places in by_lane.chunk_by(|(a, _), (b, _)| a == b) {
            let Some(lane) = self.lanes.get(places[0].0) else {
                continue;
            };
            let ranks = lane.ranks(places, &entries, now);
            let last = ranks.last().map(|rank| (rank.start, entries[rank.index]));
            let mut earliest = usize::MAX;
            for ((_, place), rank) in places.iter().zip(ranks).rev() {
                let entry = entries[rank.index];
                let has_less = last.is_some_and(|(last_start, last)| {
                    rank.start < last_start && entry.position.flow != last.position.flow
                });
                turns[*place] = Turn {
                    entry,
                    is_early: earliest < rank.index,
                    goes_first: !rank.is_in_turn,
                    room: lane.room(&entry, has_less, now),
                };
                earliest = earliest.min(rank.index);
            }
        }
        turns
    }
}

impl Lane {
    /// Returns the order of the lane's requests.
    fn ranks(&self, places: &[(LaneKey, usize)], entries: &[Entry], now: Duration) -> Vec<Rank> {
        // Where the requests of each flow that come earlier end.
        let mut ends: SecondaryMap<fairness::Key, u64> = SecondaryMap::new();
        let ranks = places.iter().map(|(_, index)| {
            let entry = &entries[*index];
            if !self.is_contended {
                return Rank {
                    is_in_turn: true,
                    start: 0,
                    index: *index,
                };
            }
            let Position { flow, length, .. } = entry.position;
            let earlier = ends.get(flow).copied();
            let start = earlier.unwrap_or_else(|| self.flows.start(flow));
            ends.insert(flow, start.saturating_add(length));
            let goes_first = earlier.is_none() && self.goes_first(entry, now);
            Rank {
                is_in_turn: !goes_first,
                start: if goes_first { 0 } else { start },
                index: *index,
            }
        });
        let mut ranks: Vec<Rank> = ranks.collect();
        ranks.sort_unstable();
        ranks
    }

    /// Whether the oldest request of a flow goes first. Only one request of a flow does in that
    /// time: otherwise all the excess of an account would go before the requests of others.
    fn goes_first(&self, entry: &Entry, now: Duration) -> bool {
        let went_first = self.went_first.get(entry.position.flow).copied();
        let since = went_first.map_or(entry.arrived_at, |at| at.max(entry.arrived_at));
        self.is_passed_over(entry) && now >= since + entry.time().mul_f64(GOES_FIRST_FRACTION)
    }

    /// Room that a request holds against those after it: its account has had less than another,
    /// or later requests have been placed for long.
    fn room(&self, entry: &Entry, has_less: bool, now: Duration) -> Option<Room> {
        let from = entry.arrived_at + entry.time().mul_f64(HOLDS_ROOM_FRACTION);
        let is_passed_over = self.is_passed_over(entry) && now >= from;
        if !has_less && !is_passed_over {
            return None;
        }
        let is_shared = has_less || self.flows.len() > 1;
        Some(if is_shared { Room::All } else { Room::Memory })
    }

    /// Whether a request that arrived later was placed.
    fn is_passed_over(&self, entry: &Entry) -> bool {
        self.newest_placed > entry.arrived_at
    }
}

impl Entry {
    /// Time from the arrival to the target.
    const fn time(&self) -> Duration {
        self.target.saturating_sub(self.arrived_at)
    }
}

impl Turn {
    const fn new(entry: Entry) -> Self {
        Self {
            entry,
            is_early: false,
            goes_first: false,
            room: None,
        }
    }
}

/// Cost of a request, in tokens to prefill and to generate.
fn cost(query: &Query) -> u32 {
    query.prompt.as_ref().map_or(PLAIN_COST, |prompt| {
        prompt.tokens.saturating_add(prompt.output_tokens())
    })
}
