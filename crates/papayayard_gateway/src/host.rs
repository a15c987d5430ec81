//! Starts and stops a host: creates its sockets, state and tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_coordination::shutdown::{Shutdown, Stage};
use papayayard_routing::placement::{self, Endpoint, Scheduler};
use papayayard_routing::retry_budget;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::announcement::{Announcements, Snapshot};
use crate::attempt::Sender;
use crate::backoff::Backoffs;
use crate::beliefs::{Configuration, Endpoints, LastRead, Operators};
use crate::cache_news::ChangeLog;
use crate::clock::Clock;
use crate::detours::Detours;
use crate::dispatch::Dispatch;
use crate::ends::CrashTracker;
use crate::follow::{self, Polling, Reducer, Store};
use crate::front::{self, StopState};
use crate::hosts::Neighbours;
pub use crate::listen::Error;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::recovery::Notifier;
use crate::relay::{Relay, Source};
use crate::settings::Settings;
use crate::store::Topic;
use crate::{
    dispatch, ends, era, exchange, feeds, hosts, listen, operators, orders, origins, peers, quota,
    runs, schedule, store, uplink,
};

/// Age of a target version up to which older weights do not add to the placement cost.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1200);
/// Polling of the configuration published by operators. It must be in force within two
/// seconds, even if the host that reads for others is partitioned, which the others notice
/// after two readings at most.
pub(crate) const OPERATORS_POLLING: Polling =
    Polling::new(Duration::from_millis(400), Duration::ZERO);
/// Maximum number of calls of a host to a store that is away, within the time in which
/// configuration must be in force: one that is lost leaves time for another.
const OUTAGE_CALLS: u32 = 4;
/// Minimum pause between these calls.
const MIN_OUTAGE_PAUSE: Duration = Duration::from_millis(100);
/// Polling of endpoints' records. They change constantly, so readings are delayed to
/// collect several changes.
pub(crate) const ENDPOINTS_POLLING: Polling =
    Polling::new(Duration::from_millis(50), Duration::from_millis(400));
/// Polling of announcements of the order leader: rarely written, but needed at once.
const ORDERS_POLLING: Polling = Polling::new(Duration::from_secs(2), Duration::ZERO);
/// Polling of hosts' records. They change when hosts start and stop.
const HOSTS_POLLING: Polling = Polling::new(Duration::from_secs(4), Duration::from_millis(1500));
/// Polling of endpoint crashes. They are rare, and a request that causes them must soon be
/// known to all hosts, even if the host that reads for others is partitioned, which the
/// others notice after two readings at most.
pub(crate) const CRASHES_POLLING: Polling = Polling::new(Duration::from_secs(1), Duration::ZERO);
/// Interval between checks of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// A running host; dropping it ends its background tasks.
pub struct Running {
    settings: Settings,
    stop_state: watch::Sender<StopState>,
    clock: Clock,
    open: TaskTracker,
    _controllers: JoinSet<()>,
}

/// Starts a host on the current Tokio runtime.
pub fn start<Platform>(settings: Settings, codec: Platform) -> Result<Running, Error>
where
    Platform: store::Codec + exchange::Codec,
{
    let sockets = Sockets::listen(&settings)?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let (stop_state, stop_receiver) = watch::channel(StopState::SERVING);
    let schedule = scheduler(&settings, metrics.clone(), clock);
    let pool = Pool::new(clock);
    let seeds = Neighbours::from_seeds(&settings.seeds, settings.announced_peers);
    let mut parts = Parts {
        store: Store {
            codec,
            address: settings.store,
            clock,
            recovery: Notifier::default(),
            eras: era::Newest::default(),
        },
        settings,
        schedule,
        metrics,
        backoffs: Backoffs::default(),
        runs: runs::Tracker::new(clock),
        mirrors: peers::Mirrors::new(),
        neighbours: watch::channel(seeds).1,
        stop_state: stop_receiver.clone(),
        controllers: JoinSet::new(),
    };
    let hosts = parts.count_hosts();
    let (configuration, last_read) = parts.follow_operators();
    let (endpoints, endpoints_read) = parts.follow_endpoints();
    let uplink = parts.observe_uplink(&endpoints);
    let dispatch = parts.dispatch(&uplink, &configuration, &hosts);
    let origins = parts.track_origins(&endpoints, endpoints_read);
    parts.order_weights(&configuration, &endpoints, &dispatch, &uplink);
    let changes = parts.follow_caches(&configuration, &endpoints, &hosts, (&dispatch, &uplink));
    let crashes = parts.track_crashes(&endpoints);
    let context = peers::Context {
        mirrors: std::mem::take(&mut parts.mirrors),
        caches: changes,
        desk: dispatch.handler(),
        origins: origins.clone(),
        uplink: uplink.clone(),
        clock,
    };
    parts.serve_peers(sockets.peers, context)?;
    parts.controllers.spawn(sweep(pool.clone()));
    let revocation = parts.settings.bounds.revocation;
    parts.controllers.spawn(operators::serve(
        sockets.operators,
        operators::View {
            host: parts.settings.host.clone(),
            zone: parts.settings.zone.clone(),
            clock,
            metrics: parts.metrics.clone(),
            stop_state: stop_receiver.clone(),
            configuration: configuration.clone(),
            endpoints,
            hosts: hosts.clone(),
            last_read: last_read.clone(),
            revocation,
            uplink: uplink.clone(),
            quota: dispatch.quota().clone(),
        },
    ));
    let retries = parts.settings.bounds.retries;
    let relay = Relay {
        sender: Sender {
            codec: parts.store.codec.clone(),
            pool,
            backoffs: parts.backoffs.clone(),
            clock,
            metrics: parts.metrics.clone(),
            uplink: uplink.clone(),
            runs: parts.runs.clone(),
        },
        clock,
        dispatch,
        zone: parts.settings.zone.clone(),
        configuration,
        last_read,
        revocation,
        stop: stop_receiver.clone(),
        hosts,
        budget: Arc::new(Mutex::new(retry_budget::Budget::new(retries))),
        crashes,
        origins,
        source: Source::Callers,
        detached: uplink.subscribe(),
        detours: parts.detours(),
        memory: Memory::of_host(parts.settings.memory_bytes),
        metrics: parts.metrics.clone(),
    };
    let open = parts.accept(sockets.callers, sockets.forwarded, relay);
    let settings = parts.settings;
    log::info!(host:% = settings.host, zone:% = settings.zone, callers:% = settings.callers; "started");
    Ok(Running {
        settings,
        stop_state,
        clock,
        open,
        _controllers: parts.controllers,
    })
}

/// Listening sockets of a host.
struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: std::net::TcpListener,
    /// For requests that other hosts pass on.
    forwarded: Option<TcpListener>,
}

impl Sockets {
    fn listen(settings: &Settings) -> Result<Self, Error> {
        let address = settings.peers;
        let peers = listen(address)?.into_std();
        Ok(Self {
            callers: listen(settings.callers)?,
            operators: listen(settings.operators)?,
            peers: peers.context(listen::ListenSnafu { address })?,
            forwarded: settings.forwarded.map(listen).transpose()?,
        })
    }
}

fn scheduler(settings: &Settings, metrics: Metrics, clock: Clock) -> schedule::Handle {
    let mut scheduler = Scheduler::new(placement::Settings {
        old_weights: settings.bounds.old_weights,
        old_weights_grace: OLD_WEIGHTS_GRACE,
        limit_phase: rand::random(),
    });
    scheduler.set_hosts(hosts::ASSUMED_COUNT);
    schedule::start(scheduler, settings.zone.clone(), metrics, clock)
}

/// Dependencies of the background tasks.
struct Parts<Platform> {
    store: Store<Platform>,
    settings: Settings,
    schedule: schedule::Handle,
    metrics: Metrics,
    backoffs: Backoffs,
    runs: runs::Tracker,
    mirrors: peers::Mirrors,
    neighbours: watch::Receiver<Neighbours>,
    stop_state: watch::Receiver<StopState>,
    controllers: JoinSet<()>,
}

impl<Platform> Parts<Platform>
where
    Platform: store::Codec + exchange::Codec,
{
    fn follow<Target>(&mut self, topic: Topic, polling: Polling, reducer: Target)
    where
        Target: Reducer + Send + 'static,
    {
        let (mirror, mirror_receiver) = watch::channel(Mirror::default());
        self.mirrors.insert(topic.as_str(), mirror_receiver);
        let links = follow::Links {
            host: self.settings.host.clone(),
            hosts: self.neighbours.clone(),
            mirror,
        };
        let follower = follow::follow(self.store.clone(), topic, polling, links, reducer);
        self.controllers.spawn(follower);
    }

    /// Properties of this host that are published to other hosts.
    fn local_host(&self) -> hosts::LocalHost {
        hosts::LocalHost {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            peers: self.settings.announced_peers,
            capacity: self.settings.capacity,
            forwarded: self.settings.forwarded,
        }
    }

    /// Other hosts that take requests, if this host takes theirs.
    fn detours(&self) -> Option<Detours> {
        self.settings.forwarded?;
        let (host, clock) = (self.settings.host.clone(), self.store.clock);
        Some(Detours::new(host, clock, self.neighbours.clone()))
    }

    fn count_hosts(&mut self) -> watch::Receiver<usize> {
        let (count, count_receiver) = watch::channel(hosts::ASSUMED_COUNT);
        let seeds = self.neighbours.borrow().clone();
        let (neighbours, neighbours_receiver) = watch::channel(seeds);
        self.neighbours = neighbours_receiver;
        let local_host = self.local_host();
        let stop_state = self.stop_state.clone();
        let announcing = hosts::announce(self.store.clone(), local_host.clone(), stop_state);
        self.controllers.spawn(announcing);
        let links = hosts::Links {
            number: count,
            neighbours,
            schedule: self.schedule.clone(),
            metrics: self.metrics.clone(),
        };
        self.follow(
            Topic::Hosts,
            HOSTS_POLLING,
            hosts::Presences::new(local_host, links),
        );
        count_receiver
    }

    fn follow_operators(&mut self) -> (watch::Receiver<Configuration>, watch::Receiver<LastRead>) {
        let (configuration, configuration_receiver) = watch::channel(Configuration::default());
        let (last_read, last_read_receiver) = watch::channel(None);
        let codec = self.store.codec.clone();
        let reducer = Operators::new(codec, configuration, last_read, self.schedule.clone());
        let max_pause = self.settings.bounds.configuration / OUTAGE_CALLS;
        let polling = OPERATORS_POLLING
            .with_max_outage_pause(max_pause.max(MIN_OUTAGE_PAUSE))
            .with_hosts_first();
        self.follow(Topic::Operators, polling, reducer);
        (configuration_receiver, last_read_receiver)
    }

    fn follow_endpoints(&mut self) -> (watch::Receiver<Vec<Endpoint>>, watch::Receiver<LastRead>) {
        let (list, list_receiver) = watch::channel(Vec::new());
        let (last_read, last_read_receiver) = watch::channel(None);
        let codec = self.store.codec.clone();
        let runs = self.runs.clone();
        let reducer = Endpoints::new(codec, list, last_read, runs, self.schedule.clone());
        self.follow(Topic::Endpoints, ENDPOINTS_POLLING, reducer);
        (list_receiver, last_read_receiver)
    }

    fn order_weights(
        &mut self,
        configuration: &watch::Receiver<Configuration>,
        endpoints: &watch::Receiver<Vec<Endpoint>>,
        dispatch: &Dispatch,
        uplink: &uplink::Handle,
    ) {
        let (snapshot, snapshot_receiver) = watch::channel(Snapshot::default());
        let reducer = Announcements::new(snapshot, self.schedule.clone());
        self.follow(Topic::Orders, ORDERS_POLLING, reducer);
        self.controllers.spawn(orders::run(orders::Parts {
            store: self.store.clone(),
            host: self.settings.host.clone(),
            lease: self.settings.bounds.lease,
            configuration: configuration.clone(),
            endpoints: endpoints.clone(),
            snapshot: snapshot_receiver,
            schedule: self.schedule.clone(),
            backoffs: self.backoffs.clone(),
            neighbours: self.neighbours.clone(),
            dispatch: dispatch.clone(),
            uplink: uplink.clone(),
            metrics: self.metrics.clone(),
            clock: self.store.clock,
        }));
    }

    fn track_crashes(&mut self, endpoints: &watch::Receiver<Vec<Endpoint>>) -> CrashTracker {
        let (crashes, tracking, queue) = ends::start(ends::Parts {
            host: self.settings.host.clone(),
            clock: self.store.clock,
            codec: self.store.codec.clone(),
            backoffs: self.backoffs.clone(),
            endpoints: endpoints.clone(),
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(tracking);
        self.controllers
            .spawn(ends::write(self.store.clone(), queue));
        self.follow(Topic::Ends, CRASHES_POLLING, crashes.reducer());
        crashes
    }

    fn track_origins(
        &mut self,
        endpoints: &watch::Receiver<Vec<Endpoint>>,
        last_read: watch::Receiver<LastRead>,
    ) -> origins::Tracker {
        let (tracker, telling) = origins::start(origins::Parts {
            host: self.settings.host.clone(),
            clock: self.store.clock,
            neighbours: self.neighbours.clone(),
            endpoints: endpoints.clone(),
            last_read,
            stop: self.stop_state.clone(),
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(telling);
        tracker
    }

    fn observe_uplink(&mut self, endpoints: &watch::Receiver<Vec<Endpoint>>) -> uplink::Handle {
        let question = self.store.codec.report();
        let (endpoints, neighbours) = (endpoints.clone(), self.neighbours.clone());
        let (uplink, observing) =
            uplink::start(question, endpoints, neighbours, self.metrics.clone());
        self.controllers.spawn(observing);
        uplink
    }

    fn start_quotas(
        &mut self,
        configuration: &watch::Receiver<Configuration>,
        hosts: &watch::Receiver<usize>,
    ) -> quota::Handle {
        let (quota, task) = quota::start(quota::Parts {
            settings: papayayard_coordination::quota::Settings {
                host: self.settings.host.clone(),
                run: rand::random(),
                tolerance: self.settings.bounds.quotas,
                is_first_start: self.settings.first_start,
            },
            clock: self.store.clock,
            tables: quota::Tables {
                configuration: configuration.clone(),
                table: |configuration| configuration.table.clone(),
            },
            hosts: hosts.clone(),
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(task);
        quota
    }

    fn dispatch(
        &mut self,
        uplink: &uplink::Handle,
        configuration: &watch::Receiver<Configuration>,
        hosts: &watch::Receiver<usize>,
    ) -> Dispatch {
        let quota = self.start_quotas(configuration, hosts);
        let dispatch = Dispatch::new(dispatch::Parts {
            local: self.local_host(),
            clock: self.store.clock,
            schedule: self.schedule.clone(),
            neighbours: self.neighbours.clone(),
            uplink: uplink.clone(),
            runs: self.runs.clone(),
            quota,
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(dispatch.clone().report());
        dispatch
    }

    fn follow_caches(
        &mut self,
        configuration: &watch::Receiver<Configuration>,
        endpoints: &watch::Receiver<Vec<Endpoint>>,
        hosts: &watch::Receiver<usize>,
        (dispatch, uplink): (&Dispatch, &uplink::Handle),
    ) -> watch::Receiver<ChangeLog> {
        let (changes, changes_receiver) = watch::channel(ChangeLog::default());
        self.controllers.spawn(feeds::follow(feeds::Parts {
            codec: self.store.codec.clone(),
            host: self.settings.host.clone(),
            clock: self.store.clock,
            endpoints: endpoints.clone(),
            configuration: configuration.clone(),
            hosts: hosts.clone(),
            neighbours: self.neighbours.clone(),
            dispatch: dispatch.clone(),
            changes,
            backoffs: self.backoffs.clone(),
            uplink: uplink.clone(),
            runs: self.runs.clone(),
            schedule: self.schedule.clone(),
        }));
        changes_receiver
    }

    fn serve_peers(
        &mut self,
        listener: std::net::TcpListener,
        context: peers::Context,
    ) -> Result<(), Error> {
        let address = self.settings.peers;
        let served = peers::serve(listener, context);
        self.controllers
            .spawn(served.context(listen::ListenSnafu { address })?);
        Ok(())
    }

    /// Accepts requests of callers, and those that other hosts pass on.
    fn accept(
        &mut self,
        callers: TcpListener,
        forwarded: Option<TcpListener>,
        relay: Relay<Platform>,
    ) -> TaskTracker {
        let open = TaskTracker::new();
        let stop = self.stop_state.clone();
        let bound = self.settings.bounds.configuration;
        if let Some(listener) = forwarded {
            let relay = relay.for_hosts();
            let hosts = front::serve(listener, relay, stop.clone(), open.clone(), bound);
            self.controllers.spawn(hosts);
        }
        let callers = front::serve(callers, relay, stop, open.clone(), bound);
        self.controllers.spawn(callers);
        open
    }
}

impl Running {
    /// Shuts down in stages; see [`Stage`].
    pub async fn stop(self) {
        let shutdown = Shutdown::new(self.clock.now(), self.settings.bounds.stop);
        log::info!(host:% = self.settings.host, open = self.open.len(); "stopping");
        for stage in [Stage::Leaving, Stage::Closing, Stage::Closed] {
            time::sleep(self.time_until(shutdown.stage_start(stage))).await;
            self.stop_state.send_replace(StopState {
                stage,
                shutdown: Some(shutdown),
            });
        }
        self.open.close();
        let left = self.time_until(shutdown.cutoff());
        let is_done = time::timeout(left, self.open.wait()).await.is_ok();
        log::info!(host:% = self.settings.host, whole = is_done, open = self.open.len(); "stopped");
    }

    fn time_until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.clock.now())
    }
}

async fn sweep(pool: Pool) {
    let mut interval = time::interval(SWEEP_PERIOD);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        pool.sweep();
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    listen::bind(address).context(listen::ListenSnafu { address })
}
