//! The `papayayard` program, which every entry host runs.
//!
//! With `--settings` a host serves its own interface by the configuration
//! document. With `--routes` it passes requests between callers and endpoints
//! of the platform that the `platform` crate translates for.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options as _;
use papayayard::{host, logging, settings};
use papayayard_gateway as gateway;
use platform::Adapter;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 1;
/// Exit code for options that make no sense, as of the options' library.
const BAD_USAGE: u8 = 2;
/// Exit code for a host that cannot start.
const CANNOT_START: u8 = 2;

/// Time in which the log's last lines are written.
const LAST_LINES: Duration = Duration::from_millis(20);

/// Routes language-model traffic from callers to endpoints.
#[derive(gumdrop::Options)]
struct Options {
    /// print this help
    help: bool,

    /// settings of this host, a YAML file
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,

    /// settings of this host as one that serves routes, a YAML file
    #[options(meta = "FILE")]
    routes: Option<PathBuf>,
}

/// Why the program ends.
enum Failure {
    Usage(&'static str),
    Settings(String),
    Start(String),
}

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    let output = if options.routes.is_some() {
        logging::Output::Queued
    } else {
        logging::Output::Error
    };
    logging::start(output);
    let outcome = match (options.settings, options.routes) {
        (Some(path), None) => serve_document(&path),
        (None, Some(path)) => serve_routes(&path),
        _ => Err(Failure::Usage(
            "give one of --settings FILE and --routes FILE",
        )),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(problem)) => {
            eprintln!("{problem}");
            ExitCode::from(BAD_USAGE)
        }
        Err(Failure::Settings(problem)) => {
            eprintln!("{problem}");
            ExitCode::from(BAD_SETTINGS)
        }
        Err(Failure::Start(problem)) => {
            eprintln!("{problem}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn serve_document(path: &Path) -> Result<(), Failure> {
    let settings = settings::read(path).map_err(settings_failure)?;
    let runtime = Runtime::new().map_err(start_failure)?;
    runtime.block_on(async {
        let mut signals = Signals::listen()?;
        let running = host::start(settings, host::Blind).map_err(start_failure)?;
        let addresses = running.addresses();
        println!(
            "listening on callers={} peers={} operators={}",
            addresses.callers, addresses.peers, addresses.operators
        );
        signals.stop().await;
        running.stop().await;
        Ok(())
    })
}

/// One thread serves all, since hosts have a part of one core and little
/// memory.
fn serve_routes(path: &Path) -> Result<(), Failure> {
    let settings = gateway::settings::read(path).map_err(settings_failure)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(start_failure)?;
    runtime.block_on(async {
        let mut signals = Signals::listen()?;
        let running = gateway::host::start(settings, Adapter).map_err(start_failure)?;
        signals.stop().await;
        running.stop().await;
        tokio::time::sleep(LAST_LINES).await;
        Ok(())
    })
}

/// Signals that operators send.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn listen() -> Result<Self, Failure> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(start_failure)?,
            interrupt: signal(SignalKind::interrupt()).map_err(start_failure)?,
            reload: signal(SignalKind::hangup()).map_err(start_failure)?,
        })
    }

    /// Waits for a signal to stop. Settings are read at the start only, so a
    /// signal to reload them changes nothing.
    async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    log::info!("reload asked for; settings are read at the next start");
                }
            }
        }
    }
}

fn settings_failure<Error>(error: Error) -> Failure
where
    Error: Display,
{
    Failure::Settings(error.to_string())
}

fn start_failure<Error>(error: Error) -> Failure
where
    Error: Display,
{
    Failure::Start(error.to_string())
}
