//! The endpoints of one model service and what is running on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_coordination::departure;
use papayayard_document::document;
use papayayard_routing::choice::{self, Policy};
use papayayard_routing::{fleet, quarantine, run};
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
    quarantine: quarantine::Table,
    departing: Vec<departure::Signal>,
    version: id::Version,
}

/// Why a request gets no endpoint.
pub(super) enum Barred {
    /// Nothing was chosen.
    Choice(choice::Refusal),
    /// Requests like this one end the endpoints that run them.
    Quarantined,
}

impl From<choice::Refusal> for Barred {
    fn from(refusal: choice::Refusal) -> Self {
        Self::Choice(refusal)
    }
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
    View: choice::GroundTruth,
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
            quarantine: quarantine::Table::default(),
            departing: Vec::new(),
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

    /// Takes how many hosts send requests to the endpoints.
    pub(super) fn set_hosts(&mut self, hosts: u32) {
        self.fleet.set_hosts(hosts);
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

    /// Whether an endpoint is listed as one of this service's.
    pub(super) fn contains(&self, endpoint: &id::Endpoint) -> bool {
        self.members.contains_key(endpoint)
    }

    /// Takes an endpoint's report.
    pub(super) fn report(&mut self, report: endpoint::Report, now: Duration) {
        let Some(member) = self.members.get_mut(&report.endpoint) else {
            return;
        };
        match self.fleet.report(member.key, &report, now) {
            run::Match::Same => {}
            run::Match::New => {
                self.quarantine.record_crash(member.key, now);
                member.lose();
            }
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
            self.quarantine.record_crash(member.key, now);
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
    ) -> Result<Place, Barred> {
        if query.version != self.version {
            return Err(choice::Refusal::NoEndpoint.into());
        }
        if self.quarantine.status(query.fingerprint, now) == quarantine::Status::Quarantined {
            return Err(Barred::Quarantined);
        }
        let mut excluded = self.quarantine.excluded_endpoints(query.fingerprint, now);
        excluded.extend(self.departing());
        let asked = query.excluded.iter();
        excluded.extend(asked.filter_map(|name| self.fleet.find(name)));
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
            account: query.account.clone(),
            keys: query.keys.clone(),
            fingerprint: query.fingerprint,
            sent: now,
        };
        self.quarantine
            .record_start(query.fingerprint, pick.endpoint);
        self.fleet.dispatched(
            pick.endpoint,
            &query.keys,
            query.prompt_bytes,
            pick.cached_bytes,
            now,
        );
        Ok(place)
    }

    /// Takes the signs that endpoints are leaving.
    pub(super) fn set_departing(&mut self, signs: &[departure::Signal]) {
        let own = signs.iter();
        let own = own.filter(|sign| self.members.contains_key(&sign.endpoint));
        self.departing = own.cloned().collect();
    }

    /// Endpoints whose present run is leaving.
    fn departing(&self) -> impl Iterator<Item = fleet::Key> {
        self.departing.iter().filter_map(|sign| {
            let key = self.members.get(&sign.endpoint)?.key;
            let run = self.fleet.get(key)?.incarnation();
            let is_meant = sign.incarnation.is_none() || sign.incarnation == run;
            is_meant.then_some(key)
        })
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
                self.quarantine.record_success(place.fingerprint, key);
                self.fleet.finished(key, took, now);
                self.fleet.answered(key, &place.keys, now);
            }
            Outcome::Cancelled | Outcome::Refused => {
                self.quarantine.record_abort(place.fingerprint, key);
                self.fleet.cancelled(key, &place.keys, now);
            }
            Outcome::Unreachable | Outcome::Stalled | Outcome::Broken => {
                self.quarantine.record_abort(place.fingerprint, key);
                self.fleet.failed(key, &place.keys, now);
            }
            Outcome::Died => {
                self.fleet.failed(key, &place.keys, now);
                self.died(place, key, now);
            }
        }
    }

    /// Takes the death of the run that a request was sent to, once.
    fn died(&mut self, place: &Place, key: fleet::Key, now: Duration) {
        let current = self.fleet.get(key).and_then(fleet::Endpoint::incarnation);
        if current.is_none() || current != place.incarnation {
            return;
        }
        if let Some(culprit) = self.quarantine.record_crash(key, now) {
            log::warn!(endpoint:% = place.endpoint, fingerprint = culprit.0; "quarantined");
        }
        self.fleet.crashed(key, now);
        if let Some(member) = self.members.get_mut(&place.endpoint) {
            member.lose();
        }
    }

    /// Fingerprints that are quarantined.
    pub(super) fn verdicts(&self, now: Duration) -> Vec<quarantine::Verdict> {
        self.quarantine.export(now)
    }

    /// Takes in fingerprints that another host has quarantined.
    pub(super) fn import(&mut self, verdicts: &[quarantine::Verdict], now: Duration) {
        self.quarantine.import(verdicts, now);
    }

    /// Requests that all endpoints with a report can run at once.
    pub(super) fn slots(&self) -> u32 {
        let reports = self.members.values().filter_map(|m| m.report.as_ref());
        reports.map(|report| report.slots).sum()
    }

    /// State of the endpoints, for operators.
    pub(super) fn status(
        &self,
        service: &id::Service,
        now: Duration,
    ) -> impl Iterator<Item = Status> {
        let departing: Vec<fleet::Key> = self.departing().collect();
        self.members.iter().filter_map(move |(name, member)| {
            let endpoint = self.fleet.get(member.key)?;
            Some(Status {
                endpoint: name.clone(),
                service: service.clone(),
                zone: endpoint.zone.clone(),
                plan: member.plan,
                eligible: self.fleet.accepts(member.key, now) && !departing.contains(&member.key),
                in_flight: endpoint.load.open(),
                report: member.report.clone(),
            })
        })
    }
}
