use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::poll;
use papayayard_coordination::quota::Offer;
use papayayard_routing::quota::{Quota, Unit};
use papayayard_routing::table::{Account, Accounts, Limits, Table};
use papayayard_wire::id;
use rstest::rstest;
use tokio::time;

use super::super::charging::Offered;
use super::super::message::{Answer, Call, Decision, Placed, Request};
use super::super::{Link, Selection};
use super::{Host, TIMEOUT, connect, dispatcher_and_asker};
use crate::beliefs::Configuration;
use crate::quota::Bill;

/// Requests that the burst of the account allows.
const BURST: usize = 2;
/// Rate that allows no further request during a test.
const RATE: f64 = 1e-6;
/// Pause between tries to have a request placed.
const PAUSE: Duration = Duration::from_millis(20);

fn account() -> Account {
    let quota = Quota::new(RATE, 2.0, Unit::Requests);
    Account {
        name: id::Account::from("studio"),
        priority: None,
        isolated: false,
        quota: quota.expect("a valid quota"),
    }
}

fn table() -> Table {
    Table::new(
        id::Revision(1),
        Limits::default(),
        HashMap::new(),
        Accounts::new([(account(), vec!["key".to_owned()])]),
        Vec::new(),
    )
}

impl Host {
    fn set_quota(&self) {
        self.configuration.send_replace(Configuration {
            table: Some(Arc::new(table())),
            ..Configuration::default()
        });
    }

    fn bill(&self) -> Bill {
        let request = id::Request::from("9c41");
        let revision = id::Revision(1);
        self.dispatch
            .quota()
            .bill(&request, &account(), None, revision)
    }

    async fn place_with(&self, bill: &Bill) -> Selection {
        self.dispatch.place_charged(self.query(), bill).await
    }
}

/// Starts a dispatcher and a host that uses it, which know the quota and an endpoint. The buckets
/// of one of them are full.
fn start(is_asker_full: bool) -> (Host, Host) {
    let (mut dispatcher, asker) = connect(
        Host::with_first_start("dispatcher", 300, !is_asker_full),
        Host::with_first_start("asker", 100, is_asker_full),
    );
    for host in [&dispatcher, &asker] {
        host.set_endpoint(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)), false);
        host.set_quota();
    }
    dispatcher.serve();
    (dispatcher, asker)
}

/// Asserts that a request is refused since its account is over its quota.
fn assert_over_quota(selection: &Selection, by: &str) {
    let Selection::Refused {
        reason,
        retry_after,
        refused_by,
        ..
    } = selection
    else {
        panic!("the request is placed");
    };
    assert!(reason.is_over_quota(), "{reason:?}");
    assert_eq!(refused_by, by);
    assert!(*retry_after > Duration::ZERO);
}

/// Guards against a dispatcher that places requests beyond a quota.
#[tokio::test]
async fn a_dispatcher_charges_requests_before_it_places_them() {
    let (_dispatcher, asker) = start(false);
    let bills = [(); BURST].map(|()| asker.bill());
    for bill in &bills {
        let selection = asker.place_with(bill).await;
        assert!(matches!(selection, Selection::Placed(..)));
        assert!(bill.is_charged());
    }
    let bill = asker.bill();
    let selection = asker.place_with(&bill).await;
    assert_over_quota(&selection, "dispatcher");
    assert!(!bill.is_charged());
}

/// Guards against a request that is charged again when it is placed again.
#[tokio::test]
async fn a_request_is_charged_once() {
    let (_dispatcher, asker) = start(false);
    let bill = asker.bill();
    for _ in 0..=BURST {
        let selection = asker.place_with(&bill).await;
        assert!(matches!(selection, Selection::Placed(..)));
    }
    asker.set_neighbours(&[]);
    let selection = asker.place_with(&bill).await;
    assert!(matches!(selection, Selection::Placed(..)));
}

/// Guards against charges of requests that did not run which are kept, and against returned
/// charges of requests that may have run.
#[rstest]
#[case::at_the_dispatcher(true)]
#[case::in_the_own_pool(false)]
#[tokio::test]
async fn the_charge_of_a_request_that_did_not_run_is_returned(#[case] is_dispatched: bool) {
    let (_dispatcher, asker) = start(!is_dispatched);
    if !is_dispatched {
        asker.set_neighbours(&[]);
    }
    let (run, not_run) = (asker.bill(), asker.bill());
    for bill in [&run, &not_run] {
        let selection = asker.place_with(bill).await;
        assert!(matches!(selection, Selection::Placed(..)));
        bill.record_sent();
    }
    not_run.record_not_run();
    drop((run, not_run));
    let bill = asker.bill();
    let placed = async {
        while let Selection::Refused { .. } = asker.place_with(&bill).await {
            time::sleep(PAUSE).await;
        }
    };
    let placed = time::timeout(TIMEOUT, placed).await;
    placed.expect("the charge is returned");
    let by = if is_dispatched { "dispatcher" } else { "own" };
    assert_over_quota(&asker.place_with(&asker.bill()).await, by);
}

/// Guards against a request that is passed on as charged since its charge was given up before it
/// was decided, and against a charge that is kept then.
#[tokio::test]
async fn a_charge_that_is_given_up_is_still_due() {
    let (_dispatcher, asker) = start(true);
    asker.set_neighbours(&[]);
    let bill = asker.bill();
    {
        let given_up = bill.charge_own(asker.query().deadline);
        tokio::pin!(given_up);
        assert!(poll!(given_up).is_pending());
    }
    assert!(bill.is_due() && !bill.is_charged());
    let others = [(); BURST - 1].map(|()| asker.bill());
    for bill in others.iter().chain([&bill]) {
        let selection = asker.place_with(bill).await;
        assert!(matches!(selection, Selection::Placed(..)));
    }
    assert_over_quota(&asker.place_with(&asker.bill()).await, "own");
}

/// Guards against returned charges that are lost with the call that returns them.
#[tokio::test]
async fn a_returned_charge_is_returned_again_if_its_call_gets_no_answer() {
    let (dispatcher, asker) = start(false);
    let bill = asker.bill();
    let selection = asker.place_with(&bill).await;
    assert!(matches!(selection, Selection::Placed(..)));
    drop(bill);
    let (ledger, host) = (asker.dispatch.quota(), &dispatcher.local.host);
    let returned = async || {
        loop {
            // Dropped without an answer.
            let offered = Offered::new(ledger, host, true).await;
            if let Some(offer) = offered.offer() {
                return offer.returned().to_vec();
            }
            time::sleep(PAUSE).await;
        }
    };
    let calls = async { [returned().await, returned().await] };
    let calls = time::timeout(TIMEOUT, calls).await;
    let [first, second] = calls.expect("calls that mention quotas");
    assert_eq!(first.len(), 1);
    assert_eq!(first, second);
}

/// Guards against requests beyond a quota that a dispatcher of an older release places, which
/// charges nothing.
#[tokio::test]
async fn a_host_charges_what_its_dispatcher_has_not_charged() {
    let (dispatcher, asker) = start(true);
    let Selection::Placed(placement, _permit) = asker.dispatch.place(asker.query()).await else {
        panic!("the endpoint has room");
    };
    let answer = Answer {
        run: 1,
        decision: Some(Decision::Placed(Placed::new(*placement))),
        is_asked: true,
        elsewhere: None,
        limits: None,
        quota: None,
        is_charged: false,
    };
    let link = Link::new(&dispatcher.candidate(), asker.dispatch.0.local.clone());
    let link = link.expect("a link");
    let deadline = asker.query().deadline;
    let settle = async |bill: &Bill| {
        bill.request(link.host());
        let dispatch = &asker.dispatch;
        dispatch.settle(bill, &answer, (1, deadline), &link).await
    };
    let bills = [(); BURST].map(|()| asker.bill());
    for bill in &bills {
        assert!(settle(bill).await.is_none());
        assert!(bill.is_charged());
    }
    let refused = settle(&asker.bill()).await;
    assert_over_quota(&refused.expect("a refusal"), "own");
    assert!(link.has_notices(), "the dispatcher releases the place");
}

fn call(asker: &Host, request: Request) -> Call {
    Call {
        host: asker.local.host.as_str().to_owned(),
        run: 1,
        zone: "a".to_owned(),
        notices: Vec::new(),
        named: Vec::new(),
        named_refusals: Vec::new(),
        asked: Vec::new(),
        is_used: true,
        limits_revision: None,
        quota: Some(Offer::default()),
        question: Some(request),
    }
}

/// Guards against a part of the quotas that is in two pools at a time.
#[tokio::test]
async fn a_host_that_redirects_does_not_pool() {
    let (dispatcher, second) = dispatcher_and_asker();
    let asker = Host::new("third", 50);
    assert!(second.dispatch.dispatcher().is_some());
    let request = Request::new(1, &asker.query(), asker.clock.now());
    let answer = second
        .dispatch
        .handler()
        .answer(call(&asker, request))
        .await;
    let answer = answer.expect("it reaches endpoints");
    let elsewhere = answer.elsewhere.expect("it uses a dispatcher");
    assert_eq!(elsewhere.host, dispatcher.local.host.as_str());
    assert!(answer.quota.is_none() && !answer.is_charged);
}

/// Guards against a host that takes the answer of an older release for one with a charge, and
/// against fields in messages about requests without a quota.
#[tokio::test]
async fn messages_without_quotas_are_those_of_older_releases() {
    let host = Host::new("host", 100);
    let request = Request::new(1, &host.query(), host.clock.now());
    let call = Call {
        quota: None,
        ..call(&host, request)
    };
    let text = serde_json::to_string(&call).expect("a call");
    assert!(
        !text.contains("quota") && !text.contains("charge"),
        "{text}"
    );
    let answer = host
        .dispatch
        .handler()
        .answer(call)
        .await
        .expect("attached");
    let text = serde_json::to_string(&answer).expect("an answer");
    assert!(
        !text.contains("quota") && !text.contains("charge"),
        "{text}"
    );
    let answer: Answer = serde_json::from_str(&text).expect("an answer");
    assert!(answer.quota.is_none() && !answer.is_charged);
}
