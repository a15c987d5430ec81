use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use papayayard_coordination::exchange;
use papayayard_document::document::Document;
use papayayard_routing::choice;
use papayayard_wire::{directory, id, peer};
use tokio::sync::{mpsc, watch};
use tokio::time;

use super::{admission, fleet, peers};
use crate::active::Active;
use crate::clock::Clock;
use crate::host::Blind;
use crate::metrics::Metrics;

const DOCUMENT: &str = include_str!("../../../../examples/fjordtakt.yaml");
/// Longest wait for the shares.
const PATIENCE: Duration = Duration::from_secs(10);

fn options(listener: &TcpListener, clock: Clock) -> peers::Options {
    let member = peer::Member {
        zone: id::Zone::from("bergen-a"),
        peer: listener.local_addr().unwrap(),
    };
    peers::Options {
        identity: exchange::Identity {
            host: id::Host::from("entry-1"),
            member,
            speaks: peer::VERSION,
        },
        secret: "secret".to_owned(),
        seeds: Vec::new(),
        period: Duration::from_secs(1),
        clock,
        metrics: Metrics::new(clock),
    }
}

fn list(listener: &TcpListener) -> directory::List {
    directory::List {
        hosts: vec![directory::Host {
            id: id::Host::from("entry-1"),
            zone: id::Zone::from("bergen-a"),
            peer: listener.local_addr().unwrap(),
            state: directory::State::Live,
        }],
        endpoints: Vec::new(),
    }
}

/// Guards against a host that knows no peers and no shares until the list changes, because the
/// list was read before its peers were started.
#[tokio::test(start_paused = true)]
async fn a_list_that_was_read_before_is_not_missed() {
    let clock = Clock::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let document = Document::parse(DOCUMENT).unwrap();
    let active = Active::new(id::Revision(1), String::new(), document);
    let active = watch::channel(Some(Arc::new(active))).1;
    let fleet = fleet::Options {
        host: id::Host::from("entry-1"),
        zone: id::Zone::from("bergen-a"),
        policy: choice::Name::default(),
        truth: Blind,
        capacity: watch::channel(0).0,
        clock,
    };
    let list = watch::Sender::new(Some(list(&listener)));
    let (shares, mut agreed) = watch::channel(admission::Shares::new());
    let sources = admission::Sources {
        active: active.clone(),
        list: list.subscribe(),
        capacity: watch::channel(0).1,
        shares: agreed.clone(),
        known_hosts: 1,
    };
    let (farewell, _leaving, _told) = peers::farewell();
    let (_stopping, stopping) = watch::channel(false);
    let links = peers::Links {
        accepted: watch::channel(None).1,
        adopt: mpsc::channel(1).0,
        list,
        stopping,
        farewell,
        fleet: fleet::start(fleet, active.clone()),
        admission: admission::start(sources, clock),
        shares,
        active,
    };
    let options = options(&listener, clock);
    tokio::spawn(peers::start(listener, options, links).unwrap());
    let agreed = time::timeout(PATIENCE, agreed.changed()).await;
    assert!(matches!(agreed, Ok(Ok(()))), "no shares: {agreed:?}");
}
