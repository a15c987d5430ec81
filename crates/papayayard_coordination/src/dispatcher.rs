//! Which host places the requests of others.
//!
//! A host that sees one request in many knows little of the load on endpoints, and
//! all hosts find the same idle endpoint at the same moment. So one host, the
//! dispatcher, places the requests of many, and knows exactly what it has placed.
//! In a small deployment it is one for all; in a large one each zone has its own.
//! It holds no promise: a host whose dispatcher fails asks the next, and at last
//! places by itself. A dispatcher is kept as long as it answers: a host that starts
//! and would come before it asks it too.

use papayayard_wire::id;

use crate::ranking::{Candidate, ranked};

/// Hosts whose requests one dispatcher places.
const MOST_HOSTS: usize = 100;
/// Dispatchers of one kind that are asked, one after the other.
const MOST_ASKED: usize = 2;

/// Hosts to ask for a placement, the preferred one first; none where this host is
/// the dispatcher.
pub fn order(own: &id::Host, zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let order = candidates(zone, others);
    let before = order.into_iter().take_while(|one| one.host != *own);
    before.collect()
}

/// Hosts that may have placed requests before this one started: it leaves that to
/// them, since they know what they have placed.
pub fn incumbents(own: &id::Host, zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let order = candidates(zone, others);
    order.into_iter().filter(|one| one.host != *own).collect()
}

fn candidates(zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let all: Vec<Candidate> = zone.iter().chain(others).cloned().collect();
    let of_all = if all.len() <= MOST_HOSTS {
        ranked(all)
    } else {
        Vec::new()
    };
    let mut order: Vec<Candidate> = of_all.into_iter().take(MOST_ASKED).collect();
    for candidate in ranked(zone.to_vec()).into_iter().take(MOST_ASKED) {
        if !order.contains(&candidate) {
            order.push(candidate);
        }
    }
    order
}
