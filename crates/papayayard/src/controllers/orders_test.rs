use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::lease;
use papayayard_document::document::{Document, Kind};
use papayayard_routing::choice;
use papayayard_wire::{directory, id};
use rstest::rstest;
use tokio::sync::watch;
use tokio::time;

use super::fake_log_test::{Log, Outage};
use super::{fleet, orders};
use crate::active::Active;
use crate::clock::Clock;
use crate::host::Blind;
use crate::relay::client::Client;

const DOCUMENT: &str = include_str!("../../../../examples/fjordtakt.yaml");
/// Time in which a host that may ask for a lease again has to do so.
const RETRIED: Duration = Duration::from_secs(3);

/// A host's orders, with what keeps them going.
struct Orders {
    _stopping: watch::Sender<bool>,
    _list: watch::Sender<Option<directory::List>>,
}

impl Orders {
    fn start(log: &Log) -> Self {
        let host = id::Host::from("entry-1");
        let clock = Clock::start();
        let document = Document::parse(DOCUMENT).unwrap();
        let active = Active::new(id::Revision(1), String::new(), document);
        let active = watch::channel(Some(Arc::new(active))).1;
        let options = fleet::Options {
            host: host.clone(),
            zone: id::Zone::from("bergen-a"),
            policy: choice::Name::default(),
            truth: Blind,
            capacity: watch::channel(0).0,
            clock,
        };
        let (list_sender, list) = watch::channel(None);
        let (stopping_sender, stopping) = watch::channel(false);
        let links = orders::Links {
            client: Client::new(&host),
            host,
            fleet: fleet::start(options, active.clone()),
            active,
            list,
            stopping,
            clock,
            released: watch::channel(false).0,
        };
        tokio::spawn(orders::follow(log.clone(), links));
        Self {
            _stopping: stopping_sender,
            _list: list_sender,
        }
    }
}

#[rstest]
#[case::unreachable(Outage::Unreachable)]
#[case::refused(Outage::Refused(503))]
#[case::silent(Outage::Silent)]
#[tokio::test(start_paused = true)]
async fn a_lease_is_asked_for_soon_after_an_outage(#[case] outage: Outage) {
    for length_ms in [300, 1_100, 2_300, 5_000, 20_000] {
        let log = Log::new();
        log.set_outage(Some(outage));
        let _orders = Orders::start(&log);
        time::sleep(Duration::from_millis(length_ms)).await;
        let seconds = usize::try_from(length_ms / 1_000).unwrap();
        let most = models() * (seconds + 1);
        assert!(log.appends() <= most, "{} of {most}", log.appends());
        log.set_outage(None);
        time::sleep(RETRIED).await;
        let stored = log.records(lease::STREAM).len();
        assert_eq!(stored, models(), "{length_ms} ms");
    }
}

fn models() -> usize {
    let document = Document::parse(DOCUMENT).unwrap();
    let services = document.services.iter();
    let models = services.filter(|service| matches!(service.kind, Kind::Model(_)));
    models.count()
}
