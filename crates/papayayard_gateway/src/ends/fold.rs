//! Takes over what other hosts have seen of ends.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;

use super::Known;
use super::news::News;
use crate::follow;
use crate::store;

/// Time for which a record is kept in the log, so that hosts that start learn of it.
const KEPT: Duration = Duration::from_hours(2);
/// Period in which records that are old are looked for.
const SWEEP: Duration = Duration::from_mins(1);

/// Folds what hosts have seen.
pub(crate) struct Seen {
    known: Known,
    /// When records that stand in the log were learnt of, by their keys.
    learnt: HashMap<String, Duration>,
    /// Age at which this host drops a record. Hosts differ, so that one of them does
    /// it and the others see that it is done.
    kept: Duration,
    swept: Duration,
}

impl Seen {
    /// A fold that nothing is known to.
    pub(super) fn new(known: Known) -> Self {
        Self {
            known,
            learnt: HashMap::new(),
            kept: KEPT.mul_f64(1.0 + rand::random::<f64>()),
            swept: Duration::ZERO,
        }
    }

    fn take(&self, news: News, at: Duration) {
        match news {
            News::Ended {
                run,
                waiting,
                begun,
            } => {
                self.ended(&run, &waiting, Progress::Waiting, at);
                self.ended(&run, &begun, Progress::Begun, at);
            }
            News::Cleared { fingerprint } => {
                self.known.table().record_success(fingerprint, at);
            }
        }
    }

    fn ended(&self, run: &Run, requests: &[Fingerprint], progress: Progress, at: Duration) {
        for fingerprint in requests {
            self.known.ended(*fingerprint, run, progress, at);
        }
    }

    fn sweep(&mut self, now: Duration) {
        self.swept = now;
        self.known.table().remove_expired(now);
        for (key, learnt) in &self.learnt {
            if *learnt + self.kept <= now {
                self.known.outbox.drop_record(key);
            }
        }
    }
}

impl follow::Fold for Seen {
    fn record(&mut self, record: &store::Record, learnt: Option<Duration>, now: Duration) -> bool {
        let Some(value) = &record.value else {
            self.learnt.remove(&record.key);
            return true;
        };
        let at = learnt.unwrap_or(now);
        self.learnt.insert(record.key.clone(), at);
        match serde_json::from_slice(value) {
            Ok(news) => {
                self.take(news, at);
                true
            }
            Err(error) => {
                log::warn!(key = record.key.as_str(), error:%; "record of an end skipped");
                false
            }
        }
    }

    fn whole(&mut self, keys: &HashSet<String>, _now: Duration) {
        self.learnt.retain(|key, _| keys.contains(key));
    }

    fn caught_up(&mut self, _asked: Duration, _next: u64, now: Duration) {
        if self.swept + SWEEP <= now {
            self.sweep(now);
        }
    }
}
