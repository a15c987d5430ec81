//! What the caller of a stream has got so far.
//!
//! Every event is checked against it before it is passed on: the position
//! must be the next one and the id the request's own. After a failure it is
//! what another endpoint continues from.

use papayayard_wire::completion::{Chunk, Continuation, Usage};

use crate::relay::sse;

/// Data of the event that ends a stream.
const END_MARK: &[u8] = b"[DONE]";

/// Tokens that the caller has.
pub(crate) struct Transcript {
    id: String,
    position: u64,
    text: String,
    usage: Option<Usage>,
    finished: bool,
}

/// What an event means for the stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Pass it on.
    Forward,
    /// Pass it on; the stream is complete.
    End,
}

/// Why an event cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mismatch {
    /// It is no chunk.
    Malformed,
    /// It belongs to another request.
    OtherRequest,
    /// Its position is not the next one.
    OutOfOrder,
    /// The end mark came before the last chunk.
    EndedEarly,
}

impl Transcript {
    /// Starts with nothing.
    pub(crate) fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            position: 0,
            text: String::new(),
            usage: None,
            finished: false,
        }
    }

    /// Checks an event and takes it down.
    pub(crate) fn take(&mut self, event: &[u8]) -> Result<Step, Mismatch> {
        let data = sse::data(event).ok_or(Mismatch::Malformed)?;
        if data == END_MARK {
            return if self.finished {
                Ok(Step::End)
            } else {
                Err(Mismatch::EndedEarly)
            };
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_| Mismatch::Malformed)?;
        if chunk.id != self.id {
            return Err(Mismatch::OtherRequest);
        }
        if chunk.position != self.position || self.finished {
            return Err(Mismatch::OutOfOrder);
        }
        self.position += u64::from(chunk.tokens);
        self.usage = chunk.usage.or(self.usage);
        for choice in &chunk.choices {
            let delta = choice
                .delta
                .as_ref()
                .and_then(|delta| delta.content.as_ref());
            if let Some(text) = choice.text.as_ref().or(delta) {
                self.text.push_str(text);
            }
            self.finished |= choice.finish_reason.is_some();
        }
        Ok(Step::Forward)
    }

    /// What another endpoint continues from; nothing where no token came.
    pub(crate) fn continuation(&self) -> Option<Continuation> {
        (self.position > 0).then(|| Continuation {
            position: self.position,
            text: self.text.clone(),
        })
    }

    /// Whether all tokens came and only the end mark is missing.
    pub(crate) fn finished(&self) -> bool {
        self.finished
    }

    /// Token counts, once the last chunk came.
    pub(crate) fn usage(&self) -> Option<Usage> {
        self.usage
    }
}
