//! Which run of an endpoint, and so which version of its software, a host can count on.
//!
//! An endpoint may start again under its identifier with other software, while its record in
//! the store is still that of the run before. What a record states of the software therefore
//! holds for the run that the record is of, and only while nothing speaks against that run: the
//! endpoint names another run itself, or it ends a connection, or refuses one, as at a crash.
//! Then its software is unknown until the endpoint names the listed run again, another run is
//! listed, or its record is written again: by a heartbeat that follows one that was read since.
//! An endpoint in doubt can be asked; one that has named another run has answered.
//!
//! An endpoint that names its run again and again, as one whose cache is followed does, tells
//! by itself when it stops. Of such an endpoint a request that breaks off is no sign, since a
//! faulty endpoint can break off requests without a crash.

use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

/// Time after which an endpoint that has not named its run again is no longer followed.
const FOLLOWED_FOR: Duration = Duration::from_millis(2500);

/// Record of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub run: id::Incarnation,
    pub software: id::Software,
    /// Number of the heartbeat that wrote the record.
    pub heartbeat: u64,
}

/// What speaks against the run of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Nothing listens at its address, or a call to follow it failed.
    Lost,
    /// A request broke off, or another host is in doubt.
    Suspected,
}

/// What a host knows of the runs of endpoints.
#[derive(Debug, Default)]
pub struct Runs(HashMap<id::Endpoint, Endpoint>);

#[derive(Debug)]
struct Endpoint {
    record: Record,
    /// Run that the endpoint named last.
    named: Option<id::Incarnation>,
    /// When the last call was sent that followed the endpoint.
    followed_at: Option<Duration>,
    doubt: Option<Doubted>,
}

#[derive(Debug)]
struct Doubted {
    since: Duration,
    /// Heartbeat of the first record that was read since.
    heartbeat: Option<u64>,
}

impl Runs {
    /// Applies a record that a reading contained which was requested at a time.
    pub fn list(&mut self, endpoint: &id::Endpoint, record: Record, requested_at: Duration) {
        match self.0.get_mut(endpoint) {
            Some(known) if known.record.run == record.run => known.renew(record, requested_at),
            _ => {
                let listed = Endpoint {
                    record,
                    named: None,
                    followed_at: None,
                    doubt: None,
                };
                self.0.insert(endpoint.clone(), listed);
            }
        }
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&id::Endpoint) -> bool,
    {
        self.0.retain(|endpoint, _| is_listed(endpoint));
    }

    /// Records the run that an endpoint named in the answer to a call of the given time.
    pub fn name(&mut self, endpoint: &id::Endpoint, run: id::Incarnation, called_at: Duration) {
        let Some(known) = self.0.get_mut(endpoint) else {
            return;
        };
        known.named = Some(run);
        if known
            .doubt
            .as_ref()
            .is_some_and(|doubt| doubt.since <= called_at)
        {
            known.doubt = None;
        }
    }

    /// The same for a call that follows the endpoint, so that others come after it.
    pub fn follow(&mut self, endpoint: &id::Endpoint, run: id::Incarnation, called_at: Duration) {
        self.name(endpoint, run, called_at);
        if let Some(known) = self.0.get_mut(endpoint) {
            known.followed_at = Some(called_at);
        }
    }

    /// Records what speaks against the run of an endpoint.
    pub fn doubt(&mut self, endpoint: &id::Endpoint, doubt: Doubt, now: Duration) {
        let Some(known) = self.0.get_mut(endpoint) else {
            return;
        };
        if doubt == Doubt::Suspected && known.is_followed(now) {
            return;
        }
        known.doubt = Some(Doubted {
            since: now,
            heartbeat: None,
        });
    }

    /// Version of the software that an endpoint runs, if it is known.
    pub fn software(&self, endpoint: &id::Endpoint) -> Option<&id::Software> {
        let known = self.0.get(endpoint)?;
        known.is_certain().then_some(&known.record.software)
    }

    /// Version of the software that the record of an endpoint states.
    pub fn listed_software(&self, endpoint: &id::Endpoint) -> Option<&id::Software> {
        self.0.get(endpoint).map(|known| &known.record.software)
    }

    /// Endpoints that have named another run than the listed one.
    pub fn restarted(&self) -> impl Iterator<Item = &id::Endpoint> {
        let restarted = self.0.iter().filter(|(_, known)| !known.is_as_named());
        restarted.map(|(endpoint, _)| endpoint)
    }
}

impl Endpoint {
    /// Applies a newer record of the same run.
    fn renew(&mut self, record: Record, requested_at: Duration) {
        if let Some(doubt) = &mut self.doubt
            && doubt.since <= requested_at
        {
            match doubt.heartbeat {
                None => doubt.heartbeat = Some(record.heartbeat),
                Some(first) if record.heartbeat > first => self.doubt = None,
                Some(_) => {}
            }
        }
        self.record = record;
    }

    /// Whether the listed run is the one that runs, as far as is known.
    fn is_certain(&self) -> bool {
        self.is_as_named() && self.doubt.is_none()
    }

    /// Whether the endpoint has named no other run.
    fn is_as_named(&self) -> bool {
        self.named.is_none_or(|run| run == self.record.run)
    }

    /// Whether the endpoint names its run again and again, and has not stopped.
    fn is_followed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at + FOLLOWED_FOR;
        self.doubt.is_none() && self.followed_at.is_some_and(is_recent)
    }
}
