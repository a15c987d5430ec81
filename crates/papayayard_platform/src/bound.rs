//! Time limit of one call to the platform.

use std::time::Duration;

use tokio::time;

use crate::service::Error;

/// A call may ask the service to wait for one part in this many of its time limit, and
/// the rest is left for the answer.
const WAIT_PART: u32 = 2;

/// Limits how long a call may take, its wait for records included.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    timeout: Duration,
}

impl Bound {
    pub const fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Runs a call that would have the service wait for up to `wait`; `start` gets the
    /// wait to ask for, which leaves time for the answer.
    pub async fn call<Start, Call, Answer>(
        self,
        wait: Duration,
        start: Start,
    ) -> Result<Answer, Error>
    where
        Start: FnOnce(Duration) -> Call,
        Call: Future<Output = Result<Answer, Error>>,
    {
        let wait = wait.min(self.timeout / WAIT_PART);
        time::timeout(self.timeout, start(wait))
            .await
            .unwrap_or_else(|_| Err(late()))
    }
}

fn late() -> Error {
    Error::Lost {
        reason: "the answer took too long".to_owned(),
    }
}
