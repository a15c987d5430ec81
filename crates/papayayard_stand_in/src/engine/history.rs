//! Load reports as they are published: with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use papayayard_wire::endpoint::Report;

/// Least time between two reports that are kept.
const INTERVAL: Duration = Duration::from_millis(10);

/// Recent reports of one incarnation.
#[derive(Debug, Default)]
pub struct History {
    reports: VecDeque<(Duration, Report)>,
}

impl History {
    /// Whether the last report is old enough for a new one.
    pub fn is_due(&self, now: Duration) -> bool {
        self.reports
            .back()
            .is_none_or(|(at, _)| now.saturating_sub(*at) >= INTERVAL)
    }

    /// Keeps a report.
    pub fn push(&mut self, report: Report, now: Duration) {
        self.reports.push_back((now, report));
    }

    /// The newest report that is at least `lag` old, or the oldest one.
    pub fn lagging(&mut self, now: Duration, lag: Duration) -> Option<Report> {
        let shown = now.saturating_sub(lag);
        while self.reports.get(1).is_some_and(|(at, _)| *at <= shown) {
            self.reports.pop_front();
        }
        let (at, report) = self.reports.front()?;
        let age = now.saturating_sub(*at);
        let mut report = report.clone();
        report.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(report)
    }
}
