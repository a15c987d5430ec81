//! The `papayayardctl` program, for operators and for trying papayayard out.

mod address;
mod check;
mod command;
mod demo;
mod failure;
mod format;
mod load;
mod plot;
mod promote;
mod publish;
mod stand_in;
mod status;
mod stream;
#[cfg(test)]
mod stream_test;
mod workload;
#[cfg(test)]
mod workload_test;

use std::process::ExitCode;

use gumdrop::Options;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let arguments = command::Arguments::parse_args_default_or_exit();
    command::run(arguments).await
}
