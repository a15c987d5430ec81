//! Hosts that were asked to serve a request, and which of them goes on with it.
//!
//! A host that is silent may only be held up for a moment. Another one is asked meanwhile, but the
//! silent host's answer is awaited until the other one has taken the request: it gets the head
//! first, and asks for the body. A host that has asked for it may still find that it cannot serve
//! the request; it says so soon, and only after that time the silent host is left. Leaving a host
//! drops its connection, so that it does not go on.

use std::future;
use std::pin::Pin;
use std::time::Duration;

use http::Response;
use papayayard_wire::id;
use tokio::time::{self, Instant};

use crate::attempt::Failure;
use crate::body::Body;
use crate::held::Gate;

/// Time within which a host that has asked for a request states that it does not take it.
const STATEMENT_TIME: Duration = Duration::from_millis(200);

/// Outcome of a request at a host.
pub(super) type Outcome = Result<Response<Body>, Failure>;

/// A request that a host was asked to serve.
pub(super) struct Handover<Answer> {
    pub(super) host: id::Host,
    /// Number of runs that go with the request.
    pub(super) runs: u32,
    answer: Pin<Box<Answer>>,
    /// Time from which another host may be asked; `None` if none may be.
    patience: Option<Instant>,
    gate: Gate,
    /// Time from which the host has taken the request, unless it states otherwise.
    taken_at: Option<Instant>,
}

/// What happens to a request that a host was asked to serve after a silent one.
pub(super) enum Event {
    /// The silent host has answered, or failed.
    Earlier(Outcome),
    /// The newest host has taken the request that the silent one has too.
    Taken,
    /// The newest host has answered, or failed.
    Ended(Outcome),
    /// The newest host, which may have the request, is silent.
    Silent,
    /// The newest host is silent and was not handed over the request.
    Unasked,
}

impl<Answer> Handover<Answer>
where
    Answer: Future<Output = Outcome>,
{
    /// Creates a handover of a request to a host that has `patience` to answer.
    pub(super) fn new(
        host: id::Host,
        runs: u32,
        patience: Option<Duration>,
        gate: Gate,
        answer: Answer,
    ) -> Self {
        Self {
            host,
            runs,
            answer: Box::pin(answer),
            patience: patience.map(|patience| Instant::now() + patience),
            gate,
            taken_at: None,
        }
    }

    /// Waits until the host has answered or failed.
    pub(super) async fn end(&mut self) -> Outcome {
        self.answer.as_mut().await
    }

    /// Waits for the next event of this host, or of the silent one that was asked before.
    pub(super) async fn next_event(&mut self, silent: Option<&mut Self>) -> Event {
        let is_alone = silent.is_none();
        let earlier = until_ended(silent);
        tokio::pin!(earlier);
        loop {
            tokio::select! {
                biased;
                outcome = &mut earlier => return Event::Earlier(outcome),
                outcome = self.answer.as_mut() => return Event::Ended(outcome),
                () = self.gate.until_asked(), if !self.gate.is_open() => {
                    self.gate.release();
                    self.taken_at = Some(Instant::now() + STATEMENT_TIME);
                }
                () = until(self.taken_at), if !is_alone => return Event::Taken,
                () = until(self.patience) => return self.silence(),
            }
        }
    }

    const fn silence(&self) -> Event {
        if self.gate.is_open() {
            Event::Silent
        } else {
            Event::Unasked
        }
    }
}

async fn until_ended<Answer>(handover: Option<&mut Handover<Answer>>) -> Outcome
where
    Answer: Future<Output = Outcome>,
{
    match handover {
        Some(handover) => handover.end().await,
        None => future::pending().await,
    }
}

/// Waits until a time, if there is one.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => time::sleep_until(time).await,
        None => future::pending().await,
    }
}
