//! How much of a returned charge a bucket may take back.
//!
//! Without the charge, the bucket would have been fuller by its cost, but never fuller
//! than its capacity. So a return adds at most the least free room that the bucket has
//! had since the charge; a bucket that was full in the meantime gets nothing back.

use std::collections::VecDeque;

/// Maximum number of remembered readings.
const MAX_READINGS: usize = 64;

/// Least free room after each moment; numbers and rooms both increase.
#[derive(Debug, Default)]
pub(super) struct Room(VecDeque<(u64, f64)>);

impl Room {
    /// Records the free room at a moment with a number above all earlier ones.
    pub(super) fn record(&mut self, number: u64, room: f64) {
        while self.0.back().is_some_and(|(_, last)| *last >= room) {
            self.0.pop_back();
        }
        self.0.push_back((number, room));
        if self.0.len() > MAX_READINGS
            && let Some((_, oldest)) = self.0.pop_front()
            && let Some((_, next)) = self.0.front_mut()
        {
            *next = oldest;
        }
    }

    /// Takes room for up to `amount` that was free at all moments after `number`, and
    /// at most `room`, what is free now.
    pub(super) fn take(&mut self, number: u64, amount: f64, room: f64) -> f64 {
        let first = self.0.partition_point(|(at, _)| *at <= number);
        let least = self.0.get(first).map_or(room, |(_, least)| least.min(room));
        let taken = amount.min(least).max(0.0);
        for (_, room) in self.0.range_mut(first..) {
            *room -= taken;
        }
        self.drop_covered(first);
        taken
    }

    /// Drops readings before `first` that are no longer below those after it.
    fn drop_covered(&mut self, mut first: usize) {
        while first > 0 && first < self.0.len() && self.0[first - 1].1 >= self.0[first].1 {
            self.0.remove(first - 1);
            first -= 1;
        }
    }
}
