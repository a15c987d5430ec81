//! What a host believes of the configuration and of the endpoints, folded from
//! the store's topics.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::listing::Listing;
use papayayard_routing::placement::Endpoint;
use papayayard_routing::table::Table;
use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use tokio::sync::watch;

use crate::follow::Fold;
use crate::schedule::{Handle, Message};
use crate::store::{Codec, Published, Record};

/// What operators have published.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Routing table, once one is known.
    pub(crate) table: Option<Arc<Table>>,
    /// Named versions of weights.
    pub(crate) named: HashMap<id::Model, TargetVersions>,
}

/// Time at which the newest whole reading of what operators publish was asked
/// for; keys that were taken away before it are known.
pub(crate) type Word = Option<Duration>;

/// Folds what operators publish.
pub(crate) struct Operators<Platform> {
    codec: Platform,
    known: Configuration,
    is_changed: bool,
    configuration: watch::Sender<Configuration>,
    word: watch::Sender<Word>,
    schedule: Handle,
}

impl<Platform> Operators<Platform>
where
    Platform: Codec,
{
    /// A fold that nothing is known to.
    pub(crate) fn new(
        codec: Platform,
        configuration: watch::Sender<Configuration>,
        word: watch::Sender<Word>,
        schedule: Handle,
    ) -> Self {
        Self {
            codec,
            known: Configuration::default(),
            is_changed: false,
            configuration,
            word,
            schedule,
        }
    }

    fn table(&mut self, table: Table) -> bool {
        let known = self.known.table.as_ref().map(|known| known.revision);
        if known.is_some_and(|known| table.revision <= known) {
            log::warn!(revision = table.revision.0; "older configuration skipped");
            return false;
        }
        log::info!(revision = table.revision.0; "configuration in force");
        let table = Arc::new(table);
        self.schedule.tell(Message::Table(Arc::clone(&table)));
        self.known.table = Some(table);
        self.is_changed = true;
        true
    }

    fn weights(&mut self, model: &id::Model, version: u64, at: Duration) -> bool {
        let named = self.known.named.entry(model.clone()).or_default();
        if !named.record(version, at) {
            return false;
        }
        log::info!(model:%, version; "weights named");
        let named = self.known.named.clone();
        self.schedule.tell(Message::Named(named));
        self.is_changed = true;
        true
    }
}

impl<Platform> Fold for Operators<Platform>
where
    Platform: Codec,
{
    fn record(&mut self, record: &Record, learnt: Option<Duration>, now: Duration) -> bool {
        let Some(value) = &record.value else {
            return false;
        };
        match self.codec.published(&record.key, value) {
            Ok(Published::Table(table)) => self.table(*table),
            Ok(Published::Weights { model, version }) => {
                self.weights(&model, version, learnt.unwrap_or(now))
            }
            Ok(Published::Unknown) => false,
            Err(error) => {
                log::warn!(key = record.key.as_str(), error:%; "record skipped");
                false
            }
        }
    }

    fn whole(&mut self, _keys: &HashSet<String>, _now: Duration) {}

    fn caught_up(&mut self, asked: Duration, _next: u64, _now: Duration) {
        if self.is_changed {
            self.is_changed = false;
            self.configuration.send_replace(self.known.clone());
        }
        self.word.send_replace(Some(asked));
    }
}

/// Folds what endpoints say of themselves.
pub(crate) struct Endpoints<Platform> {
    codec: Platform,
    listing: Listing,
    list: watch::Sender<Vec<Endpoint>>,
    schedule: Handle,
}

impl<Platform> Endpoints<Platform>
where
    Platform: Codec,
{
    /// A fold that no endpoint is known to.
    pub(crate) fn new(
        codec: Platform,
        list: watch::Sender<Vec<Endpoint>>,
        schedule: Handle,
    ) -> Self {
        Self {
            codec,
            listing: Listing::default(),
            list,
            schedule,
        }
    }
}

impl<Platform> Fold for Endpoints<Platform>
where
    Platform: Codec,
{
    fn reading(&mut self, asked: Duration, now: Duration) {
        self.listing.record_read(asked, now);
    }

    fn record(&mut self, record: &Record, _learnt: Option<Duration>, now: Duration) -> bool {
        let id = id::Endpoint::from(record.key.as_str());
        let Some(value) = &record.value else {
            self.listing.remove_record(&id, now);
            return true;
        };
        match self.codec.endpoint(&record.key, value) {
            Ok(endpoint) => self.listing.put(endpoint),
            Err(error) => {
                log::warn!(endpoint:% = id, error:%; "endpoint's record skipped");
                self.listing.remove_record(&id, now);
                true
            }
        }
    }

    fn whole(&mut self, keys: &HashSet<String>, now: Duration) {
        self.listing
            .remove_missing(|id| keys.contains(id.as_str()), now);
    }

    fn caught_up(&mut self, _asked: Duration, _next: u64, now: Duration) {
        let mut endpoints = self.listing.endpoints(now);
        endpoints.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        let is_changed = *self.list.borrow() != endpoints;
        if !is_changed {
            return;
        }
        log_changes(&self.list.borrow(), &endpoints);
        self.schedule.tell(Message::Endpoints(endpoints.clone()));
        self.list.send_replace(endpoints);
    }
}

fn log_changes(before: &[Endpoint], after: &[Endpoint]) {
    for endpoint in after {
        let known = before.iter().find(|one| one.id == endpoint.id);
        let is_new = known.is_none_or(|known| {
            known.leaving != endpoint.leaving || known.started != endpoint.started
        });
        if is_new {
            let leaving = endpoint.leaving;
            log::info!(endpoint:% = endpoint.id, service:% = endpoint.service, leaving; "endpoint listed");
        }
    }
    for endpoint in before {
        if !after.iter().any(|one| one.id == endpoint.id) {
            log::info!(endpoint:% = endpoint.id; "endpoint gone");
        }
    }
}
