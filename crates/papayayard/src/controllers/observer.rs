//! Observes model endpoints: load reports and cache events.
//!
//! Each endpoint has a task of its own, which ends when the endpoint leaves
//! the list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Limited};
use papayayard_wire::{directory, endpoint, id};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::controllers::configuration;
use crate::controllers::fleet;
use crate::relay::client::{Client, Outgoing};
use crate::settings;

/// Bound on one call to an endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of one answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// What observers work with.
#[derive(Clone)]
pub(crate) struct Observer {
    /// HTTP client, whose connections bear no requests of callers.
    pub(crate) client: Client,
    /// Gets what is observed.
    pub(crate) fleet: fleet::Handle,
    /// Periods.
    pub(crate) periods: settings::Periods,
}

/// Starts and ends one task for each model endpoint.
pub(crate) async fn supervise(
    observer: Observer,
    mut list: watch::Receiver<Option<directory::List>>,
    mut active: watch::Receiver<configuration::Current>,
) {
    let mut tasks: HashMap<id::Endpoint, Task> = HashMap::new();
    loop {
        let current = active.borrow_and_update().clone();
        let listed = list.borrow_and_update().clone().unwrap_or_default();
        let hosts = live_hosts(&listed);
        let mut endpoints = listed.endpoints;
        endpoints.retain(|endpoint| {
            let plain = current
                .as_ref()
                .and_then(|active| active.plain(endpoint.service.as_str()));
            plain.is_none()
        });
        let wanted: HashMap<_, _> = endpoints.iter().map(|e| (&e.id, e.address)).collect();
        tasks.retain(|id, task| wanted.get(id) == Some(&task.address));
        for endpoint in &endpoints {
            if !tasks.contains_key(&endpoint.id) {
                tasks.insert(endpoint.id.clone(), Task::start(&observer, endpoint));
            }
        }
        observer.fleet.listed(endpoints, hosts).await;
        let changed = tokio::select! {
            changed = list.changed() => changed,
            changed = active.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Zones of the hosts that take requests, one for each host.
fn live_hosts(list: &directory::List) -> Vec<id::Zone> {
    let live = list.hosts.iter();
    let live = live.filter(|host| host.state == directory::State::Live);
    live.map(|host| host.zone.clone()).collect()
}

/// A running task; dropping it ends the task.
struct Task {
    address: SocketAddr,
    _stop: DropGuard,
}

impl Task {
    fn start(observer: &Observer, endpoint: &directory::Endpoint) -> Self {
        let stop = CancellationToken::new();
        tokio::spawn(observer.clone().follow(endpoint.clone(), stop.clone()));
        Self {
            address: endpoint.address,
            _stop: stop.drop_guard(),
        }
    }
}

impl Observer {
    async fn follow(self, endpoint: directory::Endpoint, stop: CancellationToken) {
        let work = async {
            tokio::join!(self.reports(&endpoint), self.events(&endpoint));
        };
        stop.run_until_cancelled(work).await;
    }

    async fn reports(&self, endpoint: &directory::Endpoint) {
        let mut ticks = ticks(self.periods.report);
        loop {
            ticks.tick().await;
            match self.get::<endpoint::Report>(endpoint, "/report").await {
                Some(report) if report.endpoint == endpoint.id => {
                    self.fleet.reported(report).await;
                }
                Some(_) | None => self.fleet.silent(endpoint.id.clone()).await,
            }
        }
    }

    async fn events(&self, endpoint: &directory::Endpoint) {
        let mut ticks = ticks(self.periods.events);
        let mut cursor = Cursor::default();
        loop {
            ticks.tick().await;
            let path = format!("/events?after={}", cursor.after);
            if let Some(page) = self.get::<endpoint::Page>(endpoint, &path).await {
                cursor.advance(&page);
                self.fleet.events(endpoint.id.clone(), page).await;
            }
        }
    }

    async fn get<Answer>(&self, endpoint: &directory::Endpoint, path: &str) -> Option<Answer>
    where
        Answer: DeserializeOwned,
    {
        let outgoing = Outgoing {
            address: endpoint.address,
            method: Method::GET,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let response = self.client.send(outgoing, CALL_TIMEOUT).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = time::timeout(CALL_TIMEOUT, body).await.ok()?.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}

/// Where the reading of events stands.
#[derive(Default)]
struct Cursor {
    incarnation: id::Incarnation,
    after: u64,
}

impl Cursor {
    fn advance(&mut self, page: &endpoint::Page) {
        if page.incarnation != self.incarnation {
            // A new run counts its events from 1 again.
            *self = Self {
                incarnation: page.incarnation,
                after: 0,
            };
        }
        if let Some(last) = page.events.last() {
            self.after = last.sequence;
        }
    }
}

fn ticks(period: Duration) -> time::Interval {
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticks
}
