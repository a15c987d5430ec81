//! An open loop: each request is sent at its time, however the others fare.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayayard_stand_in::client;
use papayayard_stand_in::ledger::{Entry, Ledger};
use tokio::sync::{mpsc, watch};
use tokio::time;

use super::caller::{self, Call, Client, End, Seen};
use super::tally::Tally;
use crate::workload::Planned;

/// Pause after no target could be connected to.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Where and as whom to send.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Hosts or endpoints, taken in turn.
    pub(crate) targets: watch::Receiver<Vec<SocketAddr>>,
    /// Keys of the accounts, taken by the account's index.
    pub(crate) keys: Vec<String>,
    /// Model.
    pub(crate) model: String,
    /// Factor by which the run is faster than its plan.
    pub(crate) time_scale: f64,
    /// Longest time that a caller waits, in real time.
    pub(crate) patience: Duration,
    /// Whether callers name their requests, which endpoints take over.
    pub(crate) names: bool,
}

/// What one caller saw and when its request was due.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    /// Time of the plan.
    pub(crate) at: Duration,
    /// Whether its prompt has a marker.
    pub(crate) marked: bool,
    /// What the caller saw.
    pub(crate) seen: Seen,
}

/// A run's results.
#[derive(Debug)]
pub(crate) struct Results {
    /// Counts and times.
    pub(crate) tally: Tally,
    /// Each request, in order of its end.
    pub(crate) finished: Vec<Finished>,
    /// Real time from the first request to the last answer.
    pub(crate) elapsed: Duration,
}

/// Sends a plan; `progress` learns of each end.
pub(crate) async fn run<Progress>(
    options: &Options,
    plan: &[Planned],
    mut progress: Progress,
) -> Results
where
    Progress: FnMut(&Tally),
{
    let client = caller::client();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    let sending = send_all(options, plan, &client, start, sender);
    let mut tally = Tally::new(options.time_scale);
    let mut finished = Vec::with_capacity(plan.len());
    let collecting = async {
        while let Some(done) = receiver.recv().await {
            let done: Finished = done;
            tally.add(&done.seen);
            progress(&tally);
            finished.push(done);
        }
    };
    tokio::join!(sending, collecting);
    Results {
        tally,
        finished,
        elapsed: start.elapsed(),
    }
}

async fn send_all(
    options: &Options,
    plan: &[Planned],
    client: &Client,
    start: Instant,
    results: mpsc::UnboundedSender<Finished>,
) {
    for (index, planned) in plan.iter().enumerate() {
        let scheduled = start + planned.at.div_f64(options.time_scale);
        let call = Call {
            key: options.keys[planned.account % options.keys.len()].clone(),
            model: options.model.clone(),
            prompt: planned.prompt(),
            max_tokens: planned.max_tokens,
            request: options.names.then(|| format!("load-{index}")),
        };
        time::sleep_until(scheduled.into()).await;
        let balancer = Balancer {
            client: client.clone(),
            targets: options.targets.clone(),
            next: index,
        };
        let results = results.clone();
        let patience = options.patience;
        let at = planned.at;
        let marked = planned.marker.is_some();
        tokio::spawn(async move {
            let seen = time::timeout(patience, balancer.send(&call, scheduled)).await;
            let seen = seen.unwrap_or_else(|_| Seen::lost());
            let _ = results.send(Finished { at, marked, seen });
        });
    }
}

/// Stands in for the platform's balancer.
struct Balancer {
    client: Client,
    targets: watch::Receiver<Vec<SocketAddr>>,
    next: usize,
}

impl Balancer {
    /// Sends to the first target that can be connected to.
    async fn send(mut self, call: &Call, scheduled: Instant) -> Seen {
        loop {
            let targets = self.targets.borrow().len();
            for _ in 0..targets {
                let target = self.target();
                let seen = caller::call(&self.client, target, call, scheduled).await;
                if seen.end != End::Unreachable {
                    return seen;
                }
            }
            time::sleep(RECONNECT_PAUSE).await;
        }
    }

    fn target(&mut self) -> SocketAddr {
        let targets = self.targets.borrow();
        let target = targets[self.next % targets.len()];
        self.next += 1;
        target
    }
}

/// The entries of each of some ledgers.
pub(crate) async fn ledgers(addresses: &[SocketAddr]) -> Result<Vec<Vec<Entry>>, String> {
    let mut ledgers = Vec::new();
    for address in addresses {
        let client = client::Client::new(*address);
        let ledger = client.get::<Ledger>("/ledger").await;
        ledgers.push(ledger.map_err(|error| error.to_string())?.entries);
    }
    Ok(ledgers)
}
