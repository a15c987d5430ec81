//! The routing table: routes, services and client accounts.
//!
//! A route is found by the host name in the request and the longest matching prefix
//! of the path. The kind of the route determines whether a request may be retried,
//! on which most of its further processing depends.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

use crate::quota::Quota;
use crate::sharing;

/// Routes, services and client accounts of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Revision of the configuration.
    pub revision: id::Revision,
    /// Bounds on requests.
    pub limits: Limits,
    pub services: HashMap<id::Service, Service>,
    pub accounts: Accounts,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Which requests may be retried.
    pub kind: Kind,
    /// Services that share the route's requests, by weight.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u32,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Maximum latency of an answer, or of a stream's first event, that counts as on time.
    pub target_latency: Duration,
    /// Maximum pause between a stream's events that counts as on time, if operators
    /// have set one.
    pub pause: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no account key.
    pub public: bool,
}

/// Which requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Answers are streams of numbered events.
    Stream {
        /// Whether another endpoint can continue from a position.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be retried.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub service: id::Service,
    /// Share of the sum of all weights.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Maximum number of connections to one endpoint from all hosts together.
    pub max_connections: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Set if the service is a store of cached prompts.
    pub cache_store: Option<CacheStore>,
}

/// Engines of a model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Maximum number of concurrent readers of an endpoint's cache changes.
    pub cache_readers: u32,
    pub memory_tokens: u64,
    /// Bytes per cached token.
    pub token_bytes: u64,
    /// Rate of cache transfers, in megabits per second.
    pub link_mbps: u64,
}

/// A store of cached prompts in addition to those of the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rate of transfers, in megabits per second.
    pub link_mbps: u64,
}

/// Bounds on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of a request head.
    pub header_bytes: usize,
    /// Maximum bytes of a body.
    pub body_bytes: usize,
    /// Maximum time in which a request head arrives.
    pub head: Duration,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head: Duration::from_secs(10),
            idle: Duration::from_secs(15),
        }
    }
}

/// Client accounts by their keys.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: HashMap<String, Arc<Account>>,
    required: bool,
    isolated: HashSet<id::Account>,
    /// Requests of accounts that are not isolated.
    common: sharing::Group,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    pub name: id::Account,
    /// Urgency that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether the account shares no cached prompts with other client accounts.
    pub isolated: bool,
    /// Limit on the account's requests over all hosts together; `None` without a limit.
    pub quota: Option<Quota>,
}

impl Accounts {
    /// Creates accounts with their keys; requests on routes that are not public then
    /// need a key.
    pub fn new<Pairs>(accounts: Pairs) -> Self
    where
        Pairs: IntoIterator<Item = (Account, Vec<String>)>,
    {
        let mut by_key = HashMap::new();
        let mut isolated = HashSet::new();
        for (account, keys) in accounts {
            if account.isolated {
                isolated.insert(account.name.clone());
            }
            let account = Arc::new(account);
            by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        }
        Self {
            by_key,
            required: true,
            common: sharing::Group::of_others(&isolated),
            isolated,
        }
    }

    /// Whether routes that are not public require a key.
    pub const fn are_required(&self) -> bool {
        self.required
    }

    /// The requests with which those of an account, or without one, may share cached prompts.
    /// `account` may be of an earlier configuration; isolation in either one counts.
    pub fn group(&self, account: Option<&Account>) -> sharing::Group {
        let is_isolated =
            |account: &&Account| account.isolated || self.isolated.contains(&account.name);
        let isolated = account.filter(is_isolated);
        isolated.map_or(self.common, |account| {
            sharing::Group::of_account(&account.name)
        })
    }

    /// The accounts; one with several keys occurs once for each.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.by_key.values().map(Arc::as_ref)
    }

    /// The account that holds a key.
    pub fn find(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}

impl Table {
    /// Creates a table with routes sorted for lookup.
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

    /// The route of the host with the longest matching prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Minimum target latency of the more urgent routes to a service.
    pub fn min_urgent_latency(&self, service: &id::Service, priority: u8) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let urgent = routes.filter(|route| {
            route.priority < priority
                && route
                    .targets
                    .iter()
                    .any(|target| target.service == *service)
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
    /// The service of a request, drawn by weight from a hash of the request id.
    pub fn service(&self, request: &id::Request) -> Option<&id::Service> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
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
