//! One caller's request, from its arrival to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use papayayard_routing::placement::Query;
use papayayard_routing::prompt::Prompt;
use papayayard_routing::quarantine::Fingerprint;
use papayayard_routing::table::{Account, Route};
use papayayard_wire::id;

/// Urgency of a request whose route and account name none, 0 first.
const LOWEST_PRIORITY: u8 = 9;

/// A request that has been read.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The caller's name for the request.
    pub(crate) id: id::Request,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers that go along.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// What stays the same when the caller sends it again.
    pub(crate) fingerprint: Fingerprint,
    /// Route.
    pub(crate) route: Arc<Route>,
    /// Service.
    pub(crate) service: id::Service,
    /// Client account of the request's key.
    pub(crate) account: Option<Arc<Account>>,
    /// Declared prompt.
    pub(crate) prompt: Option<Arc<Prompt>>,
    /// Last event that the caller has.
    pub(crate) position: Option<u64>,
    /// Time by which the answer should begin.
    pub(crate) target: Duration,
    /// Time by which the answer must be whole.
    pub(crate) deadline: Duration,
}

impl Job {
    /// Urgency, 0 first.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account
            .unwrap_or(self.route.priority)
            .min(LOWEST_PRIORITY)
    }

    /// What the scheduler is asked.
    pub(crate) fn query(&self, zone: &id::Zone, tried: &[id::Endpoint]) -> Query {
        let isolated = self.account.as_ref().filter(|account| account.isolated);
        Query {
            service: self.service.clone(),
            requesting_host: None,
            zone: zone.clone(),
            prompt: self.prompt.clone(),
            isolation: isolated.map(|account| account.name.clone()),
            is_repeatable: self.route.kind.is_repeatable(),
            priority: self.priority(),
            target: self.target,
            target_latency: self.route.target_latency,
            deadline: self.deadline,
            waited: Duration::ZERO,
            tried: tried.to_vec(),
            avoided: Vec::new(),
        }
    }
}
