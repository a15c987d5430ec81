//! Cuts a byte stream into server-sent events without copying.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// Cuts frames of any length into events.
#[derive(Default)]
pub(crate) struct Splitter {
    partial: BytesMut,
    ready: Bytes,
}

/// An event is longer than the bound.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// Adds the next frame. Take all events before the next call.
    pub(crate) fn push(&mut self, frame: Bytes) -> Result<(), TooLong> {
        if self.partial.is_empty() {
            self.ready = frame;
            return Ok(());
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.partial.extend_from_slice(&frame);
        self.ready = self.partial.split().freeze();
        Ok(())
    }

    /// Takes the next whole event, its separator included.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        if let Some(end) = end_of_event(&self.ready) {
            return Some(self.ready.split_to(end));
        }
        self.partial.extend_from_slice(&self.ready);
        self.ready = Bytes::new();
        None
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(SEPARATOR.len())
        .position(|window| window == SEPARATOR)?;
    Some(start + SEPARATOR.len())
}

/// The data of an event, without the field's name and the line's end.
pub(crate) fn data(event: &[u8]) -> Option<&[u8]> {
    let rest = event.strip_prefix(b"data:")?;
    Some(rest.trim_ascii())
}
