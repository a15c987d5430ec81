//! How often a request may run at this host.
//!
//! A host that passes a request on hands over some of the runs that its route allows, and counts
//! them as used once the request may have run. While it may still turn to a third host, it hands
//! over a single one; the others are for a stream that has begun, which no other host gets.

use std::time::Duration;

use http::HeaderValue;

/// Runs that this host may use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allowance {
    /// Maximum number of runs until a stream begins.
    pub(crate) runs: u32,
    /// Maximum number of runs at all hosts together.
    pub(crate) total: u32,
    /// Time after the arrival of the request within which a stream must begin to use them all.
    pub(crate) stream_within: Duration,
}

impl Allowance {
    /// Creates the allowance of a host that passes the request on to no third one.
    pub(crate) const fn all(runs: u32) -> Self {
        Self {
            runs,
            total: runs,
            stream_within: Duration::ZERO,
        }
    }

    /// Creates the allowance of a host after which another one may have the request.
    pub(crate) const fn single(total: u32, stream_within: Duration) -> Self {
        Self {
            runs: 1,
            total,
            stream_within,
        }
    }

    /// Decodes what another host has handed over, within the attempts of the route. A host of an
    /// older release does not say it, and counts one run.
    pub(crate) fn decode(value: Option<&HeaderValue>, attempts: u32) -> Self {
        let told = value.and_then(|value| parse(value.to_str().ok()?));
        let told = told.unwrap_or(Self::all(1));
        Self {
            runs: told.runs.min(attempts),
            total: told.total.min(attempts),
            ..told
        }
    }

    pub(crate) fn encode(&self) -> HeaderValue {
        let Self { runs, total, .. } = self;
        let text = format!("{runs} {total} {}", self.stream_within.as_millis());
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1 1 0"))
    }

    /// Returns the allowance of a stream that begins after `waited`.
    pub(crate) fn of_stream(self, waited: Duration) -> Self {
        if waited <= self.stream_within {
            Self::all(self.total)
        } else {
            self
        }
    }
}

fn parse(text: &str) -> Option<Allowance> {
    let mut numbers = text.split(' ');
    let runs = numbers.next()?.parse().ok()?;
    let total = numbers.next()?.parse().ok()?;
    let stream_within = Duration::from_millis(numbers.next()?.parse().ok()?);
    let is_valid = 0 < runs && runs <= total && numbers.next().is_none();
    is_valid.then_some(Allowance {
        runs,
        total,
        stream_within,
    })
}

#[cfg(test)]
#[path = "allowance_test.rs"]
mod allowance_test;
