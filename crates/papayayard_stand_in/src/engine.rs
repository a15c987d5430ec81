//! Stand-in for a model engine.
//!
//! It batches continuously, caches blocks of prompts in limited memory, and
//! publishes late reports and events. `POST /control` takes a [`Fault`] and
//! `GET /ledger` tells what really ran. docs/STAND-INS.md states its costs.

pub mod batch;
pub mod cache;
mod core;
pub mod fault;
pub mod feed;
pub mod history;
mod route;
pub mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_wire::{block, directory, endpoint, id};
use tokio::sync::Notify;
use tokio::time;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::clock::{self, Clock};
use crate::ledger::Entry;
use crate::server::{Gate, Server};
use crate::{client, platform};

use self::core::{Begin, Core};
pub use fault::Fault;

/// Pause before an engine tries the platform again.
const PLATFORM_PAUSE: Duration = Duration::from_millis(100);

/// What an engine does with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses the order.
    Checked,
    /// Carries out the order.
    Ignored,
}

/// Options of an engine; all times are model time.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Name.
    pub endpoint: id::Endpoint,
    /// Service that it is a replica of.
    pub service: id::Service,
    /// Availability zone.
    pub zone: id::Zone,
    /// Model that it serves.
    pub model: id::Model,
    /// Version of the weights that it starts with.
    pub version: id::Version,
    /// Factor by which model time is faster than real time.
    pub time_scale: f64,
    /// Speed and slots.
    pub rates: batch::Rates,
    /// Blocks that the cache holds at most.
    pub cache_blocks: usize,
    /// Time that a block stays after its last use.
    pub cache_lifetime: Duration,
    /// Length of a block in bytes, where a request does not say.
    pub block_bytes: usize,
    /// Lag of load reports.
    pub report_lag: Duration,
    /// Delay of cache events.
    pub event_delay: Duration,
    /// What it does with an old fencing number.
    pub fencing: Fencing,
    /// Time to load weights without a platform.
    pub load_time: Duration,
    /// Platform that it registers with and loads weights from.
    pub platform: Option<SocketAddr>,
    /// Seed of lost events.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            endpoint: "engine-0".into(),
            service: "match-llm".into(),
            zone: "bergen-a".into(),
            model: "match".into(),
            version: "1".into(),
            time_scale: 1.0,
            rates: batch::Rates {
                slots: 32,
                prefill_rate: 40_000,
                decode_time: Duration::from_millis(20),
            },
            cache_blocks: 1024,
            cache_lifetime: Duration::from_secs(8),
            block_bytes: 2048,
            report_lag: Duration::from_millis(250),
            event_delay: Duration::from_millis(100),
            fencing: Fencing::Checked,
            load_time: Duration::from_millis(1300),
            platform: None,
            seed: 0,
        }
    }
}

/// A running engine; it stops when it is dropped.
#[derive(Debug)]
pub struct Running {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
    _stop: DropGuard,
}

impl Running {
    /// Address for requests.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address for control, which no fault touches.
    pub const fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Exchanges that stand still.
    pub fn held(&self) -> usize {
        self.shared.gate.held()
    }

    /// Brings about a fault.
    pub fn fault(&self, fault: Fault) {
        self.shared.apply(fault);
    }

    /// Availability zone.
    pub fn zone(&self) -> id::Zone {
        self.shared.lock().options.zone.clone()
    }

    /// What really ran.
    pub fn ledger(&self) -> Vec<Entry> {
        self.shared.lock().ledger().to_vec()
    }

    /// A view of the true state.
    pub fn truth(&self) -> Truth {
        Truth(self.shared.clone())
    }
}

/// The true state of an engine, without lag or gaps.
#[derive(Clone, Debug)]
pub struct Truth(Arc<Shared>);

impl Truth {
    /// Name of the engine.
    pub fn endpoint(&self) -> id::Endpoint {
        self.0.lock().options.endpoint.clone()
    }

    /// Blocks of a prefix that are cached.
    pub fn cached(&self, keys: &[block::Key]) -> usize {
        let now = self.0.clock.now();
        self.0.lock().cached(keys, now)
    }

    /// Whether the engine is up and takes requests.
    pub fn is_ready(&self) -> bool {
        let core = self.0.lock();
        !core.down && core.state == endpoint::State::Ready
    }

    /// Load and state now.
    pub fn report(&self) -> endpoint::Report {
        let now = self.0.clock.now();
        self.0.lock().true_report(now)
    }
}

/// Starts an engine, and registers it where it has a platform.
pub async fn start(options: Options) -> io::Result<Running> {
    let shared = Arc::new(Shared {
        clock: Clock::start(options.time_scale),
        gate: Gate::default(),
        work: Notify::new(),
        idle: Notify::new(),
        core: Mutex::new(Core::new(options.clone(), clock::incarnation())),
    });
    let public = Arc::new(route::Public(shared.clone()));
    let server = Server::start(options.listen, shared.gate.clone(), public).await?;
    let control = Arc::new(route::Control(shared.clone()));
    let listen = SocketAddr::new(options.listen.ip(), 0);
    let control = Server::start(listen, Gate::default(), control).await?;
    let stop = CancellationToken::new();
    let steps = stop.clone().run_until_cancelled_owned(run(shared.clone()));
    tokio::spawn(steps);
    if let Some(platform) = options.platform {
        let entry = directory::Endpoint {
            id: options.endpoint,
            service: options.service,
            zone: options.zone,
            address: server.address(),
            state: directory::State::Live,
        };
        client::register(platform, entry, &stop).await;
    }
    Ok(Running {
        shared,
        server,
        control,
        _stop: stop.drop_guard(),
    })
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    gate: Gate,
    work: Notify,
    idle: Notify,
    core: Mutex<Core>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(self: &Arc<Self>, fault: Fault) {
        match &fault {
            Fault::Crash { down_ms } => self.crash(Duration::from_millis(*down_ms)),
            Fault::Freeze => self.gate.freeze(true),
            Fault::Clear => self.gate.freeze(false),
            _ => {}
        }
        self.lock().apply(fault);
    }

    fn crash(self: &Arc<Self>, down: Duration) {
        let epoch = {
            let mut core = self.lock();
            core.crash();
            core.epoch
        };
        self.gate.close();
        let shared = self.clone();
        tokio::spawn(async move {
            shared.clock.sleep(down).await;
            let mut core = shared.lock();
            if core.epoch == epoch {
                core.down = false;
                shared.gate.open();
            }
        });
    }

    fn order(self: &Arc<Self>, order: endpoint::Order) -> Result<(), core::Refusal> {
        let mut core = self.lock();
        let load = core.order(&order)?;
        let epoch = core.epoch;
        drop(core);
        if let (true, endpoint::Goal::Load { model, version }) = (load, order.goal) {
            tokio::spawn(self.clone().load(model, version, epoch));
        }
        Ok(())
    }

    /// Lets the batch run empty and loads weights.
    async fn load(self: Arc<Self>, model: id::Model, version: id::Version, epoch: u64) {
        loop {
            let idle = self.idle.notified();
            if self.lock().is_idle() {
                break;
            }
            idle.await;
        }
        let (platform, time) = {
            let core = self.lock();
            (core.options.platform, core.options.load_time)
        };
        match platform {
            None => self.clock.sleep(time).await,
            Some(platform) => fetch(platform, &model, &version).await,
        }
        let mut core = self.lock();
        if core.epoch == epoch {
            core.loaded(version, self.clock.now());
        }
    }
}

/// Runs step after step.
async fn run(shared: Arc<Shared>) {
    let mut start = shared.clock.now();
    loop {
        let begun = shared.lock().begin(start);
        match begun {
            Begin::Idle => {
                shared.idle.notify_waiters();
                shared.work.notified().await;
                start = shared.clock.now();
            }
            Begin::Crash => {
                let down = shared.lock().faults.marker_down_ms;
                shared.crash(Duration::from_millis(down));
            }
            Begin::Step(duration) => {
                let end = start + duration;
                shared.clock.sleep_until(end).await;
                shared.gate.pass().await;
                shared.lock().end(shared.clock.now());
                start = end.max(shared.clock.now().saturating_sub(duration));
            }
        }
    }
}

async fn fetch(platform: SocketAddr, model: &id::Model, version: &id::Version) {
    let client = client::Client::new(platform);
    let path = format!("/weights/{model}/{version}");
    while let Err(error) = client.get::<platform::Weights>(&path).await {
        log::warn!(error:% = error; "weights are not loaded; trying again");
        time::sleep(PLATFORM_PAUSE).await;
    }
}
