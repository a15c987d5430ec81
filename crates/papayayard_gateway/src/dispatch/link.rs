//! The way to one dispatcher.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_routing::placement::Ask;
use papayayard_wire::id;
use tokio::sync::Notify;

use super::message::{Call, Decision, Notice, Question, What};
use crate::peers;

/// Time that a dispatcher holds a question for which it has no place yet.
pub(super) const HOLD: Duration = Duration::from_millis(100);
/// Time for an answer beyond that: the way there and back, and the dispatcher's
/// turn on its processor.
const ANSWER: Duration = Duration::from_millis(120);
/// Most notices that wait; a dispatcher that takes none has ended.
const MOST_NOTICES: usize = 4096;

/// The way to one dispatcher.
pub(super) struct Link {
    /// The dispatcher.
    host: id::Host,
    /// This host.
    own: id::Host,
    /// This host's process.
    run: u64,
    client: peers::Client,
    news: Arc<Notify>,
    told: Mutex<Told>,
}

/// What is to be told, and when something was last.
#[derive(Default)]
struct Told {
    notices: Vec<Notice>,
    /// The dispatcher's process, as its last answer named it.
    of: u64,
    /// When it was called last.
    called: Duration,
    is_due: bool,
}

impl Link {
    pub(super) fn new(
        candidate: &Candidate,
        own: id::Host,
        run: u64,
        news: Arc<Notify>,
    ) -> Result<Self, String> {
        Ok(Self {
            host: candidate.host.clone(),
            own,
            run,
            client: peers::Client::within(candidate.address, HOLD + ANSWER)?,
            news,
            told: Mutex::default(),
        })
    }

    /// The dispatcher.
    pub(super) const fn host(&self) -> &id::Host {
        &self.host
    }

    /// Asks for an endpoint; `None` where the request still waits for one.
    pub(super) async fn ask(&self, ask: &Ask, now: Duration) -> Result<Option<Decision>, String> {
        let prompt = ask.prompt.as_ref();
        let question = prompt.map(|prompt| Question::new(ask, prompt, now));
        self.call(question, now).await
    }

    /// Notes something to be told soon.
    pub(super) fn tell(&self, ticket: u64, what: What) {
        let mut told = self.told();
        if told.notices.len() < MOST_NOTICES {
            told.notices.push(Notice { ticket, what });
        }
        drop(told);
        self.news.notify_one();
    }

    /// Lets the dispatcher hear from this host if it has not for a time.
    pub(super) fn greet(&self, after: Duration, now: Duration) {
        let mut told = self.told();
        told.is_due |= told.called + after <= now;
    }

    /// Tells what is to be told.
    pub(super) async fn flush(&self, now: Duration) -> Result<(), String> {
        {
            let told = self.told();
            if told.notices.is_empty() && !told.is_due {
                return Ok(());
            }
        }
        self.call(None, now).await?;
        Ok(())
    }

    async fn call(
        &self,
        question: Option<Question>,
        now: Duration,
    ) -> Result<Option<Decision>, String> {
        let call = {
            let mut told = self.told();
            told.called = now;
            told.is_due = false;
            Call {
                host: self.own.as_str().to_owned(),
                run: self.run,
                of: told.of,
                notices: std::mem::take(&mut told.notices),
                question,
            }
        };
        let answer = self.client.dispatch(call).await?;
        self.told().of = answer.run;
        Ok(answer.decision)
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
