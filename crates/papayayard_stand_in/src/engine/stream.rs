//! Answers of an engine, streamed or whole.

use std::borrow::Cow;
use std::task::{Context, Poll};

use bytes::Bytes;
use papayayard_wire::completion::{Answer, Choice, Chunk, Delta, Details, Usage};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::generate::{self, Digest};
use crate::server::Dropped;

/// Pieces that wait for a reader before its request stalls.
pub const BUFFERED_PIECES: usize = 64;
/// Most pieces that go into one frame.
const MAX_PIECES: usize = 32;
/// End mark of a stream.
const DONE: &str = "data: [DONE]\n\n";

/// A part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// One token.
    Token(u64),
    /// The end, with the prompt tokens that were found in the cache.
    End {
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
    },
}

/// What an answer looks like.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Identifier in the answer.
    pub id: String,
    /// Model as it was asked for.
    pub model: String,
    /// Whether it answers a chat completion.
    pub chat: bool,
    /// Digest of the prompt.
    pub digest: Digest,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Position after the last token.
    pub until: u64,
    /// Position before which the stream is cut on order.
    pub cut_at: Option<u64>,
}

/// Body of a streamed answer.
#[derive(Debug)]
pub struct Stream {
    shape: Shape,
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Stream {
    /// Streams the pieces as server-sent events.
    pub const fn new(shape: Shape, pieces: mpsc::Receiver<Piece>) -> Self {
        Self {
            shape,
            pieces,
            ended: false,
        }
    }

    pub(crate) fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Dropped>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let mut text = String::new();
        for _ in 0..MAX_PIECES {
            match self.pieces.poll_recv(context) {
                Poll::Pending if text.is_empty() => return Poll::Pending,
                Poll::Pending => break,
                Poll::Ready(piece) => {
                    if !self.write(&mut text, piece) {
                        self.ended = true;
                        return Poll::Ready(Some(Err(Dropped)));
                    }
                }
            }
            if self.ended {
                break;
            }
        }
        Poll::Ready(Some(Ok(Bytes::from(text))))
    }

    /// Writes one piece; false where the stream breaks off.
    fn write(&mut self, text: &mut String, piece: Option<Piece>) -> bool {
        match piece {
            None => return false,
            Some(Piece::Token(position)) => {
                if self.shape.cut_at.is_some_and(|cut| position >= cut) {
                    return false;
                }
                self.shape.write_token(text, position);
            }
            Some(Piece::End { cached_tokens }) => {
                self.shape.write_end(text, cached_tokens);
                self.ended = true;
            }
        }
        true
    }
}

impl Shape {
    /// The whole answer in JSON.
    pub fn whole(&self, from: u64, cached_tokens: u64) -> Answer<'_> {
        let text = generate::text(self.digest, from, self.until);
        Answer {
            id: Cow::Borrowed(&self.id),
            object: Cow::Borrowed(if self.chat {
                "chat.completion"
            } else {
                "text_completion"
            }),
            model: Cow::Borrowed(&self.model),
            choices: vec![Choice {
                index: 0,
                text: (!self.chat).then(|| Cow::Owned(text.clone())),
                delta: None,
                message: self.chat.then_some(Delta {
                    role: Some(Cow::Borrowed("assistant")),
                    content: Some(Cow::Owned(text)),
                }),
                finish_reason: Some(Cow::Borrowed("length")),
            }],
            usage: self.usage(cached_tokens),
        }
    }

    fn write_token(&self, text: &mut String, position: u64) {
        let mut token = String::with_capacity(generate::TOKEN_BYTES);
        generate::push_token(&mut token, self.digest, position);
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(Cow::Borrowed(token.as_str())),
            delta: self.chat.then(|| Delta {
                role: (position == 0).then_some(Cow::Borrowed("assistant")),
                content: Some(Cow::Borrowed(token.as_str())),
            }),
            message: None,
            finish_reason: None,
        };
        self.write_chunk(text, position, 1, choice, None);
    }

    fn write_end(&self, text: &mut String, cached_tokens: u64) {
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(Cow::Borrowed("")),
            delta: self.chat.then_some(Delta {
                role: None,
                content: None,
            }),
            message: None,
            finish_reason: Some(Cow::Borrowed("length")),
        };
        let usage = Some(self.usage(cached_tokens));
        self.write_chunk(text, self.until, 0, choice, usage);
        text.push_str(DONE);
    }

    fn write_chunk(
        &self,
        text: &mut String,
        position: u64,
        tokens: u32,
        choice: Choice<'_>,
        usage: Option<Usage>,
    ) {
        let chunk = Chunk {
            id: Cow::Borrowed(&self.id),
            object: Cow::Borrowed(if self.chat {
                "chat.completion.chunk"
            } else {
                "text_completion"
            }),
            model: Cow::Borrowed(&self.model),
            position,
            tokens,
            choices: vec![choice],
            usage,
        };
        write_event(text, &chunk);
    }

    const fn usage(&self, cached_tokens: u64) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.until,
            total_tokens: self.prompt_tokens + self.until,
            prompt_tokens_details: Details { cached_tokens },
        }
    }
}

fn write_event<Value>(text: &mut String, value: &Value)
where
    Value: Serialize,
{
    let Ok(json) = serde_json::to_string(value) else {
        return;
    };
    text.push_str("data: ");
    text.push_str(&json);
    text.push_str("\n\n");
}
