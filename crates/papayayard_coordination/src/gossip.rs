//! Sets of short-lived facts that hosts replicate by gossip.
//!
//! Each fact has the time when it was first observed and expires after a fixed time.
//! Hosts compare digests of their sets and send items only if the digests differ.
//! Messages carry ages instead of times, so clocks need not agree.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::peer;
use rand::{Rng, RngExt};

/// A fact that can be sent to peers.
pub trait Item: Clone + Ord {
    /// Bytes that identify the fact.
    fn bytes(&self) -> Vec<u8>;
}

/// Facts with the time of their first observation.
#[derive(Clone, Debug)]
pub struct Set<Fact> {
    ttl: Duration,
    capacity: usize,
    facts: BTreeMap<Fact, Duration>,
    withdrawn: BTreeMap<Fact, Duration>,
}

impl<Fact> Set<Fact>
where
    Fact: Item,
{
    /// Creates an empty set that keeps a fact for `ttl`, and at most `capacity` facts.
    pub const fn new(ttl: Duration, capacity: usize) -> Self {
        Self {
            ttl,
            capacity,
            facts: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Adds a fact that was first observed `age` ago; returns whether it is new.
    pub fn insert(&mut self, fact: Fact, age: Duration, now: Duration) -> bool {
        self.expire(now);
        let first_seen = now.saturating_sub(age);
        let is_withdrawn = self
            .withdrawn
            .get(&fact)
            .is_some_and(|at| first_seen <= *at);
        if age >= self.ttl || is_withdrawn {
            return false;
        }
        if let Some(existing) = self.facts.get_mut(&fact) {
            // Keeping the earlier time ensures that repeated messages do not extend a
            // fact's life.
            *existing = first_seen.min(*existing);
            return false;
        }
        if self.facts.len() >= self.capacity {
            return false;
        }
        self.facts.insert(fact, first_seen);
        true
    }

    /// Removes a fact that no longer holds; older messages from peers about it are
    /// ignored.
    pub fn withdraw(&mut self, fact: &Fact, now: Duration) -> bool {
        let is_present = self.facts.remove(fact).is_some();
        if is_present {
            self.withdrawn.insert(fact.clone(), now);
        }
        is_present
    }

    pub fn contains(&self, fact: &Fact, now: Duration) -> bool {
        self.first_seen(fact, now).is_some()
    }

    /// When the fact was first observed, while it holds.
    pub fn first_seen(&self, fact: &Fact, now: Duration) -> Option<Duration> {
        let first_seen = *self.facts.get(fact)?;
        (now < first_seen + self.ttl).then_some(first_seen)
    }

    /// All facts that hold.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Fact> {
        let live = move |first_seen: &Duration| now < *first_seen + self.ttl;
        let facts = self.facts.iter();
        facts
            .filter(move |(_, first_seen)| live(first_seen))
            .map(|(fact, _)| fact)
    }

    /// Digest of the facts that hold.
    pub fn digest(&mut self, now: Duration) -> peer::Digest {
        self.expire(now);
        let mut digest = peer::Digest::default();
        for fact in self.facts.keys() {
            digest.add(&fact.bytes());
        }
        digest
    }

    /// At most `limit` facts with their ages, starting at a random position; a fixed
    /// order could send every peer the same part each time.
    pub fn sample<Random>(
        &mut self,
        limit: usize,
        now: Duration,
        random: &mut Random,
    ) -> Vec<(Fact, Duration)>
    where
        Random: Rng,
    {
        self.expire(now);
        let count = self.facts.len();
        let start = random.random_range(0..count.max(1));
        let facts = self.facts.iter().cycle().skip(start);
        facts
            .take(limit.min(count))
            .map(|(fact, first_seen)| (fact.clone(), now.saturating_sub(*first_seen)))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        let ttl = self.ttl;
        self.facts.retain(|_, first_seen| now < *first_seen + ttl);
        self.withdrawn.retain(|_, at| now < *at + ttl);
    }
}
