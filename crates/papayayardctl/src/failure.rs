//! Why a command of an operator failed, and its exit code.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use papayayard_coordination::configuration::Rejection;
use papayayard_document::fault;
use papayayard_platform::service;
use papayayard_wire::id;
use snafu::Snafu;

/// Exit code for a file that cannot be used.
const BAD_FILE: u8 = 1;
/// Exit code for a change that was refused and has no effect.
const REFUSED: u8 = 3;
/// Exit code for a platform or host that does not answer.
const UNREACHABLE: u8 = 4;
/// Exit code for a change of which nobody knows whether it took effect.
const UNKNOWN: u8 = 5;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Failure {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path, its permissions and that the text is UTF-8", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The file has faults.
    #[snafu(display("{} has {} fault(s):\n{}", path.display(), faults.len(), fault::lines(faults)))]
    Faults {
        /// Path of the file.
        path: PathBuf,
        /// All of them.
        faults: Vec<fault::Fault>,
    },
    /// The operator's name cannot stand in a record's id.
    #[snafu(display("{name:?} cannot be an operator's name; use 1 to 64 of a-z, A-Z, 0-9 and -"))]
    Operator {
        /// The name.
        name: String,
    },
    /// The accepted revision is not the one that the operator started from.
    #[snafu(display(
        "revision {} is in force, not {}; nothing was sent: take the change over into the \
         document that `papayayardctl show` prints, and publish that",
        accepted.0,
        base.0
    ))]
    Moved {
        /// Revision that the operator named.
        base: id::Revision,
        /// Accepted revision.
        accepted: id::Revision,
    },
    /// Another proposal won.
    #[snafu(display(
        "revision {} went to record {winner}, appended before yours ({record}), which has no \
         effect on any host; take your change over into the document that `papayayardctl show` \
         prints, and publish that",
        revision.0
    ))]
    Raced {
        /// Record of the operator.
        record: id::Record,
        /// Record that won.
        winner: id::Record,
        /// Revision that both proposed.
        revision: id::Revision,
    },
    /// The hosts reject the proposal.
    #[snafu(display("record {record} was not accepted: {source}"))]
    Rejected {
        /// Record of the operator.
        record: id::Record,
        /// Why.
        source: Rejection,
    },
    /// No document is in force.
    #[snafu(display("no document is in force at {platform}; publish one there first"))]
    Nothing {
        /// Address of the platform.
        platform: String,
    },
    /// Another document is in force than the one that was tried.
    #[snafu(display(
        "the document in force in trial has the digest {found}, not {wanted}; nothing was sent: \
         try this document, then promote it by its own digest"
    ))]
    OtherDigest {
        /// Digest that the operator named.
        wanted: String,
        /// Digest in force.
        found: String,
    },
    /// A host of trial has other bytes in force.
    #[snafu(display(
        "host {host} has revision {} in force and the log of trial has {}; nothing was sent: \
         wait until `papayayardctl status` shows one revision on all hosts of trial",
        found.0,
        accepted.0
    ))]
    NotEverywhere {
        /// The host.
        host: id::Host,
        /// Its revision.
        found: id::Revision,
        /// Revision that the log says is accepted.
        accepted: id::Revision,
    },
    /// The platform does not answer.
    #[snafu(display("nothing was changed: {source}"))]
    Platform {
        /// What the last call gave.
        source: service::Error,
    },
    /// The log no longer holds what decides which document is accepted.
    #[snafu(display(
        "the log no longer holds the accepted document; nothing was sent: start the hosts, which \
         append it again, then repeat the command"
    ))]
    Forgotten,
    /// The log has fewer records than before.
    #[snafu(display(
        "the log lost records that it had given out; nothing more was sent: restore the log \
         service, then repeat the command"
    ))]
    Rewound,
    /// Hosts do not answer.
    #[snafu(display("{count} host(s) did not answer; check their addresses and that they run"))]
    Silent {
        /// How many.
        count: usize,
    },
    /// The answer to the append was lost and its record has not been found.
    #[snafu(display(
        "the answer for record {record} was lost and the record has not shown up; it may still \
         take effect: run the same command again, which cannot make the change twice"
    ))]
    Unknown {
        /// Record of the operator.
        record: id::Record,
    },
}

impl Failure {
    /// Exit code of the program.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Read { .. } | Self::Faults { .. } | Self::Operator { .. } => BAD_FILE,
            Self::Moved { .. }
            | Self::Raced { .. }
            | Self::Rejected { .. }
            | Self::Nothing { .. }
            | Self::OtherDigest { .. }
            | Self::NotEverywhere { .. } => REFUSED,
            Self::Platform { .. } | Self::Forgotten | Self::Rewound | Self::Silent { .. } => {
                UNREACHABLE
            }
            Self::Unknown { .. } => UNKNOWN,
        })
    }
}
