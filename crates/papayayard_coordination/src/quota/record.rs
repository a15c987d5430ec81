//! Charges that a pool remembers, so that those of requests that did not run can be
//! returned once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use papayayard_wire::id;

/// How long a charge can be returned.
const MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of remembered charges of one host.
const MAX_CHARGES: usize = 4_096;

/// Process and number of a placement request.
type Key = (u64, u64);

/// A remembered charge.
#[derive(Clone, Debug)]
pub(super) struct Paid {
    pub(super) account: id::Account,
    /// What the bucket paid, without failover allowances.
    pub(super) amount: f64,
    /// Number of the event of the charge.
    pub(super) number: u64,
}

/// Remembered charges of one host.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// `None` once a charge was returned.
    charges: BTreeMap<Key, Option<Paid>>,
    order: VecDeque<(Duration, Key)>,
}

impl Record {
    /// Whether a request was charged, and the charge not returned.
    pub(super) fn is_charged(&self, key: Key) -> bool {
        matches!(self.charges.get(&key), Some(Some(_)))
    }

    /// Remembers a charge. A charge under a number whose charge was returned is not
    /// remembered: its number may be returned again by a repeated message.
    pub(super) fn add(&mut self, key: Key, paid: Paid, now: Duration) {
        self.expire(now);
        if self.charges.contains_key(&key) {
            return;
        }
        self.charges.insert(key, Some(paid));
        self.order.push_back((now, key));
    }

    /// Takes a charge that is returned for the first time.
    pub(super) fn take(&mut self, key: Key, now: Duration) -> Option<Paid> {
        self.expire(now);
        self.charges.get_mut(&key)?.take()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((at, key)) = self.order.front() {
            if now < *at + MEMORY && self.order.len() < MAX_CHARGES {
                break;
            }
            self.charges.remove(key);
            self.order.pop_front();
        }
    }
}
