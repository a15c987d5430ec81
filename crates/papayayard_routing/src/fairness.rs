//! Start-time fair queueing among flows, such as the requests of client accounts.
//!
//! Work that waits has a start tag in virtual time: the end tag of its flow's earlier work. Work
//! with the lowest start tag is served first, and virtual time is the highest start tag that was
//! served. A flow without waiting work is removed once virtual time has passed its end tag, and
//! begins again at the present virtual time, so that it gains nothing by having been idle. When
//! no work waits at all, the period of contention is over, and all flows are removed.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Key of a flow; valid while the flow has waiting work.
    pub struct Key;
}

const TAG_UNITS_PER_TOKEN: u64 = 1 << 16;

/// Flows that have waiting work, or more service than others in the same period of contention.
#[derive(Debug)]
pub struct Flows<Name> {
    by_name: HashMap<Name, Key>,
    entries: SlotMap<Key, Flow<Name>>,
    /// End tags of the flows without waiting work, all after the virtual time.
    idle: BTreeSet<(u64, Key)>,
    virtual_time: u64,
    waiting: usize,
}

#[derive(Debug)]
struct Flow<Name> {
    name: Name,
    end: u64,
    waiting: usize,
}

impl<Name> Default for Flows<Name> {
    fn default() -> Self {
        Self {
            by_name: HashMap::new(),
            entries: SlotMap::with_key(),
            idle: BTreeSet::new(),
            virtual_time: 0,
            waiting: 0,
        }
    }
}

impl<Name> Flows<Name>
where
    Name: Clone + Eq + Hash,
{
    /// Adds waiting work to a flow.
    pub fn join(&mut self, name: &Name) -> Key {
        self.waiting += 1;
        if let Some(key) = self.by_name.get(name) {
            let flow = &mut self.entries[*key];
            if flow.waiting == 0 {
                self.idle.remove(&(flow.end, *key));
            }
            flow.waiting += 1;
            return *key;
        }
        let key = self.entries.insert(Flow {
            name: name.clone(),
            end: self.virtual_time,
            waiting: 1,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Removes waiting work from a flow, whether it was served or not.
    pub fn leave(&mut self, key: Key) {
        let Some(flow) = self.entries.get_mut(key) else {
            return;
        };
        flow.waiting = flow.waiting.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            *self = Self::default();
            return;
        }
        if flow.waiting == 0 {
            self.idle.insert((flow.end, key));
            self.forget_passed();
        }
    }

    /// Start tag of the next work of a flow.
    pub fn start(&self, key: Key) -> u64 {
        self.entries
            .get(key)
            .map_or(self.virtual_time, |flow| flow.end)
    }

    /// Charges a flow that has waiting work, and returns the start tag of the charged work.
    pub fn charge(&mut self, key: Key, length: u64) -> u64 {
        let start = self.start(key);
        if let Some(flow) = self.entries.get_mut(key) {
            flow.end = start.saturating_add(length);
        }
        start
    }

    /// Takes back a charge for work that will not be served, unless later work was charged since.
    pub fn refund(&mut self, key: Key, start: u64, length: u64) {
        if let Some(flow) = self.entries.get_mut(key)
            && flow.end == start.saturating_add(length)
        {
            flow.end = start;
        }
    }

    /// Advances virtual time to the start tag of work that is served.
    pub fn serve(&mut self, start: u64) {
        self.virtual_time = self.virtual_time.max(start);
        self.forget_passed();
    }

    /// Whether no work waits.
    pub const fn is_idle(&self) -> bool {
        self.waiting == 0
    }

    /// Number of flows that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget_passed(&mut self) {
        while let Some((_, key)) = self.idle.first().filter(|idle| idle.0 <= self.virtual_time) {
            let key = *key;
            self.idle.pop_first();
            if let Some(flow) = self.entries.remove(key) {
                self.by_name.remove(&flow.name);
            }
        }
    }
}

/// Length in virtual time of work with a cost in tokens, in a flow with a weight.
pub fn length(cost: u32, weight: u32) -> u64 {
    u64::from(cost.max(1)) * TAG_UNITS_PER_TOKEN / u64::from(weight.max(1))
}
