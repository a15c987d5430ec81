//! Talks to the other hosts: configuration, departures, quarantine, shares.
//!
//! One task owns the node's state and decides; calls run in tasks of their
//! own and report back. Peers prove that they know the deployment's secret;
//! any other call is refused and counted.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use papayayard_coordination::exchange;
use papayayard_wire::{configuration as wire, directory, id, peer, proof};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::controllers::{admission, configuration, fleet};
use crate::metrics::Metrics;

mod client;
mod demand_meter;
mod local;
mod server;
mod task;

/// Messages that wait for the task.
const BACKLOG: usize = 1_024;

/// What the task is told once.
pub(crate) struct Options {
    /// Who this host is.
    pub(crate) identity: exchange::Identity,
    /// Secret that all hosts of a deployment share.
    pub(crate) secret: String,
    /// Addresses of peers to start from.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Mean time between two calls.
    pub(crate) period: Duration,
    /// Clock.
    pub(crate) clock: Clock,
    /// Counters.
    pub(crate) metrics: Metrics,
}

/// What the task follows and tells.
pub(crate) struct Links {
    /// Configuration in force.
    pub(crate) active: watch::Receiver<configuration::Current>,
    /// The accepted proposal.
    pub(crate) accepted: watch::Receiver<Option<wire::Entry>>,
    /// Gets proposals that peers have accepted.
    pub(crate) adopt: mpsc::Sender<wire::Entry>,
    /// The platform's list; a peer's is set while there is none.
    pub(crate) list: watch::Sender<Option<directory::List>>,
    /// Whether this host is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
    /// The farewell at the end of a planned stop.
    pub(crate) farewell: Farewell,
    /// Model endpoints.
    pub(crate) fleet: fleet::Handle,
    /// Admission of completions and of calls.
    pub(crate) admission: admission::Handle,
    /// Gets this host's shares.
    pub(crate) shares: watch::Sender<admission::Shares>,
}

/// The end of a planned stop, as the task sees it.
pub(crate) struct Farewell {
    leaving: watch::Receiver<bool>,
    told: watch::Sender<bool>,
}

/// A farewell, with the order to say it and the sign that it was said.
pub(crate) fn farewell() -> (Farewell, watch::Sender<bool>, watch::Receiver<bool>) {
    let (order, leaving) = watch::channel(false);
    let (told, sign) = watch::channel(false);
    (Farewell { leaving, told }, order, sign)
}

/// A message to the task.
enum Message {
    /// A peer calls.
    Called(proof::Envelope, oneshot::Sender<Answer>),
    /// A call to a peer has ended.
    Returned(Box<Sent>, Result<Box<client::Reply>, String>),
}

/// Answer to a peer's call.
type Answer = Result<proof::Envelope, proof::Error>;

/// A call that was sent.
struct Sent {
    /// Peer; none where only its address is known.
    host: Option<id::Host>,
    /// Address.
    address: SocketAddr,
    /// What was said.
    message: peer::Message,
    /// Time of the sending.
    time: Duration,
    /// Whether it says that this host leaves.
    is_farewell: bool,
}

/// Starts the task and its listener.
pub(crate) fn start(
    listener: TcpListener,
    options: Options,
    links: Links,
) -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    let server = server::start(listener, sender.clone(), options.metrics.clone())?;
    let task = task::Task::new(options, links, sender);
    Ok(task.run(receiver, server))
}
