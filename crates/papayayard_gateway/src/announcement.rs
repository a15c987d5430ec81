//! What the host that has the turn at giving orders announces to all hosts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_routing::weights::Named;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::follow::Reducer;
use crate::schedule::{Handle, Message};
use crate::store::Record;

/// Key of the turn's record.
pub(crate) const KEY: &str = "turn";

/// What the holder of the turn announces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// Host that has the turn.
    pub(crate) holder: String,
    /// Endpoints that take no requests for now.
    pub(crate) away: Vec<String>,
    /// Endpoints that have loaded weights lately.
    pub(crate) loaded: Vec<Loaded>,
    /// Versions that were named, for hosts that start later.
    #[serde(default)]
    pub(crate) named: Vec<Age>,
}

/// How long ago a version was named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Age {
    pub(crate) model: String,
    pub(crate) version: u64,
    /// Time from the naming to the writing, in ms.
    pub(crate) lain_ms: u64,
}

/// An endpoint that has loaded a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loaded {
    pub(crate) endpoint: String,
    pub(crate) model: String,
    pub(crate) version: u64,
}

/// What is known of the turn's topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Offset after the last record; unknown before the first reading.
    pub(crate) end: Option<u64>,
    /// Newest announcement, its offset and the time of its reading.
    pub(crate) newest: Option<(Announcement, u64, Duration)>,
}

impl Announcement {
    /// Times at which versions were named at the latest, for an announcement that
    /// was written at a time.
    fn target_versions(&self, written: Duration) -> HashMap<id::Model, Named> {
        let mut targets: HashMap<id::Model, Named> = HashMap::new();
        for target in &self.named {
            let age = Duration::from_millis(target.lain_ms);
            let model = id::Model::from(target.model.as_str());
            let versions = targets.entry(model).or_default();
            versions.name(target.version, written.saturating_sub(age));
        }
        targets
    }

    /// Whether hosts have to learn of another one.
    pub(crate) fn has_same_content(&self, other: &Self) -> bool {
        self.holder == other.holder && self.away == other.away && self.loaded == other.loaded
    }
}

/// Folds the turn's topic.
pub(crate) struct Announcements {
    snapshot: watch::Sender<Snapshot>,
    current: Snapshot,
    /// Longest time for which nobody renews the turn while there is work.
    max_unrenewed: Duration,
    schedule: Handle,
}

impl Announcements {
    /// A fold that nothing is known to.
    pub(crate) fn new(
        snapshot: watch::Sender<Snapshot>,
        max_unrenewed: Duration,
        schedule: Handle,
    ) -> Self {
        Self {
            snapshot,
            current: Snapshot::default(),
            max_unrenewed,
            schedule,
        }
    }
}

impl Reducer for Announcements {
    fn apply_record(
        &mut self,
        record: &Record,
        first_seen: Option<Duration>,
        now: Duration,
    ) -> bool {
        let Some(value) = record.value.as_ref().filter(|_| record.key == KEY) else {
            return false;
        };
        match serde_json::from_slice::<Announcement>(value) {
            Ok(announcement) => {
                apply(&announcement, &self.schedule);
                // One that lay there before is as old as it can be while weights
                // are still to be ordered.
                let written = first_seen.unwrap_or(now.saturating_sub(self.max_unrenewed));
                let targets = announcement.target_versions(written);
                self.schedule.tell(Message::Named(targets));
                self.current.newest = Some((announcement, record.offset, now));
                true
            }
            Err(error) => {
                log::warn!(error:%; "announcement skipped");
                false
            }
        }
    }

    fn retain_keys(&mut self, _keys: &HashSet<String>, _now: Duration) {}

    fn caught_up(&mut self, _requested_at: Duration, next: u64, _now: Duration) {
        self.current.end = Some(next);
        self.snapshot.send_replace(self.current.clone());
    }
}

/// Tells the scheduler what was announced.
pub(crate) fn apply(announcement: &Announcement, schedule: &Handle) {
    for loaded in &announcement.loaded {
        let endpoint = id::Endpoint::from(loaded.endpoint.as_str());
        let model = id::Model::from(loaded.model.as_str());
        schedule.tell(Message::Loaded(endpoint, model, loaded.version));
    }
    let away = announcement.away.iter();
    let away = away.map(|id| id::Endpoint::from(id.as_str())).collect();
    schedule.tell(Message::Loading(away));
}
