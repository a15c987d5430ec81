//! A host that starts serves at once, from the platform or from any peer, and
//! never goes back to an older configuration.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayayard::host;
use papayayard_stand_in::platform::Fault;
use papayayard_wire::{directory, id};
use rstest::rstest;
use support::Bed;

/// Time in which a host that starts has to serve.
const READY_BOUND: Duration = Duration::from_secs(1);
const PROMPT: &str = "The history of two partners.";

fn list(bed: &Bed, name: &str, host: &host::Running) {
    bed.platform.put_host(directory::Host {
        id: name.into(),
        zone: "bergen-a".into(),
        peer: host.addresses().peers,
        state: directory::State::Live,
    });
}

async fn in_force(host: &host::Running, revision: u64) {
    support::wait_until(host, |status| status.revision >= id::Revision(revision)).await;
}

async fn eligible(host: &host::Running, engines: usize) {
    support::wait_until(host, |status| {
        status.endpoints.iter().filter(|one| one.eligible).count() == engines
    })
    .await;
}

/// With the platform away, the configuration and the endpoints come from a
/// peer that the settings name.
#[rstest]
#[case::down(Fault::Down)]
#[case::frozen(Fault::Freeze)]
#[tokio::test]
async fn a_host_starts_from_a_peer_alone(#[case] fault: Fault) {
    let bed = Bed::start(2, 0).await;
    bed.publish(0, &support::document("v1", 2)).await;
    let first = bed.ready_host("entry-1").await;
    list(&bed, "entry-1", &first);
    bed.publish(1, &format!("# second\n{}", support::document("v1", 2)))
        .await;
    in_force(&first, 2).await;
    bed.platform.fault(fault);

    let start = Instant::now();
    let peers: [SocketAddr; 1] = [first.addresses().peers];
    let second = bed.host("entry-2", "bergen-a", &peers);
    in_force(&second, 2).await;
    eligible(&second, 2).await;
    let took = start.elapsed();
    let reply = support::complete(&second, PROMPT, 4).await;
    reply.expect("the exchange is whole").complete_stream();
    assert!(took < READY_BOUND, "{took:?}");
}

/// A host that the platform is cut off from takes a newer configuration from
/// its peers, and keeps it when the platform is back.
#[rstest]
#[tokio::test]
async fn a_host_that_is_cut_off_from_the_platform_follows_its_peers() {
    let bed = Bed::start(1, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let first = bed.ready_host("entry-1").await;
    let peers = [first.addresses().peers];
    let second = bed.host("entry-2", "bergen-a", &peers);
    list(&bed, "entry-1", &first);
    list(&bed, "entry-2", &second);
    in_force(&second, 1).await;

    bed.platform.fault(Fault::Cut {
        hosts: vec!["entry-2".into()],
    });
    for base in 1..4 {
        let document = format!("# change {base}\n{}", support::document("v1", 1));
        bed.publish(base, &document).await;
    }
    in_force(&second, 4).await;
    bed.platform.fault(Fault::Clear);
    let late = format!("# late\n{}", support::document("v1", 1));
    bed.publish(1, &late).await;
    bed.publish(4, &late).await;
    in_force(&second, 5).await;
    in_force(&first, 5).await;
}

/// Of two operators who replace the same revision, one wins on every host.
#[rstest]
#[tokio::test]
async fn racing_operators_leave_all_hosts_alike() {
    let bed = Bed::start(0, 0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let hosts = [
        bed.host("entry-1", "bergen-a", &[]),
        bed.host("entry-2", "bergen-b", &[]),
    ];
    let one = format!("# one\n{}", support::document("v1", 1));
    let other = format!("# other\n{}", support::document("v1", 1));
    tokio::join!(bed.publish(1, &one), bed.publish(1, &other));
    let mut digests = Vec::new();
    for host in &hosts {
        let status = support::wait_until(host, |status| status.revision == id::Revision(2)).await;
        digests.push(status.digest);
    }
    assert_eq!(digests[0], digests[1]);
    let late = bed.host("entry-3", "bergen-c", &[]);
    let status = support::wait_until(&late, |status| status.revision == id::Revision(2)).await;
    assert_eq!(status.digest, digests[0]);
}
