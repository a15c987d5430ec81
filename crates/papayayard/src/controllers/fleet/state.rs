//! The state of the fleet's task: one service after another.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_document::document;
use papayayard_routing::{choice, retry};
use papayayard_wire::refusal::Kind;
use papayayard_wire::{directory, id};
use xxhash_rust::xxh3;

use crate::active::Active;
use crate::controllers::fleet::service::{Barred, Service};
use crate::controllers::fleet::{Message, Options, Outcome, Place, Query, Status};
use crate::refusal::Refusal;

/// When to come back where no endpoint takes the request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// Limits on retries.
const RETRIES: retry::Settings = retry::Settings {
    per_success: 0.1,
    reserve: 50.0,
    attempts: 4,
};

/// All model services.
pub(super) struct Fleet<View> {
    options: Options<View>,
    services: HashMap<id::Service, Service<View>>,
    listed: Vec<directory::Endpoint>,
    hosts: u32,
    budget: retry::Budget,
}

impl<View> Fleet<View>
where
    View: choice::GroundTruth + Clone,
{
    /// A fleet without services.
    pub(super) fn new(options: Options<View>) -> Self {
        Self {
            options,
            services: HashMap::new(),
            listed: Vec::new(),
            hosts: 1,
            budget: retry::Budget::new(RETRIES),
        }
    }

    /// Takes a configuration that came into force.
    pub(super) fn configure(&mut self, active: &Active) {
        let document = &active.document;
        self.services
            .retain(|name, _| active.model_of(name).is_some());
        for service in &document.services {
            let document::Kind::Model(model) = &service.kind else {
                continue;
            };
            let options = &self.options;
            let known = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| {
                    let seed = xxh3::xxh3_64(options.host.as_str().as_bytes());
                    let policy = choice::Switch::new(options.policy, seed, options.truth.clone());
                    Service::new(model, document.block, policy)
                });
            known.set_version(&model.version);
        }
        self.spread();
    }

    /// Takes one message.
    pub(super) fn take(&mut self, message: Message) {
        let now = self.options.clock.now();
        match message {
            Message::Choose(query, reply) => {
                let choice = self.choose(&query, now);
                // The request may have gone; its dispatch is then undone.
                if let Err(Ok(place)) = reply.send(choice) {
                    self.settle(&place, Outcome::Cancelled, now);
                }
            }
            Message::Settle(place, outcome) => self.settle(&place, outcome, now),
            Message::Fail(place, outcome, failure, reply) => {
                self.settle(&place, outcome, now);
                let leave = self.budget.retry(&place.service, &place.account, failure);
                // The request may have gone; then nothing is retried.
                let _ = reply.send(leave);
            }
            Message::Verdicts(reply) => {
                let services = self.services.values();
                let verdicts = services.flat_map(|service| service.verdicts(now));
                // A host that is stopping needs no answer.
                let _ = reply.send(verdicts.collect());
            }
            Message::Import(verdicts) => {
                for service in self.services.values_mut() {
                    service.import(&verdicts, now);
                }
            }
            Message::Departing(signs) => {
                for service in self.services.values_mut() {
                    service.set_departing(&signs);
                }
            }
            Message::Listed(endpoints, hosts) => {
                self.listed = endpoints;
                let near = hosts.iter().filter(|zone| **zone == self.options.zone);
                self.hosts = u32::try_from(near.count()).unwrap_or(u32::MAX);
                self.spread();
            }
            Message::Reported(report) => {
                if let Some(service) = self.service_of(&report.endpoint) {
                    service.report(report, now);
                }
                self.announce_capacity();
            }
            Message::Events(endpoint, page) => {
                if let Some(service) = self.service_of(&endpoint) {
                    service.events(&endpoint, &page, now);
                }
            }
            Message::Silent(endpoint) => {
                if let Some(service) = self.service_of(&endpoint) {
                    service.silent(&endpoint);
                }
            }
            Message::Status(reply) => {
                // An operator that has gone needs no answer.
                let _ = reply.send(self.status(now));
            }
        }
    }

    fn spread(&mut self) {
        for (name, service) in &mut self.services {
            let own: Vec<&directory::Endpoint> = self
                .listed
                .iter()
                .filter(|endpoint| endpoint.service == *name)
                .collect();
            service.list(&own);
            service.set_hosts(self.hosts);
        }
    }

    fn announce_capacity(&self) {
        let total = self.services.values().map(Service::slots).sum();
        self.options.capacity.send_if_modified(|known| {
            let changed = *known != total;
            *known = total;
            changed
        });
    }

    fn service_of(&mut self, endpoint: &id::Endpoint) -> Option<&mut Service<View>> {
        let mut services = self.services.values_mut();
        services.find(|service| service.contains(endpoint))
    }

    fn choose(&mut self, query: &Query, now: Duration) -> Result<Place, Refusal> {
        let limit = match query.deadline {
            Some(deadline) if deadline <= now => return Err(too_late()),
            Some(deadline) => Some(deadline.saturating_sub(now)),
            None => None,
        };
        let zone = &self.options.zone;
        let service = self.services.get_mut(&query.service);
        let chosen = service
            .ok_or(Barred::Choice(choice::Refusal::NoEndpoint))
            .and_then(|service| service.choose(query, zone, limit, now));
        chosen.map_err(|barred| match barred {
            Barred::Choice(refusal) => refuse(&refusal),
            Barred::Quarantined => quarantined(),
        })
    }

    fn settle(&mut self, place: &Place, outcome: Outcome, now: Duration) {
        if outcome == Outcome::Finished {
            self.budget.record_success(&place.service, &place.account);
        }
        if let Some(service) = self.services.get_mut(&place.service) {
            service.settle(place, outcome, now);
        }
    }

    fn status(&self, now: Duration) -> Vec<Status> {
        let services = self.services.iter();
        let mut all: Vec<Status> = services
            .flat_map(|(name, service)| service.status(name, now))
            .collect();
        all.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        all
    }
}

fn refuse(refusal: &choice::Refusal) -> Refusal {
    match refusal {
        choice::Refusal::Overloaded { retry_after } => {
            Refusal::not_run(Kind::Overloaded, refusal.to_string()).after(*retry_after)
        }
        choice::Refusal::NoEndpoint => {
            Refusal::not_run(Kind::NoEndpoint, refusal.to_string()).after(NO_ENDPOINT_RETRY)
        }
    }
}

fn quarantined() -> Refusal {
    Refusal::not_run(
        Kind::Quarantined,
        "requests like this one ended the endpoints that ran them; do not send it again",
    )
}

fn too_late() -> Refusal {
    Refusal::not_run(
        Kind::DeadlinePassed,
        "the deadline has passed before an endpoint was asked; allow more time",
    )
}
