//! Faults that a demo brings about in the middle of its run.

use std::str::FromStr;
use std::time::Duration;

use papayayard_stand_in::engine;

use super::Error;
use super::cluster::Cluster;
use crate::workload::Planned;

/// Text that ends engines that run it.
const MARKER: &str = " crash-this-engine";
/// Time that a crashed engine is down, in milliseconds.
const DOWN_MS: u64 = 2_000;
/// Times that the caller of a killing request sends it.
const KILLER_TRIES: u32 = 5;
/// Time between two of them.
const KILLER_PERIOD: Duration = Duration::from_millis(500);
/// Part of cache events that is lost.
const EVENTS_LOST: f64 = 0.5;

/// A fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Name {
    /// None.
    #[default]
    None,
    /// The busiest engine crashes.
    EngineCrash,
    /// All hosts are replaced at once.
    HerdRestart,
    /// Another group of each account becomes the hot one.
    HotShift,
    /// Half of the cache events are lost.
    EventsLost,
    /// The second zone is cut off.
    ZoneCut,
    /// A request crashes each engine that runs it, and is sent again.
    Killer,
}

impl Name {
    const ALL: [Self; 7] = [
        Self::None,
        Self::EngineCrash,
        Self::HerdRestart,
        Self::HotShift,
        Self::EventsLost,
        Self::ZoneCut,
        Self::Killer,
    ];

    /// Name on the command line.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::EngineCrash => "engine-crash",
            Self::HerdRestart => "herd-restart",
            Self::HotShift => "hot-shift",
            Self::EventsLost => "events-lost",
            Self::ZoneCut => "zone-cut",
            Self::Killer => "killer",
        }
    }

    /// Adds the requests that are part of the fault.
    pub(crate) fn change(self, plan: &mut Vec<Planned>, at: Duration) {
        if self != Self::Killer {
            return;
        }
        let Some(killer) = plan.iter().find(|planned| planned.at >= at).cloned() else {
            return;
        };
        for again in 0..KILLER_TRIES {
            let mut killer = killer.clone();
            killer.at += KILLER_PERIOD * again;
            killer.marker = Some(MARKER);
            plan.push(killer);
        }
        plan.sort_by_key(|planned| planned.at);
    }

    /// Brings the fault about.
    pub(crate) async fn begin(self, cluster: &mut Cluster) -> Result<(), Error> {
        match self {
            Self::None | Self::HotShift => {}
            Self::EngineCrash => crash_busiest(cluster),
            Self::HerdRestart => cluster.restart_hosts().await?,
            Self::EventsLost => all(
                cluster,
                &engine::Fault::Events {
                    lost: EVENTS_LOST,
                    delay_ms: 100,
                },
            ),
            Self::ZoneCut => {
                if let Some(zone) = cluster.deployment().zones.get(1).cloned() {
                    cluster.cut_zone(&zone);
                }
            }
            Self::Killer => all(
                cluster,
                &engine::Fault::CrashOn {
                    marker: Some(MARKER.to_owned()),
                    down_ms: DOWN_MS,
                },
            ),
        }
        Ok(())
    }
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|name| name.as_str() == text);
        found.ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(|name| name.as_str()).collect();
            format!("choose one of {} as fault", names.join(", "))
        })
    }
}

fn crash_busiest(cluster: &Cluster) {
    let engines = cluster.engines().iter();
    if let Some(engine) = engines.max_by_key(|engine| engine.truth().report().running) {
        engine.fault(engine::Fault::Crash { down_ms: DOWN_MS });
    }
}

fn all(cluster: &Cluster, fault: &engine::Fault) {
    for engine in cluster.engines() {
        engine.fault(fault.clone());
    }
}
