//! What a host has learnt of caches, for the other hosts of its zone.

use std::collections::{HashMap, VecDeque};

use papayayard_routing::prompt;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

use crate::schedule::{Handle, Holder, Message};

/// Changes that are kept: those of some seconds at many endpoints.
const MOST_KEPT: usize = 20_000;

/// A change of what a holder keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Change {
    holder: Holder,
    part: Part,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Another amount of a part is kept.
    Kept(prompt::Key, u32),
    /// Nothing is kept that is known.
    Forgotten,
}

/// Numbered changes of caches.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    changes: VecDeque<Change>,
    /// Number of the first change that is kept.
    first: u64,
}

/// Changes as they are sent to another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Number to go on from.
    pub(crate) next: u64,
    /// Endpoints, which the changes name by their place here.
    endpoints: Vec<String>,
    /// Stores of cached prompts, likewise.
    stores: Vec<String>,
    /// Places of holders that keep nothing any more, stores after endpoints.
    forgotten: Vec<usize>,
    /// Place of the holder, key of the part, tokens that are kept.
    kept: Vec<(usize, u64, u32)>,
}

impl News {
    /// Adds changes of parts.
    pub(crate) fn add(&mut self, holder: &Holder, parts: &[(prompt::Key, u32)]) {
        for (key, tokens) in parts {
            self.push(holder, Part::Kept(*key, *tokens));
        }
    }

    /// Adds that a holder keeps nothing that is known.
    pub(crate) fn forget(&mut self, holder: &Holder) {
        self.push(holder, Part::Forgotten);
    }

    /// Number after the last change.
    pub(crate) fn next(&self) -> u64 {
        self.first + self.changes.len() as u64
    }

    /// Changes from a number on. A holder that was forgotten is told first, so
    /// that what it kept before is left out.
    pub(crate) fn since(&self, from: u64) -> Batch {
        let from = if from > self.next() { 0 } else { from };
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let mut latest: HashMap<&Holder, HashMap<prompt::Key, u32>> = HashMap::new();
        let mut forgotten: Vec<&Holder> = Vec::new();
        for change in self.changes.iter().skip(skipped) {
            let parts = latest.entry(&change.holder).or_default();
            match change.part {
                Part::Kept(key, tokens) => {
                    parts.insert(key, tokens);
                }
                Part::Forgotten => {
                    parts.clear();
                    forgotten.push(&change.holder);
                }
            }
        }
        let mut batch = Batch {
            next: self.next(),
            ..Batch::default()
        };
        let places = batch.name(latest.keys().copied());
        batch.forgotten = forgotten.iter().map(|holder| places[holder]).collect();
        for (holder, parts) in latest {
            let place = places[holder];
            let parts = parts.into_iter();
            let kept = parts.map(|(key, tokens)| (place, key.number(), tokens));
            batch.kept.extend(kept);
        }
        batch
    }

    fn push(&mut self, holder: &Holder, part: Part) {
        if self.changes.len() >= MOST_KEPT {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(Change {
            holder: holder.clone(),
            part,
        });
    }
}

impl Batch {
    fn name<'a, Holders>(&mut self, holders: Holders) -> HashMap<&'a Holder, usize>
    where
        Holders: Iterator<Item = &'a Holder> + Clone,
    {
        let mut named: Vec<&Holder> = Vec::new();
        for holder in holders.clone() {
            if let Holder::Endpoint(endpoint) = holder {
                self.endpoints.push(endpoint.as_str().to_owned());
                named.push(holder);
            }
        }
        for holder in holders {
            if let Holder::Store(store) = holder {
                self.stores.push(store.as_str().to_owned());
                named.push(holder);
            }
        }
        let places = named.into_iter().enumerate();
        places.map(|(place, holder)| (holder, place)).collect()
    }

    fn holder(&self, place: usize) -> Option<Holder> {
        if let Some(endpoint) = self.endpoints.get(place) {
            return Some(Holder::Endpoint(id::Endpoint::from(endpoint.as_str())));
        }
        let store = self.stores.get(place.checked_sub(self.endpoints.len())?)?;
        Some(Holder::Store(id::Service::from(store.as_str())))
    }

    /// Tells the scheduler; a place that names no holder is left out.
    pub(crate) fn tell(&self, schedule: &Handle) {
        for place in &self.forgotten {
            if let Some(holder) = self.holder(*place) {
                schedule.tell(Message::Forget(holder));
            }
        }
        let mut parts: HashMap<usize, Vec<(prompt::Key, u32)>> = HashMap::new();
        for (place, key, tokens) in &self.kept {
            let key = prompt::Key::from_number(*key);
            parts.entry(*place).or_default().push((key, *tokens));
        }
        for (place, parts) in parts {
            if let Some(holder) = self.holder(place) {
                schedule.tell(Message::Told(holder, parts));
            }
        }
    }
}

#[cfg(test)]
#[path = "cache_news_test.rs"]
mod test;
