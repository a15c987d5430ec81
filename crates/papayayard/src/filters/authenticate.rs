//! Finds the client account of a request's bearer key.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, header};
use papayayard_wire::header as names;
use papayayard_wire::refusal::Kind;
use tokio::sync::watch;

use crate::controllers::configuration;
use crate::exchange::{Arrival, Known};
use crate::filters::Filter;
use crate::refusal::Refusal;

/// When to come back to a host that has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Finds the client account.
pub(crate) struct Authenticate {
    active: watch::Receiver<configuration::Current>,
}

impl Authenticate {
    /// Makes the filter.
    pub(crate) fn new(active: watch::Receiver<configuration::Current>) -> Self {
        Self { active }
    }
}

impl Filter<Arrival> for Authenticate {
    type Output = Known;

    async fn apply(&self, arrival: Arrival) -> Result<Known, Refusal> {
        let current = self.active.borrow().clone();
        let active = current.ok_or_else(not_ready)?;
        let bearer = bearer(&arrival.head.headers).ok_or_else(no_key)?;
        let account = active.account(bearer).map(Arc::clone).ok_or_else(no_key)?;
        let deadline = deadline(&arrival)?;
        Ok(Known {
            arrival,
            active,
            account,
            deadline,
        })
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn deadline(arrival: &Arrival) -> Result<Option<Duration>, Refusal> {
    let Some(value) = arrival.head.headers.get(names::DEADLINE_MS) else {
        return Ok(None);
    };
    let wait = value.to_str().ok().and_then(|text| text.parse().ok());
    let wait = wait.ok_or_else(|| {
        Refusal::not_run(
            Kind::BadRequest,
            format!("{} is not a number of milliseconds", names::DEADLINE_MS),
        )
    })?;
    Ok(arrival.received.checked_add(Duration::from_millis(wait)))
}

fn not_ready() -> Refusal {
    Refusal::not_run(
        Kind::NotReady,
        "this host has no configuration yet; come back later or try another host",
    )
    .after(NOT_READY_RETRY)
}

fn no_key() -> Refusal {
    Refusal::not_run(
        Kind::Unauthorized,
        "the request bears no key of a client account; send it as `Authorization: Bearer KEY`",
    )
}
