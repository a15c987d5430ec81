//! Holds the leases of model services and gives their endpoints orders.
//!
//! One host at a time gives the orders of a service: the one that holds its
//! lease in the log. A few hosts, chosen alike by all, ask for it. Orders are
//! given only while the lease holds by this host's own clock, which is looked
//! at again right before each order is sent.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{HeaderMap, Method};
use papayayard_coordination::holder::{Holder, Step, Times};
use papayayard_coordination::{lease, order};
use papayayard_document::document;
use papayayard_platform::service;
use papayayard_wire::{directory, id, log as stream};
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::active::Active;
use crate::clock::Clock;
use crate::controllers::{configuration, fleet};
use crate::relay::client::{Client, Outgoing};

mod candidate;
mod reader;
#[cfg(test)]
mod reader_test;

/// Between looks at leases and endpoints.
const PERIOD: Duration = Duration::from_millis(250);
/// Bound on one order; shorter than the lease's margin.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pages of the stream that wait for the task.
const BACKLOG: usize = 16;

/// What the task follows and uses.
pub(crate) struct Links {
    /// This host.
    pub(crate) host: id::Host,
    /// Configuration in force.
    pub(crate) active: watch::Receiver<configuration::Current>,
    /// The platform's list.
    pub(crate) list: watch::Receiver<Option<directory::List>>,
    /// Whether this host is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
    /// Model endpoints.
    pub(crate) fleet: fleet::Handle,
    /// HTTP client.
    pub(crate) client: Client,
    /// Clock.
    pub(crate) clock: Clock,
    /// Set when no lease is held any more at a planned stop.
    pub(crate) released: watch::Sender<bool>,
}

/// One service's lease and orders.
struct Service {
    holder: Holder,
    reconciler: order::Reconciler,
}

/// A record of a service's lease whose append failed.
struct Failed {
    service: id::Service,
    record: id::Record,
}

struct Task<Log> {
    log: Arc<Log>,
    failures: mpsc::UnboundedSender<Failed>,
    links: Links,
    table: lease::Table,
    services: HashMap<id::Service, Service>,
    run: u64,
    appended: u64,
}

/// Holds leases and gives orders until the host is taken apart.
pub(crate) async fn follow<Log>(log: Log, links: Links)
where
    Log: service::Log,
{
    let log = Arc::new(log);
    let (sender, mut pages) = mpsc::channel(BACKLOG);
    let reader = reader::follow(Arc::clone(&log), sender);
    let (failures, mut failed) = mpsc::unbounded_channel();
    let mut task = Task::new(log, failures, links);
    let work = async {
        let mut ticks = time::interval(PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(page) = pages.recv() => task.read(&page),
                Some(failed) = failed.recv() => task.failed(&failed),
                _ = ticks.tick() => task.look().await,
            }
        }
    };
    tokio::join!(reader, work);
}

impl<Log> Task<Log>
where
    Log: service::Log,
{
    fn new(log: Arc<Log>, failures: mpsc::UnboundedSender<Failed>, links: Links) -> Self {
        let run = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let run = run.unwrap_or_default().as_micros();
        Self {
            log,
            failures,
            links,
            table: lease::Table::default(),
            services: HashMap::new(),
            run: u64::try_from(run).unwrap_or(u64::MAX),
            appended: 0,
        }
    }

    fn read(&mut self, page: &stream::Page) {
        let now = self.links.clock.now();
        self.table.skip_to(page.first);
        for record in &page.records {
            let verdict = self.table.apply(record);
            for (name, service) in &mut self.services {
                let lease = self.table.get(&lease_name(name));
                service.holder.observe(&record.id, verdict, lease, now);
            }
        }
    }

    fn failed(&mut self, failed: &Failed) {
        if let Some(service) = self.services.get_mut(&failed.service) {
            service.holder.append_failed(&failed.record);
        }
    }

    async fn look(&mut self) {
        let Some(active) = self.links.active.borrow().clone() else {
            return;
        };
        self.choose_services(&active);
        let is_stopping = *self.links.stopping.borrow();
        let names: Vec<id::Service> = self.services.keys().cloned().collect();
        for name in &names {
            self.ask(name, is_stopping);
        }
        if !is_stopping {
            self.give_orders(&active).await;
            return;
        }
        let now = self.links.clock.now();
        let mut services = self.services.values();
        let is_released = services.all(|service| service.holder.is_released(now));
        self.links.released.send_if_modified(|known| {
            let is_changed = *known != is_released;
            *known = is_released;
            is_changed
        });
    }

    /// Asks for the leases of the services that this host is a candidate for.
    fn choose_services(&mut self, active: &Active) {
        let now = self.links.clock.now();
        let list = self.links.list.borrow().clone().unwrap_or_default();
        let models: HashSet<&id::Service> = active
            .document
            .services
            .iter()
            .filter(|service| matches!(service.kind, document::Kind::Model(_)))
            .map(|service| &service.name)
            .collect();
        self.services
            .retain(|name, service| models.contains(name) || service.holder.fence(now).is_some());
        for name in models {
            let Some(delay) = candidate::delay(&self.links.host, name, &list) else {
                continue;
            };
            let me = &self.links.host;
            self.services
                .entry(name.clone())
                .or_insert_with(|| Service {
                    holder: Holder::new(me.clone(), self.run, Times::default(), delay, now),
                    reconciler: order::Reconciler::default(),
                });
        }
    }

    fn ask(&mut self, name: &id::Service, is_stopping: bool) {
        let now = self.links.clock.now();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if is_stopping {
            service.holder.stop();
        }
        let Step::Append(action) = service.holder.step(now) else {
            return;
        };
        self.appended += 1;
        let record = format!("{}-{}-{}", self.links.host, self.run, self.appended);
        let record = id::Record::from(record);
        service.holder.sent(record.clone(), now);
        let content = lease::Record {
            format: lease::FORMAT,
            lease: lease_name(name),
            holder: self.links.host.clone(),
            run: self.run,
            action,
        };
        let Ok(payload) = serde_json::value::to_raw_value(&content) else {
            return;
        };
        let batch = stream::Batch {
            records: vec![stream::Draft {
                id: record.clone(),
                payload,
            }],
        };
        let failed = Failed {
            service: name.clone(),
            record,
        };
        let (log, failures) = (Arc::clone(&self.log), self.failures.clone());
        tokio::spawn(async move {
            // What became of a stored record shows in the stream.
            if let Err(error) = log.append(&id::Stream::from(lease::STREAM), &batch).await {
                log::debug!("a lease record may be lost: {error}");
                // A task that has ended asks for nothing.
                let _ = failures.send(failed);
            }
        });
    }

    async fn give_orders(&mut self, active: &Active) {
        let statuses = self.links.fleet.status().await;
        let list = self.links.list.borrow().clone().unwrap_or_default();
        for (name, service) in &mut self.services {
            // The clock is read anew: this task may have been paused above.
            let now = self.links.clock.now();
            let (Some(model), Some(fence)) = (active.model_of(name), service.holder.fence(now))
            else {
                continue;
            };
            let wanted = order::Target {
                model: model.name.clone(),
                version: model.version.clone(),
                loads_at_once: model.loads_at_once,
            };
            let own = statuses.iter().filter(|status| status.service == *name);
            let seen: Vec<order::Observation<'_>> = own
                .map(|status| order::Observation {
                    endpoint: &status.endpoint,
                    plan: status.plan,
                    report: status.report.as_ref(),
                })
                .collect();
            let given = service.reconciler.reconcile(&wanted, &seen, fence, now);
            for order in given {
                send(&self.links, service.holder.clone(), &list, order);
            }
        }
    }
}

/// Sends an order in a task of its own, if the lease still holds by then.
fn send(links: &Links, holder: Holder, list: &directory::List, given: order::Dispatch) {
    let mut endpoints = list.endpoints.iter();
    let Some(entry) = endpoints.find(|entry| entry.id == given.endpoint) else {
        return;
    };
    let address = entry.address;
    let (client, clock) = (links.client.clone(), links.clock);
    tokio::spawn(async move {
        if holder.fence(clock.now()) != Some(given.order.fence) {
            return;
        }
        log::info!(endpoint:% = given.endpoint, fence = given.order.fence.0; "order given");
        let body = serde_json::to_vec(&given.order).unwrap_or_default();
        let outgoing = Outgoing {
            address,
            method: Method::POST,
            path: "/orders",
            headers: HeaderMap::new(),
            body: Bytes::from(body),
        };
        // What became of it shows in the reports.
        match client.send(outgoing, ORDER_TIMEOUT).await {
            Ok(answer) if answer.status().is_success() => {}
            Ok(answer) => log::warn!(
                endpoint:% = given.endpoint, status = answer.status().as_u16(); "order refused"
            ),
            Err(failure) => log::warn!(
                endpoint:% = given.endpoint; "order not answered: {failure:?}"
            ),
        }
    });
}

fn lease_name(service: &id::Service) -> lease::Name {
    format!("orders/{service}")
}
