//! Puts a host together and takes it apart again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::exchange;
use papayayard_platform::http::Client as Platform;
use papayayard_routing::choice;
use papayayard_wire::{block, directory, id, peer};
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::callers;
use crate::clock::Clock;
use crate::controllers::{admission, configuration, directory as listing, fleet, observer, peers};
use crate::filters::chain;
use crate::metrics::Metrics;
use crate::operators;
use crate::relay::client::Client;
use crate::relay::{call, completion};
use crate::settings::{self, Settings};

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
    _controllers: JoinSet<()>,
}

impl Running {
    /// Addresses that the host listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops as planned: readiness turns false at once, requests are taken
    /// for the grace period, and the host ends when the last one has ended.
    pub async fn stop(self) {
        log::info!(open = self.open.len(); "planned stop");
        self.stopping.send_replace(true);
        time::sleep(self.settings.stop_grace).await;
        self.callers.stop_graceful(None);
        self.open.close();
        self.open.wait().await;
        if self.callers_task.await.is_err() {
            log::warn!("the callers' listener ended early");
        }
        log::info!("stopped");
    }
}

/// A truth that sees nothing, for every policy but the oracle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Blind;

impl choice::Truth for Blind {
    fn look(&self, _: &id::Endpoint, _: &[block::Key], _: Duration) -> Option<choice::Sight> {
        None
    }
}

/// Starts a host; only a bench has a `truth` other than [`Blind`].
pub async fn start<View>(settings: Settings, truth: View) -> Result<Running, Error>
where
    View: choice::Truth + Clone + Send + 'static,
{
    let sockets = Sockets::listen(&settings.listen).await?;
    let addresses = sockets.addresses;

    let clock = Clock::start();
    let metrics = Metrics::new(clock);
    let client = Client::new(&settings.host);
    let open = TaskTracker::new();
    let (stopping, stopping_seen) = watch::channel(false);
    let (active_sender, active) = watch::channel(None);
    let (capacity_sender, capacity) = watch::channel(0);
    let options = fleet::Options {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        policy: settings.policy,
        truth,
        capacity: capacity_sender,
        clock,
    };
    let fleet = fleet::start(options, active.clone());
    let (list_sender, list) = watch::channel(directory::List::default());

    let timeout = settings.periods.platform_timeout;
    let log = Platform::new(settings.platform.log, timeout).with_host(&settings.host);
    let hosts = Platform::new(settings.platform.directory, timeout).with_host(&settings.host);
    let mut controllers = JoinSet::new();
    let (link, accepted, adopt) = configuration::link();
    controllers.spawn(configuration::follow(log, active_sender, link));
    controllers.spawn(listing::follow(
        hosts,
        settings.periods.directory,
        list_sender.clone(),
    ));
    let observer = observer(&settings, &client, &fleet);
    controllers.spawn(observer::supervise(observer, list.clone(), active.clone()));
    let view = operators::View {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        active: active.clone(),
        stopping: stopping_seen.clone(),
        open: open.clone(),
        fleet: fleet.clone(),
    };
    controllers.spawn(operators::serve(sockets.operators, view));

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
    let links = peers::Links {
        active: active.clone(),
        accepted,
        adopt,
        list: list_sender,
        stopping: stopping_seen.clone(),
        fleet: fleet.clone(),
        admission: admission.clone(),
        shares: shares_sender,
    };
    let peers = peers::start(sockets.peers, options, links);
    controllers.spawn(peers.context(ListenSnafu {
        address: addresses.peers,
    })?);

    let shared = Arc::new(callers::Shared {
        host: settings.host.clone(),
        clock,
        metrics: metrics.clone(),
        active: active.clone(),
        stopping: stopping_seen,
        open: open.clone(),
        completions: chain::completions(active.clone(), &settings.limits, admission.clone()),
        calls: chain::calls(active, &settings.limits, admission),
        completion_relay: completion::Relay {
            client: client.clone(),
            fleet,
            metrics: metrics.clone(),
        },
        call_relay: call::Relay {
            client,
            list,
            metrics,
        },
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
        _controllers: controllers,
    })
}

/// Sockets that a host listens on.
struct Sockets {
    addresses: Addresses,
    callers: TcpAcceptor,
    peers: std::net::TcpListener,
    operators: TcpAcceptor,
}

impl Sockets {
    async fn listen(wanted: &settings::Listen) -> Result<Self, Error> {
        let callers = listen(wanted.callers).await?;
        let peers = listen_plain(wanted.peers)?;
        let operators = listen(wanted.operators).await?;
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

async fn listen(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let bound = listener.local_addr().context(ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    Ok((acceptor, bound))
}

fn observer(settings: &Settings, client: &Client, fleet: &fleet::Handle) -> observer::Observer {
    observer::Observer {
        client: client.clone(),
        fleet: fleet.clone(),
        periods: settings.periods.clone(),
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
    let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    let bound = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, bound))
}
