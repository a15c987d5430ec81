//! Log of cache changes read by this host, served to the other hosts of its zone.

use std::collections::{HashMap, VecDeque};

use papayayard_routing::prompt;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::schedule::{Handle, Holder, Message};

/// Number of changes retained, which covers several seconds of traffic at many endpoints.
const MAX_CHANGES: usize = 20_000;

/// A change to the cached prompt parts of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Change {
    holder: Holder,
    effect: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// The number of cached tokens of a part has changed.
    Resized(prompt::Key, u32),
    /// All that was known of the holder's cache is invalid, for example after its
    /// restart.
    Cleared,
}

/// Numbered cache changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Number of the oldest retained change.
    first: u64,
}

/// Changes in the form in which they are sent to another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Number from which the next batch continues.
    pub(crate) next: u64,
    /// Endpoints; the changes refer to them by index.
    endpoints: Vec<String>,
    /// Stores of cached prompts, whose indexes follow those of the endpoints.
    stores: Vec<String>,
    /// Indexes of the holders whose earlier cache contents are invalid.
    forgotten: Vec<usize>,
    /// Index of the holder, key of the part, and number of cached tokens.
    kept: Vec<(usize, u64, u32)>,
}

impl ChangeLog {
    /// Appends new token counts of a holder's parts.
    pub(crate) fn add(&mut self, holder: &Holder, parts: &[(prompt::Key, u32)]) {
        for (key, tokens) in parts {
            self.push(holder, Effect::Resized(*key, *tokens));
        }
    }

    /// Appends the invalidation of all that is known of a holder's cache.
    pub(crate) fn clear(&mut self, holder: &Holder) {
        self.push(holder, Effect::Cleared);
    }

    /// Number after that of the last change.
    pub(crate) fn next_number(&self) -> u64 {
        self.first + self.changes.len() as u64
    }

    /// Returns the changes from a number on. Invalidations of holders are listed
    /// separately and apply first, so parts cached before them are left out.
    pub(crate) fn since(&self, from: u64) -> Batch {
        let from = if from > self.next_number() { 0 } else { from };
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let mut latest: HashMap<&Holder, HashMap<prompt::Key, u32>> = HashMap::new();
        let mut forgotten: Vec<&Holder> = Vec::new();
        for change in self.changes.iter().skip(skipped) {
            let parts = latest.entry(&change.holder).or_default();
            match change.effect {
                Effect::Resized(key, tokens) => {
                    parts.insert(key, tokens);
                }
                Effect::Cleared => {
                    parts.clear();
                    forgotten.push(&change.holder);
                }
            }
        }
        let mut batch = Batch {
            next: self.next_number(),
            ..Batch::default()
        };
        let indexes = batch.index_holders(latest.keys().copied());
        batch.forgotten = forgotten.iter().map(|holder| indexes[holder]).collect();
        for (holder, parts) in latest {
            let index = indexes[holder];
            let parts = parts.into_iter();
            let kept = parts.map(|(key, tokens)| (index, key.number(), tokens));
            batch.kept.extend(kept);
        }
        batch
    }

    fn push(&mut self, holder: &Holder, effect: Effect) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(Change {
            holder: holder.clone(),
            effect,
        });
    }
}

impl Batch {
    fn index_holders<'a, Holders>(&mut self, holders: Holders) -> HashMap<&'a Holder, usize>
    where
        Holders: Iterator<Item = &'a Holder> + Clone,
    {
        let mut ordered: Vec<&Holder> = Vec::new();
        for holder in holders.clone() {
            if let Holder::Endpoint(endpoint) = holder {
                self.endpoints.push(endpoint.as_str().to_owned());
                ordered.push(holder);
            }
        }
        for holder in holders {
            if let Holder::Store(store) = holder {
                self.stores.push(store.as_str().to_owned());
                ordered.push(holder);
            }
        }
        let indexes = ordered.into_iter().enumerate();
        indexes.map(|(index, holder)| (holder, index)).collect()
    }

    fn holder(&self, index: usize) -> Option<Holder> {
        if let Some(endpoint) = self.endpoints.get(index) {
            return Some(Holder::Endpoint(id::Endpoint::from(endpoint.as_str())));
        }
        let store = self.stores.get(index.checked_sub(self.endpoints.len())?)?;
        Some(Holder::Store(id::Service::from(store.as_str())))
    }

    /// Forwards the changes to the scheduler, skipping indexes without a holder.
    pub(crate) fn apply(&self, schedule: &Handle) {
        for index in &self.forgotten {
            if let Some(holder) = self.holder(*index) {
                schedule.send(Message::Clear(holder));
            }
        }
        let mut parts: HashMap<usize, Vec<(prompt::Key, u32)>> = HashMap::new();
        for (index, key, tokens) in &self.kept {
            let key = prompt::Key::from_number(*key);
            parts.entry(*index).or_default().push((key, *tokens));
        }
        for (index, parts) in parts {
            if let Some(holder) = self.holder(index) {
                schedule.send(Message::Cached(holder, parts));
            }
        }
    }
}

#[cfg(test)]
#[path = "cache_news_test.rs"]
mod test;
