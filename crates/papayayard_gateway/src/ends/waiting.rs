//! Requests that wait for probes, by what the probes ask.
//!
//! A probe that finds life speaks for the time at which it began: a run may end between its
//! answer and the end of another connection. Requests that come meanwhile wait for the next one.

use std::collections::HashMap;
use std::hash::Hash;

/// Requests that wait, and the questions that are being asked for them.
#[derive(Debug)]
pub(super) struct Waiting<Question, Request>(HashMap<Question, Asked<Request>>);

/// Requests with the same question.
#[derive(Debug)]
struct Asked<Request> {
    /// Those that came before the probe began.
    now: Vec<Request>,
    later: Vec<Request>,
}

impl<Question, Request> Default for Waiting<Question, Request> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<Question, Request> Waiting<Question, Request>
where
    Question: Eq + Hash,
{
    /// Adds a request, and returns whether a probe must begin.
    pub(super) fn add(&mut self, question: Question, request: Request) -> bool {
        if let Some(asked) = self.0.get_mut(&question) {
            asked.later.push(request);
            return false;
        }
        let asked = Asked {
            now: vec![request],
            later: Vec::new(),
        };
        self.0.insert(question, asked);
        true
    }

    /// Returns the requests that a finished probe speaks for, and whether another one must
    /// begin. `is_final` tells that no later probe can show anything else.
    pub(super) fn finish(&mut self, question: Question, is_final: bool) -> (Vec<Request>, bool) {
        let Some(Asked { mut now, later }) = self.0.remove(&question) else {
            return (Vec::new(), false);
        };
        if is_final {
            now.extend(later);
            return (now, false);
        }
        if later.is_empty() {
            return (now, false);
        }
        let asked = Asked {
            now: later,
            later: Vec::new(),
        };
        self.0.insert(question, asked);
        (now, true)
    }
}

#[cfg(test)]
#[path = "waiting_test.rs"]
mod test;
