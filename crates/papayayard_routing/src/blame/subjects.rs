//! What of a request may be the cause of a crash.

use papayayard_wire::id;

use crate::prompt::Prompt;
use crate::quarantine::Fingerprint;

/// Maximum number of tracked parts of a prompt.
const MAX_PARTS: usize = 128;

/// A request and the parts of its prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subjects {
    pub request: Fingerprint,
    /// The first parts, each once.
    pub parts: Vec<Fingerprint>,
}

impl Subjects {
    /// The subjects of a request. Parts of isolated accounts are their own.
    pub fn of(
        request: Fingerprint,
        prompt: Option<&Prompt>,
        isolated: Option<&id::Account>,
    ) -> Self {
        let mut parts = Vec::new();
        if let Some(prompt) = prompt {
            for part in prompt.shared() {
                let part = Fingerprint::of_part(isolated, &prompt.model, &part.name);
                if parts.len() < MAX_PARTS && !parts.contains(&part) {
                    parts.push(part);
                }
            }
        }
        Self { request, parts }
    }
}
