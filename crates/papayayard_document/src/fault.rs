//! Faults of a document, each with its place and its remedy.

use std::fmt;

/// One fault of a document or of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the text, from 1, where it is known.
    pub line: Option<usize>,
    /// Path of the key, such as `accounts[2].id`; empty for the whole text.
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
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}; {}", self.problem, self.remedy)
    }
}

/// Faults as text, one a line.
pub fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

/// Most faults that are listed; a hostile text could have one in each byte.
pub const MAX_FAULTS: usize = 1000;

/// Faults found so far.
#[derive(Debug, Default)]
pub struct List(Vec<Fault>);

impl List {
    /// Adds a fault, unless the list is full.
    pub fn push(&mut self, fault: Fault) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(fault);
        }
    }

    /// The faults in the order of their lines.
    pub fn into_sorted(mut self) -> Vec<Fault> {
        self.0.sort_by_key(|fault| fault.line);
        self.0
    }
}
