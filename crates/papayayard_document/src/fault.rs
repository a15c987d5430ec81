//! Faults of a document, each with its place and its remedy.

use std::fmt;

/// One fault of a document or of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the text, from 1, where it is known.
    pub line: Option<usize>,
    /// Path of the key, such as `accounts[2].id`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        write!(formatter, "{}: {}; {}", self.key, self.problem, self.remedy)
    }
}
