use std::sync::{Arc, Mutex};
use std::time::Duration;

use papayayard_platform::bound::Bound;
use papayayard_platform::service::{self, Error};
use papayayard_wire::{directory, id};
use rstest::rstest;
use tokio::sync::watch;
use tokio::time;

use super::directory::follow;
use super::fake_log_test::CALL_TIMEOUT;

/// Time between two reads, as settings have it by default.
const PERIOD: Duration = Duration::from_millis(500);

/// What a read gets.
#[derive(Clone, Copy, Debug)]
enum State {
    Answered,
    Refused,
    Silent,
}

/// A list whose only host has a new name each time that it is changed.
#[derive(Clone)]
struct Source {
    inner: Arc<Mutex<(State, u64)>>,
}

impl Source {
    fn set(&self, state: State) {
        let mut inner = self.inner.lock().unwrap();
        *inner = (state, inner.1 + 1);
    }

    fn list(&self) -> directory::List {
        let change = self.inner.lock().unwrap().1;
        let host = directory::Host {
            id: id::Host::from(format!("entry-{change}")),
            zone: id::Zone::from("bergen-a"),
            peer: ([10, 0, 0, 1], 7_000).into(),
            state: directory::State::Live,
        };
        directory::List {
            hosts: vec![host],
            endpoints: Vec::new(),
        }
    }

    async fn list_once(&self) -> Result<directory::List, Error> {
        let state = self.inner.lock().unwrap().0;
        match state {
            State::Answered => Ok(self.list()),
            State::Refused => Err(Error::Status {
                status: 503,
                body: String::new(),
            }),
            State::Silent => std::future::pending().await,
        }
    }
}

impl service::Directory for Source {
    async fn list(&self) -> Result<service::Listing, Error> {
        let list = |_| self.list_once();
        let list = Bound::new(CALL_TIMEOUT).call(Duration::ZERO, list).await?;
        Ok(service::Listing {
            list,
            unreadable: 0,
        })
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_list_is_read_in_time_after_an_outage(
    #[values(State::Refused, State::Silent)] outage: State,
    #[values(300, 1_100, 2_300, 5_000, 20_000)] length_ms: u64,
) {
    for step in 0..10 {
        let source = Source {
            inner: Arc::new(Mutex::new((State::Answered, 0))),
        };
        let (sender, list) = watch::channel(None);
        tokio::spawn(follow(source.clone(), PERIOD, sender));
        time::sleep(Duration::from_millis(53) * step).await;
        source.set(outage);
        time::sleep(Duration::from_millis(length_ms)).await;
        source.set(State::Answered);
        time::sleep(CALL_TIMEOUT + Duration::from_millis(1)).await;
        assert_eq!(*list.borrow(), Some(source.list()), "step {step}");
    }
}
