//! What a configuration document must offer to be folded.

use papayayard_document::document;

/// A document that can be read and checked.
pub trait Content: Sized {
    /// Reads and checks a document; the error says what is wrong.
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
