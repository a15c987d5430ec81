//! Completion requests and answers in the callers' protocol.
//!
//! A request is read as a view into its body, which is passed on unchanged.
//! Fields that the router does not need are left to the endpoint.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A body of `POST /v1/completions` or `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct Request<'a> {
    /// Public name of the model, or `model:adapter`.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Prompt of a plain completion.
    #[serde(borrow, default)]
    pub prompt: Option<Prompt<'a>>,
    /// Messages of a chat completion.
    #[serde(borrow, default)]
    pub messages: Option<Vec<Message<'a>>>,
    /// Whether tokens are sent as they are generated.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Tokens that an earlier endpoint generated; set by the router only.
    #[serde(default)]
    pub continuation: Option<Continuation>,
}

/// A prompt as text or as token ids.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Prompt<'a> {
    /// Text in UTF-8.
    #[serde(borrow)]
    Text(Cow<'a, str>),
    /// Token ids.
    Tokens(Vec<u32>),
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub struct Message<'a> {
    /// Author of the message.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// Text of the message.
    #[serde(borrow)]
    pub content: Cow<'a, str>,
}

/// Tokens that the caller already has, for an endpoint that goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Continuation {
    /// Position of the first token to generate.
    pub position: u64,
    /// Text of the tokens before it.
    pub text: String,
}

impl Request<'_> {
    /// Passes the prompt's bytes to `take`, in order, without joining them.
    pub fn for_each_segment<Take>(&self, mut take: Take)
    where
        Take: FnMut(&[u8]),
    {
        match &self.prompt {
            Some(Prompt::Text(text)) => take(text.as_bytes()),
            Some(Prompt::Tokens(tokens)) => {
                for token in tokens {
                    take(&token.to_le_bytes());
                }
            }
            None => {}
        }
        for message in self.messages.iter().flatten() {
            take(message.role.as_bytes());
            take(b"\n");
            take(message.content.as_bytes());
            take(b"\n");
        }
    }

    /// Length of the prompt in bytes.
    pub fn prompt_len(&self) -> usize {
        let mut total = 0;
        self.for_each_segment(|segment| total += segment.len());
        total
    }
}

/// One server-sent event of a streamed answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// Identifier of the completion.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// `text_completion` or `chat.completion.chunk`.
    #[serde(borrow)]
    pub object: Cow<'a, str>,
    /// Public name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Position of the chunk's first token in the answer, from 0.
    pub position: u64,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// One choice.
    #[serde(borrow)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a chunk or of a whole answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// Index of the choice.
    pub index: u32,
    /// Text of a plain completion.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// New text of a streamed chat completion.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta<'a>>,
    /// Message of a whole chat completion.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Delta<'a>>,
    /// Why the answer ended: `stop` or `length`.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// Text of a chat message or of a part of it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Delta<'a> {
    /// Author, `assistant`.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Cow<'a, str>>,
    /// Text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
}

/// A whole answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer<'a> {
    /// Identifier of the completion.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// `text_completion` or `chat.completion`.
    #[serde(borrow)]
    pub object: Cow<'a, str>,
    /// Public name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// One choice.
    #[serde(borrow)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts.
    pub usage: Usage,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
    /// Of the prompt's tokens, those found in the cache.
    #[serde(default)]
    pub prompt_tokens_details: Details,
}

/// Breakdown of the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// Tokens found in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
