//! `papayayardctl stand-in`: the stand-ins as processes of their own.
//!
//! The first line on standard output is `listening on ADDRESS`, the second
//! `control on ADDRESS`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use papayayard_stand_in::{engine, platform, service};

/// Arguments of `stand-in`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    #[options(command, required)]
    role: Option<Role>,
}

/// What is stood in for.
#[derive(Debug, Options)]
enum Role {
    /// A model engine
    Engine(Engine),
    /// A plain service
    Service(Service),
    /// The platform: log, list of hosts, weight store
    Platform(Platform),
}

#[derive(Debug, Options)]
struct Engine {
    /// Shows this help
    help: bool,
    /// Address to listen on
    #[options(no_short, meta = "ADDRESS", default = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Platform to register with
    #[options(no_short, meta = "ADDRESS")]
    platform: Option<SocketAddr>,
    /// Name of the endpoint
    #[options(no_short, meta = "NAME", default = "engine-0")]
    id: String,
    /// Service that it is a replica of
    #[options(no_short, meta = "NAME", default = "match-llm")]
    service: String,
    /// Availability zone
    #[options(no_short, meta = "NAME", default = "bergen-a")]
    zone: String,
    /// Model that it serves
    #[options(no_short, meta = "NAME", default = "match")]
    model: String,
    /// Version of its weights
    #[options(no_short, meta = "VERSION", default = "1")]
    version: String,
    /// Factor by which model time is faster than real time
    #[options(no_short, meta = "FACTOR", default = "1")]
    time_scale: f64,
    /// Most requests in the batch
    #[options(no_short, meta = "N", default = "32")]
    slots: usize,
    /// Prompt tokens computed per second
    #[options(no_short, meta = "N", default = "40000")]
    prefill_rate: u32,
    /// Milliseconds between two tokens of a request
    #[options(no_short, meta = "MS", default = "20")]
    decode_ms: u64,
    /// Blocks that the cache holds at most
    #[options(no_short, meta = "N", default = "1024")]
    cache_blocks: usize,
    /// Milliseconds that a block stays after its last use
    #[options(no_short, meta = "MS", default = "8000")]
    cache_lifetime_ms: u64,
    /// Length of a block in bytes, where a request does not say
    #[options(no_short, meta = "BYTES", default = "2048")]
    block_bytes: usize,
    /// Lag of load reports in milliseconds
    #[options(no_short, meta = "MS", default = "250")]
    report_lag_ms: u64,
    /// Delay of cache events in milliseconds
    #[options(no_short, meta = "MS", default = "100")]
    event_delay_ms: u64,
    /// Milliseconds to load weights without a platform
    #[options(no_short, meta = "MS", default = "1300")]
    load_ms: u64,
    /// Carries out orders with an old fencing number
    #[options(no_short)]
    ignore_fencing: bool,
    /// Seed of lost events
    #[options(no_short, meta = "N", default = "0")]
    seed: u64,
}

#[derive(Debug, Options)]
struct Service {
    /// Shows this help
    help: bool,
    /// Address to listen on
    #[options(no_short, meta = "ADDRESS", default = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Platform to register with
    #[options(no_short, meta = "ADDRESS")]
    platform: Option<SocketAddr>,
    /// Name of the endpoint
    #[options(no_short, meta = "NAME", default = "service-0")]
    id: String,
    /// Service that it is a replica of
    #[options(no_short, long = "service", meta = "NAME", default = "studio-app")]
    replica_of: String,
    /// Availability zone
    #[options(no_short, meta = "NAME", default = "bergen-a")]
    zone: String,
    /// Factor by which model time is faster than real time
    #[options(no_short, meta = "FACTOR", default = "1")]
    time_scale: f64,
    /// Milliseconds that a request takes
    #[options(no_short, meta = "MS", default = "5")]
    work_ms: u64,
}

#[derive(Debug, Options)]
struct Platform {
    /// Shows this help
    help: bool,
    /// Address to listen on
    #[options(no_short, meta = "ADDRESS", default = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Factor by which model time is faster than real time
    #[options(no_short, meta = "FACTOR", default = "1")]
    time_scale: f64,
    /// Most records that a stream keeps
    #[options(no_short, meta = "N", default = "1000000")]
    retention_records: usize,
    /// Milliseconds that a record is kept
    #[options(no_short, meta = "MS", default = "86400000")]
    retention_ms: u64,
    /// Milliseconds of one load of weights
    #[options(no_short, meta = "MS", default = "1300")]
    weights_ms: u64,
    /// Loads at once before they slow each other down
    #[options(no_short, meta = "N", default = "3")]
    weights_at_once: u32,
    /// Lag of the list of hosts in milliseconds
    #[options(no_short, meta = "MS", default = "0")]
    list_lag_ms: u64,
}

/// Runs until the process is interrupted or terminated.
pub(crate) async fn run(arguments: Arguments) -> io::Result<()> {
    match arguments.role {
        None => Err(io::Error::other("name a role: engine, service or platform")),
        Some(Role::Engine(arguments)) => {
            let running = engine::start(arguments.options()).await?;
            announce(running.address(), running.control())?;
            stopped().await
        }
        Some(Role::Service(arguments)) => {
            let running = service::start(arguments.options()).await?;
            announce(running.address(), running.control())?;
            stopped().await
        }
        Some(Role::Platform(arguments)) => {
            let running = platform::start(arguments.options()).await?;
            announce(running.address(), running.control())?;
            stopped().await
        }
    }
}

fn announce(address: SocketAddr, control: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening on {address}")?;
    writeln!(out, "control on {control}")?;
    out.flush()
}

async fn stopped() -> io::Result<()> {
    use tokio::signal::unix;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

impl Engine {
    fn options(self) -> engine::Options {
        engine::Options {
            listen: self.listen,
            endpoint: self.id.into(),
            service: self.service.into(),
            zone: self.zone.into(),
            model: self.model.into(),
            version: self.version.into(),
            time_scale: self.time_scale,
            rates: engine::batch::Rates {
                slots: self.slots,
                prefill_rate: self.prefill_rate,
                decode_time: Duration::from_millis(self.decode_ms),
            },
            cache_blocks: self.cache_blocks,
            cache_lifetime: Duration::from_millis(self.cache_lifetime_ms),
            block_bytes: self.block_bytes,
            report_lag: Duration::from_millis(self.report_lag_ms),
            event_delay: Duration::from_millis(self.event_delay_ms),
            fencing: if self.ignore_fencing {
                engine::Fencing::Ignored
            } else {
                engine::Fencing::Checked
            },
            load_time: Duration::from_millis(self.load_ms),
            platform: self.platform,
            seed: self.seed,
        }
    }
}

impl Service {
    fn options(self) -> service::Options {
        service::Options {
            listen: self.listen,
            endpoint: self.id.into(),
            service: self.replica_of.into(),
            zone: self.zone.into(),
            time_scale: self.time_scale,
            work_time: Duration::from_millis(self.work_ms),
            platform: self.platform,
        }
    }
}

impl Platform {
    fn options(self) -> platform::Options {
        platform::Options {
            listen: self.listen,
            time_scale: self.time_scale,
            retention: platform::stream::Retention {
                records: self.retention_records,
                age_ms: self.retention_ms,
            },
            weights_time: Duration::from_millis(self.weights_ms),
            weights_at_once: self.weights_at_once,
            list_lag: Duration::from_millis(self.list_lag_ms),
        }
    }
}
