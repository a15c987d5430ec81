//! Cache events as they are published: late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use papayayard_wire::endpoint::{Change, Event};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Most events that are kept for readers.
const MAX_EVENTS: usize = 8192;
/// Most events of one page.
const MAX_PAGE: usize = 1024;

/// Events of one incarnation.
#[derive(Debug)]
pub struct Feed {
    sequence: u64,
    events: VecDeque<(Duration, Event)>,
    random: ChaCha8Rng,
    lost: f64,
    delay: Duration,
}

impl Feed {
    /// Starts at sequence number 1; `delay` is the time until an event shows.
    pub fn new(seed: u64, delay: Duration) -> Self {
        Self {
            sequence: 0,
            events: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: 0.0,
            delay,
        }
    }

    /// Sets the part of events that is lost and the delay of the others.
    pub fn disturb(&mut self, lost: f64, delay: Duration) {
        self.lost = lost.clamp(0.0, 1.0);
        self.delay = delay;
    }

    /// Sequence number of the last event.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Publishes a change, or loses it.
    pub fn push(&mut self, change: Change, now: Duration) {
        self.sequence += 1;
        if self.lost > 0.0 && self.random.random_bool(self.lost) {
            return;
        }
        let event = Event {
            sequence: self.sequence,
            change,
        };
        self.events.push_back((now + self.delay, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a sequence number that show by now.
    pub fn page(&self, after: u64, now: Duration) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(shown, event)| *shown <= now && event.sequence > after)
            .take(MAX_PAGE)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
