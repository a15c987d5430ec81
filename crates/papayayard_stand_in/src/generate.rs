//! Deterministic generation: a token depends on the prompt and its position.
//!
//! Any engine therefore goes on from any position with the same text, and a
//! caller can compute the whole answer that it has to get.

use papayayard_wire::completion;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Bytes of the text of one token.
pub const TOKEN_BYTES: usize = 4;
/// Letters of generated text.
const LETTERS: &[u8; 16] = b"abdefghiklmnorst";

/// Digest of a prompt or of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    /// Digest of the prompt of a completion.
    pub fn of_prompt(request: &completion::Request<'_>) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        request.for_each_segment(|segment| hasher.update(segment));
        Self(hasher.digest())
    }

    /// Digest of a whole body.
    pub fn of_body(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64(bytes))
    }
}

/// Adds the text of the token at `position` to `text`.
pub fn push_token(text: &mut String, digest: Digest, position: u64) {
    let mut bits = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), digest.0);
    for _ in 1..TOKEN_BYTES {
        let letter = LETTERS[usize::try_from(bits % 16).unwrap_or(0)];
        text.push(char::from(letter));
        bits /= 16;
    }
    text.push(' ');
}

/// Text of the tokens from `from` to before `until`.
pub fn text(digest: Digest, from: u64, until: u64) -> String {
    let mut text = String::new();
    for position in from..until {
        push_token(&mut text, digest, position);
    }
    text
}

/// Tokens in `bytes` bytes of a prompt.
pub const fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}
