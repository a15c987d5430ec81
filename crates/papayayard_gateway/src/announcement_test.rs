use std::time::Duration;

use papayayard_routing::placement::{self, Scheduler};
use rstest::rstest;
use tokio::sync::watch;

use super::{Age, Announcement, Announcements, KEY, Snapshot};
use crate::clock::Clock;
use crate::follow::Reducer;
use crate::metrics::Metrics;
use crate::schedule;
use crate::store::Record;

/// Time of day of the writing.
const WRITTEN_MS: u64 = 1_700_000_000_000;
/// Reading of this host's clock.
const NOW: Duration = Duration::from_hours(1);
/// Age of the version at the writing.
const AGE_MS: u64 = 2_000;
/// Maximum difference between the times of day of two hosts.
const CLOCK_DIFFERENCE_MS: i64 = 500;

fn announcement(written_ms: Option<u64>) -> Announcement {
    Announcement {
        named: vec![Age {
            model: "m".to_owned(),
            version: 2,
            lain_ms: AGE_MS,
        }],
        written_ms,
        ..Announcement::default()
    }
}

/// Guards against a version that becomes younger while no host runs.
#[rstest]
fn an_announcement_ages_while_no_host_runs(
    #[values(0, 300, 4_000, 60_000)] away_ms: u64,
    #[values(-CLOCK_DIFFERENCE_MS, 0, CLOCK_DIFFERENCE_MS)] difference_ms: i64,
) {
    let announcement = announcement(Some(WRITTEN_MS));
    let read_ms = (WRITTEN_MS + away_ms).saturating_add_signed(difference_ms);
    let written = announcement.written(Duration::from_millis(read_ms), NOW);
    let targets = announcement.target_versions(written.expect("a time"));
    let (version, named_at) = targets[&"m".into()].newest().expect("a version");
    assert_eq!(version, 2);
    let age = NOW.saturating_sub(named_at.expect("a time"));
    assert!(age >= Duration::from_millis(AGE_MS + away_ms), "{age:?}");
}

#[test]
fn an_announcement_of_an_older_release_tells_no_age() {
    let unix_now = Duration::from_millis(WRITTEN_MS);
    assert_eq!(announcement(None).written(unix_now, NOW), None);
}

/// Guards against versions that become older with each reading of an announcement, as leaders
/// announce the ages that they have read.
#[tokio::test]
async fn only_a_host_that_starts_goes_by_the_time_of_day() {
    let mut announcements = Announcements::new(watch::channel(Snapshot::default()).0, schedule());
    let announcement = announcement(Some(WRITTEN_MS));
    assert!(announcements.written(&announcement, NOW).is_some());
    let record = Record {
        offset: 0,
        key: KEY.to_owned(),
        value: Some(serde_json::to_vec(&announcement).expect("JSON").into()),
    };
    announcements.apply_record(&record, Some(NOW), NOW);
    assert_eq!(announcements.written(&announcement, NOW), None);
}

fn schedule() -> schedule::Handle {
    let scheduler = Scheduler::new(placement::Settings {
        old_weights: NOW,
        old_weights_grace: NOW,
        limit_phase: 0.0,
    });
    schedule::start(scheduler, "a".into(), Metrics::new(), Clock::start())
}
