//! Puts a host together and takes it apart again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_coordination::leadership;
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
use crate::dispatch::{Desk, Dispatch};
use crate::ends::CrashTracker;
use crate::follow::{self, Polling, Reducer, Store};
use crate::front::{self, StopState};
use crate::hosts::Neighbours;
pub use crate::listen::Error;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::relay::Relay;
use crate::settings::Settings;
use crate::store::Topic;
use crate::{
    dispatch, ends, exchange, feeds, hosts, listen, operators, orders, peers, schedule, store,
};

/// Time for which older weights count as no loss.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1200);
/// How what operators publish is read: it must be in force within two seconds
/// also where the host that reads for others is cut off, which they notice after
/// two readings at most.
pub(crate) const OPERATORS: Polling = Polling::new(Duration::from_millis(400), Duration::ZERO);
/// How endpoints' records are read: they change all the time, so that a
/// reading is put off for some to add up.
pub(crate) const ENDPOINTS: Polling =
    Polling::new(Duration::from_millis(50), Duration::from_millis(400));
/// How the turn's topic is read: seldom written, and wanted at once.
const ORDERS: Polling = Polling::new(Duration::from_secs(2), Duration::ZERO);
/// How hosts' records are read: they change when hosts come and go.
const HOSTS: Polling = Polling::new(Duration::from_secs(4), Duration::from_millis(1500));
/// How ends of endpoints are read: they are seldom, and a request that causes them
/// must be known everywhere soon, also where the host that reads for others is cut off,
/// which they notice after two readings at most.
pub(crate) const ENDS: Polling = Polling::new(Duration::from_secs(1), Duration::ZERO);
/// Period in which idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(500);
/// A running host; dropping it ends its controllers.
pub struct Running {
    settings: Settings,
    progress: watch::Sender<StopState>,
    clock: Clock,
    open: TaskTracker,
    _controllers: JoinSet<()>,
}

/// Starts a host on the runtime that it is called on.
pub fn start<Platform>(settings: Settings, codec: Platform) -> Result<Running, Error>
where
    Platform: store::Codec + exchange::Codec,
{
    let sockets = Sockets::listen(&settings)?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let (progress, progress_seen) = watch::channel(StopState::SERVING);
    let schedule = scheduler(&settings, clock);
    let pool = Pool::new(clock);
    let named = Neighbours::from_seeds(&settings.seeds, settings.peers);
    let mut parts = Parts {
        store: Store {
            codec,
            address: settings.store,
            clock,
        },
        settings,
        schedule,
        metrics,
        quiet: Backoffs::default(),
        mirrors: peers::Mirrors::new(),
        neighbours: watch::channel(named).1,
        progress: progress_seen.clone(),
        controllers: JoinSet::new(),
    };
    let hosts = parts.count_hosts();
    let (configuration, word) = parts.follow_operators();
    let endpoints = parts.follow_endpoints();
    let dispatch = parts.dispatch();
    parts.give_orders(&configuration, &endpoints, &dispatch);
    let news = parts.follow_caches(&configuration, &endpoints, &hosts, &dispatch);
    let ends = parts.look_at_ends(&endpoints);
    parts.serve_peers(sockets.peers, news, dispatch.desk())?;
    parts.controllers.spawn(sweep(pool.clone()));
    let revocation = parts.settings.bounds.revocation;
    parts.controllers.spawn(operators::serve(
        sockets.operators,
        operators::View {
            host: parts.settings.host.clone(),
            zone: parts.settings.zone.clone(),
            clock,
            metrics: parts.metrics.clone(),
            progress: progress_seen.clone(),
            configuration: configuration.clone(),
            endpoints,
            hosts: hosts.clone(),
            last_read: word.clone(),
            revocation,
        },
    ));
    let codec = parts.store.codec.clone();
    let repeats = parts.settings.bounds.repeats;
    let relay = Relay {
        sender: Sender {
            codec,
            pool,
            backoffs: parts.quiet.clone(),
            clock,
        },
        clock,
        dispatch,
        zone: parts.settings.zone.clone(),
        configuration,
        last_read: word,
        revocation,
        stop: progress_seen.clone(),
        hosts,
        budget: Arc::new(Mutex::new(retry_budget::Budget::new(repeats))),
        crashes: ends,
        metrics: parts.metrics.clone(),
    };
    let open = TaskTracker::new();
    let callers = front::serve(sockets.callers, relay, progress_seen, open.clone());
    parts.controllers.spawn(callers);
    let settings = parts.settings;
    log::info!(host:% = settings.host, zone:% = settings.zone, callers:% = settings.callers; "started");
    Ok(Running {
        settings,
        progress,
        clock,
        open,
        _controllers: parts.controllers,
    })
}

/// Sockets that a host listens on.
struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: std::net::TcpListener,
}

impl Sockets {
    fn listen(settings: &Settings) -> Result<Self, Error> {
        let address = settings.peers;
        let peers = listen(address)?.into_std();
        Ok(Self {
            callers: listen(settings.callers)?,
            operators: listen(settings.operators)?,
            peers: peers.context(listen::ListenSnafu { address })?,
        })
    }
}

fn scheduler(settings: &Settings, clock: Clock) -> schedule::Handle {
    let mut scheduler = Scheduler::new(placement::Settings {
        old_weights: settings.bounds.old_weights,
        old_weights_grace: OLD_WEIGHTS_GRACE,
    });
    scheduler.set_hosts(hosts::ASSUMED_COUNT);
    schedule::start(scheduler, settings.zone.clone(), clock)
}

/// What the controllers are made of.
struct Parts<Platform> {
    store: Store<Platform>,
    settings: Settings,
    schedule: schedule::Handle,
    metrics: Metrics,
    quiet: Backoffs,
    mirrors: peers::Mirrors,
    neighbours: watch::Receiver<Neighbours>,
    progress: watch::Receiver<StopState>,
    controllers: JoinSet<()>,
}

impl<Platform> Parts<Platform>
where
    Platform: store::Codec + exchange::Codec,
{
    fn follow<Target>(&mut self, topic: Topic, beat: Polling, fold: Target)
    where
        Target: Reducer + Send + 'static,
    {
        let (mirror, mirror_seen) = watch::channel(Mirror::default());
        self.mirrors.insert(topic.as_str(), mirror_seen);
        let links = follow::Links {
            host: self.settings.host.clone(),
            hosts: self.neighbours.clone(),
            mirror,
        };
        let follower = follow::follow(self.store.clone(), topic, beat, links, fold);
        self.controllers.spawn(follower);
    }

    /// This host, as others see it.
    fn own(&self) -> hosts::LocalHost {
        hosts::LocalHost {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            peers: self.settings.peers,
            capacity: self.settings.capacity,
        }
    }

    fn count_hosts(&mut self) -> watch::Receiver<usize> {
        let (number, number_seen) = watch::channel(hosts::ASSUMED_COUNT);
        let named = self.neighbours.borrow().clone();
        let (neighbours, neighbours_seen) = watch::channel(named);
        self.neighbours = neighbours_seen;
        let own = self.own();
        let progress = self.progress.clone();
        let announcing = hosts::announce(self.store.clone(), own.clone(), progress);
        self.controllers.spawn(announcing);
        let links = hosts::Links {
            number,
            neighbours,
            schedule: self.schedule.clone(),
            metrics: self.metrics.clone(),
        };
        self.follow(Topic::Hosts, HOSTS, hosts::Presences::new(own, links));
        number_seen
    }

    fn follow_operators(&mut self) -> (watch::Receiver<Configuration>, watch::Receiver<LastRead>) {
        let (configuration, configuration_seen) = watch::channel(Configuration::default());
        let (word, word_seen) = watch::channel(None);
        let codec = self.store.codec.clone();
        let fold = Operators::new(codec, configuration, word, self.schedule.clone());
        self.follow(Topic::Operators, OPERATORS, fold);
        (configuration_seen, word_seen)
    }

    fn follow_endpoints(&mut self) -> watch::Receiver<Vec<Endpoint>> {
        let (list, list_seen) = watch::channel(Vec::new());
        let codec = self.store.codec.clone();
        let fold = Endpoints::new(codec, list, self.schedule.clone());
        self.follow(Topic::Endpoints, ENDPOINTS, fold);
        list_seen
    }

    fn give_orders(
        &mut self,
        configuration: &watch::Receiver<Configuration>,
        endpoints: &watch::Receiver<Vec<Endpoint>>,
        dispatch: &Dispatch,
    ) {
        let (standing, standing_seen) = watch::channel(Snapshot::default());
        let unrenewed = leadership::takeover_delay(self.settings.bounds.lease);
        let fold = Announcements::new(standing, unrenewed, self.schedule.clone());
        self.follow(Topic::Orders, ORDERS, fold);
        self.controllers.spawn(orders::run(orders::Parts {
            store: self.store.clone(),
            host: self.settings.host.clone(),
            lease: self.settings.bounds.lease,
            configuration: configuration.clone(),
            endpoints: endpoints.clone(),
            snapshot: standing_seen,
            schedule: self.schedule.clone(),
            quiet: self.quiet.clone(),
            neighbours: self.neighbours.clone(),
            dispatch: dispatch.clone(),
            metrics: self.metrics.clone(),
            clock: self.store.clock,
        }));
    }

    fn look_at_ends(&mut self, endpoints: &watch::Receiver<Vec<Endpoint>>) -> CrashTracker {
        let (ends, looking, written) = ends::start(ends::Parts {
            host: self.settings.host.clone(),
            clock: self.store.clock,
            endpoints: endpoints.clone(),
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(looking);
        self.controllers
            .spawn(ends::write(self.store.clone(), written));
        self.follow(Topic::Ends, ENDS, ends.reducer());
        ends
    }

    fn dispatch(&mut self) -> Dispatch {
        let dispatch = Dispatch::new(dispatch::Parts {
            own: self.own(),
            clock: self.store.clock,
            schedule: self.schedule.clone(),
            neighbours: self.neighbours.clone(),
            metrics: self.metrics.clone(),
        });
        self.controllers.spawn(dispatch.clone().tell());
        dispatch
    }

    fn follow_caches(
        &mut self,
        configuration: &watch::Receiver<Configuration>,
        endpoints: &watch::Receiver<Vec<Endpoint>>,
        hosts: &watch::Receiver<usize>,
        dispatch: &Dispatch,
    ) -> watch::Receiver<ChangeLog> {
        let (news, news_seen) = watch::channel(ChangeLog::default());
        self.controllers.spawn(feeds::follow(feeds::Parts {
            codec: self.store.codec.clone(),
            host: self.settings.host.clone(),
            clock: self.store.clock,
            endpoints: endpoints.clone(),
            configuration: configuration.clone(),
            hosts: hosts.clone(),
            neighbours: self.neighbours.clone(),
            dispatch: dispatch.clone(),
            changes: news,
            quiet: self.quiet.clone(),
            schedule: self.schedule.clone(),
        }));
        news_seen
    }

    fn serve_peers(
        &mut self,
        listener: std::net::TcpListener,
        news: watch::Receiver<ChangeLog>,
        desk: Desk,
    ) -> Result<(), Error> {
        let address = self.settings.peers;
        let context = peers::Context {
            mirrors: std::mem::take(&mut self.mirrors),
            caches: news,
            desk,
            clock: self.store.clock,
        };
        let served = peers::serve(listener, context);
        self.controllers
            .spawn(served.context(listen::ListenSnafu { address })?);
        Ok(())
    }
}

impl Running {
    /// Stops step by step; see the module `front`.
    pub async fn stop(self) {
        let shutdown = Shutdown::new(self.clock.now(), self.settings.bounds.stop);
        log::info!(host:% = self.settings.host, open = self.open.len(); "stopping");
        for stage in [Stage::Leaving, Stage::Closing, Stage::Closed] {
            time::sleep(self.until(shutdown.stage_start(stage))).await;
            self.progress.send_replace(StopState {
                stage,
                shutdown: Some(shutdown),
            });
        }
        self.open.close();
        let left = self.until(shutdown.cutoff());
        let is_done = time::timeout(left, self.open.wait()).await.is_ok();
        log::info!(host:% = self.settings.host, whole = is_done, open = self.open.len(); "stopped");
    }

    fn until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.clock.now())
    }
}

async fn sweep(pool: Pool) {
    let mut interval = time::interval(SWEEP);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        pool.sweep();
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    listen::bind(address).context(listen::ListenSnafu { address })
}
