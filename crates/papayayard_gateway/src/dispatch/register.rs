//! Requests of this host that run at endpoints.
//!
//! A dispatcher that has just started, or that this host has not asked before,
//! knows nothing of them; it is told, so that it does not send more to endpoints
//! that are busy.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_routing::placement::{Placement, Query};

use super::message::{Notice, Running, What};

/// Requests that run.
#[derive(Clone, Default)]
pub(super) struct Register(Arc<Shared>);

#[derive(Default)]
struct Shared {
    next: AtomicU64,
    open: Mutex<HashMap<u64, Entry>>,
}

struct Entry {
    running: Running,
    deadline: Duration,
}

impl Register {
    /// A number for a request.
    pub(super) fn number(&self) -> u64 {
        self.0.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes that a request was placed.
    pub(super) fn add(&self, number: u64, ask: &Query, placement: &Placement) {
        let Some(prompt) = &ask.prompt else {
            return;
        };
        let entry = Entry {
            running: Running {
                endpoint: placement.endpoint.as_str().to_owned(),
                unread: placement.unread,
                memory: prompt.tokens.saturating_sub(placement.cached) + prompt.output_tokens(),
                deadline_ms: Duration::ZERO,
            },
            deadline: ask.deadline,
        };
        self.open().insert(number, entry);
    }

    /// Notes that a request's prompt was read.
    pub(super) fn begun(&self, number: u64) {
        if let Some(entry) = self.open().get_mut(&number) {
            entry.running.unread = 0;
        }
    }

    /// Notes that a request has ended.
    pub(super) fn remove(&self, number: u64) {
        self.open().remove(&number);
    }

    /// What a dispatcher is told that knows of none.
    pub(super) fn notices(&self, now: Duration) -> Vec<Notice> {
        let open = self.open();
        let notices = open.iter().map(|(number, entry)| Notice {
            number: *number,
            what: What::Open(Running {
                deadline_ms: entry.deadline.saturating_sub(now),
                ..entry.running.clone()
            }),
        });
        notices.collect()
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Entry>> {
        self.0.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
