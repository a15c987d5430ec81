//! Errors found in a document, each with its location and a suggested fix.

use std::fmt;

/// An error in a configuration document or in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the text, starting at 1, if known.
    pub line: Option<usize>,
    /// Path of the key, such as `accounts[2].id`; empty if the fault concerns the
    /// whole text.
    pub key: String,
    pub problem: String,
    /// Suggested fix.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}; {}", self.problem, self.remedy)
    }
}

/// Formats faults as text, one per line.
pub fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

/// Maximum number of reported faults; a hostile text could have one in each byte.
pub const MAX_FAULTS: usize = 1000;

/// Faults collected while reading a text, at most [`MAX_FAULTS`].
#[derive(Debug, Default)]
pub struct List(Vec<Fault>);

impl List {
    /// Adds a fault, unless the list is full.
    pub fn push(&mut self, fault: Fault) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(fault);
        }
    }

    /// Returns the faults sorted by line.
    pub fn into_sorted(mut self) -> Vec<Fault> {
        self.0.sort_by_key(|fault| fault.line);
        self.0
    }
}
