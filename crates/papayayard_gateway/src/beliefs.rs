//! A host's view of the configuration and of the endpoints, built from the store's
//! topics.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::listing::{Listing, Put, Read};
use papayayard_routing::placement::Endpoint;
use papayayard_routing::table::Table;
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::watch;

use crate::follow::{Effect, Reading, Reducer};
use crate::runs;
use crate::schedule::{Handle, Message};
use crate::store::{Codec, Published, Record};

/// Configuration published by operators.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Routing table; `None` until one was read.
    pub(crate) table: Option<Arc<Table>>,
    /// Target versions of weights, by model.
    pub(crate) targets: HashMap<id::Model, TargetVersions>,
}

/// Request time of the newest complete reading of a topic. What was written before this time,
/// such as the revocation of a key, is known.
pub(crate) type LastRead = Option<Duration>;

/// Reducer for the operators topic.
pub(crate) struct Operators<Platform> {
    codec: Platform,
    current: Configuration,
    is_changed: bool,
    configuration: watch::Sender<Configuration>,
    last_read: watch::Sender<LastRead>,
    schedule: Handle,
}

impl<Platform> Operators<Platform>
where
    Platform: Codec,
{
    pub(crate) fn new(
        codec: Platform,
        configuration: watch::Sender<Configuration>,
        last_read: watch::Sender<LastRead>,
        schedule: Handle,
    ) -> Self {
        Self {
            codec,
            current: Configuration::default(),
            is_changed: false,
            configuration,
            last_read,
            schedule,
        }
    }

    fn apply_table(&mut self, table: Table) -> Effect {
        let current = self.current.table.as_ref().map(|table| table.revision);
        if current == Some(table.revision) {
            return Effect::Unchanged;
        }
        if current.is_some_and(|current| table.revision < current) {
            log::warn!(revision = table.revision.0; "outdated configuration skipped");
            return Effect::Outdated;
        }
        log::info!(revision = table.revision.0; "configuration in force");
        let table = Arc::new(table);
        self.schedule.send(Message::Table(Arc::clone(&table)));
        self.current.table = Some(table);
        self.is_changed = true;
        Effect::Changed
    }

    /// Applies a target version that was set shortly before `at`, or at any time.
    fn apply_weights(&mut self, model: &id::Model, version: u64, at: Option<Duration>) -> Effect {
        let versions = self.current.targets.entry(model.clone()).or_default();
        if versions
            .newest()
            .is_some_and(|(newest, _)| version < newest)
        {
            return Effect::Outdated;
        }
        if !versions.record(version, at) {
            return Effect::Unchanged;
        }
        log::info!(model:%, version, is_dated = at.is_some(); "weights named");
        let targets = self.current.targets.clone();
        self.schedule.send(Message::TargetVersions(targets));
        self.is_changed = true;
        Effect::Changed
    }
}

impl<Platform> Reducer for Operators<Platform>
where
    Platform: Codec,
{
    fn apply_record(
        &mut self,
        record: &Record,
        first_seen: Option<Duration>,
        _now: Duration,
    ) -> Effect {
        let Some(value) = &record.value else {
            return Effect::Unchanged;
        };
        match self.codec.published(&record.key, value) {
            Ok(Published::Table(table)) => self.apply_table(*table),
            Ok(Published::Weights { model, version }) => {
                // What is new since the last reading is younger than that reading.
                let last_read = *self.last_read.borrow();
                self.apply_weights(&model, version, first_seen.or(last_read))
            }
            Ok(Published::Unknown) => Effect::Unchanged,
            Err(error) => {
                log::warn!(key = record.key.as_str(), error:%; "malformed operator record skipped");
                Effect::Unchanged
            }
        }
    }

    fn retain_keys(&mut self, _keys: &HashSet<String>, _now: Duration) {}

    fn caught_up(&mut self, requested_at: Duration, _next: u64, _now: Duration) {
        if self.is_changed {
            self.is_changed = false;
            self.configuration.send_replace(self.current.clone());
        }
        self.last_read.send_replace(Some(requested_at));
    }
}

/// Reducer for the endpoints topic, which holds the endpoints' own records.
pub(crate) struct Endpoints<Platform> {
    codec: Platform,
    listing: Listing,
    list: watch::Sender<Vec<Endpoint>>,
    last_read: watch::Sender<LastRead>,
    /// When the current reading was requested.
    requested_at: Duration,
    runs: runs::Tracker,
    schedule: Handle,
}

impl<Platform> Endpoints<Platform>
where
    Platform: Codec,
{
    /// Creates a reducer that publishes the list before the time of the reading that confirms it.
    pub(crate) fn new(
        codec: Platform,
        list: watch::Sender<Vec<Endpoint>>,
        last_read: watch::Sender<LastRead>,
        runs: runs::Tracker,
        schedule: Handle,
    ) -> Self {
        Self {
            codec,
            listing: Listing::default(),
            list,
            last_read,
            requested_at: Duration::ZERO,
            runs,
            schedule,
        }
    }
}

impl<Platform> Reducer for Endpoints<Platform>
where
    Platform: Codec,
{
    fn begin_reading(&mut self, reading: Reading, now: Duration) {
        let read = Read {
            era: reading.era,
            requested_at: reading.requested_at,
            may_follow_outage: reading.may_follow_outage,
        };
        self.listing.record_read(read, now);
        self.requested_at = reading.requested_at;
    }

    fn apply_record(
        &mut self,
        record: &Record,
        _first_seen: Option<Duration>,
        now: Duration,
    ) -> Effect {
        let id = id::Endpoint::from(record.key.as_str());
        let Some(value) = &record.value else {
            self.listing.remove_record(&id, now);
            return Effect::Changed;
        };
        match self.codec.endpoint(&record.key, value) {
            Ok(registration) => match self.listing.put(registration.clone()) {
                Put::Outdated => {
                    log::info!(endpoint:% = id; "outdated endpoint record skipped");
                    Effect::Outdated
                }
                put => {
                    self.runs.list(&registration, self.requested_at);
                    if put == Put::Changed {
                        Effect::Changed
                    } else {
                        Effect::Unchanged
                    }
                }
            },
            Err(error) => {
                log::warn!(endpoint:% = id, error:%; "malformed endpoint record skipped");
                self.listing.remove_record(&id, now);
                Effect::Changed
            }
        }
    }

    fn retain_keys(&mut self, keys: &HashSet<String>, now: Duration) {
        self.listing
            .remove_missing(|id| keys.contains(id.as_str()), now);
    }

    fn caught_up(&mut self, requested_at: Duration, _next: u64, now: Duration) {
        let mut endpoints = self.listing.endpoints(now);
        endpoints.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        let is_changed = *self.list.borrow() != endpoints;
        if is_changed {
            log_changes(&self.list.borrow(), &endpoints);
            self.runs.retain(&endpoints);
            self.schedule.send(Message::Endpoints(endpoints.clone()));
            self.list.send_replace(endpoints);
        }
        self.last_read.send_replace(Some(requested_at));
    }
}

fn log_changes(before: &[Endpoint], after: &[Endpoint]) {
    for endpoint in after {
        let previous = before.iter().find(|listed| listed.id == endpoint.id);
        let is_new = previous.is_none_or(|previous| {
            previous.leaving != endpoint.leaving || previous.started != endpoint.started
        });
        if is_new {
            let leaving = endpoint.leaving;
            log::info!(endpoint:% = endpoint.id, service:% = endpoint.service, leaving; "endpoint listed");
        }
    }
    for endpoint in before {
        if !after.iter().any(|listed| listed.id == endpoint.id) {
            log::info!(endpoint:% = endpoint.id; "endpoint gone");
        }
    }
}
