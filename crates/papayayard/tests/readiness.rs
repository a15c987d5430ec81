//! A host that says it is ready can serve.

mod support;

use http::{Method, StatusCode};
use papayayard::{host, operators};
use papayayard_stand_in::platform::{self, Fault};
use papayayard_wire::{directory, id};
use support::Bed;

/// A platform whose list has the endpoints of a deployment, and which does not answer.
async fn silent_directory(bed: &Bed) -> platform::Running {
    let directory = platform::start(platform::Options::default()).await;
    let directory = directory.expect("the platform starts");
    for (number, service) in bed.services.iter().enumerate() {
        directory.put_endpoint(directory::Endpoint {
            id: format!("app-{number}").into(),
            service: "studio-app".into(),
            zone: "bergen-a".into(),
            address: service.address(),
            state: directory::State::Live,
        });
    }
    directory.fault(Fault::Freeze);
    directory
}

/// Starts a host that has the log of one platform and the list of another one.
fn start(bed: &Bed, directory: &platform::Running) -> host::Running {
    let mut settings = bed.settings("entry-1", "bergen-a", &[]);
    settings.platform.directory = directory.address();
    host::start(settings, host::Blind).expect("the host starts")
}

async fn readiness(host: &host::Running) -> StatusCode {
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::GET, "/readyz", &[], "").await;
    reply.expect("the host answers").status
}

/// Guards against callers who are sent to a host that knows no endpoint yet.
#[tokio::test]
async fn a_host_without_the_list_is_not_ready() {
    let bed = Bed::start(0, 1).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let directory = silent_directory(&bed).await;
    let host = start(&bed, &directory);
    let status = support::wait_until(&host, |status| status.revision > id::Revision(0)).await;
    assert_eq!(status.state, operators::State::Starting);
    assert_eq!(readiness(&host).await, StatusCode::SERVICE_UNAVAILABLE);

    directory.fault(Fault::Clear);
    support::wait_until(&host, |status| status.state == operators::State::Serving).await;
    assert_eq!(readiness(&host).await, StatusCode::OK);
    let reply = support::service(&host, Method::GET, "/schedule", None, "").await;
    let reply = reply.expect("the exchange is whole");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}

/// Guards against hosts that wait for endpoints where the platform lists none.
#[tokio::test]
async fn a_host_with_an_empty_list_is_ready() {
    let bed = Bed::start(0, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.host("entry-1", "bergen-a", &[]);
    support::wait_until(&host, |status| status.state == operators::State::Serving).await;
    assert_eq!(readiness(&host).await, StatusCode::OK);
}

/// Guards against hosts that wait for the platform although a peer has given them its list.
#[tokio::test]
async fn a_host_with_the_list_of_a_peer_is_ready() {
    let bed = Bed::start(0, 1).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let first = bed.ready_host("entry-1").await;
    bed.platform.fault(Fault::Freeze);
    let second = bed.host("entry-2", "bergen-a", &[first.addresses().peers]);
    support::wait_until(&second, |status| status.state == operators::State::Serving).await;
    assert_eq!(readiness(&second).await, StatusCode::OK);
    let reply = support::service(&second, Method::GET, "/schedule", None, "").await;
    let reply = reply.expect("the exchange is whole");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}
