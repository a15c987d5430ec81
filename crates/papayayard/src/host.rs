//! Puts a host together and takes it apart again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::exchange;
use papayayard_gateway::listen;
use papayayard_platform::http::Client as Platform;
use papayayard_routing::choice;
use papayayard_wire::{block, directory, id, peer};
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::task::TaskTracker;

use crate::callers;
use crate::clock::Clock;
use crate::controllers::{
    admission, claims, configuration, directory as listing, fleet, observer, orders, peers,
};
use crate::filters::authenticate::Authenticate;
use crate::filters::chain;
use crate::metrics::Metrics;
use crate::operators;
use crate::readiness::Readiness;
use crate::relay::client::Client;
use crate::relay::{call, completion};
use crate::settings::{self, Settings};

mod stopping;

pub use papayayard_gateway::listen::Error;

/// Addresses that a host listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running host; dropping it ends its controllers.
pub struct Running {
    addresses: Addresses,
    settings: Settings,
    stopping: watch::Sender<bool>,
    open: TaskTracker,
    callers: ServerHandle,
    callers_task: JoinHandle<()>,
    claims: claims::Handle,
    released: watch::Receiver<bool>,
    leaving: watch::Sender<bool>,
    told: watch::Receiver<bool>,
    clock: Clock,
    _controllers: JoinSet<()>,
}

impl Running {
    /// Addresses that the host listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }
}

/// A truth that sees nothing, for every policy but the oracle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Blind;

impl choice::GroundTruth for Blind {
    fn observe(
        &self,
        _: &id::Endpoint,
        _: &[block::Key],
        _: Duration,
    ) -> Option<choice::Observation> {
        None
    }
}

/// Starts a host on the runtime that it is called on; only a bench has a
/// `truth` other than [`Blind`].
pub fn start<View>(settings: Settings, truth: View) -> Result<Running, Error>
where
    View: choice::GroundTruth + Clone + Send + 'static,
{
    let sockets = Sockets::listen(&settings.listen)?;
    let addresses = sockets.addresses;

    let clock = Clock::start();
    let metrics = Metrics::new(clock);
    let client = Client::new(&settings.host);
    let open = TaskTracker::new();
    let (stopping, stopping_seen) = watch::channel(false);
    let (active_sender, active) = watch::channel(None);
    let (options, capacity) = fleet_options(&settings, truth, clock);
    let fleet = fleet::start(options, active.clone());
    let (list_sender, list) = watch::channel(None);

    let mut controllers = JoinSet::new();
    let (link, accepted, adopt) = configuration::link();
    controllers.spawn(follow_configuration(
        &settings,
        active_sender,
        link,
        &metrics,
    ));
    controllers.spawn(list_hosts(&settings, list_sender.clone()));
    let parts = Parts {
        zone: settings.zone.clone(),
        client: client.clone(),
        clock,
        fleet: fleet.clone(),
        active: active.clone(),
        list: list.clone(),
        stopping: stopping_seen.clone(),
    };
    let claims = parts.claims(&settings, &metrics);
    let observer = parts.observer(&settings);
    controllers.spawn(observer::supervise(observer, list.clone(), active.clone()));
    let (links, released) = parts.order_links(&settings.host);
    controllers.spawn(orders::follow(platform_log(&settings), links));
    controllers.spawn(operators::serve(
        sockets.operators,
        parts.view(&settings, &open),
    ));

    let (shares_sender, agreed) = watch::channel(admission::Shares::new());
    let sources = admission::Sources {
        active: active.clone(),
        list: list.clone(),
        capacity,
        shares: agreed,
        known_hosts: settings.peers.len() + 1,
    };
    let admission = admission::start(sources, clock);

    let options = peer_options(&settings, addresses.peers, clock, metrics.clone());
    let (farewell, leaving, told) = peers::farewell();
    let links = peers::Links {
        active: active.clone(),
        accepted,
        adopt,
        list: list_sender,
        stopping: stopping_seen,
        farewell,
        fleet: fleet.clone(),
        admission: admission.clone(),
        shares: shares_sender,
    };
    let peers = peers::start(sockets.peers, options, links);
    let address = addresses.peers;
    controllers.spawn(peers.context(listen::ListenSnafu { address })?);

    let shared = Arc::new(callers::Shared {
        host: settings.host.clone(),
        clock,
        metrics: metrics.clone(),
        readiness: parts.readiness(),
        open: open.clone(),
        authenticate: Authenticate::new(active.clone()),
        completions: chain::completions(active.clone(), &settings.limits, admission.clone()),
        calls: chain::calls(active, &settings.limits, admission),
        completion_relay: parts.completion_relay(&metrics),
        call_relay: parts.call_relay(&metrics, &claims),
    });
    let (server, callers) = callers::server(sockets.callers, &settings.limits);
    let callers_task = tokio::spawn(server.serve(callers::router(&shared)));
    log::info!(host:% = settings.host, callers:% = addresses.callers; "started");
    Ok(Running {
        addresses,
        settings,
        stopping,
        open,
        callers,
        callers_task,
        released,
        leaving,
        told,
        clock,
        claims,
        _controllers: controllers,
    })
}

fn follow_configuration(
    settings: &Settings,
    active: watch::Sender<configuration::Current>,
    link: configuration::Link,
    metrics: &Metrics,
) -> impl Future<Output = ()> + use<> {
    configuration::follow(platform_log(settings), active, link, metrics.clone())
}

fn list_hosts(
    settings: &Settings,
    list: watch::Sender<Option<directory::List>>,
) -> impl Future<Output = ()> + use<> {
    let period = settings.periods.directory;
    listing::follow(platform_directory(settings), period, list)
}

/// Sockets that a host listens on.
struct Sockets {
    addresses: Addresses,
    callers: TcpAcceptor,
    peers: std::net::TcpListener,
    operators: TcpAcceptor,
}

impl Sockets {
    fn listen(wanted: &settings::Listen) -> Result<Self, Error> {
        let callers = listen(wanted.callers)?;
        let peers = listen_plain(wanted.peers)?;
        let operators = listen(wanted.operators)?;
        Ok(Self {
            addresses: Addresses {
                callers: callers.1,
                peers: peers.1,
                operators: operators.1,
            },
            callers: callers.0,
            peers: peers.0,
            operators: operators.0,
        })
    }
}

fn listen(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), Error> {
    let listener = listen::bind(address).context(listen::ListenSnafu { address })?;
    let bound = listener
        .local_addr()
        .context(listen::ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(listen::ListenSnafu { address })?;
    Ok((acceptor, bound))
}

fn fleet_options<View>(
    settings: &Settings,
    truth: View,
    clock: Clock,
) -> (fleet::Options<View>, watch::Receiver<u32>) {
    let (capacity, capacity_seen) = watch::channel(0);
    let options = fleet::Options {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        policy: settings.policy,
        truth,
        capacity,
        clock,
    };
    (options, capacity_seen)
}

fn platform_log(settings: &Settings) -> Platform {
    let timeout = settings.periods.platform_timeout;
    Platform::new(settings.platform.log, timeout).with_host(&settings.host)
}

fn platform_directory(settings: &Settings) -> Platform {
    let timeout = settings.periods.platform_timeout;
    Platform::new(settings.platform.directory, timeout).with_host(&settings.host)
}

/// Handles that several controllers share.
struct Parts {
    zone: id::Zone,
    client: Client,
    clock: Clock,
    fleet: fleet::Handle,
    active: watch::Receiver<configuration::Current>,
    list: watch::Receiver<Option<directory::List>>,
    stopping: watch::Receiver<bool>,
}

impl Parts {
    fn completion_relay(&self, metrics: &Metrics) -> completion::Relay {
        completion::Relay {
            client: self.client.clone(),
            fleet: self.fleet.clone(),
            metrics: metrics.clone(),
        }
    }

    fn call_relay(&self, metrics: &Metrics, claims: &claims::Handle) -> call::Relay {
        call::Relay {
            client: self.client.clone(),
            list: self.list.clone(),
            zone: self.zone.clone(),
            metrics: metrics.clone(),
            claims: claims.clone(),
            clock: self.clock,
        }
    }

    fn claims(&self, settings: &Settings, metrics: &Metrics) -> claims::Handle {
        claims::start(&claims::Sources {
            log: platform_log(settings),
            host: settings.host.clone(),
            list: self.list.clone(),
            known_hosts: settings.peers.len() + 1,
            clock: self.clock,
            metrics: metrics.clone(),
        })
    }

    fn observer(&self, settings: &Settings) -> observer::Observer {
        observer::Observer {
            client: Client::new(&settings.host),
            fleet: self.fleet.clone(),
            periods: settings.periods.clone(),
        }
    }

    fn readiness(&self) -> Readiness {
        Readiness {
            active: self.active.clone(),
            list: self.list.clone(),
            stopping: self.stopping.clone(),
        }
    }

    fn view(&self, settings: &Settings, open: &TaskTracker) -> operators::View {
        operators::View {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            readiness: self.readiness(),
            open: open.clone(),
            fleet: self.fleet.clone(),
        }
    }

    fn order_links(&self, host: &id::Host) -> (orders::Links, watch::Receiver<bool>) {
        let (released, released_seen) = watch::channel(false);
        let links = orders::Links {
            host: host.clone(),
            active: self.active.clone(),
            list: self.list.clone(),
            stopping: self.stopping.clone(),
            fleet: self.fleet.clone(),
            client: self.client.clone(),
            clock: self.clock,
            released,
        };
        (links, released_seen)
    }
}

fn peer_options(
    settings: &Settings,
    address: SocketAddr,
    clock: Clock,
    metrics: Metrics,
) -> peers::Options {
    let identity = exchange::Identity {
        host: settings.host.clone(),
        member: peer::Member {
            zone: settings.zone.clone(),
            peer: address,
        },
        speaks: peer::VERSION,
    };
    peers::Options {
        identity,
        secret: settings.peer_secret.0.clone(),
        seeds: settings.peers.clone(),
        period: settings.periods.peers,
        clock,
        metrics,
    }
}

fn listen_plain(address: SocketAddr) -> Result<(std::net::TcpListener, SocketAddr), Error> {
    let listener = std::net::TcpListener::bind(address).context(listen::ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(listen::ListenSnafu { address })?;
    let bound = listener
        .local_addr()
        .context(listen::ListenSnafu { address })?;
    Ok((listener, bound))
}
