use std::sync::Arc;
use std::time::Duration;

use papayayard_routing::placement::{Scheduler, Settings};
use papayayard_routing::prompt;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::time;

use super::{CachesCall, Context, changes};
use crate::beliefs::Configuration;
use crate::cache_news::ChangeLog;
use crate::clock::Clock;
use crate::dispatch::{self, Dispatch};
use crate::front::StopState;
use crate::hosts::{LocalHost, Neighbours};
use crate::metrics::Metrics;
use crate::schedule::{self, Holder};
use crate::{origins, quota, runs, uplink};

/// Wait of a call; a call that ends earlier has another reason.
const WAIT: Duration = Duration::from_secs(5);
const CALL: CachesCall = CachesCall {
    since: 0,
    wait_ms: WAIT,
};

struct Host {
    context: Context,
    caches: watch::Sender<ChangeLog>,
    is_detached: watch::Sender<bool>,
}

fn host() -> Host {
    let clock = Clock::start();
    let local = LocalHost {
        host: id::Host::from("reader"),
        zone: id::Zone::from("a"),
        peers: "127.0.0.1:7000".parse().expect("an address"),
        capacity: 100,
        forwarded: None,
    };
    let (is_detached, state) = watch::channel(false);
    let (caches, caches_receiver) = watch::channel(ChangeLog::default());
    let neighbours = watch::channel(Neighbours::default()).1;
    let uplink = uplink::Handle::with_state(state);
    let scheduler = Scheduler::new(Settings {
        old_weights: Duration::ZERO,
        old_weights_grace: Duration::ZERO,
        limit_phase: 0.0,
    });
    let (origins, _) = origins::start(origins::Parts {
        host: local.host.clone(),
        clock,
        neighbours: neighbours.clone(),
        endpoints: watch::channel(Vec::new()).1,
        last_read: watch::channel(None).1,
        stop: watch::channel(StopState::SERVING).1,
        metrics: Metrics::new(),
    });
    let configuration = watch::channel(Configuration::default()).1;
    let dispatch = Dispatch::new(dispatch::Parts {
        local: local.clone(),
        clock,
        schedule: schedule::start(scheduler, local.zone, Metrics::new(), clock),
        neighbours,
        uplink: uplink.clone(),
        runs: runs::Tracker::new(clock),
        quota: quota::test::start(&local.host, true, clock, configuration),
        metrics: Metrics::new(),
    });
    let context = Context {
        mirrors: super::Mirrors::new(),
        caches: caches_receiver,
        desk: dispatch.handler(),
        origins,
        uplink,
        clock,
    };
    Host {
        context,
        caches,
        is_detached,
    }
}

/// Guards against hosts that follow no caches, since the host that reads for their zone reaches
/// no endpoint and answers that nothing has changed.
#[tokio::test(start_paused = true)]
async fn a_detached_host_reads_no_caches_for_others() {
    let host = host();
    let part = prompt::key("salt", "part");
    let holder = Holder::Endpoint(id::Endpoint::from("engine"));
    host.caches
        .send_modify(|change_log| change_log.add(&holder, &[(part, 10)]));
    assert!(changes(&host.context, &CALL).await.is_ok());
    host.is_detached.send_replace(true);
    assert!(changes(&host.context, &CALL).await.is_err());
    host.is_detached.send_replace(false);
    assert!(changes(&host.context, &CALL).await.is_ok());
}

/// Guards against hosts that wait for changes at a host that has lost its way to the endpoints.
#[tokio::test(start_paused = true)]
async fn a_call_that_waits_for_changes_ends_when_the_host_is_detached() {
    let host = host();
    let started = time::Instant::now();
    let since = host.caches.borrow().next_number();
    let context = Arc::new(host.context);
    let waiting = tokio::spawn(async move {
        let call = CachesCall { since, ..CALL };
        changes(&context, &call).await.is_err()
    });
    tokio::task::yield_now().await;
    host.is_detached.send_replace(true);
    assert!(waiting.await.expect("the call ends"));
    assert!(started.elapsed() < WAIT);
}
