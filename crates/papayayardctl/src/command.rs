//! The subcommands; each has a module of its own.

use std::fmt::Display;
use std::process::ExitCode;

use gumdrop::Options;

use crate::failure::Failure;
use crate::{check, demo, load, promote, publish, stand_in, status};

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
    /// Lists every fault of a document or settings file
    Check(check::Arguments),
    /// Puts a document in force
    Publish(publish::Arguments),
    /// Puts the document in force in trial in force elsewhere
    Promote(promote::Arguments),
    /// Prints the document in force
    Show(publish::ShowArguments),
    /// Shows what hosts have in force and which endpoints they see
    Status(status::Arguments),
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
        Some(Command::Check(arguments)) => conclude(check::run(&arguments)),
        Some(Command::Publish(arguments)) => conclude(publish::run(arguments).await),
        Some(Command::Promote(arguments)) => conclude(promote::run(arguments).await),
        Some(Command::Show(arguments)) => conclude(publish::show(arguments).await),
        Some(Command::Status(arguments)) => conclude(status::run(arguments).await),
        Some(Command::StandIn(arguments)) => finish(stand_in::run(arguments).await),
        Some(Command::Load(arguments)) => finish(load::run(arguments).await),
        Some(Command::Demo(arguments)) => finish(demo::run(arguments).await),
    }
}

/// Ends a command of an operator with the exit code of its failure.
fn conclude(result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
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
