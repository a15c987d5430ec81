//! Places requests at endpoints, lets them wait, and turns them away.
//!
//! The scheduler holds what a host believes of all endpoints. A request that
//! has no place waits by urgency and then by arrival, for a part of the time
//! in which its answer is due; then it is refused and told when to come back.
//! What cannot be served at all is refused at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;
use slotmap::SlotMap;

use crate::prompt;
use crate::table::Table;
use crate::weights;

mod ask;
mod backend;
mod cache;
mod cost;
mod delay;
mod fetch;
mod link;
mod load;
mod reach;
mod select;
mod split;

use backend::Backend;
use fetch::Fetch;
use select::{Candidate, shared_keys};

pub use ask::{Ask, BackendKey, Decision, Outcome, Placement, Refused, Seen, Ticket, Waiting};
pub use backend::Endpoint;
pub use cache::Cache;
pub use delay::{Delay, Usual};
pub use link::{Link, transfer_time};
pub use load::{Amounts, Load};
pub use reach::Reach;
pub use split::{Demand, draw};

/// Part of the time to the target that a request may wait for a place.
const WAIT_PART: f64 = 0.4;
/// Longest time to come back in.
const LONGEST_RETRY: Duration = Duration::from_millis(2500);
/// Part of the time left that callers wait at most before they come back.
const RETRY_PART: f64 = 0.3;
/// Part of the time to come back in by which callers are spread.
const RETRY_SPREAD: f64 = 0.4;
/// Time for which an endpoint that refused is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);
/// Time beyond the expected one after which a silent endpoint is failing.
const SILENCE: Duration = Duration::from_secs(2);
/// Failures in a row that one refused or unanswered connection counts for.
const UNREACHABLE_FAILURES: usize = 2;
/// Time to which a service time is taken before one was seen, in ms.
const UNKNOWN_SERVICE_MS: f64 = 30.0;
/// Times the expected time to the first event after which a prompt has been
/// read for sure, if its first event was not seen before.
const READ_BY: u32 = 2;
/// Time from then on until a store has it.
const SAVE: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint that loads weights is left out.
const LONGEST_LOADING: Duration = Duration::from_secs(8);

/// Where this host is and what bounds it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Zone of this host.
    pub zone: id::Zone,
    /// Time for which older weights may be used.
    pub old_weights: Duration,
    /// Time from which on older weights count as a loss.
    pub old_weights_grace: Duration,
}

/// Endpoints, what is believed of them, and the requests that wait.
pub struct Scheduler {
    settings: Settings,
    table: Arc<Table>,
    hosts: usize,
    backends: SlotMap<BackendKey, Backend>,
    by_id: HashMap<id::Endpoint, BackendKey>,
    stores: HashMap<id::Service, Store>,
    named: HashMap<id::Model, weights::Named>,
    reach: Reach,
    usual: Usual,
    demand: Demand,
    refusals: u64,
    tickets: SlotMap<Ticket, Placed>,
    waiting: SlotMap<Waiting, Pending>,
    arrivals: u64,
}

/// A store of cached prompts.
#[derive(Default)]
struct Store {
    cache: Cache,
    link: Link,
    /// Whether it has told what it keeps since it was last silent.
    is_reached: bool,
}

struct Pending {
    ask: Ask,
    arrival: u64,
    since: Duration,
}

struct Placed {
    backend: BackendKey,
    endpoint: id::Endpoint,
    amounts: Amounts,
    sent: Duration,
    expected: Duration,
    /// The part of it that load and the prompt explain, in ms.
    explained_ms: f64,
    /// Keys of the shared parts.
    keys: Vec<prompt::Key>,
    is_stream: bool,
    begun: bool,
    overdue: bool,
}

impl Scheduler {
    /// A scheduler without endpoints.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            table: Arc::default(),
            hosts: 1,
            backends: SlotMap::with_key(),
            by_id: HashMap::new(),
            stores: HashMap::new(),
            named: HashMap::new(),
            reach: Reach::default(),
            usual: Usual::default(),
            demand: Demand::default(),
            refusals: 0,
            tickets: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            arrivals: 0,
        }
    }

    /// Takes over a routing table.
    pub fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
    }

    /// Takes over the number of hosts that send requests.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Takes over versions of weights that operators have named.
    pub fn add_named(&mut self, named: &HashMap<id::Model, weights::Named>) {
        for (model, named) in named {
            self.named.entry(model.clone()).or_default().merge(named);
        }
    }

    /// Takes over the list of endpoints.
    pub fn set_endpoints(&mut self, list: &[Endpoint], now: Duration) {
        let present: HashSet<&id::Endpoint> = list.iter().map(|one| &one.id).collect();
        let gone: Vec<BackendKey> = self
            .by_id
            .iter()
            .filter(|(id, _)| !present.contains(id))
            .map(|(_, key)| *key)
            .collect();
        for key in gone {
            self.remove(key);
        }
        for endpoint in list {
            self.set_endpoint(endpoint, now);
        }
    }

    /// Leaves out endpoints that load weights, and no others.
    pub fn set_loading(&mut self, loading: &[id::Endpoint], now: Duration) {
        let loading: HashSet<&id::Endpoint> = loading.iter().collect();
        for backend in self.backends.values_mut() {
            if loading.contains(&backend.endpoint.id) {
                backend.loading_until.get_or_insert(now + LONGEST_LOADING);
            } else if backend.loading_until.take().is_some() {
                backend.fresh_since = now;
            }
        }
    }

    /// Takes over that an endpoint has loaded a version.
    pub fn loaded(&mut self, endpoint: &id::Endpoint, model: &id::Model, version: u64) {
        if let Some(backend) = self.backend_mut(endpoint) {
            let known = backend.endpoint.weights.entry(model.clone()).or_default();
            *known = (*known).max(version);
        }
    }

    /// Takes over what an endpoint keeps of a part; 0 tokens drop it.
    pub fn told(&mut self, endpoint: &id::Endpoint, key: prompt::Key, tokens: u32, now: Duration) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.told(key, tokens, now);
        }
    }

    /// Forgets what an endpoint keeps.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        if let Some(backend) = self.backend_mut(endpoint) {
            backend.cache.clear();
        }
    }

    /// Takes over what a store of cached prompts keeps of a part.
    pub fn store_told(
        &mut self,
        store: &id::Service,
        key: prompt::Key,
        tokens: u32,
        now: Duration,
    ) {
        let store = self.stores.entry(store.clone()).or_default();
        store.is_reached = true;
        store.cache.told(key, tokens, now);
    }

    /// Forgets what a store of cached prompts keeps.
    pub fn forget_store(&mut self, store: &id::Service) {
        self.stores.remove(store);
    }

    /// Lets a request wait for an endpoint; see [`Self::decide`].
    pub fn ask(&mut self, ask: Ask, now: Duration) -> Waiting {
        self.arrivals += 1;
        if let Some(prompt) = &ask.prompt {
            self.demand.asked(prompt, now);
        }
        self.waiting.insert(Pending {
            ask,
            arrival: self.arrivals,
            since: now,
        })
    }

    /// Forgets a waiting request whose caller has left.
    pub fn withdraw(&mut self, waiting: Waiting) {
        self.waiting.remove(waiting);
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Decides on the waiting requests, the most urgent first.
    pub fn decide(&mut self, now: Duration) -> Vec<(Waiting, Decision)> {
        let mut order: Vec<(u8, u64, Waiting)> = self
            .waiting
            .iter()
            .map(|(key, pending)| (pending.ask.priority, pending.arrival, key))
            .collect();
        order.sort_unstable();
        let mut decisions = Vec::new();
        for (_, _, key) in order {
            let Some(decision) = self.decide_one(key, now) else {
                continue;
            };
            self.waiting.remove(key);
            decisions.push((key, decision));
        }
        decisions
    }

    /// Notes that a request's first event has come.
    pub fn begun(&mut self, ticket: Ticket, now: Duration) {
        let Some(placed) = self.tickets.get_mut(ticket) else {
            return;
        };
        if placed.begun {
            return;
        }
        placed.begun = true;
        let unread = Amounts {
            unread: placed.amounts.unread,
            ..Amounts::default()
        };
        placed.amounts.unread = 0.0;
        let late_ms = elapsed_ms(placed.sent, now) - placed.explained_ms;
        let is_stream = placed.is_stream;
        if let Some(backend) = self.backends.get_mut(placed.backend) {
            self.reach.answered(&backend.endpoint.zone);
            backend.load.remove(unread, now);
            for key in &placed.keys {
                backend.cache.confirm(*key, now);
            }
            if is_stream {
                backend.delay.observe(late_ms - self.usual.ms(), now);
                self.usual.observe(late_ms);
            }
        }
    }

    /// Notes how a placed request ended.
    pub fn finished(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) {
        let Some(placed) = self.tickets.remove(ticket) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(placed.backend) else {
            return;
        };
        backend.load.remove(placed.amounts, now);
        if backend.endpoint.id != placed.endpoint {
            return;
        }
        let zone = &backend.endpoint.zone;
        match outcome {
            Outcome::Whole => {
                self.reach.answered(zone);
                backend.health.succeeded(now);
                backend.served(now.saturating_sub(placed.sent));
            }
            Outcome::Abandoned => {}
            Outcome::Refused | Outcome::Mismatched => {
                self.reach.answered(zone);
                backend.refuses_until = now + REFUSAL_PAUSE;
            }
            Outcome::Unreachable => {
                self.reach.failed(zone, &placed.endpoint, now);
                for _ in 0..UNREACHABLE_FAILURES {
                    backend.health.failed(now);
                }
            }
            Outcome::Failed => backend.health.failed(now),
        }
    }

    /// Counts endpoints that are silent for too long as failing.
    pub fn check_silence(&mut self, now: Duration) {
        for placed in self.tickets.values_mut() {
            if placed.begun || now < placed.sent + placed.expected {
                continue;
            }
            let Some(backend) = self.backends.get_mut(placed.backend) else {
                continue;
            };
            if placed.is_stream {
                // What is late already will be later still.
                let late_ms = elapsed_ms(placed.sent, now) - placed.explained_ms;
                let delay_ms = late_ms - self.usual.ms();
                if delay_ms > backend.delay.at(now) {
                    backend.delay.observe(delay_ms, now);
                }
            }
            if !placed.overdue && placed.sent + placed.expected + SILENCE <= now {
                placed.overdue = true;
                backend.health.failed(now);
            }
        }
        for store in self.stores.values_mut() {
            store.cache.prune(now);
        }
        for backend in self.backends.values_mut() {
            backend.cache.prune(now);
        }
    }

    fn set_endpoint(&mut self, endpoint: &Endpoint, now: Duration) {
        if let Some(key) = self.by_id.get(&endpoint.id).copied() {
            let backend = &mut self.backends[key];
            if backend.endpoint.started == endpoint.started
                && backend.endpoint.address == endpoint.address
            {
                update(&mut backend.endpoint, endpoint);
                return;
            }
            self.remove(key);
        }
        let backend = Backend::new(endpoint.clone(), UNKNOWN_SERVICE_MS, now);
        let key = self.backends.insert(backend);
        self.by_id.insert(endpoint.id.clone(), key);
    }

    fn remove(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.remove(key) {
            self.by_id.remove(&backend.endpoint.id);
        }
    }

    fn backend_mut(&mut self, endpoint: &id::Endpoint) -> Option<&mut Backend> {
        let key = self.by_id.get(endpoint)?;
        self.backends.get_mut(*key)
    }

    fn decide_one(&mut self, key: Waiting, now: Duration) -> Option<Decision> {
        let pending = &self.waiting[key];
        let ask = pending.ask.clone();
        let since = pending.since;
        let draw = split::draw(pending.arrival);
        let mut seen = Seen::default();
        if let Some(candidate) = self.best(&ask, draw, &mut seen, now) {
            return Some(Decision::Placed(self.place(&ask, &candidate, now)));
        }
        let patience = ask.target.saturating_sub(since).mul_f64(WAIT_PART);
        let why = self.obstacle(&ask);
        if why == Refused::Overloaded && now < since + patience && now < ask.deadline {
            return None;
        }
        self.refusals += 1;
        Some(Decision::Refused {
            why,
            retry_after: retry_after(&ask, self.refusals, now),
            seen,
        })
    }

    fn place(&mut self, ask: &Ask, candidate: &Candidate, now: Duration) -> Placement {
        let first_event = milliseconds(candidate.estimate.first_event_ms);
        let mut amounts = Amounts {
            open: 1.0,
            ..Amounts::default()
        };
        let mut shared = Vec::new();
        let mut salt = None;
        let mut save = None;
        let mut fetch = None;
        let mut version = None;
        if let Some(prompt) = &ask.prompt {
            amounts.unread = f64::from(candidate.estimate.unread);
            let memory = prompt.tokens - candidate.estimate.cached + prompt.output_tokens();
            amounts.memory = f64::from(memory);
            let keys = shared_keys(prompt, candidate.version, ask.wall.as_ref());
            fetch = candidate.fetch;
            let read = now + first_event * READ_BY;
            save = self.save(prompt, &keys, read + SAVE, now);
            let is_known = |fetch: &Fetch| fetch.source.tokens > candidate.estimate.cached;
            if let Some(fetch) = fetch.filter(|fetch| fetch.is_store && is_known(fetch)) {
                self.fetched_from_store(prompt, fetch.time, now);
            }
            let cache = &mut self.backends[candidate.key].cache;
            for (part, key) in prompt.shared().iter().zip(&keys) {
                cache.expect(*key, part.tokens, read);
            }
            shared = keys;
            salt = Some(prompt::salt(
                &prompt.model,
                candidate.version,
                ask.wall.as_ref(),
            ));
            version = (candidate.version > 0).then_some(candidate.version);
        }
        let backend = &mut self.backends[candidate.key];
        backend.load.add(amounts, now);
        let endpoint = backend.endpoint.id.clone();
        let address = backend.endpoint.address;
        let ticket = self.tickets.insert(Placed {
            backend: candidate.key,
            endpoint: endpoint.clone(),
            amounts,
            sent: now,
            expected: first_event,
            explained_ms: candidate.estimate.explained_ms,
            keys: shared,
            is_stream: ask.prompt.is_some(),
            begun: false,
            overdue: false,
        });
        Placement {
            ticket,
            endpoint,
            address,
            version,
            salt,
            fetch: fetch.map(|fetch| fetch.address),
            save,
            first_event,
            cached: candidate.estimate.cached,
            unread: candidate.estimate.unread,
        }
    }

    /// The store's address if it lacks shared parts, which are then expected.
    fn save(
        &mut self,
        prompt: &prompt::Prompt,
        keys: &[prompt::Key],
        from: Duration,
        now: Duration,
    ) -> Option<SocketAddr> {
        let (name, store) = self.store_of(prompt)?;
        let (name, address) = (name.clone(), store.address);
        let shared = prompt.shared();
        let all: u32 = shared.iter().map(|part| part.tokens).sum();
        let kept = self.stores.entry(name).or_default();
        if kept.cache.prefix(shared, keys, now) >= all {
            return None;
        }
        for (part, key) in shared.iter().zip(keys) {
            kept.cache.expect(*key, part.tokens, from);
        }
        Some(address)
    }

    fn fetched_from_store(&mut self, prompt: &prompt::Prompt, time: Duration, now: Duration) {
        let Some(name) = self.store_of(prompt).map(|(name, _)| name.clone()) else {
            return;
        };
        let store = self.stores.entry(name).or_default();
        store.link.transfer(time, self.hosts, now);
    }
}

fn update(known: &mut Endpoint, listed: &Endpoint) {
    let mut weights = listed.weights.clone();
    for (model, version) in &known.weights {
        let listed = weights.entry(model.clone()).or_default();
        *listed = (*listed).max(*version);
    }
    *known = Endpoint {
        weights,
        ..listed.clone()
    };
}

/// When to come back: as late as callers wait, and spread, so that they do not
/// come together into the same crowd.
fn retry_after(ask: &Ask, refusals: u64, now: Duration) -> Duration {
    let left = ask.deadline.saturating_sub(now);
    let latest = LONGEST_RETRY.min(left.mul_f64(RETRY_PART));
    // Steps of the golden ratio spread any number of callers evenly.
    let steps = f64::from(u32::try_from(refusals % 1000).unwrap_or(0));
    let spread = (steps * 0.618_034).fract() * RETRY_SPREAD;
    latest.mul_f64(1.0 - spread)
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn elapsed_ms(since: Duration, now: Duration) -> f64 {
    ms(now.saturating_sub(since))
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
