//! Which version of the endpoints' software began a stream.
//!
//! Several versions may serve a service at the same time, and a stream may go on only at
//! the version that began it. A caller that resumes a stream can come to any host, and the
//! host that served it before may have ended. So hosts tell others of the streams that they
//! begin, and each remembers them.
//!
//! A stream that no host remembers may go on only if a single version can have begun it: no
//! other one has served the service for as long as a stream lives. A host that has just
//! started doesn't know that, whatever it finds listed.

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
    streams: HashMap<Stream, id::Software>,
    order: VecDeque<(Duration, Stream)>,
}

impl Origins {
    /// Records that a stream began. The first record of a stream counts.
    pub fn record(&mut self, stream: Stream, software: id::Software, now: Duration) {
        let is_expired = |at: Duration| at + RETENTION <= now;
        while self.order.len() >= MAX_STREAMS
            || self.order.front().is_some_and(|(at, _)| is_expired(*at))
        {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.streams.remove(&oldest);
            }
        }
        if self.streams.contains_key(&stream) {
            return;
        }
        self.streams.insert(stream, software);
        self.order.push_back((now, stream));
    }

    /// Version of the software that began a stream, if it is remembered.
    pub fn get(&self, stream: Stream) -> Option<&id::Software> {
        self.streams.get(&stream)
    }
}

/// Versions of the software that serve each service, and that did so lately.
#[derive(Debug, Default)]
pub struct Releases {
    services: HashMap<id::Service, HashMap<id::Software, Served>>,
    /// When the first list was applied.
    since: Option<Duration>,
}

/// Versions that can have begun a stream, as far as a host knows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Possible {
    /// The host has not followed the list of endpoints for as long as a stream lives.
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
    /// Applies the list of all endpoints' services and versions.
    pub fn update<'a, Listed>(&mut self, listed: Listed, now: Duration)
    where
        Listed: Iterator<Item = (&'a id::Service, &'a id::Software)>,
    {
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
            versions.insert(software.clone(), Served { until: None });
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, served| served.until.is_none_or(|until| now < until + RETENTION));
        }
    }

    /// Versions that can have begun a stream of a service, if streams end within `life`.
    pub fn possible(&self, service: &id::Service, life: Duration, now: Duration) -> Possible {
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
        if has_followed {
            Possible::One(sole.clone())
        } else {
            Possible::Unknown
        }
    }
}
