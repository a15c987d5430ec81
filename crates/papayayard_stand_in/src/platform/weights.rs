//! The weight store: more than a few loads at once slow each other down.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::clock::Clock;

/// Parts into which a load is cut to follow the number of loads.
const PARTS: u32 = 20;

/// A rate-limited weight store.
#[derive(Debug)]
pub struct Store {
    time: Duration,
    at_once: u32,
    active: Mutex<u32>,
}

impl Store {
    /// A load takes `time` while at most `at_once` loads run.
    pub const fn new(time: Duration, at_once: u32) -> Self {
        Self {
            time,
            at_once,
            active: Mutex::new(0),
        }
    }

    /// Waits as long as one load takes.
    pub async fn load(&self, clock: &Clock) {
        let _active = Active::enter(self);
        for _ in 0..PARTS {
            clock
                .sleep((self.time / PARTS).mul_f64(self.slowdown()))
                .await;
        }
    }

    /// Loads that run now.
    pub fn active(&self) -> u32 {
        *self.lock()
    }

    /// Factor by which loads take longer now.
    pub fn slowdown(&self) -> f64 {
        let active = f64::from(self.active());
        (active / f64::from(self.at_once.max(1))).max(1.0)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, u32> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Active<'a>(&'a Store);

impl<'a> Active<'a> {
    fn enter(store: &'a Store) -> Self {
        *store.lock() += 1;
        Self(store)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}
