//! `papayayardctl publish` and `show`: puts a document in force, or prints the
//! one that is.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use papayayard_platform::http;
use papayayard_wire::id;
use tokio::time::Instant;

use crate::address::Address;
use crate::check;
use crate::failure::Failure;
use crate::stream::{Accepted, Stream};

/// Bound on one call to the platform.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most characters of an operator's name.
const MAX_OPERATOR_CHARS: usize = 64;

/// Arguments of `publish`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// Platform of the environment
    #[options(no_short, required, meta = "ADDRESS")]
    platform: Address,
    /// Revision that the document was made from; default the accepted one
    #[options(no_short, meta = "REVISION")]
    base: Option<u64>,
    /// Name that other operators see
    #[options(no_short, meta = "NAME", default = "operator")]
    by: String,
    /// Milliseconds after which the command gives up
    #[options(no_short, meta = "MS", default = "30000")]
    timeout_ms: u64,
    /// Configuration document, a YAML file
    #[options(free, required)]
    file: PathBuf,
}

/// Arguments of `show`.
#[derive(Debug, Options)]
pub(crate) struct ShowArguments {
    /// Shows this help
    help: bool,
    /// Platform of the environment
    #[options(no_short, required, meta = "ADDRESS")]
    platform: Address,
    /// Milliseconds after which the command gives up
    #[options(no_short, meta = "MS", default = "30000")]
    timeout_ms: u64,
}

/// Publishes the document and waits until it is accepted.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Failure> {
    let document = check::document(&arguments.file)?;
    let record = record_id(&arguments.by)?;
    let mut stream = open(arguments.platform, arguments.timeout_ms);
    let accepted = stream.accepted().await?;
    if let Some(accepted) = held(accepted.as_ref(), &document) {
        println!(
            "revision {} already has this document in force",
            accepted.proposal.revision.0
        );
        return Ok(());
    }
    let base = revision(accepted.as_ref());
    match arguments.base.map(id::Revision) {
        Some(named) if named != base => Err(Failure::Moved {
            base: named,
            accepted: base,
        }),
        _ => {
            let accepted = stream.propose(&record, base, &document).await?;
            print(&accepted);
            Ok(())
        }
    }
}

/// Prints the document in force on standard output.
pub(crate) async fn show(arguments: ShowArguments) -> Result<(), Failure> {
    let platform = arguments.platform;
    let accepted = open(platform, arguments.timeout_ms).accepted().await?;
    let accepted = accepted.ok_or_else(|| Failure::Nothing {
        platform: platform.to_string(),
    })?;
    eprintln!(
        "revision {} with digest {}, published as {}",
        accepted.proposal.revision.0, accepted.proposal.digest, accepted.record
    );
    print!("{}", accepted.proposal.document);
    Ok(())
}

/// Opens the configuration stream of a platform.
pub(crate) fn open(platform: Address, timeout_ms: u64) -> Stream<http::Client> {
    let client = http::Client::new(platform.0, CALL_TIMEOUT);
    Stream::new(client, Instant::now() + Duration::from_millis(timeout_ms))
}

/// What is accepted, where it has exactly these bytes.
pub(crate) fn held<'a>(accepted: Option<&'a Accepted>, document: &str) -> Option<&'a Accepted> {
    accepted.filter(|accepted| accepted.proposal.document == document)
}

/// The accepted revision; 0 where there is none.
pub(crate) fn revision(accepted: Option<&Accepted>) -> id::Revision {
    accepted.map_or(id::Revision(0), |accepted| accepted.proposal.revision)
}

/// Tells what was accepted.
pub(crate) fn print(accepted: &Accepted) {
    println!(
        "revision {} accepted: digest {}, record {}, offset {}",
        accepted.proposal.revision.0, accepted.proposal.digest, accepted.record, accepted.offset.0
    );
}

/// Id of a new record that names the operator.
pub(crate) fn record_id(operator: &str) -> Result<id::Record, Failure> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let fits = !operator.is_empty() && operator.len() <= MAX_OPERATOR_CHARS;
    if !fits || !operator.chars().all(allowed) {
        return Err(Failure::Operator {
            name: operator.to_owned(),
        });
    }
    Ok(id::Record::from(format!(
        "{operator}.{:016x}",
        rand::random::<u64>()
    )))
}
