//! Continuous batching: slots, a queue by priority, chunked prefill, decode.
//!
//! The engine works in steps. A step gives each decoding request one token
//! and spends a budget of prompt tokens on the requests in prefill, those of
//! higher priority first and then in order of arrival. It takes as long as
//! the longer of both. A request looks its prefix up when its first prompt
//! token is scheduled, so that it finds what the ones before it computed. No
//! socket, clock or task is in here: time is handed in.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_wire::block::Key;

use super::cache::{Cache, Change};

/// Speed and room of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Most requests in the batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_rate: u32,
    /// Time between two tokens of a request.
    pub decode_time: Duration,
}

/// A request in the queue or in the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(u64);

/// What a request asks for.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Keys of the prompt's whole blocks.
    pub keys: Vec<Key>,
    /// Length of a block in tokens.
    pub block_tokens: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// First position to generate.
    pub from: u64,
    /// Position after the last.
    pub until: u64,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    started: bool,
    computed: u64,
    planned: u64,
    position: u64,
}

impl Entry {
    const fn remaining(&self) -> u64 {
        self.job.prompt_tokens.saturating_sub(self.computed)
    }
}

/// What became of a token that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It was taken.
    Taken,
    /// The reader is slow; the token is offered again at the next step.
    Full,
    /// The reader is gone.
    Gone,
}

/// Takes the tokens of a batch.
pub trait Sink {
    /// Takes one token.
    fn offer(&mut self, handle: Handle, position: u64) -> Offer;
    /// Learns that a request has all its tokens.
    fn finish(&mut self, handle: Handle);
    /// Learns that a request ended as its reader was gone.
    fn cancel(&mut self, handle: Handle);
    /// Learns of a change of the cache.
    fn change(&mut self, change: Change);
}

/// A request that began to compute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The request.
    pub handle: Handle,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

/// Start of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// How long it takes.
    pub duration: Duration,
    /// Requests that began to compute.
    pub started: Vec<Start>,
}

/// Requests of one engine, queued and running.
#[derive(Debug)]
pub struct Batch {
    rates: Rates,
    cache: Cache,
    next: u64,
    queue: BTreeMap<(Reverse<u8>, Handle), Job>,
    running: BTreeMap<Handle, Entry>,
}

impl Batch {
    /// Makes an empty batch.
    pub const fn new(rates: Rates, cache: Cache) -> Self {
        Self {
            rates,
            cache,
            next: 0,
            queue: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// The cache.
    pub const fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Prompt tokens that are still to be computed.
    pub fn pending_tokens(&self, now: Duration) -> u64 {
        let running: u64 = self
            .running
            .values()
            .map(|entry| self.left(entry, now))
            .sum();
        let queued: u64 = self
            .queue
            .values()
            .map(|job| job.prompt_tokens - self.cached_tokens(job, now))
            .sum();
        running + queued
    }

    fn left(&self, entry: &Entry, now: Duration) -> u64 {
        if entry.started {
            return entry.remaining();
        }
        entry.job.prompt_tokens - self.cached_tokens(&entry.job, now)
    }

    /// Queues a request.
    pub fn push(&mut self, job: Job) -> Handle {
        let handle = Handle(self.next);
        self.next += 1;
        self.queue.insert((Reverse(job.priority), handle), job);
        handle
    }

    /// Takes a request out.
    pub fn remove(&mut self, handle: Handle) {
        self.running.remove(&handle);
        self.queue.retain(|(_, queued), _| *queued != handle);
    }

    /// Starts a step; none where there is nothing to do.
    pub fn begin(&mut self, now: Duration) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let (planned, started) = self.plan_prefill(now);
        let prefill = Duration::from_secs_f64(tokens_f64(planned) / self.prefill_rate());
        let decoding = self.running.values().any(|entry| entry.remaining() == 0);
        let decode = if decoding {
            self.rates.decode_time
        } else {
            Duration::ZERO
        };
        Some(Step {
            duration: prefill.max(decode),
            started,
        })
    }

    /// Ends the step that was begun last.
    pub fn end<Reader>(&mut self, now: Duration, sink: &mut Reader)
    where
        Reader: Sink,
    {
        let removed = self.cache.expire(now);
        sink.change(Change {
            stored: Vec::new(),
            removed,
        });
        let handles: Vec<Handle> = self.running.keys().copied().collect();
        for handle in handles {
            self.end_one(handle, now, sink);
        }
    }

    fn end_one<Reader>(&mut self, handle: Handle, now: Duration, sink: &mut Reader)
    where
        Reader: Sink,
    {
        let Some(entry) = self.running.get_mut(&handle) else {
            return;
        };
        if entry.remaining() > 0 {
            let before = whole_blocks(entry);
            entry.computed += entry.planned;
            entry.planned = 0;
            let after = whole_blocks(entry);
            if after > before {
                sink.change(self.cache.store(&entry.job.keys[..after], now));
            }
            if entry.remaining() > 0 {
                return;
            }
        }
        if entry.position < entry.job.until {
            match sink.offer(handle, entry.position) {
                Offer::Taken => entry.position += 1,
                Offer::Full => return,
                Offer::Gone => {
                    self.running.remove(&handle);
                    sink.cancel(handle);
                    return;
                }
            }
        }
        if entry.position >= entry.job.until {
            self.running.remove(&handle);
            sink.finish(handle);
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.rates.slots {
            let Some(((_, handle), job)) = self.queue.pop_first() else {
                return;
            };
            let entry = Entry {
                started: false,
                computed: 0,
                planned: 0,
                position: job.from,
                job,
            };
            self.running.insert(handle, entry);
        }
    }

    fn cached_tokens(&self, job: &Job, now: Duration) -> u64 {
        cached_tokens(&self.cache, job, now)
    }

    /// Spends the step's budget of prompt tokens.
    fn plan_prefill(&mut self, now: Duration) -> (u64, Vec<Start>) {
        let budget = self.prefill_rate() * self.rates.decode_time.as_secs_f64();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let budget = (budget as u64).max(1);
        let mut left = budget;
        let mut started = Vec::new();
        for handle in self.prefill_order() {
            if left == 0 {
                break;
            }
            started.extend(self.start(handle, now));
            let Some(entry) = self.running.get_mut(&handle) else {
                continue;
            };
            entry.planned = left.min(entry.remaining());
            left -= entry.planned;
        }
        (budget - left, started)
    }

    fn prefill_order(&self) -> Vec<Handle> {
        let waiting = self.running.iter();
        let waiting = waiting.filter(|(_, entry)| entry.remaining() > 0);
        let mut order: Vec<_> = waiting
            .map(|(handle, entry)| (Reverse(entry.job.priority), *handle))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, handle)| handle).collect()
    }

    /// Looks a request's prefix up, the first time that it computes.
    fn start(&mut self, handle: Handle, now: Duration) -> Option<Start> {
        let entry = self.running.get_mut(&handle)?;
        if entry.started {
            return None;
        }
        entry.started = true;
        self.cache.lookup(&entry.job.keys, now);
        let cached_tokens = cached_tokens(&self.cache, &entry.job, now);
        entry.computed = cached_tokens;
        Some(Start {
            handle,
            cached_tokens,
        })
    }

    fn prefill_rate(&self) -> f64 {
        f64::from(self.rates.prefill_rate.max(1))
    }
}

/// Tokens of a prompt that need no computing; the last one always does.
fn cached_tokens(cache: &Cache, job: &Job, now: Duration) -> u64 {
    let blocks = cache.peek(&job.keys, now) as u64;
    let tokens = blocks * job.block_tokens;
    tokens.min(job.prompt_tokens.saturating_sub(1))
}

/// Whole blocks of a request that are computed.
fn whole_blocks(entry: &Entry) -> usize {
    let blocks = entry.computed / entry.job.block_tokens.max(1);
    let blocks = usize::try_from(blocks).unwrap_or(usize::MAX);
    blocks.min(entry.job.keys.len())
}

#[expect(clippy::cast_precision_loss)]
const fn tokens_f64(tokens: u64) -> f64 {
    tokens as f64
}
