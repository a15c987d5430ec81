//! Which version of the endpoints' software began a stream.
//!
//! Several versions may serve a service at the same time, and a stream may go on only at
//! the version that began it. A caller that resumes a stream can come to any host, and the
//! host that served it before may have ended. So hosts tell others of the streams that they
//! begin, and each remembers them. While a single version serves nothing needs to be told;
//! once a second one is listed, each host tells of the streams that it began before, and later
//! of each at once.
//!
//! A stream that no host remembers may go on only if a single version can have begun it: no
//! other one has served the service for as long as a stream lives. A host that has just
//! started doesn't know that, whatever it finds listed, and neither does one whose list is not
//! confirmed any more: it may have been suspended, or be cut off from the store.
//!
//! A stream that begins while the software of its endpoint is unknown is remembered as such, and
//! told at once: what a list states must not be taken for its origin.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use papayayard_wire::id;
use xxhash_rust::xxh3;

/// Maximum number of streams that a host remembers; the oldest are dropped first.
const MAX_STREAMS: usize = 1 << 15;
/// Time for which a stream is remembered.
const RETENTION: Duration = Duration::from_mins(2);

/// A stream, by the client account and the request that brought its first event. Callers
/// can therefore not learn of the streams of other accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Stream(u64);

impl Stream {
    pub fn new(account: Option<&id::Account>, request: &id::Request) -> Self {
        let account = account.map_or("", id::Account::as_str);
        let seed = xxh3::xxh3_64(account.as_bytes());
        Self(xxh3::xxh3_64_with_seed(request.as_str().as_bytes(), seed))
    }
}

/// Streams that began lately, with the version of the software that began each.
#[derive(Debug, Default)]
pub struct Origins {
    /// `None` while the version is unknown.
    streams: HashMap<Stream, Option<id::Software>>,
    order: VecDeque<(Duration, Stream)>,
}

impl Origins {
    /// Records that a stream began, and returns whether that is new. The first record of a stream
    /// that names a version counts.
    pub fn record(
        &mut self,
        stream: Stream,
        software: Option<id::Software>,
        now: Duration,
    ) -> bool {
        let is_expired = |at: Duration| at + RETENTION <= now;
        while self.order.len() >= MAX_STREAMS
            || self.order.front().is_some_and(|(at, _)| is_expired(*at))
        {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.streams.remove(&oldest);
            }
        }
        if let Some(known) = self.streams.get_mut(&stream) {
            let is_new = known.is_none() && software.is_some();
            if is_new {
                *known = software;
            }
            return is_new;
        }
        self.streams.insert(stream, software);
        self.order.push_back((now, stream));
        true
    }

    /// Version of the software that began a stream, if it is remembered.
    pub fn get(&self, stream: Stream) -> Option<&id::Software> {
        self.streams.get(&stream)?.as_ref()
    }

    /// Whether a stream is remembered that an unknown version began.
    pub fn is_unknown(&self, stream: Stream) -> bool {
        self.streams.get(&stream).is_some_and(Option::is_none)
    }
}

/// A stream that a host began or took up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    pub stream: Stream,
    pub service: id::Service,
    /// Version that began it, if that is known.
    pub software: Option<id::Software>,
    /// When the stream has ended at the latest.
    pub until: Duration,
}

/// Streams of this host that other hosts may have to be told of.
#[derive(Debug, Default)]
pub struct Backlog(VecDeque<Begun>);

impl Backlog {
    pub fn add(&mut self, begun: Begun, now: Duration) {
        while self.0.len() >= MAX_STREAMS || self.0.front().is_some_and(|old| old.until <= now) {
            self.0.pop_front();
        }
        self.0.push_back(begun);
    }

    /// Streams that may not have ended, of the services that a condition selects.
    pub fn open<Selects>(&self, selects: Selects, now: Duration) -> impl Iterator<Item = &Begun>
    where
        Selects: Fn(&id::Service) -> bool,
    {
        let open = self.0.iter().filter(move |begun| begun.until > now);
        open.filter(move |begun| selects(&begun.service))
    }
}

/// Versions of the software that serve each service, and that did so lately.
#[derive(Debug, Default)]
pub struct Releases {
    services: HashMap<id::Service, HashMap<id::Software, Served>>,
    /// When the first list was applied.
    since: Option<Duration>,
    /// When the reading was requested that confirmed the list last.
    confirmed_at: Option<Duration>,
    /// When a version was listed beside others, for the last time of each service.
    joined: HashMap<id::Service, Duration>,
}

/// Versions that can have begun a stream, as far as a host knows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Possible {
    /// The host has not followed the list of endpoints for as long as a stream lives, or its
    /// list is out of date.
    Unknown,
    One(id::Software),
    Several,
}

impl Possible {
    /// Combines what two hosts know. One that knows more versions is right, since the other
    /// may learn of them later.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (known, Self::Unknown) | (Self::Unknown, known) => known,
            (Self::One(one), Self::One(other)) if one == other => Self::One(one),
            _ => Self::Several,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Served {
    /// When the version was last listed; `None` while it is.
    until: Option<Duration>,
}

impl Releases {
    /// Applies the list of all endpoints' services and versions, and returns whether a version
    /// is new beside others of its service.
    pub fn update<'a, Listed>(&mut self, listed: Listed, now: Duration) -> bool
    where
        Listed: Iterator<Item = (&'a id::Service, &'a id::Software)>,
    {
        let mut has_joined = false;
        self.since.get_or_insert(now);
        let listed: HashSet<_> = listed.collect();
        for (service, versions) in &mut self.services {
            for (software, served) in versions {
                if !listed.contains(&(service, software)) {
                    served.until.get_or_insert(now);
                }
            }
        }
        for (service, software) in listed {
            let versions = self.services.entry(service.clone()).or_default();
            let is_new = versions
                .insert(software.clone(), Served { until: None })
                .is_none();
            if is_new && versions.len() > 1 {
                self.joined.insert(service.clone(), now);
                has_joined = true;
            }
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, served| served.until.is_none_or(|until| now < until + RETENTION));
        }
        has_joined
    }

    /// Whether several versions serve a service, or did lately.
    pub fn has_several(&self, service: &id::Service) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.len() > 1)
    }

    /// When a version was last listed beside others of a service.
    pub fn joined_at(&self, service: &id::Service) -> Option<Duration> {
        self.joined.get(service).copied()
    }

    /// Records that the list holds all that was listed when a reading was requested.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// When the reading was requested that confirmed the list last.
    pub const fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Versions that can have begun a stream of a service, if streams end within `life` and a
    /// list is out of date after `max_age`.
    pub fn possible(
        &self,
        service: &id::Service,
        life: Duration,
        max_age: Duration,
        now: Duration,
    ) -> Possible {
        let versions = self.services.get(service);
        let mut lately = versions
            .into_iter()
            .flatten()
            .filter(|(_, served)| served.until.is_none_or(|until| now < until + life));
        let Some((sole, _)) = lately.next() else {
            return Possible::Unknown;
        };
        if lately.next().is_some() {
            return Possible::Several;
        }
        let has_followed = self.since.is_some_and(|since| since + life <= now);
        let is_current = self.confirmed_at.is_some_and(|at| now <= at + max_age);
        if has_followed && is_current {
            Possible::One(sole.clone())
        } else {
            Possible::Unknown
        }
    }
}
