use papayayard_coordination::quota::{Settings, Tolerance};
use papayayard_wire::id;
use tokio::sync::watch;

use super::{Handle, Parts, Tables};
use crate::beliefs::Configuration;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Starts the ledger of a host that counts one host; its buckets start full at the first start.
pub(crate) fn start(
    host: &id::Host,
    is_first_start: bool,
    clock: Clock,
    configuration: watch::Receiver<Configuration>,
) -> Handle {
    let (number, hosts) = watch::channel(0);
    number.send_replace(1);
    let (handle, running) = super::start(Parts {
        settings: Settings {
            host: host.clone(),
            run: rand::random(),
            tolerance: Tolerance::default(),
            is_first_start,
        },
        clock,
        tables: Tables {
            configuration,
            table: |configuration| configuration.table.clone(),
        },
        hosts,
        metrics: Metrics::new(),
    });
    tokio::spawn(running);
    handle
}
