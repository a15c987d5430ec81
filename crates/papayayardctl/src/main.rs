//! The `papayayardctl` program, for operators and for trying papayayard out.

mod address;
mod check;
mod command;
mod failure;
mod format;
#[expect(dead_code, reason = "the demo, which follows, uses the rest")]
mod load;
mod promote;
mod publish;
mod stand_in;
mod status;
mod stream;
#[cfg(test)]
mod stream_test;
#[expect(dead_code, reason = "the demo, which follows, uses the rest")]
mod workload;

use std::process::ExitCode;

use gumdrop::Options;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let arguments = command::Arguments::parse_args_default_or_exit();
    command::run(arguments).await
}
