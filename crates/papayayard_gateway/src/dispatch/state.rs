//! Choice of the dispatcher that this host uses, and the links to dispatchers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::dispatcher;
use papayayard_coordination::ranking::{Candidate, Failover};
use papayayard_wire::id;
use tokio::sync::watch;

use super::link::{Link, Local};
use super::message::Redirect;
use crate::hosts::Neighbours;

/// Dispatchers known to this host.
pub(super) struct State {
    local: Local,
    neighbours: watch::Receiver<Neighbours>,
    /// Hosts that rank before this one as dispatcher.
    failover: Failover,
    /// Host that already acts as dispatcher although it does not rank first.
    incumbent: Option<Candidate>,
    /// Hosts still to be called, once, to check whether they act as dispatcher.
    unprobed: Vec<Candidate>,
    has_listed_incumbents: bool,
    links: HashMap<SocketAddr, Arc<Link>>,
    /// Time of the last placement request of another host.
    pub(super) last_request_at: Option<Duration>,
}

impl State {
    pub(super) fn new(local: Local, neighbours: watch::Receiver<Neighbours>) -> Self {
        Self {
            local,
            neighbours,
            failover: Failover::default(),
            incumbent: None,
            unprobed: Vec::new(),
            has_listed_incumbents: false,
            links: HashMap::new(),
            last_request_at: None,
        }
    }

    /// Link to the current dispatcher; `None` if this host places its own requests.
    pub(super) fn dispatcher(&mut self, now: Duration) -> Option<Arc<Link>> {
        self.update_hosts();
        let candidate = self.current(now)?.clone();
        self.link(&candidate)
    }

    /// The current dispatcher.
    pub(super) fn current(&self, now: Duration) -> Option<&Candidate> {
        let incumbent = self.incumbent.as_ref();
        let incumbent =
            incumbent.filter(|candidate| !self.failover.is_backed_off(&candidate.host, now));
        incumbent.or_else(|| self.failover.first(now))
    }

    /// Records an answer of a host and the dispatcher that it redirects to, if any.
    pub(super) fn answered(&mut self, link: &Arc<Link>, redirect: Option<&Redirect>) {
        self.failover.answered(link.host());
        let Some(redirect) = redirect else {
            return;
        };
        let candidate = Candidate {
            host: id::Host::from(redirect.host.as_str()),
            address: redirect.address,
            capacity: 0,
        };
        if candidate.host != self.local.host {
            self.set_incumbent(candidate);
        }
    }

    /// Uses a host that already acts as dispatcher.
    pub(super) fn set_incumbent(&mut self, candidate: Candidate) {
        let current = self.incumbent.as_ref().map(|incumbent| &incumbent.host);
        if current != Some(&candidate.host) {
            log::info!(host:% = candidate.host; "this host places requests already");
            self.incumbent = Some(candidate);
        }
    }

    pub(super) const fn has_incumbent(&self) -> bool {
        self.incumbent.is_some()
    }

    /// Records that a host gave no answer.
    pub(super) fn failed(&mut self, host: &id::Host, now: Duration) {
        self.failover.failed(host, now);
        self.incumbent.take_if(|incumbent| incumbent.host == *host);
    }

    /// Returns links to the hosts still to be checked for the dispatcher role.
    pub(super) fn take_unprobed(&mut self) -> Vec<Arc<Link>> {
        self.update_hosts();
        let unprobed = std::mem::take(&mut self.unprobed);
        unprobed
            .iter()
            .filter_map(|candidate| self.link(candidate))
            .collect()
    }

    pub(super) fn links(&self) -> Vec<Arc<Link>> {
        self.links.values().cloned().collect()
    }

    fn update_hosts(&mut self) {
        if !self.neighbours.has_changed().unwrap_or(false) {
            return;
        }
        let hosts = self.neighbours.borrow_and_update().clone();
        if !hosts.are_counted {
            return;
        }
        let (zone, others) = (&hosts.zone, &hosts.others);
        let local = &self.local.host;
        self.failover
            .set(dispatcher::preferred(local, zone, others));
        if !self.has_listed_incumbents {
            self.has_listed_incumbents = true;
            self.unprobed = dispatcher::incumbents(local, zone, others);
        }
        let is_known = |address| {
            zone.iter()
                .chain(others)
                .any(|host| host.address == address)
        };
        self.links.retain(|address, _| is_known(*address));
        self.incumbent
            .take_if(|incumbent| !is_known(incumbent.address));
    }

    fn link(&mut self, candidate: &Candidate) -> Option<Arc<Link>> {
        if let Some(link) = self.links.get(&candidate.address) {
            return Some(Arc::clone(link));
        }
        match Link::new(candidate, self.local.clone()) {
            Ok(link) => {
                let link = Arc::new(link);
                self.links.insert(candidate.address, Arc::clone(&link));
                Some(link)
            }
            Err(problem) => {
                log::warn!(host:% = candidate.host, problem:%; "cannot create a client for a dispatcher");
                None
            }
        }
    }
}
