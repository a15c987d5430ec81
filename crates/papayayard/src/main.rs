//! The `papayayard` program, which every entry host runs.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;
use papayayard::{host, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 1;
/// Exit code for a host that cannot start.
const CANNOT_START: u8 = 2;

/// Routes language-model traffic from callers to endpoints.
#[derive(gumdrop::Options)]
struct Options {
    /// print this help
    help: bool,

    /// settings of this host, a YAML file
    #[options(required, meta = "FILE")]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    logging::start();
    let settings = match settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        eprintln!("signals cannot be received; start the program as an ordinary process");
        return ExitCode::from(CANNOT_START);
    };
    let running = match host::start(settings, host::Blind) {
        Ok(running) => running,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(CANNOT_START);
        }
    };
    let addresses = running.addresses();
    println!(
        "listening on callers={} peers={} operators={}",
        addresses.callers, addresses.peers, addresses.operators
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop().await;
    ExitCode::SUCCESS
}
