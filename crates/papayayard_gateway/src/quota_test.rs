use futures_util::poll;
use papayayard_coordination::quota::{Charge, Quota, Reply, Settings, Tolerance};
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

/// Guards against prepaid amounts that are lost with callers that disconnect before their charge
/// is decided.
#[tokio::test]
async fn a_prepaid_amount_is_returned_if_its_caller_has_disconnected() {
    let clock = Clock::start();
    let (host, dispatcher) = (id::Host::from("host"), id::Host::from("dispatcher"));
    let (_sender, configuration) = watch::channel(Configuration::default());
    let handle = start(&host, false, clock, configuration);
    let charge = Charge {
        account: id::Account::from("studio"),
        cost: 1.0,
        quota: Quota {
            per_second: 1.0,
            burst: 1.0,
        },
        revision: id::Revision(1),
    };
    assert!(!handle.spend_prepaid(charge.clone()).await);
    let reply = r#"{"token":1,"grants":[{"account":"studio","amount":1.0}]}"#;
    let reply: Reply = serde_json::from_str(reply).expect("an answer");
    handle.accept(&dispatcher, 1, Some(reply), clock.now());
    {
        let given_up = handle.spend_prepaid(charge.clone());
        tokio::pin!(given_up);
        assert!(poll!(given_up).is_pending());
    }
    assert!(handle.spend_prepaid(charge.clone()).await);
    assert!(!handle.spend_prepaid(charge).await);
}
