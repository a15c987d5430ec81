//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io;

/// Processor time and memory at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Seconds of processor time of all its threads.
    pub(crate) processor_seconds: f64,
    /// Resident memory in MiB.
    pub(crate) resident_mib: f64,
}

/// Reads the usage of a process.
pub(crate) fn usage(pid: u32) -> io::Result<Usage> {
    let mut nanos = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
        nanos += first_number(&text);
    }
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(Usage {
        processor_seconds: nanos / 1e9,
        resident_mib: first_number(resident.unwrap_or_default()) / 1024.0,
    })
}

fn first_number(text: &str) -> f64 {
    let first = text.split_whitespace().next();
    first.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
