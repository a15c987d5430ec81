//! Cuts a stream's bytes into whole events and keeps their positions.

use bytes::{Bytes, BytesMut};

/// Bytes of the longest end of an event.
const MAX_TERMINATOR_BYTES: usize = 4;
/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream after the last whole event.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    partial: BytesMut,
    position: Option<u64>,
}

/// A stream's event is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// A splitter for a stream that goes on after a position.
    pub(crate) fn after(position: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            position,
        }
    }

    /// Takes bytes and gives the whole events among them.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Result<Bytes, TooLong> {
        // The end of an event may lie across the last bytes and these.
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

    /// Position of the last whole event.
    pub(crate) const fn position(&self) -> Option<u64> {
        self.position
    }

    /// Whether the bytes so far end with a whole event.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }
}

/// Where the last whole event ends: after an empty line.
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

/// The last position that an event states.
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
