//! The way to one dispatcher.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use papayayard_coordination::ranking::Candidate;
use papayayard_routing::placement::Query;
use papayayard_wire::id;
use tokio::sync::Notify;

use super::message::{Answer, Call, Notice, Question, What};
use super::register::Register;
use crate::peers;

/// Time that a dispatcher holds a question for which it has no place yet.
pub(super) const HOLD: Duration = Duration::from_millis(100);
/// Time for an answer beyond that: the way there and back, and the dispatcher's
/// turn on its processor.
const ANSWER: Duration = Duration::from_millis(120);
/// Most notices that wait; a dispatcher that takes none has ended.
const MOST_NOTICES: usize = 4096;

/// This host, as dispatchers see it.
#[derive(Clone)]
pub(super) struct Own {
    pub(super) host: id::Host,
    pub(super) zone: id::Zone,
    /// Its process.
    pub(super) run: u64,
    /// Its requests that run.
    pub(super) register: Register,
    /// Woken when something is to be told.
    pub(super) news: Arc<Notify>,
}

/// The way to one dispatcher.
pub(super) struct Link {
    /// The dispatcher.
    candidate: Candidate,
    own: Own,
    client: peers::Client,
    told: Mutex<Told>,
}

/// What is to be told, and when something was last.
#[derive(Default)]
struct Told {
    notices: Vec<Notice>,
    /// The dispatcher's process, as its last answer named it.
    of: Option<u64>,
    /// When it was called last.
    called: Duration,
}

impl Link {
    pub(super) fn new(candidate: &Candidate, own: Own) -> Result<Self, String> {
        Ok(Self {
            candidate: candidate.clone(),
            own,
            client: peers::Client::with_timeout(candidate.address, HOLD + ANSWER)?,
            told: Mutex::default(),
        })
    }

    /// The dispatcher.
    pub(super) const fn host(&self) -> &id::Host {
        &self.candidate.host
    }

    /// The dispatcher, and where it answers.
    pub(super) const fn candidate(&self) -> &Candidate {
        &self.candidate
    }

    /// Asks for an endpoint.
    pub(super) async fn ask(
        &self,
        number: u64,
        ask: &Query,
        now: Duration,
    ) -> Result<Answer, String> {
        let prompt = ask.prompt.as_ref();
        let question = prompt.map(|prompt| Question::new(number, ask, prompt, now));
        self.call(question, now).await
    }

    /// Lets the dispatcher hear from this host.
    pub(super) async fn greet(&self, now: Duration) -> Result<Answer, String> {
        self.call(None, now).await
    }

    /// Notes something to be told soon.
    pub(super) fn tell(&self, number: u64, what: What) {
        let mut told = self.told();
        if told.notices.len() < MOST_NOTICES {
            told.notices.push(Notice { number, what });
        }
        drop(told);
        self.own.news.notify_one();
    }

    /// Whether something is to be told.
    pub(super) fn has_news(&self) -> bool {
        !self.told().notices.is_empty()
    }

    /// When it was called last.
    pub(super) fn called(&self) -> Duration {
        self.told().called
    }

    async fn call(&self, question: Option<Question>, now: Duration) -> Result<Answer, String> {
        let call = {
            let mut told = self.told();
            told.called = now;
            Call {
                host: self.own.host.as_str().to_owned(),
                run: self.own.run,
                zone: self.own.zone.as_str().to_owned(),
                notices: std::mem::take(&mut told.notices),
                question,
            }
        };
        let answer = self.client.dispatch(call).await?;
        let mut told = self.told();
        if told.of != Some(answer.run) {
            told.of = Some(answer.run);
            told.notices.extend(self.own.register.notices(now));
            self.own.news.notify_one();
        }
        drop(told);
        Ok(answer)
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
