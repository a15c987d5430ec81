use std::collections::HashMap;
use std::time::Duration;

use papayayard_wire::id;

use super::MAX_FAILED_ENDPOINTS;
use crate::placement::{Endpoint, InFlight, Outcome, Scheduler, Settings};

const HOSTS: usize = 295;
const ENDPOINTS: usize = 256;
const NOW: Duration = Duration::from_secs(100);

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: id::Endpoint::from(format!("e{index}")),
        started: id::Incarnation(1),
        service: id::Service::from("engines"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: id::Zone::from(format!("z{}", index % 3)),
        software: id::Software::from("v1"),
        slots: 64,
        weights: HashMap::new(),
        leaving: false,
    }
}

/// All hosts but one are cut off and fail at every endpoint, then stop.
#[test]
fn failures_of_many_hosts_take_little_memory_and_are_forgotten() {
    let mut scheduler = Scheduler::new(Settings {
        old_weights: Duration::ZERO,
        old_weights_grace: Duration::ZERO,
        limit_phase: 0.0,
    });
    let endpoints: Vec<_> = (0..ENDPOINTS).map(endpoint).collect();
    scheduler.set_endpoints(&endpoints, NOW);
    for host in 1..HOSTS {
        let requesting_host = id::Host::from(format!("host-{host}"));
        scheduler.record_contact(&requesting_host, NOW);
        for endpoint in &endpoints {
            let in_flight = InFlight {
                requesting_host: requesting_host.clone(),
                zone: id::Zone::from("z0"),
                endpoint: endpoint.id.clone(),
                unread: 100,
                memory: 100,
                deadline: NOW + Duration::from_secs(5),
            };
            let ticket = scheduler.record_in_flight(&in_flight, NOW).unwrap();
            scheduler.record_outcome(ticket, Outcome::Unreachable, NOW);
        }
    }
    assert_eq!(scheduler.paths.hosts.len(), HOSTS - 1);
    for path in scheduler.paths.hosts.values() {
        assert_eq!(path.outage.failures.len(), MAX_FAILED_ENDPOINTS);
        assert_eq!(path.outage.zones.len(), 3);
    }
    scheduler.check_overdue(NOW + Duration::from_secs(4));
    assert!(scheduler.paths.hosts.is_empty());
}
