//! The routing table: which route a request takes and on whose behalf.
//!
//! A route is found by the host that the caller named and the longest prefix
//! of the path. Its kind says what may be repeated, which decides most of what
//! happens to the request afterwards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Routes, services and client accounts of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Revision of the configuration.
    pub revision: id::Revision,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<id::Service, Service>,
    /// Client accounts.
    pub accounts: Accounts,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that the caller names, without a port.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Services that share the route's requests, by weight.
    pub targets: Vec<Target>,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target_latency: Duration,
    /// Longest pause between a stream's events with which it is on time, where
    /// operators have set one.
    pub pause: Option<Duration>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Whether no key is asked for.
    pub public: bool,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with numbered events.
    Stream {
        /// Whether another endpoint may go on from a position.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: id::Service,
    /// Part of the sum of all weights.
    pub weight: u32,
}

/// What the table says of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Most connections to one endpoint from all hosts together.
    pub max_connections: u32,
    /// Set where the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Set where the service is a store of cached prompts.
    pub cache_store: Option<CacheStore>,
}

/// Engines of a model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Callers that may ask an endpoint for its cache's changes at once.
    pub cache_readers: u32,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Bytes of one cached token.
    pub token_bytes: u64,
    /// Rate of cache transfers, in megabits a second.
    pub link_mbps: u64,
}

/// A store of cached prompts beside the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rate of transfers, in megabits a second.
    pub link_mbps: u64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// Client accounts by their keys.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: HashMap<String, Arc<Account>>,
    required: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: id::Account,
    /// Urgency that replaces the route's, 0 first.
    pub priority: Option<u8>,
    /// Whether no cached prompt is shared with other client accounts.
    pub isolated: bool,
}

impl Accounts {
    /// Accounts with their keys, one of which is then asked for.
    pub fn new<Pairs>(accounts: Pairs) -> Self
    where
        Pairs: IntoIterator<Item = (Account, Vec<String>)>,
    {
        let mut by_key = HashMap::new();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        }
        Self {
            by_key,
            required: true,
        }
    }

    /// Whether routes that are not public ask for a key.
    pub const fn are_required(&self) -> bool {
        self.required
    }

    /// The account that holds a key.
    pub fn find(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}

impl Table {
    /// A table with routes sorted for lookup.
    pub fn new(
        revision: id::Revision,
        limits: Limits,
        services: HashMap<id::Service, Service>,
        accounts: Accounts,
        routes: Vec<Route>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            revision,
            limits,
            services,
            accounts,
            routes: by_host,
        }
    }

    /// The route with the longest prefix of the path on the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The shortest time to a first event that a more urgent route to a service asks
    /// for.
    pub fn min_urgent_latency(&self, service: &id::Service, priority: u8) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let urgent = routes.filter(|route| {
            route.priority < priority && route.targets.iter().any(|one| one.service == *service)
        });
        urgent.map(|route| route.target_latency).min()
    }

    /// The stores of cached prompts.
    pub fn cache_stores(&self) -> impl Iterator<Item = (&id::Service, &CacheStore)> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| Some((name, service.cache_store.as_ref()?)))
    }
}

impl Route {
    /// The service of a request: weights divide the requests by their ids.
    pub fn service(&self, request: &id::Request) -> Option<&id::Service> {
        let total: u64 = self.targets.iter().map(|one| u64::from(one.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut draw = xxh3::xxh3_64(request.as_str().as_bytes()) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if draw < weight {
                return Some(&target.service);
            }
            draw -= weight;
        }
        None
    }
}
