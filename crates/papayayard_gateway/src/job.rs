//! A caller's request while the router processes it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use papayayard_routing::blame::Subjects;
use papayayard_routing::placement::Query;
use papayayard_routing::prompt::Prompt;
use papayayard_routing::sharing;
use papayayard_routing::table::{Account, Kind, Route};
use papayayard_wire::id;

use crate::allowance::Allowance;
use crate::quota::Bill;

/// Least urgent priority, where 0 is the most urgent; larger values are capped to it.
const LOWEST_PRIORITY: u8 = 9;

/// A request that was read completely and admitted.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Request id that the caller assigned.
    pub(crate) id: id::Request,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What of it may crash endpoints; stays the same when the caller retries the request.
    pub(crate) subjects: Arc<Subjects>,
    pub(crate) route: Arc<Route>,
    /// How often the request may run at this host.
    pub(crate) allowance: Allowance,
    pub(crate) service: id::Service,
    /// Client account that the request's key belongs to.
    pub(crate) account: Option<Arc<Account>>,
    /// Charge to the quota of the account.
    pub(crate) bill: Bill,
    /// Prompt that the caller declared.
    pub(crate) prompt: Option<Arc<Prompt>>,
    /// Last event that the caller received.
    pub(crate) position: Option<u64>,
    /// Request that brought the first event of the stream, if the caller resumes one.
    pub(crate) resumes: Option<id::Request>,
    /// Version of the software that began the stream; `None` before the first event.
    pub(crate) software: Option<id::Software>,
    /// Time by which the response should begin.
    pub(crate) target: Duration,
    /// Time by which the response must be complete.
    pub(crate) deadline: Duration,
}

impl Job {
    /// Whether the request is a stream that may resume.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(self.route.kind, Kind::Stream { resumable: true })
    }

    /// Last event that the caller has, if the stream may go on after it.
    pub(crate) fn resumed_position(&self) -> Option<u64> {
        self.position.filter(|_| self.is_resumable())
    }

    /// Time at which this host received the request.
    pub(crate) fn received(&self) -> Duration {
        self.target.saturating_sub(self.route.target_latency)
    }

    /// Priority of the account, else of the route; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account
            .unwrap_or(self.route.priority)
            .min(LOWEST_PRIORITY)
    }

    /// Placement request for the scheduler.
    pub(crate) fn query(
        &self,
        zone: &id::Zone,
        tried: &[id::Endpoint],
        group: sharing::Group,
    ) -> Query {
        Query {
            service: self.service.clone(),
            account: self.account.as_ref().map(|account| account.name.clone()),
            requesting_host: None,
            zone: zone.clone(),
            prompt: self.prompt.clone(),
            group,
            is_repeatable: self.route.kind.is_repeatable(),
            priority: self.priority(),
            target: self.target,
            target_latency: self.route.target_latency,
            deadline: self.deadline,
            waited: Duration::ZERO,
            software: self.software.clone(),
            tried: tried.to_vec(),
            avoided: Vec::new(),
        }
    }
}
