//! Register of this host's requests in flight.
//!
//! All of them are reported to a dispatcher that has just started or that this host has
//! not called before. Otherwise it would send more requests to endpoints that are busy.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::placement::{Placement, Query};

use super::message::{Event, Notice, Running};

#[derive(Clone, Default)]
pub(super) struct Register(Arc<Shared>);

#[derive(Default)]
struct Shared {
    next: AtomicU64,
    in_flight: Mutex<HashMap<u64, Entry>>,
}

struct Entry {
    running: Running,
    deadline: Duration,
}

impl Register {
    /// Returns a new number for a request.
    pub(super) fn number(&self) -> u64 {
        self.0.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a placed request.
    pub(super) fn add(&self, number: u64, query: &Query, placement: &Placement) {
        let Some(prompt) = &query.prompt else {
            return;
        };
        let entry = Entry {
            running: Running {
                endpoint: placement.endpoint.as_str().to_owned(),
                unread: placement.unread,
                memory: prompt.tokens.saturating_sub(placement.cached) + prompt.output_tokens(),
                deadline_ms: Duration::ZERO,
            },
            deadline: query.deadline,
        };
        self.in_flight().insert(number, entry);
    }

    /// Records that the endpoint has prefilled a request's prompt.
    pub(super) fn record_first_event(&self, number: u64) {
        if let Some(entry) = self.in_flight().get_mut(&number) {
            entry.running.unread = 0;
        }
    }

    pub(super) fn remove(&self, number: u64) {
        self.in_flight().remove(&number);
    }

    /// Notices for a dispatcher that has no record of these requests.
    pub(super) fn notices(&self, now: Duration) -> Vec<Notice> {
        let in_flight = self.in_flight();
        let notices = in_flight.iter().map(|(number, entry)| Notice {
            number: *number,
            what: Event::Open(Running {
                deadline_ms: entry.deadline.saturating_sub(now),
                ..entry.running.clone()
            }),
        });
        notices.collect()
    }

    fn in_flight(&self) -> MutexGuard<'_, HashMap<u64, Entry>> {
        self.0
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
