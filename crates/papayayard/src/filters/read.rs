//! Reads a request's body, within bounds on size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use papayayard_wire::refusal::Kind;
use salvo::http::ReqBody;
use tokio::time;

use crate::exchange::{Known, Whole};
use crate::filters::Filter;
use crate::refusal::Refusal;
use crate::settings;

/// Reads the body.
pub(crate) struct Read {
    most_bytes: usize,
    time: Duration,
}

impl Read {
    /// Makes the filter.
    pub(crate) fn new(limits: &settings::Limits) -> Self {
        Self {
            most_bytes: limits.body_bytes,
            time: limits.send,
        }
    }

    async fn collect(&self, body: ReqBody) -> Result<Bytes, Refusal> {
        let limited = Limited::new(body, self.most_bytes);
        let collected = time::timeout(self.time, limited.collect())
            .await
            .map_err(|_| {
                Refusal::not_run(
                    Kind::SlowRequest,
                    "the body took too long to arrive; send it faster or in smaller requests",
                )
            })?;
        match collected {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
                Kind::TooLarge,
                format!("the body is longer than {} bytes", self.most_bytes),
            )),
            Err(_) => Err(Refusal::not_run(
                Kind::BadRequest,
                "the body ended early; send it whole",
            )),
        }
    }
}

impl Filter<Known> for Read {
    type Output = Whole;

    async fn apply(&self, mut known: Known) -> Result<Whole, Refusal> {
        let incoming = std::mem::take(&mut known.arrival.body);
        let body = self.collect(incoming).await?;
        Ok(Whole { known, body })
    }
}
