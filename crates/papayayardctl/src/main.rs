//! The `papayayardctl` program, for operators and for trying papayayard out.

mod command;
mod demo;
mod format;
mod load;
mod plot;
mod stand_in;
mod workload;

use std::process::ExitCode;

use gumdrop::Options;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let arguments = command::Arguments::parse_args_default_or_exit();
    command::run(arguments).await
}
