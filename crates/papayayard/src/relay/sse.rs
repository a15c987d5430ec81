//! Cuts a byte stream into server-sent events without copying.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// Joins frames of any length to whole events.
#[derive(Default)]
pub(crate) struct Joiner {
    partial: BytesMut,
}

/// An event is longer than the bound.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Joiner {
    /// Adds the next frame; answers the events that are whole with it.
    pub(crate) fn push(&mut self, frame: Bytes) -> Result<Bytes, TooLong> {
        let mut all = frame;
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&all);
            all = self.partial.split().freeze();
        }
        let rest = all.split_off(end_of_last_event(&all));
        if rest.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.partial.extend_from_slice(&rest);
        Ok(all)
    }

    /// Forgets the part of an event that was not whole.
    pub(crate) fn clear(&mut self) {
        self.partial.clear();
    }
}

fn end_of_last_event(bytes: &[u8]) -> usize {
    let mut windows = bytes.windows(SEPARATOR.len());
    let start = windows.rposition(|window| window == SEPARATOR);
    start.map_or(0, |start| start + SEPARATOR.len())
}

/// Cuts bytes that hold whole events into events, separators included.
pub(crate) fn events(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let mut windows = bytes.windows(SEPARATOR.len());
        let start = windows.position(|window| window == SEPARATOR)?;
        let (event, rest) = bytes.split_at(start + SEPARATOR.len());
        bytes = rest;
        Some(event)
    })
}

/// The data of an event, without the field's name and the line's end.
pub(crate) fn data(event: &[u8]) -> Option<&[u8]> {
    let rest = event.strip_prefix(b"data:")?;
    Some(rest.trim_ascii())
}
