//! Runs the program and keeps its output.

#![allow(dead_code, reason = "each test file uses a part")]

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// How the program ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Exit code.
    pub(crate) code: Option<i32>,
    /// Standard output.
    pub(crate) out: String,
    /// Standard error.
    pub(crate) err: String,
}

/// Runs `papayayardctl` to its end, beside the test's own tasks.
pub(crate) async fn ctl<Argument>(arguments: &[Argument]) -> Ended
where
    Argument: AsRef<OsStr>,
{
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayayardctl"));
    command.args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output
        .await
        .expect("the task ends")
        .expect("the program starts");
    Ended {
        code: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Path of an example file.
pub(crate) fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Writes a file for one test.
pub(crate) fn file(test: &str, bytes: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.yaml"));
    std::fs::write(&path, bytes).expect("the test's directory can be written");
    path
}
