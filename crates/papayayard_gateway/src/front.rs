//! The listener for callers, the one for requests that other hosts pass on, and their planned
//! stop.
//!
//! A stop proceeds in stages, so that no request is lost: first the host reports that it
//! is not ready, while it continues to serve and asks each caller to close its connection;
//! then it closes idle connections; then it accepts no new ones and waits for those in use.
//!
//! Callers apply the limits of the newest configuration that they know to all connections,
//! also to those opened under an older one. A change of a limit therefore applies to open
//! connections.

use std::time::Duration;

use papayayard_coordination::shutdown::{Shutdown, Stage};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::exchange::Codec;
use crate::relay::Relay;

mod activity;
mod connection;
mod periods;
mod stream;

use periods::Periods;

/// Maximum open connections from callers.
const MAX_CONNECTIONS: usize = 2500;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Stage of the planned stop, and its schedule once a stop was requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopState {
    pub(crate) stage: Stage,
    pub(crate) shutdown: Option<Shutdown>,
}

impl StopState {
    /// No stop was requested.
    pub(crate) const SERVING: Self = Self {
        stage: Stage::Serving,
        shutdown: None,
    };
}

/// Serves connections until the last stage of a stop. A configuration is known everywhere
/// within `bound`.
pub(crate) async fn serve<Platform>(
    listener: TcpListener,
    relay: Relay<Platform>,
    stop: watch::Receiver<StopState>,
    open: TaskTracker,
    bound: Duration,
) where
    Platform: Codec,
{
    let configuration = relay.configuration.clone();
    let (periods, current_periods) = watch::channel(Periods::from(&relay.limits()));
    tokio::select! {
        () = accept(listener, relay, stop, open, current_periods) => {}
        () = periods::follow(configuration, bound, periods) => {}
    }
}

async fn accept<Platform>(
    listener: TcpListener,
    relay: Relay<Platform>,
    mut stop: watch::Receiver<StopState>,
    open: TaskTracker,
    periods: watch::Receiver<Periods>,
) where
    Platform: Codec,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stage(&mut stop, Stage::Closed) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.len() >= MAX_CONNECTIONS {
            log::warn!(open = open.len(); "too many open connections; closing a new one");
            continue;
        }
        let (relay, stop, periods) = (relay.clone(), stop.clone(), periods.clone());
        open.spawn(connection::serve(stream, relay, stop, periods));
    }
}

/// Waits for a stage of the stop. The end of the host counts as the last stage.
async fn wait_for_stage(stop: &mut watch::Receiver<StopState>, stage: Stage) {
    if stop.wait_for(|stop| stop.stage >= stage).await.is_err() {
        log::debug!("the host has stopped");
    }
}
