//! Drives the planned stop of a host.

use std::time::Duration;

use papayayard_coordination::stop;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::controllers::claims;
use crate::host::Running;

/// Longest wait for the handover of leases at a planned stop.
const HANDOVER_WAIT: Duration = Duration::from_secs(3);

/// Longest wait for peers to hear the farewell at a planned stop.
const FAREWELL_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for outcomes of keyed requests to be appended at a stop.
const FLUSH_WAIT: Duration = Duration::from_secs(5);

impl Running {
    /// Stops as planned: readiness turns false at once, requests are taken
    /// for the grace period, and the host ends when the last one has ended,
    /// its leases are handed over and its peers know.
    pub async fn stop(mut self) {
        log::info!(open = self.open.len(); "planned stop");
        let mut machine = stop::Machine::new(stop::Times {
            grace: self.settings.stop_grace,
            handover: HANDOVER_WAIT,
            leave_notice: FAREWELL_WAIT,
        });
        let mut event = stop::Event::Requested;
        loop {
            if let Some(action) = machine.handle(event, self.clock.now()) {
                self.act(action);
            }
            if machine.phase() == stop::Phase::Left {
                break;
            }
            event = self.event(&machine).await;
        }
        if self.callers_task.await.is_err() {
            log::warn!("the callers' listener ended early");
        }
        log::info!("stopped");
    }

    fn act(&self, action: stop::Action) {
        match action {
            stop::Action::Announce => {
                self.stopping.send_replace(true);
            }
            stop::Action::StopListening => {
                self.callers.stop_graceful(None);
                self.open.close();
            }
            stop::Action::SendLeaveNotice => {
                self.leaving.send_replace(true);
            }
            stop::Action::Exit => {}
        }
    }

    /// Waits for what the stop waits for in its present phase.
    async fn event(&mut self, machine: &stop::Machine) -> stop::Event {
        let pause = machine.next_at().saturating_sub(self.clock.now());
        let phase = machine.phase();
        tokio::select! {
            () = finished(&self.open, &self.claims),
                if phase == stop::Phase::Finishing => stop::Event::Idle,
            Ok(_) = self.released.wait_for(|released| *released),
                if phase == stop::Phase::HandingOver => stop::Event::Released,
            Ok(_) = self.told.wait_for(|told| *told),
                if phase == stop::Phase::Leaving => stop::Event::Notified,
            () = time::sleep(pause) => stop::Event::Tick,
        }
    }
}

/// Waits until no request is open and outcomes are in the log.
async fn finished(open: &TaskTracker, claims: &claims::Handle) {
    open.wait().await;
    let flush = time::timeout(FLUSH_WAIT, claims.flush());
    if flush.await.is_err() {
        log::warn!("outcomes of keyed requests could not be appended before the stop");
    }
}
