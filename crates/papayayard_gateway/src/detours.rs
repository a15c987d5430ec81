//! Other hosts that may take requests which this host passes on, and the services whose requests
//! it passes on at once; see [`papayayard_coordination::detour`] and
//! [`papayayard_coordination::reach`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use papayayard_coordination::detour::{Detour, Peer};
use papayayard_coordination::reach::Reach;
use papayayard_wire::id;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::hosts::Neighbours;

/// Chooses hosts, and remembers those that took no request.
#[derive(Clone)]
pub(crate) struct Detours(Arc<Shared>);

struct Shared {
    host: id::Host,
    clock: Clock,
    neighbours: watch::Receiver<Neighbours>,
    detour: Mutex<Detour>,
    reach: Mutex<Reach>,
}

impl Detours {
    pub(crate) fn new(
        host: id::Host,
        clock: Clock,
        neighbours: watch::Receiver<Neighbours>,
    ) -> Self {
        Self(Arc::new(Shared {
            host,
            clock,
            neighbours,
            detour: Mutex::default(),
            reach: Mutex::default(),
        }))
    }

    /// Name of this host.
    pub(crate) fn host(&self) -> &id::Host {
        &self.0.host
    }

    /// Whether another host takes requests.
    pub(crate) fn has_peers(&self) -> bool {
        !self.0.neighbours.borrow().takers.is_empty()
    }

    /// Chooses a host for a request that the hosts `tried` did not take.
    pub(crate) fn choose(&self, tried: &[id::Host]) -> Option<Peer> {
        let takers = self.0.neighbours.borrow().takers.clone();
        let now = self.0.clock.now();
        let detour = self.detour();
        detour.choose(&takers, tried, rand::random(), now).cloned()
    }

    /// Records that a host cannot take requests now.
    pub(crate) fn pass_over(&self, host: &id::Host, reason: &'static str) {
        let now = self.0.clock.now();
        let takers = self.0.neighbours.borrow().takers.clone();
        let mut detour = self.detour();
        detour.retain(&takers);
        let is_new = detour.pass_over(host, now);
        drop(detour);
        if is_new {
            log::info!(host:%, reason; "host passed over for requests of callers");
        }
    }

    /// Records that a host has taken a request.
    pub(crate) fn restore(&self, host: &id::Host) {
        if self.detour().restore(host) {
            log::info!(host:%; "host takes requests of callers again");
        }
    }

    /// Whether a request of a service should be passed on before any attempt.
    pub(crate) fn is_passed_on(&self, service: &id::Service) -> bool {
        let now = self.0.clock.now();
        self.reach().is_passed_on(service, now)
    }

    /// Records whether a request has reached an endpoint of its service.
    pub(crate) fn record(&self, service: &id::Service, is_reached: bool) {
        self.reach().record(service, is_reached);
    }

    fn reach(&self) -> MutexGuard<'_, Reach> {
        let reach = self.0.reach.lock();
        reach.unwrap_or_else(PoisonError::into_inner)
    }

    fn detour(&self) -> MutexGuard<'_, Detour> {
        let detour = self.0.detour.lock();
        detour.unwrap_or_else(PoisonError::into_inner)
    }
}
