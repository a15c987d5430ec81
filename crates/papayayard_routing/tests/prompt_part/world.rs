//! Requests, and hosts that judge them by the crash reports that reach them.

use std::collections::BTreeSet;
use std::time::Duration;

use papayayard_routing::blame::{Progress, Run, Subjects, Table};
use papayayard_routing::quarantine::Fingerprint;

/// A request and what of it may be the cause of a crash.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) body: Fingerprint,
    /// Parts of the prompt but the last.
    pub(crate) parts: Vec<u64>,
}

impl Request {
    fn subjects(&self) -> Subjects {
        Subjects {
            request: self.body,
            parts: self.parts.iter().copied().map(Fingerprint).collect(),
        }
    }
}

/// Report of a host to the others.
#[derive(Clone, Debug)]
pub(crate) enum Report {
    /// A crash, and the host's requests that were open there.
    Crash {
        run: Run,
        open: Vec<(Request, Progress)>,
        /// Parts with which requests of the host had lately completed.
        sound: Vec<Fingerprint>,
    },
    /// Parts with which requests have completed.
    Cleared(Vec<Fingerprint>),
}

/// A host's view of all crashes.
#[derive(Default)]
pub(crate) struct Host {
    table: Table,
    /// Cleared parts that the host is about to report.
    unreported: BTreeSet<Fingerprint>,
}

impl Host {
    pub(crate) fn refuses(&self, request: &Request, now: Duration) -> bool {
        self.table.quarantine(&request.subjects(), now).is_some()
    }

    /// Records a crash at which requests of this host were open; returns the report on it.
    pub(crate) fn observe(
        &mut self,
        run: &Run,
        open: Vec<(Request, Progress)>,
        now: Duration,
    ) -> Report {
        let parts = open
            .iter()
            .flat_map(|(request, _)| request.subjects().parts);
        let parts: Vec<Fingerprint> = parts.collect();
        let report = Report::Crash {
            run: run.clone(),
            open,
            sound: self.table.sound(&parts, now),
        };
        self.receive(&report, now);
        report
    }

    /// Applies a report of this or another host.
    pub(crate) fn receive(&mut self, report: &Report, now: Duration) {
        match report {
            Report::Crash { run, open, sound } => {
                for part in sound {
                    self.table.record_part_sound(*part, now);
                }
                for (request, progress) in open {
                    let subjects = request.subjects();
                    self.table
                        .record_crash(subjects.request, run, *progress, now);
                    for part in subjects.parts {
                        self.table.record_part_crash(part, run, Some(now), now);
                    }
                }
            }
            Report::Cleared(parts) => {
                for part in parts {
                    self.table.record_part_cleared(*part, now);
                }
            }
        }
    }

    /// Records a request that completed; returns whether a report on its parts becomes due.
    pub(crate) fn finish(&mut self, request: &Request, now: Duration) -> bool {
        let subjects = request.subjects();
        self.table.record_success(subjects.request, now);
        let parts = self.table.record_part_successes(&subjects.parts, now);
        let was_due = !self.unreported.is_empty();
        self.unreported.extend(parts);
        !was_due && !self.unreported.is_empty()
    }

    /// The report on cleared parts, unless another host has sent it.
    pub(crate) fn report_cleared(&mut self) -> Option<Report> {
        let parts: Vec<Fingerprint> = std::mem::take(&mut self.unreported).into_iter().collect();
        let parts = self.table.unreported(&parts);
        (!parts.is_empty()).then_some(Report::Cleared(parts))
    }
}
