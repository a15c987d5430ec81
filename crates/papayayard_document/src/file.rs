//! Reads documents and settings from files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::fault;

/// Error from reading or parsing a file.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} cannot be used:\n{}", path.display(), fault::lines(faults)))]
    Invalid {
        path: PathBuf,
        /// Every fault in the text.
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
