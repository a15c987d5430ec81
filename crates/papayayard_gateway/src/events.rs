//! Splits a stream of server-sent events after complete events and tracks their ids.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Length of the longest event terminator, `\r\n\r\n`.
const MAX_TERMINATOR_BYTES: usize = 4;
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream after the last complete event.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    partial: BytesMut,
    position: Option<u64>,
}

/// Complete events that continue the stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Events {
    pub(crate) bytes: Bytes,
    /// Why the bytes after them do not.
    pub(crate) fault: Option<Fault>,
}

/// Why bytes do not continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum Fault {
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes; send smaller events"))]
    TooLong,
    #[snafu(display("the text is no event with a number as its id; send events only"))]
    NoEvent,
    #[snafu(display("the event {id} comes after the event {last}; send increasing ids"))]
    OutOfOrder { id: u64, last: u64 },
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after a position.
    pub(crate) fn after(position: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            position,
        }
    }

    /// Appends bytes and returns the events that are now complete, up to the first that
    /// does not continue the stream.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Events {
        // A terminator may be split between the previous bytes and the new ones.
        let search_start = self.partial.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial[search_start..]);
        let Some(end) = end.map(|end| search_start + end) else {
            let is_too_long = self.partial.len() > MAX_EVENT_BYTES;
            return Events {
                bytes: Bytes::new(),
                fault: is_too_long.then_some(Fault::TooLong),
            };
        };
        let whole = self.partial.split_to(end).freeze();
        let (length, fault) = self.check(&whole);
        Events {
            bytes: whole.slice(..length),
            fault,
        }
    }

    /// Position of the last complete event.
    pub(crate) const fn position(&self) -> Option<u64> {
        self.position
    }

    /// Bytes of an event that is not complete.
    pub(crate) fn pending(&self) -> usize {
        self.partial.len()
    }

    /// Whether the stream so far ends with a complete event.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Advances the position over the events that continue the stream. Returns their length
    /// and the fault of the event after them.
    fn check(&mut self, whole: &[u8]) -> (usize, Option<Fault>) {
        let mut length = 0;
        while let Some(end) = first_event_end(&whole[length..]) {
            match next_position(&whole[length..length + end], self.position) {
                Ok(position) => self.position = position,
                Err(fault) => return (length, Some(fault)),
            }
            length += end;
        }
        (length, None)
    }
}

/// Index after the first complete event, which an empty line terminates.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_first(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_first(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.into_iter().chain(crlf).min()
}

/// Index after the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_first(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// Position after an event that follows the position `last`. Comments do not advance it.
fn next_position(event: &[u8], last: Option<u64>) -> Result<Option<u64>, Fault> {
    let lines = event.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut has_fields = false;
    let mut id = None;
    for line in lines.filter(|line| !line.is_empty() && line[0] != b':') {
        let (name, value) = field(line).ok_or(Fault::NoEvent)?;
        has_fields = true;
        if name == b"id" {
            id = Some(number(value).ok_or(Fault::NoEvent)?);
        }
    }
    match (id, last) {
        (None, _) if has_fields => Err(Fault::NoEvent),
        (None, _) => Ok(last),
        (Some(id), Some(last)) if id <= last => Err(Fault::OutOfOrder { id, last }),
        (Some(id), _) => Ok(Some(id)),
    }
}

/// Name and value of a line's field.
fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(end.unwrap_or(line.len()));
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    let value = value.strip_prefix(b":").unwrap_or(value);
    name.iter().all(is_name).then_some((name, value))
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
#[path = "events_test.rs"]
mod test;
