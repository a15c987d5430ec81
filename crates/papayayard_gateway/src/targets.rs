//! Until when requests may begin on weights, by the target versions that this host knows.
//!
//! A placement says on which version a request begins, but a request can wait at its endpoint
//! for longer than that version may be used. The host that sent it therefore watches the time
//! until the request has begun: that of the scheduler that placed it, or, if that knew no newer
//! version, that of this host's own.

use std::collections::HashMap;
use std::future;
use std::time::Duration;

use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;

/// Version of a model's weights on which a request is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Weights {
    pub(crate) model: id::Model,
    pub(crate) version: u64,
    /// Time by which the request must begin, by the scheduler that placed it; `None` if that
    /// knew no newer version.
    pub(crate) usable_until: Option<Duration>,
}

/// Target versions as this host's scheduler knows them.
#[derive(Clone)]
pub(crate) struct Targets {
    versions: watch::Receiver<HashMap<id::Model, TargetVersions>>,
    /// Time for which older weights may be used.
    bound: Duration,
    clock: Clock,
}

impl Targets {
    pub(crate) const fn new(
        versions: watch::Receiver<HashMap<id::Model, TargetVersions>>,
        bound: Duration,
        clock: Clock,
    ) -> Self {
        Self {
            versions,
            bound,
            clock,
        }
    }

    /// The known target versions, by model.
    pub(crate) fn versions(&self) -> watch::Ref<'_, HashMap<id::Model, TargetVersions>> {
        self.versions.borrow()
    }

    /// Time for which requests may still begin on some weights; `None` while no newer version
    /// is known.
    pub(crate) fn remaining(&self, weights: &Weights) -> Option<Duration> {
        let until = weights.usable_until.or_else(|| self.usable_until(weights));
        Some(until?.saturating_sub(self.clock.now()))
    }

    fn usable_until(&self, weights: &Weights) -> Option<Duration> {
        let versions = self.versions.borrow();
        let targets = versions.get(&weights.model)?;
        targets.usable_until(weights.version, self.bound)
    }

    /// Waits until requests may no longer begin on some weights.
    pub(crate) async fn until_outdated(&self, weights: &Weights) {
        let mut versions = self.versions.clone();
        loop {
            versions.mark_unchanged();
            let remaining = self.remaining(weights);
            if remaining.is_some_and(|left| left.is_zero()) {
                return;
            }
            tokio::select! {
                () = time::sleep(remaining.unwrap_or_default()), if remaining.is_some() => {}
                changed = versions.changed() => if changed.is_err() {
                    log::debug!("the scheduler's task has ended");
                    future::pending::<()>().await;
                }
            }
        }
    }
}
