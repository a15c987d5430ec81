//! Settings in a file of their own.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::fault;

/// Why a file cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The text has faults.
    #[snafu(display("{} cannot be used:\n{}", path.display(), fault::lines(faults)))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All of them.
        faults: Vec<fault::Fault>,
    },
}

/// Reads a file and parses its text.
pub fn read<Value, Parse>(path: &Path, parse: Parse) -> Result<Value, Error>
where
    Parse: FnOnce(&str) -> Result<Value, Vec<fault::Fault>>,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text).map_err(|faults| Error::Invalid {
        path: path.to_owned(),
        faults,
    })
}
