//! `papayayardctl promote`: puts the bytes in force in trial in force elsewhere.
//!
//! No file is read: what is promoted is what trial runs, byte for byte.

use gumdrop::Options;
use papayayard_wire::id;

use crate::address::Address;
use crate::failure::Failure;
use crate::publish;
use crate::status;
use crate::stream::Accepted;

/// Arguments of `promote`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Shows this help
    help: bool,
    /// Platform of trial
    #[options(no_short, required, meta = "ADDRESS")]
    from: Address,
    /// Platform of the environment that gets the document
    #[options(no_short, required, meta = "ADDRESS")]
    to: Address,
    /// Digest of the document that was tried; default the one in force
    #[options(no_short, meta = "DIGEST")]
    digest: Option<String>,
    /// Operators' listener of a host of trial, which must have the document
    /// in force; may be given again
    #[options(no_short, meta = "ADDRESS")]
    trial_host: Vec<Address>,
    /// Name that other operators see
    #[options(no_short, meta = "NAME", default = "operator")]
    by: String,
    /// Milliseconds after which the command gives up
    #[options(no_short, meta = "MS", default = "30000")]
    timeout_ms: u64,
}

/// Promotes the document in force in trial.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Failure> {
    let record = publish::record_id(&arguments.by)?;
    let mut target = publish::open(arguments.to, arguments.timeout_ms);
    let replaced = target.accepted().await?;
    let tried = tried(&arguments).await?;
    if let Some(held) = publish::held(replaced.as_ref(), &tried.proposal.document) {
        println!(
            "revision {} already has this document in force",
            held.proposal.revision.0
        );
        return Ok(());
    }
    let base = publish::revision(replaced.as_ref());
    let accepted = target
        .propose(&record, base, &tried.proposal.document)
        .await?;
    println!("promoted revision {} of trial", tried.proposal.revision.0);
    publish::print(&accepted);
    Ok(())
}

/// What is in force in trial, by its log and by its hosts.
async fn tried(arguments: &Arguments) -> Result<Accepted, Failure> {
    let mut trial = publish::open(arguments.from, arguments.timeout_ms);
    let accepted = trial.accepted().await?.ok_or_else(|| Failure::Nothing {
        platform: arguments.from.to_string(),
    })?;
    let found = &accepted.proposal.digest;
    if let Some(wanted) = arguments.digest.as_ref().filter(|wanted| *wanted != found) {
        return Err(Failure::OtherDigest {
            wanted: wanted.clone(),
            found: found.clone(),
        });
    }
    in_force(&arguments.trial_host, &accepted).await?;
    Ok(accepted)
}

async fn in_force(hosts: &[Address], accepted: &Accepted) -> Result<(), Failure> {
    let mut silent = 0;
    for answer in status::ask(hosts).await {
        let Ok(status) = answer.outcome else {
            silent += 1;
            continue;
        };
        if status.digest != accepted.proposal.digest {
            return Err(not_everywhere(status.host, status.revision, accepted));
        }
    }
    if silent > 0 {
        return Err(Failure::Silent { count: silent });
    }
    Ok(())
}

fn not_everywhere(host: id::Host, found: id::Revision, accepted: &Accepted) -> Failure {
    Failure::NotEverywhere {
        host,
        found,
        accepted: accepted.proposal.revision,
    }
}
