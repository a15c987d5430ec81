//! Records in which hosts report endpoint crashes to one another through the platform's
//! log.

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Report {
    /// A run of an endpoint crashed while requests of the reporting host were open there.
    Ended {
        run: Run,
        /// Requests without any answer event before the crash.
        waiting: Vec<Fingerprint>,
        /// Requests whose answer had begun before the crash.
        begun: Vec<Fingerprint>,
        /// Shared parts of the prompts of all these requests.
        #[serde(default)]
        parts: Vec<Fingerprint>,
        /// Those with which other requests of the host had lately completed.
        #[serde(default)]
        sound: Vec<Fingerprint>,
    },
    /// A request has finished and is therefore not the cause of earlier crashes.
    Cleared {
        fingerprint: Fingerprint,
        /// Parts of prompts with which requests have completed.
        #[serde(default)]
        parts: Vec<Fingerprint>,
    },
}

impl Report {
    /// Creates the report on a run that crashed and the requests open there.
    pub(super) fn crash(
        run: &Run,
        requests: &[(Fingerprint, Progress)],
        parts: &[Fingerprint],
        sound: Vec<Fingerprint>,
    ) -> Self {
        let with_progress = |expected| {
            let requests = requests.iter();
            let requests = requests.filter(move |(_, progress)| *progress == expected);
            requests.map(|(fingerprint, _)| *fingerprint).collect()
        };
        Self::Ended {
            run: run.clone(),
            waiting: with_progress(Progress::Waiting),
            begun: with_progress(Progress::Begun),
            parts: parts.to_vec(),
            sound,
        }
    }

    /// Key of the record. A later report of the same host on the same run or request
    /// replaces the earlier one.
    pub(super) fn key(&self, host: &id::Host) -> String {
        match self {
            Self::Ended { run, .. } => format!("{}.{}.{host}", run.endpoint, run.started.0),
            Self::Cleared { fingerprint, .. } => format!("{fingerprint}.{host}"),
        }
    }
}

#[cfg(test)]
#[path = "report_test.rs"]
mod test;
