//! `papayayardctl check`: lists every fault of a document or settings file.

use std::fs;
use std::path::{Path, PathBuf};

use gumdrop::Options;
use papayayard::settings::Settings;
use papayayard_document::document::Document;
use papayayard_document::{fault, tree};
use snafu::ResultExt;

use crate::failure::{Failure, FaultsSnafu, ReadSnafu};

/// A key that stands at the root of settings and never of a document.
const SETTINGS_KEYS: [&str; 4] = ["host", "zone", "listen", "peer_secret"];

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// Configuration document or settings, a YAML file
    #[options(free, required)]
    file: PathBuf,
}

/// Checks the file.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let path = &arguments.file;
    let text = read(path)?;
    let (what, faults) = check(&text);
    if !faults.is_empty() {
        return FaultsSnafu { path, faults }.fail();
    }
    println!("{}: {what} without faults", path.display());
    Ok(())
}

/// Reads a file as text.
pub(crate) fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).context(ReadSnafu { path })
}

/// Reads a document from a file and checks it.
pub(crate) fn document(path: &Path) -> Result<String, Failure> {
    let text = read(path)?;
    match Document::parse(&text) {
        Ok(_) => Ok(text),
        Err(faults) => FaultsSnafu { path, faults }.fail(),
    }
}

fn check(text: &str) -> (&'static str, Vec<fault::Fault>) {
    if is_settings(text) {
        let faults = Settings::parse(text).err().unwrap_or_default();
        return ("settings", faults);
    }
    let faults = Document::parse(text).err().unwrap_or_default();
    ("configuration document", faults)
}

fn is_settings(text: &str) -> bool {
    let root = tree::parse(text, &mut fault::List::default());
    let Some(tree::Value::Mapping(entries)) = root.map(|node| node.value) else {
        return false;
    };
    entries
        .iter()
        .any(|entry| SETTINGS_KEYS.contains(&entry.key.as_str()))
}
