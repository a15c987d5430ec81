//! Authentication of messages between entry hosts with the deployment's shared
//! secret.
//!
//! The proof is a BLAKE3 hash, keyed by the secret, over the sender, the
//! receiver, the time, a nonce and the message's bytes. A reply's proof covers
//! the nonce of its call, so an old reply is not valid for a new call. Messages
//! are authenticated but not encrypted.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_with::{hex, serde_as};
use snafu::{Snafu, ensure};

use crate::id;

/// Length of a proof in bytes.
pub const PROOF_BYTES: usize = 16;
/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Length of an envelope in bytes, without its host names and its message.
const ENVELOPE_OVERHEAD_BYTES: usize = 120;
const MAX_REASON_CHARS: usize = 200;
const KEY_DERIVATION_CONTEXT: &str = "papayayard 2026 proof of a message between entry hosts";

/// A message with its proof and addressing.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: id::Host,
    /// Receiver; `None` if the sender knows only the receiver's address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<id::Host>,
    /// Sender's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Number of the call; unique per sender within the accepted clock skew.
    pub nonce: u64,
    /// Keyed hash of the message and its addressing.
    #[serde_as(as = "hex::Hex")]
    pub proof: [u8; PROOF_BYTES],
    /// The message, as JSON.
    pub body: Box<RawValue>,
}

impl Envelope {
    /// Estimated length as JSON, in bytes, for times and nonces of the current
    /// decades.
    pub fn bytes(&self) -> usize {
        let to = self.to.as_ref().map_or(0, |to| to.as_str().len());
        ENVELOPE_OVERHEAD_BYTES + self.from.as_str().len() + to + self.body.get().len()
    }
}

/// Whether an envelope is a call or the reply to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Call,
    Reply,
}

/// Reason why an envelope is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The proof does not match the message.
    #[snafu(display(
        "the message from {from} has an invalid proof; give every host the same peer secret"
    ))]
    Proof {
        /// Sender that the envelope names.
        from: id::Host,
    },
    /// The message is addressed to another host.
    #[snafu(display("the message is addressed to {to}; check the peer addresses in the settings"))]
    Receiver {
        /// Receiver that the envelope names.
        to: id::Host,
    },
    /// The sender's time differs too much from the receiver's clock.
    #[snafu(display(
        "the clock of {from} differs by {skew_ms} ms; synchronize the hosts' clocks with a time service"
    ))]
    Time {
        /// Sender.
        from: id::Host,
        /// Difference in milliseconds.
        skew_ms: u64,
    },
    /// The message was received before.
    #[snafu(display("the message from {from} was received before; the duplicate is ignored"))]
    Replay {
        /// Sender.
        from: id::Host,
    },
    /// The message cannot be encoded or decoded.
    #[snafu(display(
        "the message is malformed: {reason}; run releases with compatible peer protocol versions"
    ))]
    Malformed {
        /// Error of the encoder or decoder.
        reason: String,
    },
}

impl Error {
    /// Label value in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Proof { .. } => "proof",
            Self::Receiver { .. } => "receiver",
            Self::Time { .. } => "time",
            Self::Replay { .. } => "replay",
            Self::Malformed { .. } => "malformed",
        }
    }
}

/// Key derived from the deployment's secret.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key(KEY_DERIVATION_CONTEXT, text.as_bytes()))
    }

    /// Encodes a message and wraps it in an envelope with a proof.
    pub fn seal<Body>(&self, address: Address, body: &Body) -> Result<Envelope, Error>
    where
        Body: Serialize,
    {
        let body = serde_json::value::to_raw_value(body).map_err(malformed)?;
        let proof = self.proof(&address, &body);
        Ok(Envelope {
            from: address.from,
            to: address.to,
            time_ms: address.time_ms,
            nonce: address.nonce,
            proof,
            body,
        })
    }

    /// Verifies the proof and decodes the message.
    pub fn open<Body>(&self, direction: Direction, envelope: &Envelope) -> Result<Body, Error>
    where
        Body: for<'de> Deserialize<'de>,
    {
        let address = Address {
            direction,
            from: envelope.from.clone(),
            to: envelope.to.clone(),
            time_ms: envelope.time_ms,
            nonce: envelope.nonce,
        };
        let proof = self.proof(&address, &envelope.body);
        // `blake3::Hash` compares in constant time.
        let is_valid = blake3::hash(&proof) == blake3::hash(&envelope.proof);
        ensure!(
            is_valid,
            ProofSnafu {
                from: envelope.from.clone()
            }
        );
        serde_json::from_str(envelope.body.get()).map_err(malformed)
    }

    fn proof(&self, address: &Address, body: &RawValue) -> [u8; PROOF_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[u8::from(address.direction == Direction::Reply)]);
        update_text(&mut hasher, address.from.as_str());
        hasher.update(&[u8::from(address.to.is_some())]);
        update_text(
            &mut hasher,
            address.to.as_ref().map_or("", id::Host::as_str),
        );
        hasher.update(&address.time_ms.to_le_bytes());
        hasher.update(&address.nonce.to_le_bytes());
        update_text(&mut hasher, body.get());
        let mut proof = [0; PROOF_BYTES];
        hasher.finalize_xof().fill(&mut proof);
        proof
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret")
    }
}

/// Addressing fields of an envelope, which the proof covers.
#[derive(Clone, Debug)]
pub struct Address {
    pub direction: Direction,
    /// Sender.
    pub from: id::Host,
    /// Receiver, if its name is known.
    pub to: Option<id::Host>,
    /// Sender's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Number of the call.
    pub nonce: u64,
}

#[allow(clippy::needless_pass_by_value, reason = "used in map_err")]
fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed {
        reason: error.to_string().chars().take(MAX_REASON_CHARS).collect(),
    }
}

fn update_text(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
