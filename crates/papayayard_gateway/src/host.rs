//! Puts a host together and takes it apart again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_coordination::shutdown::{Shutdown, Stage};
use papayayard_routing::placement::{self, Scheduler};
use papayayard_routing::repeat;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::attempt::Sender;
use crate::beliefs::{Configuration, Endpoints, Operators};
use crate::cache_news::News;
use crate::clock::Clock;
use crate::follow::{self, Beat, Store};
use crate::front::{self, Progress};
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::relay::Relay;
use crate::settings::Settings;
use crate::store::Topic;
use crate::{exchange, feeds, hosts, operators, orders, peers, schedule, store};

/// Time for which older weights count as no loss.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1200);
/// How what operators publish is read: keys that were taken away must be known
/// in time, so that a reading is never old.
const OPERATORS: Beat = Beat {
    wait: Duration::from_millis(1000),
    pause: Duration::ZERO,
    wants_newer: true,
};
/// How endpoints' records are read: they change all the time, so that a
/// reading is put off for some to add up.
const ENDPOINTS: Beat = Beat {
    wait: Duration::from_millis(1000),
    pause: Duration::from_millis(450),
    wants_newer: false,
};
/// How the turn's topic is read: seldom written, and wanted at once.
const ORDERS: Beat = Beat {
    wait: Duration::from_secs(4),
    pause: Duration::ZERO,
    wants_newer: false,
};
/// Period in which idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(500);
/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address of this host"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
}

/// A running host; dropping it ends its controllers.
pub struct Running {
    settings: Settings,
    progress: watch::Sender<Progress>,
    clock: Clock,
    open: TaskTracker,
    _controllers: JoinSet<()>,
}

/// Starts a host on the runtime that it is called on.
pub fn start<Platform>(settings: Settings, codec: Platform) -> Result<Running, Error>
where
    Platform: store::Codec + exchange::Codec,
{
    let callers = listen(settings.callers)?;
    let operators = listen(settings.operators)?;
    let peer_listener = listen_plain(settings.peers)?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let (progress, progress_seen) = watch::channel(Progress::SERVING);
    let (configuration_sender, configuration) = watch::channel(Configuration::default());
    let (word_sender, word) = watch::channel(None);
    let (list_sender, endpoints) = watch::channel(Vec::new());
    let (hosts_sender, hosts) = watch::channel(hosts::ASSUMED);
    let (standing_sender, standing) = watch::channel(orders::Standing::default());
    let mut scheduler = Scheduler::new(placement::Settings {
        zone: settings.zone.clone(),
        old_weights: settings.bounds.old_weights,
        old_weights_grace: OLD_WEIGHTS_GRACE,
    });
    scheduler.set_hosts(hosts::ASSUMED);
    let schedule = schedule::start(scheduler, clock);
    let store = Store {
        codec: codec.clone(),
        address: settings.store,
        clock,
    };

    let mut controllers = JoinSet::new();
    let (zone_sender, zone) = watch::channel(Vec::new());
    let mut mirrors = peers::Mirrors::new();
    let mut links = |topic: Topic| {
        let (mirror, mirror_seen) = watch::channel(Mirror::default());
        mirrors.insert(topic.as_str(), mirror_seen);
        follow::Links {
            host: settings.host.clone(),
            zone: zone.clone(),
            mirror,
        }
    };
    let fold = Operators::new(
        codec.clone(),
        configuration_sender,
        word_sender,
        schedule.clone(),
    );
    let topic = Topic::Operators;
    let follower = follow::follow(store.clone(), topic, OPERATORS, links(topic), fold);
    controllers.spawn(follower);
    let fold = Endpoints::new(codec.clone(), list_sender, schedule.clone());
    let topic = Topic::Endpoints;
    let follower = follow::follow(store.clone(), topic, ENDPOINTS, links(topic), fold);
    controllers.spawn(follower);
    let fold = orders::Announcements::new(standing_sender, schedule.clone());
    let topic = Topic::Orders;
    let follower = follow::follow(store.clone(), topic, ORDERS, links(topic), fold);
    controllers.spawn(follower);
    let address = settings.peers;
    let (news, news_seen) = watch::channel(News::default());
    let served = peers::serve(peer_listener, mirrors, news_seen, clock);
    controllers.spawn(served.context(ListenSnafu { address })?);
    let own = hosts::Own {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peers: settings.peers,
        capacity: settings.capacity,
    };
    let counted = hosts::Links {
        number: hosts_sender,
        zone: zone_sender,
        schedule: schedule.clone(),
    };
    controllers.spawn(hosts::count(store.clone(), own, counted));
    controllers.spawn(feeds::follow(feeds::Parts {
        codec: codec.clone(),
        host: settings.host.clone(),
        clock,
        endpoints: endpoints.clone(),
        configuration: configuration.clone(),
        hosts: hosts.clone(),
        zone,
        news,
        schedule: schedule.clone(),
    }));
    controllers.spawn(orders::run(orders::Parts {
        store,
        host: settings.host.clone(),
        lease: settings.bounds.lease,
        configuration: configuration.clone(),
        endpoints: endpoints.clone(),
        standing,
        schedule: schedule.clone(),
        metrics: metrics.clone(),
        clock,
    }));
    let pool = Pool::new(clock);
    controllers.spawn(sweep(pool.clone()));
    controllers.spawn(operators::serve(
        operators,
        operators::View {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            clock,
            metrics: metrics.clone(),
            progress: progress_seen.clone(),
            configuration: configuration.clone(),
            endpoints,
            hosts: hosts.clone(),
            word: word.clone(),
            revocation: settings.bounds.revocation,
        },
    ));
    let relay = Relay {
        sender: Sender { codec, pool, clock },
        clock,
        schedule,
        configuration,
        word,
        revocation: settings.bounds.revocation,
        progress: progress_seen.clone(),
        hosts,
        budget: Arc::new(Mutex::new(repeat::Budget::new(settings.bounds.repeats))),
        metrics,
    };
    let open = TaskTracker::new();
    controllers.spawn(front::serve(callers, relay, progress_seen, open.clone()));
    log::info!(host:% = settings.host, zone:% = settings.zone, callers:% = settings.callers; "started");
    Ok(Running {
        settings,
        progress,
        clock,
        open,
        _controllers: controllers,
    })
}

impl Running {
    /// Stops step by step; see the module `front`.
    pub async fn stop(self) {
        let shutdown = Shutdown::new(self.clock.now(), self.settings.bounds.stop);
        log::info!(host:% = self.settings.host, open = self.open.len(); "stopping");
        for stage in [Stage::Leaving, Stage::Closing, Stage::Closed] {
            time::sleep(self.until(shutdown.begins(stage))).await;
            self.progress.send_replace(Progress {
                stage,
                shutdown: Some(shutdown),
            });
        }
        self.open.close();
        let left = self.until(shutdown.end());
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
    front::listen(address).context(ListenSnafu { address })
}

fn listen_plain(address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let listener = front::listen(address).and_then(TcpListener::into_std);
    listener.context(ListenSnafu { address })
}
