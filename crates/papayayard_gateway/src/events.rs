//! Splits a stream of server-sent events after complete events and tracks their ids.

use bytes::{Bytes, BytesMut};

/// Length of the longest event terminator, `\r\n\r\n`.
const MAX_TERMINATOR_BYTES: usize = 4;
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream after the last complete event.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    partial: BytesMut,
    position: Option<u64>,
}

/// An event exceeds `MAX_EVENT_BYTES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// Creates a splitter for a stream that resumes after a position.
    pub(crate) fn after(position: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            position,
        }
    }

    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Result<Bytes, TooLong> {
        // A terminator may be split between the previous bytes and the new ones.
        let search_start = self.partial.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial[search_start..]);
        let Some(end) = end.map(|end| search_start + end) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            return Ok(Bytes::new());
        };
        let whole = self.partial.split_to(end).freeze();
        if let Some(position) = last_position(&whole) {
            self.position = Some(position);
        }
        Ok(whole)
    }

    /// Position of the last complete event.
    pub(crate) const fn position(&self) -> Option<u64> {
        self.position
    }

    /// Whether the stream so far ends with a complete event.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }
}

/// Index after the last complete event, which an empty line terminates.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// Last numeric `id` field among the events.
fn last_position(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    lines.find_map(|line| {
        let text = std::str::from_utf8(line).ok()?;
        text.strip_prefix("id:")?.trim().parse().ok()
    })
}

#[cfg(test)]
#[path = "events_test.rs"]
mod test;
