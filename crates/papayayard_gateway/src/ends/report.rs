//! What hosts tell one another of ends, as records of the platform's log.

use papayayard_routing::blame::{Progress, Run};
use papayayard_routing::quarantine::Fingerprint;
use papayayard_wire::id;
use serde::{Deserialize, Serialize};

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Report {
    /// A run of an endpoint ended while requests of the host were open there.
    Ended {
        /// The run.
        run: Run,
        /// Requests of whose answer nothing had come.
        waiting: Vec<Fingerprint>,
        /// Requests of whose answer events had come.
        begun: Vec<Fingerprint>,
    },
    /// A request has finished, and is not the cause of the ends before.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

impl Report {
    /// A run that ended with requests open there.
    pub(super) fn crash(run: &Run, requests: &[(Fingerprint, Progress)]) -> Self {
        let with_progress = |expected| {
            let requests = requests.iter();
            let requests = requests.filter(move |(_, progress)| *progress == expected);
            requests.map(|(fingerprint, _)| *fingerprint).collect()
        };
        Self::Ended {
            run: run.clone(),
            waiting: with_progress(Progress::Waiting),
            begun: with_progress(Progress::Begun),
        }
    }

    /// Key of the record: a later one of the host on the same run replaces it.
    pub(super) fn key(&self, host: &id::Host) -> String {
        match self {
            Self::Ended { run, .. } => format!("{}.{}.{host}", run.endpoint, run.started.0),
            Self::Cleared { fingerprint } => format!("{fingerprint}.{host}"),
        }
    }
}
