//! Requests, and hosts that judge them by the crash reports that reach them.

use std::time::Duration;

use papayayard_routing::blame::{Progress, Run, Status, Table};
use papayayard_routing::quarantine::Fingerprint;

/// A request and what of it may be the cause of a crash.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) body: Fingerprint,
    /// Parts of the prompt but the last.
    pub(crate) parts: Vec<u64>,
}

/// Report of a host on a crash and its requests that were open there.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    run: Run,
    open: Vec<(Request, Progress)>,
}

/// A host's view of all crashes.
#[derive(Default)]
pub(crate) struct Host {
    table: Table,
}

impl Host {
    pub(crate) fn refuses(&self, request: &Request, now: Duration) -> bool {
        matches!(
            self.table.status(request.body, now),
            Status::Quarantined { .. }
        )
    }

    /// Records a crash at which requests of this host were open; returns the report on it.
    pub(crate) fn observe(
        &mut self,
        run: &Run,
        open: Vec<(Request, Progress)>,
        now: Duration,
    ) -> Report {
        let report = Report {
            run: run.clone(),
            open,
        };
        self.receive(&report, now);
        report
    }

    /// Applies a report of this or another host.
    pub(crate) fn receive(&mut self, report: &Report, now: Duration) {
        for (request, progress) in &report.open {
            self.table
                .record_crash(request.body, &report.run, *progress, now);
        }
    }

    pub(crate) fn finish(&mut self, request: &Request, now: Duration) {
        self.table.record_success(request.body, now);
    }
}
