//! Reads a completion: which model, and the keys of its prompt's pieces.

use std::fmt;
use std::time::Duration;

use papayayard_routing::{quarantine, salt};
use papayayard_wire::refusal::Kind;
use papayayard_wire::{block, completion, id};

use crate::exchange::{Completion, Whole};
use crate::filters::Filter;
use crate::refusal::Refusal;

/// Reads a completion.
pub(crate) struct Parse;

impl Filter<Whole> for Parse {
    type Output = Completion;

    async fn apply(&self, whole: Whole) -> Result<Completion, Refusal> {
        let request = parse(&whole.body)?;
        let active = &whole.known.active;
        let (name, adapter) = split(&request.model);
        let found = active.model(name).ok_or_else(|| unknown(&request.model))?;
        if let Some(adapter) = adapter
            && !found.model.adapters.iter().any(|a| a.as_str() == adapter)
        {
            return Err(unknown(&request.model));
        }
        let adapter = adapter.map(id::Adapter::from);
        let salt = salt::compute(&salt::Scope {
            account: &whole.known.account.id,
            service: found.name,
            model: &found.model.name,
            adapter: adapter.as_ref(),
            version: &found.model.version,
        });
        let block_bytes = active.document.block.bytes();
        let mut chain = block::Chain::new(salt, block_bytes);
        let mut prompt_bytes = 0;
        request.for_each_segment(|segment| {
            prompt_bytes += segment.len();
            chain.push(segment);
        });
        Ok(Completion {
            service: found.name.clone(),
            version: found.model.version.clone(),
            salt,
            block_bytes,
            keys: chain.finish().into(),
            prompt_bytes,
            stream: request.stream,
            max_tokens: request.max_tokens,
            first_token: Duration::from_millis(found.model.first_token_ms.into()),
            fingerprint: quarantine::Fingerprint::of(salt, &whole.body),
            whole,
        })
    }
}

fn parse(body: &[u8]) -> Result<completion::Request<'_>, Refusal> {
    let text = str::from_utf8(body).map_err(|error| malformed(&error))?;
    // A list would be read as the fields in their order.
    if !text.trim_ascii_start().starts_with('{') {
        return Err(malformed(&"it is no JSON object"));
    }
    let request: completion::Request<'_> =
        serde_json::from_str(text).map_err(|error| malformed(&error))?;
    if request.continuation.is_some() {
        return Err(Refusal::not_run(
            Kind::BadRequest,
            "`continuation` is reserved; leave it out",
        ));
    }
    if request.prompt.is_none() && request.messages.is_none() {
        return Err(Refusal::not_run(
            Kind::BadRequest,
            "the request has neither `prompt` nor `messages`; send one of them",
        ));
    }
    Ok(request)
}

fn malformed<Reason>(reason: &Reason) -> Refusal
where
    Reason: fmt::Display,
{
    Refusal::not_run(
        Kind::BadRequest,
        format!("the body is not a completion request: {reason}; send one JSON object in UTF-8"),
    )
}

fn split(model: &str) -> (&str, Option<&str>) {
    match model.split_once(':') {
        Some((name, adapter)) => (name, Some(adapter)),
        None => (model, None),
    }
}

fn unknown(model: &str) -> Refusal {
    Refusal::not_run(
        Kind::NotFound,
        format!("model {model:?} is not configured; `GET /v1/models` lists those that are"),
    )
}
