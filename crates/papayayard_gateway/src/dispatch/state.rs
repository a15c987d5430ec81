//! Which host this one asks for endpoints, and the ways to such hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::dispatcher;
use papayayard_coordination::ranking::{Candidate, Failover};
use papayayard_wire::id;
use tokio::sync::watch;

use super::link::{Link, Own};
use super::message::Elsewhere;
use crate::hosts::Neighbours;

/// What a host knows of dispatchers.
pub(super) struct State {
    own: Own,
    neighbours: watch::Receiver<Neighbours>,
    /// Hosts in their order, before this one.
    choice: Failover,
    /// A host that others ask although it does not come first.
    incumbent: Option<Candidate>,
    /// Hosts to be asked once whether they place requests.
    unasked: Vec<Candidate>,
    has_looked: bool,
    links: HashMap<SocketAddr, Arc<Link>>,
    /// When another host asked last.
    pub(super) asked_at: Option<Duration>,
}

impl State {
    pub(super) fn new(own: Own, neighbours: watch::Receiver<Neighbours>) -> Self {
        Self {
            own,
            neighbours,
            choice: Failover::default(),
            incumbent: None,
            unasked: Vec::new(),
            has_looked: false,
            links: HashMap::new(),
            asked_at: None,
        }
    }

    /// The way to the host to ask now; none where this host decides.
    pub(super) fn dispatcher(&mut self, now: Duration) -> Option<Arc<Link>> {
        self.take_hosts();
        let candidate = self.chosen(now)?.clone();
        self.link(&candidate)
    }

    /// The host to ask now.
    pub(super) fn chosen(&self, now: Duration) -> Option<&Candidate> {
        let incumbent = self.incumbent.as_ref();
        let incumbent = incumbent.filter(|one| !self.choice.is_backed_off(&one.host, now));
        incumbent.or_else(|| self.choice.first(now))
    }

    /// Notes that a host gave an answer, and where it sends this one.
    pub(super) fn answered(&mut self, link: &Arc<Link>, elsewhere: Option<&Elsewhere>) {
        self.choice.answered(link.host());
        let Some(elsewhere) = elsewhere else {
            return;
        };
        let candidate = Candidate {
            host: id::Host::from(elsewhere.host.as_str()),
            address: elsewhere.address,
            capacity: 0,
        };
        if candidate.host != self.own.host {
            self.follow(candidate);
        }
    }

    /// Takes over that a host places requests.
    pub(super) fn follow(&mut self, candidate: Candidate) {
        let known = self.incumbent.as_ref().map(|one| &one.host);
        if known != Some(&candidate.host) {
            log::info!(host:% = candidate.host; "this host places requests already");
            self.incumbent = Some(candidate);
        }
    }

    /// Whether a host is asked that does not come first.
    pub(super) const fn has_incumbent(&self) -> bool {
        self.incumbent.is_some()
    }

    /// Notes that a host gave no answer.
    pub(super) fn failed(&mut self, host: &id::Host, now: Duration) {
        self.choice.failed(host, now);
        self.incumbent.take_if(|incumbent| incumbent.host == *host);
    }

    /// The ways to hosts that were not asked yet whether they place requests.
    pub(super) fn take_unasked(&mut self) -> Vec<Arc<Link>> {
        self.take_hosts();
        let unasked = std::mem::take(&mut self.unasked);
        unasked.iter().filter_map(|one| self.link(one)).collect()
    }

    /// All ways.
    pub(super) fn links(&self) -> Vec<Arc<Link>> {
        self.links.values().cloned().collect()
    }

    fn take_hosts(&mut self) {
        if !self.neighbours.has_changed().unwrap_or(false) {
            return;
        }
        let hosts = self.neighbours.borrow_and_update().clone();
        if !hosts.are_counted {
            return;
        }
        let (zone, others) = (&hosts.zone, &hosts.others);
        let own = &self.own.host;
        self.choice.set(dispatcher::preferred(own, zone, others));
        if !self.has_looked {
            self.has_looked = true;
            self.unasked = dispatcher::incumbents(own, zone, others);
        }
        let is_known = |address| zone.iter().chain(others).any(|one| one.address == address);
        self.links.retain(|address, _| is_known(*address));
        self.incumbent.take_if(|one| !is_known(one.address));
    }

    fn link(&mut self, candidate: &Candidate) -> Option<Arc<Link>> {
        if let Some(link) = self.links.get(&candidate.address) {
            return Some(Arc::clone(link));
        }
        match Link::new(candidate, self.own.clone()) {
            Ok(link) => {
                let link = Arc::new(link);
                self.links.insert(candidate.address, Arc::clone(&link));
                Some(link)
            }
            Err(problem) => {
                log::warn!(host:% = candidate.host, problem:%; "a dispatcher cannot be asked");
                None
            }
        }
    }
}
