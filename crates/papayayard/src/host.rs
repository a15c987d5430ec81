//! Puts a host together and takes it apart again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayayard_platform::http::Client as Platform;
use papayayard_routing::choice;
use papayayard_wire::{block, directory, id};
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
use crate::controllers::{admission, configuration, directory as listing, fleet, observer};
use crate::filters::chain;
use crate::metrics::Metrics;
use crate::operators;
use crate::relay::client::Client;
use crate::relay::{call, completion};
use crate::settings::Settings;

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
    let callers_socket = listen(settings.listen.callers).await?;
    let peers_socket = listen(settings.listen.peers).await?;
    let operators_socket = listen(settings.listen.operators).await?;
    let addresses = Addresses {
        callers: callers_socket.1,
        peers: peers_socket.1,
        operators: operators_socket.1,
    };

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
    let link = configuration::Link::alone();
    controllers.spawn(configuration::follow(log, active_sender, link));
    controllers.spawn(listing::follow(
        hosts,
        settings.periods.directory,
        list_sender,
    ));
    let observer = observer::Observer {
        client: client.clone(),
        fleet: fleet.clone(),
        periods: settings.periods.clone(),
    };
    controllers.spawn(observer::supervise(observer, list.clone(), active.clone()));
    let view = operators::View {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        active: active.clone(),
        stopping: stopping_seen.clone(),
        open: open.clone(),
        fleet: fleet.clone(),
    };
    controllers.spawn(operators::serve(operators_socket.0, view));

    let agreed = watch::channel(admission::Shares::new()).1;
    let sources = admission::Sources {
        active: active.clone(),
        list: list.clone(),
        capacity,
        shares: agreed,
        known_hosts: settings.peers.len() + 1,
    };
    let uncapped = admission::Sources {
        capacity: watch::channel(0).1,
        ..sources.clone()
    };
    let completions = admission::start(sources, clock);
    let calls = admission::start(uncapped, clock);

    let shared = Arc::new(callers::Shared {
        host: settings.host.clone(),
        clock,
        metrics: metrics.clone(),
        active: active.clone(),
        stopping: stopping_seen,
        open: open.clone(),
        completions: chain::completions(active.clone(), &settings.limits, completions),
        calls: chain::calls(active, &settings.limits, calls),
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
    let (server, callers) = callers::server(callers_socket.0, &settings.limits);
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

async fn listen(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let bound = listener.local_addr().context(ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    Ok((acceptor, bound))
}
