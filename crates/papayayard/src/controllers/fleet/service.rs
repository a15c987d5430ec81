//! The endpoints of one model service and what is running on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_document::document;
use papayayard_routing::choice::{self, Policy};
use papayayard_routing::{fleet, run};
use papayayard_wire::{directory, endpoint, id};
use tokio_util::sync::CancellationToken;

use crate::controllers::fleet::{Outcome, Place, Query, Status};

/// Blocks that the index of a service holds at most.
const INDEX_BLOCKS: usize = 1 << 22;
/// Reports that an endpoint may miss in a row before its work is moved.
const MISSED_REPORTS: u32 = 2;

/// The endpoints of one model service.
pub(super) struct Service<View> {
    fleet: fleet::Fleet,
    policy: choice::Switch<View>,
    members: HashMap<id::Endpoint, Member>,
    version: id::Version,
}

struct Member {
    key: fleet::Key,
    address: SocketAddr,
    plan: directory::State,
    report: Option<endpoint::Report>,
    missed: u32,
    lost: CancellationToken,
}

impl Member {
    /// Moves what runs here to other endpoints.
    fn lose(&mut self) {
        self.lost.cancel();
        self.lost = CancellationToken::new();
    }
}

impl<View> Service<View>
where
    View: choice::Truth,
{
    /// A service without endpoints.
    pub(super) fn new(
        model: &document::Model,
        block: document::Block,
        policy: choice::Switch<View>,
    ) -> Self {
        let settings = fleet::Settings {
            version: model.version.clone(),
            block_bytes: block.bytes(),
            index_blocks: INDEX_BLOCKS,
        };
        Self {
            fleet: fleet::Fleet::new(settings),
            policy,
            members: HashMap::new(),
            version: model.version.clone(),
        }
    }

    /// Takes the weights version that the document asks for.
    pub(super) fn set_version(&mut self, version: &id::Version) {
        if self.version != *version {
            self.version = version.clone();
            self.fleet.set_version(version.clone());
        }
    }

    /// Takes the platform's list of this service's endpoints.
    pub(super) fn list(&mut self, endpoints: &[&directory::Endpoint]) {
        let gone: Vec<id::Endpoint> = self
            .members
            .keys()
            .filter(|name| !endpoints.iter().any(|listed| listed.id == **name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(member) = self.members.remove(&name) {
                self.fleet.remove(member.key);
            }
        }
        for listed in endpoints {
            self.admit(listed);
        }
    }

    fn admit(&mut self, listed: &directory::Endpoint) {
        let key = self.fleet.join(&listed.id, &listed.zone);
        if listed.state == directory::State::Leaving {
            self.fleet.leave(key);
        }
        let member = self
            .members
            .entry(listed.id.clone())
            .or_insert_with(|| Member {
                key,
                address: listed.address,
                plan: listed.state,
                report: None,
                missed: 0,
                lost: CancellationToken::new(),
            });
        member.key = key;
        member.address = listed.address;
        member.plan = listed.state;
    }

    /// Takes an endpoint's report.
    pub(super) fn report(&mut self, report: endpoint::Report, now: Duration) {
        let Some(member) = self.members.get_mut(&report.endpoint) else {
            return;
        };
        match self.fleet.report(member.key, &report, now) {
            run::Match::Same => {}
            run::Match::New => member.lose(),
            run::Match::Ended => return,
        }
        member.missed = 0;
        member.report = Some(report);
        self.fleet.set_ejected(member.key, false);
    }

    /// Takes an endpoint's cache events.
    pub(super) fn events(&mut self, name: &id::Endpoint, page: &endpoint::Page, now: Duration) {
        if let Some(member) = self.members.get_mut(name)
            && self.fleet.events(member.key, page, now) == run::Match::New
        {
            member.lose();
        }
    }

    /// Takes down that an endpoint did not answer the observer.
    pub(super) fn silent(&mut self, name: &id::Endpoint) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.missed += 1;
        self.fleet.set_ejected(member.key, true);
        if member.missed == MISSED_REPORTS {
            member.lose();
        }
    }

    /// Chooses an endpoint and counts the request there.
    pub(super) fn choose(
        &mut self,
        query: &Query,
        zone: &id::Zone,
        limit: Option<Duration>,
        now: Duration,
    ) -> Result<Place, choice::Refusal> {
        if query.version != self.version {
            return Err(choice::Refusal::NoEndpoint);
        }
        let excluded: Vec<fleet::Key> = query
            .excluded
            .iter()
            .filter_map(|name| self.fleet.find(name))
            .collect();
        let pick = self.policy.pick(
            &self.fleet,
            &choice::Query {
                keys: &query.keys,
                prompt_bytes: query.prompt_bytes,
                output_tokens: query.output_tokens,
                zone,
                now,
                excluded: &excluded,
                first_token_limit: limit,
            },
        )?;
        let chosen = self.fleet.get(pick.endpoint);
        let chosen = chosen.ok_or(choice::Refusal::NoEndpoint)?;
        let member = self.members.get(&chosen.name);
        let member = member.ok_or(choice::Refusal::NoEndpoint)?;
        let place = Place {
            endpoint: chosen.name.clone(),
            address: member.address,
            lost: member.lost.clone(),
            incarnation: chosen.incarnation(),
            service: query.service.clone(),
            keys: query.keys.clone(),
            fingerprint: query.fingerprint,
            sent: now,
        };
        self.fleet.dispatched(
            pick.endpoint,
            &query.keys,
            query.prompt_bytes,
            pick.cached_bytes,
            now,
        );
        Ok(place)
    }

    /// Takes down how a dispatched request ended.
    pub(super) fn settle(&mut self, place: &Place, outcome: Outcome, now: Duration) {
        let Some(member) = self.members.get_mut(&place.endpoint) else {
            return;
        };
        let key = member.key;
        match outcome {
            Outcome::Finished => {
                let took = now.saturating_sub(place.sent);
                self.fleet.finished(key, took, now);
                self.fleet.answered(key, &place.keys, now);
            }
            Outcome::Cancelled => self.fleet.cancelled(key, &place.keys, now),
            Outcome::Refused => self.fleet.failed(key, &place.keys, now),
            Outcome::Unreachable | Outcome::Stalled | Outcome::Died => {
                self.fleet.failed(key, &place.keys, now);
                let same_run =
                    self.fleet.get(key).and_then(fleet::Endpoint::incarnation) == place.incarnation;
                if same_run {
                    self.fleet.set_ejected(key, true);
                }
            }
        }
    }

    /// State of the endpoints, for operators.
    pub(super) fn status(&self, service: &id::Service) -> impl Iterator<Item = Status> {
        self.members.iter().filter_map(move |(name, member)| {
            let endpoint = self.fleet.get(member.key)?;
            Some(Status {
                endpoint: name.clone(),
                service: service.clone(),
                zone: endpoint.zone.clone(),
                plan: member.plan,
                eligible: self.fleet.eligible(member.key),
                in_flight: endpoint.load.open(),
                report: member.report.clone(),
            })
        })
    }
}
