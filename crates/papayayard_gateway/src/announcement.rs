//! Announcements of the order leader: the host that may currently order endpoints to load
//! weights. Each announcement is a record of the orders topic and is read by all hosts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_routing::weights::TargetVersions;
use papayayard_wire::id;
use papayayard_wire::log::{Era, Offset, Position};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::follow::{Effect, Reading, Reducer};
use crate::schedule::{Handle, Message};
use crate::store::{self, Record};

/// Key of the leader's record.
pub(crate) const KEY: &str = "turn";

/// Maximum difference between the times of day of two hosts.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);

/// Content of the leader's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// ID of the leader.
    pub(crate) holder: String,
    /// Endpoints that must not receive requests for now because they load weights.
    pub(crate) away: Vec<String>,
    /// Weights loaded recently that the endpoints' own records may not show yet.
    pub(crate) loaded: Vec<Loaded>,
    /// Target versions with their ages, for hosts that start later.
    #[serde(default)]
    pub(crate) named: Vec<Age>,
    /// Era in which the leader expected to write the record; `None` in records of older
    /// releases.
    #[serde(default)]
    pub(crate) era: Option<Era>,
    /// Time of day of the writing, in ms since the start of 1970; `None` in records of older
    /// releases.
    #[serde(default)]
    pub(crate) written_ms: Option<u64>,
}

/// Age of a target version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Age {
    pub(crate) model: String,
    pub(crate) version: u64,
    /// Time between publication of the version and writing of the record, in ms.
    pub(crate) lain_ms: u64,
}

/// Weights that an endpoint has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loaded {
    pub(crate) endpoint: String,
    pub(crate) model: String,
    pub(crate) version: u64,
}

/// Contents of the orders topic as read so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Position after the last record; `None` before the first reading.
    pub(crate) end: Option<Position>,
    /// When the first reading of this era was applied.
    pub(crate) era_read_at: Duration,
    /// Newest announcement, its position and the time at which it was read.
    pub(crate) newest: Option<(Announcement, Position, Duration)>,
}

impl Announcement {
    /// Returns the target versions, with the latest time at which each can have been
    /// published, given the time at which the announcement was written.
    fn target_versions(&self, written: Duration) -> HashMap<id::Model, TargetVersions> {
        let mut targets: HashMap<id::Model, TargetVersions> = HashMap::new();
        for target in &self.named {
            let age = Duration::from_millis(target.lain_ms);
            let model = id::Model::from(target.model.as_str());
            let versions = targets.entry(model).or_default();
            versions.record(target.version, Some(written.saturating_sub(age)));
        }
        targets
    }

    /// Time at which an announcement that predates this host's first reading was written, by the
    /// clocks of the two hosts; `None` if it does not tell.
    fn written(&self, unix_now: Duration, now: Duration) -> Option<Duration> {
        let written = Duration::from_millis(self.written_ms?);
        let age = unix_now.saturating_sub(written) + MAX_CLOCK_DIFFERENCE;
        Some(now.saturating_sub(age))
    }

    /// Whether `other` carries the same content, ignoring the ages, so that no new
    /// announcement is needed.
    pub(crate) fn has_same_content(&self, other: &Self) -> bool {
        self.holder == other.holder && self.away == other.away && self.loaded == other.loaded
    }
}

/// Reducer for the orders topic.
pub(crate) struct Announcements {
    snapshot: watch::Sender<Snapshot>,
    current: Snapshot,
    /// Era of the newest reading.
    era: Option<Era>,
    schedule: Handle,
}

impl Announcements {
    pub(crate) fn new(snapshot: watch::Sender<Snapshot>, schedule: Handle) -> Self {
        Self {
            snapshot,
            current: Snapshot::default(),
            era: None,
            schedule,
        }
    }
}

impl Announcements {
    fn position(&self, offset: u64) -> Position {
        Position {
            era: self.era.unwrap_or_default(),
            offset: Offset(offset),
        }
    }

    /// Time at which an announcement was written that may have been in the store for any length of
    /// time. Only a host that has just started goes by times of day: others know since when they
    /// have had a version.
    fn written(&self, announcement: &Announcement, now: Duration) -> Option<Duration> {
        let is_first = self.current.newest.is_none();
        is_first
            .then(|| announcement.written(Clock::unix_time(), now))
            .flatten()
    }

    /// Whether an announcement was written before the store was restored, and this host has
    /// read it then or a newer one.
    fn is_outdated(&self, announcement: &Announcement) -> bool {
        let is_copied = announcement.era.is_some() && announcement.era < self.era;
        let known = self.current.newest.as_ref();
        is_copied && known.is_some_and(|(known, _, _)| known.era >= announcement.era)
    }
}

impl Reducer for Announcements {
    fn begin_reading(&mut self, reading: Reading, now: Duration) {
        if self.era != Some(reading.era) {
            self.era = Some(reading.era);
            self.current.era_read_at = now;
        }
    }

    fn apply_record(
        &mut self,
        record: &Record,
        first_seen: Option<Duration>,
        now: Duration,
    ) -> Effect {
        let Some(value) = record.value.as_ref().filter(|_| record.key == KEY) else {
            return Effect::Unchanged;
        };
        let position = self.position(record.offset);
        match store::decode::<Announcement>(value) {
            Ok(announcement) if self.is_outdated(&announcement) => {
                if let Some((_, known_at, read_at)) = &mut self.current.newest {
                    (*known_at, *read_at) = (position, now);
                }
                Effect::Outdated
            }
            Ok(announcement) => {
                apply(&announcement, &self.schedule);
                let written = first_seen.or_else(|| self.written(&announcement, now));
                if let Some(written) = written {
                    let targets = announcement.target_versions(written);
                    self.schedule.send(Message::TargetVersions(targets));
                }
                self.current.newest = Some((announcement, position, now));
                Effect::Changed
            }
            Err(error) => {
                log::warn!(error:%; "malformed announcement skipped");
                Effect::Unchanged
            }
        }
    }

    fn retain_keys(&mut self, _keys: &HashSet<String>, _now: Duration) {}

    fn caught_up(&mut self, _requested_at: Duration, next: u64, _now: Duration) {
        self.current.end = Some(self.position(next));
        self.snapshot.send_replace(self.current.clone());
    }
}

/// Forwards an announcement to the scheduler.
pub(crate) fn apply(announcement: &Announcement, schedule: &Handle) {
    for loaded in &announcement.loaded {
        let endpoint = id::Endpoint::from(loaded.endpoint.as_str());
        let model = id::Model::from(loaded.model.as_str());
        schedule.send(Message::Loaded(endpoint, model, loaded.version));
    }
    let away = announcement.away.iter();
    let away = away.map(|id| id::Endpoint::from(id.as_str())).collect();
    schedule.send(Message::Loading(away));
}

#[cfg(test)]
#[path = "announcement_test.rs"]
mod test;
