//! The list of hosts, which shows each change only after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use papayayard_wire::directory::{Endpoint, Host, List};

/// The list and its recent states.
#[derive(Debug, Default)]
pub struct Hosts {
    current: List,
    history: VecDeque<(Duration, List)>,
}

impl Hosts {
    /// The list without its lag.
    pub const fn current(&self) -> &List {
        &self.current
    }

    /// The list as it was `lag` before `now`.
    pub fn lagging(&mut self, now: Duration, lag: Duration) -> List {
        let shown = now.saturating_sub(lag);
        while self.history.get(1).is_some_and(|(at, _)| *at <= shown) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, list)) if *at <= shown => list.clone(),
            _ => List::default(),
        }
    }

    /// Adds or changes an entry host.
    pub fn put_host(&mut self, host: Host, now: Duration) {
        self.current.hosts.retain(|old| old.id != host.id);
        self.current.hosts.push(host);
        self.record(now);
    }

    /// Adds or changes an endpoint.
    pub fn put_endpoint(&mut self, endpoint: Endpoint, now: Duration) {
        self.current.endpoints.retain(|old| old.id != endpoint.id);
        self.current.endpoints.push(endpoint);
        self.record(now);
    }

    /// Removes the host or endpoint of this name.
    pub fn remove(&mut self, name: &str, now: Duration) {
        self.current.hosts.retain(|host| host.id.as_str() != name);
        self.current
            .endpoints
            .retain(|endpoint| endpoint.id.as_str() != name);
        self.record(now);
    }

    fn record(&mut self, now: Duration) {
        self.history.push_back((now, self.current.clone()));
    }
}
