//! Interface of the documents that the configuration state machine accepts.

use papayayard_document::document;

/// A document that can be parsed and validated.
pub trait Content: Sized {
    /// Parses and validates a document; the error describes every fault found.
    fn parse(text: &str) -> Result<Self, String>;
}

impl Content for document::Document {
    fn parse(text: &str) -> Result<Self, String> {
        Self::parse(text).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("; ")
        })
    }
}
