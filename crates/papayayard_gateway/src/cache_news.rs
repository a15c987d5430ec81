//! What a host has learnt of caches, for the other hosts of its zone.

use std::collections::{HashMap, VecDeque};

use papayayard_routing::prompt;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::schedule::{Handle, Holder, Message};

/// Changes that are kept: those of some seconds at many endpoints.
const MAX_CHANGES: usize = 20_000;

/// A change of what a holder keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Change {
    holder: Holder,
    effect: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Another amount of a part is kept.
    Resized(prompt::Key, u32),
    /// Nothing is kept that is known.
    Cleared,
}

/// Numbered changes of caches.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Number of the first change that is kept.
    first: u64,
}

/// Changes as they are sent to another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Number to go on from.
    pub(crate) next: u64,
    /// Endpoints, which the changes name by their index here.
    endpoints: Vec<String>,
    /// Stores of cached prompts, likewise.
    stores: Vec<String>,
    /// Places of holders that keep nothing any more, stores after endpoints.
    forgotten: Vec<usize>,
    /// Place of the holder, key of the part, tokens that are kept.
    kept: Vec<(usize, u64, u32)>,
}

impl ChangeLog {
    /// Adds changes of parts.
    pub(crate) fn add(&mut self, holder: &Holder, parts: &[(prompt::Key, u32)]) {
        for (key, tokens) in parts {
            self.push(holder, Effect::Resized(*key, *tokens));
        }
    }

    /// Adds that a holder keeps nothing that is known.
    pub(crate) fn clear(&mut self, holder: &Holder) {
        self.push(holder, Effect::Cleared);
    }

    /// Number after the last change.
    pub(crate) fn next_number(&self) -> u64 {
        self.first + self.changes.len() as u64
    }

    /// Changes from a number on. A holder that was forgotten is told first, so
    /// that what it kept before is left out.
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

    /// Tells the scheduler; a index that names no holder is left out.
    pub(crate) fn apply(&self, schedule: &Handle) {
        for index in &self.forgotten {
            if let Some(holder) = self.holder(*index) {
                schedule.tell(Message::Forget(holder));
            }
        }
        let mut parts: HashMap<usize, Vec<(prompt::Key, u32)>> = HashMap::new();
        for (index, key, tokens) in &self.kept {
            let key = prompt::Key::from_number(*key);
            parts.entry(*index).or_default().push((key, *tokens));
        }
        for (index, parts) in parts {
            if let Some(holder) = self.holder(index) {
                schedule.tell(Message::Told(holder, parts));
            }
        }
    }
}

#[cfg(test)]
#[path = "cache_news_test.rs"]
mod test;
