//! One endpoint of a fleet.

use std::time::Duration;

use papayayard_wire::{endpoint, id};
use xxhash_rust::xxh3;

use crate::ejection;
use crate::index;
use crate::load;
use crate::run;

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: id::Endpoint,
    /// Availability zone.
    pub zone: id::Zone,
    pub load: load::Load,
    /// Health, derived from the requests sent to the endpoint.
    pub health: ejection::Health,
    pub(super) slot: index::Slot,
    pub(super) seed: u64,
    pub(super) runs: run::Tracker,
    pub(super) state: Option<endpoint::State>,
    pub(super) version: Option<id::Version>,
    pub(super) leaving: bool,
    pub(super) ejected: bool,
}

impl Endpoint {
    /// The current run of its process, if known.
    pub const fn incarnation(&self) -> Option<id::Incarnation> {
        self.runs.current()
    }

    pub const fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the endpoint is excluded because it failed.
    pub const fn ejected(&self) -> bool {
        self.ejected
    }

    pub(super) fn new(name: &id::Endpoint, zone: &id::Zone, slot: index::Slot) -> Self {
        Self {
            name: name.clone(),
            zone: zone.clone(),
            load: load::Load::default(),
            health: ejection::Health::default(),
            slot,
            seed: xxh3::xxh3_64(name.as_str().as_bytes()),
            runs: run::Tracker::default(),
            state: None,
            version: None,
            leaving: false,
            ejected: false,
        }
    }

    /// Discards the reported state of a run that ended.
    pub(super) fn reset(&mut self, now: Duration) {
        self.state = None;
        self.version = None;
        self.load.reset(now);
    }

    /// Whether the endpoint is ready with `version` and neither leaving nor ejected.
    pub(super) fn is_eligible(&self, version: &id::Version) -> bool {
        let ready = self.state == Some(endpoint::State::Ready);
        let current = self.version.as_ref() == Some(version);
        ready && current && !self.leaving && !self.ejected
    }
}
