//! The subcommands; each has a module of its own.

use std::fmt::Display;
use std::process::ExitCode;

use gumdrop::Options;

use crate::{demo, load, stand_in};

/// Arguments of the program.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// One subcommand.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// Runs a stand-in engine, service or platform
    StandIn(stand_in::Arguments),
    /// Sends a load and checks every answer
    Load(load::Arguments),
    /// Runs hosts and stand-ins in one process and sends a burst
    Demo(demo::Arguments),
}

/// Runs the subcommand; the exit code tells whether it went well.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        None => {
            eprintln!("{}", Arguments::usage());
            eprintln!("\n{}", Arguments::command_list().unwrap_or_default());
            ExitCode::FAILURE
        }
        Some(Command::StandIn(arguments)) => finish(stand_in::run(arguments).await),
        Some(Command::Load(arguments)) => finish(load::run(arguments).await),
        Some(Command::Demo(arguments)) => finish(demo::run(arguments).await),
    }
}

fn finish<Error>(result: Result<(), Error>) -> ExitCode
where
    Error: Display,
{
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
