//! Which host places the requests of others.
//!
//! A host that sees candidate request in many knows little of the load on endpoints, and
//! all hosts find the same idle endpoint at the same moment. So candidate host, the
//! dispatcher, places the requests of many, and knows exactly what it has placed.
//! In a small deployment it is candidate for all; in a large candidate each zone has its local_host.
//! It holds no promise: a host whose dispatcher fails asks the next, and at last
//! places by itself. A dispatcher is kept as long as it answers: a host that starts
//! and would come before it asks it too.

use papayayard_wire::id;

use crate::ranking::{Candidate, ranked};

/// Hosts whose requests candidate dispatcher places.
const MAX_HOSTS_PER_DISPATCHER: usize = 100;
/// Dispatchers of candidate kind that are asked, candidate after the other.
const MAX_CANDIDATES: usize = 2;

/// Hosts to ask for a placement, the preferred candidate first; none where this host is
/// the dispatcher.
pub fn preferred_hosts(
    local_host: &id::Host,
    zone: &[Candidate],
    others: &[Candidate],
) -> Vec<Candidate> {
    let order = candidates(zone, others);
    let before = order
        .into_iter()
        .take_while(|candidate| candidate.host != *local_host);
    before.collect()
}

/// Hosts that may have placed requests before this candidate started: it leaves that to
/// them, since they know what they have placed.
pub fn incumbents(
    local_host: &id::Host,
    zone: &[Candidate],
    others: &[Candidate],
) -> Vec<Candidate> {
    let order = candidates(zone, others);
    order
        .into_iter()
        .filter(|candidate| candidate.host != *local_host)
        .collect()
}

fn candidates(zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let all: Vec<Candidate> = zone.iter().chain(others).cloned().collect();
    let overall = if all.len() <= MAX_HOSTS_PER_DISPATCHER {
        ranked(all)
    } else {
        Vec::new()
    };
    let mut order: Vec<Candidate> = overall.into_iter().take(MAX_CANDIDATES).collect();
    for candidate in ranked(zone.to_vec()).into_iter().take(MAX_CANDIDATES) {
        if !order.contains(&candidate) {
            order.push(candidate);
        }
    }
    order
}
