//! The `papayayardctl` program, for operators and for trying papayayard out.

mod command;
mod format;
#[expect(dead_code, reason = "the demo, which follows, uses the rest")]
mod load;
mod stand_in;
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
