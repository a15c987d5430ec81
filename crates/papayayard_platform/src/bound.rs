//! Time limit of one call to the platform.

use std::time::Duration;

use tokio::time;

use crate::service::Error;

/// Limits how long a call may take.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    timeout: Duration,
}

impl Bound {
    pub const fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Runs a call that asks the service to wait for up to `wait`; `start` gets the
    /// wait to ask for.
    pub async fn call<Start, Call, Answer>(
        self,
        wait: Duration,
        start: Start,
    ) -> Result<Answer, Error>
    where
        Start: FnOnce(Duration) -> Call,
        Call: Future<Output = Result<Answer, Error>>,
    {
        time::timeout(self.timeout + wait, start(wait))
            .await
            .unwrap_or_else(|_| Err(late()))
    }
}

fn late() -> Error {
    Error::Lost {
        reason: "the answer took too long".to_owned(),
    }
}
