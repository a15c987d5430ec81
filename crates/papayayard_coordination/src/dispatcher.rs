//! Chooses the host that places the requests of other hosts.
//!
//! A host that handles only a small part of all requests knows little about the load on
//! endpoints, and all hosts would pick the same idle endpoint at the same moment. One
//! host, the dispatcher, therefore places the requests of many hosts and knows exactly
//! what it has placed. A small deployment has one dispatcher; in a large one each zone
//! has its own. The role has no lease: a host whose dispatcher fails asks the next
//! candidate, and finally places requests itself. A dispatcher keeps its role for as
//! long as it responds: a starting host that would rank before it also asks it.

use std::time::Duration;

use papayayard_wire::id;

use crate::ranking::{Candidate, ranked};

/// Maximum time for which a dispatcher holds a request that it cannot place yet.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for an answer beyond [`HOLD_TIMEOUT`]: the round trip and the time until the
/// dispatcher's process is scheduled.
const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// Time after which a call to a dispatcher counts as unanswered.
pub const ANSWER_TIMEOUT: Duration = HOLD_TIMEOUT.saturating_add(ANSWER_MARGIN);
/// Maximum number of hosts in a deployment with a single dispatcher.
const MAX_HOSTS_PER_DISPATCHER: usize = 100;
/// Number of dispatchers tried in order, per scope (all hosts, and the zone).
const MAX_CANDIDATES: usize = 2;

/// Hosts to ask for a placement, in order of preference; empty if this host is the
/// dispatcher.
pub fn preferred(local: &id::Host, zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let order = candidates(zone, others);
    let before = order
        .into_iter()
        .take_while(|candidate| candidate.host != *local);
    before.collect()
}

/// Hosts that may have placed requests before this one started. It leaves placement to
/// them, since they know what they have placed.
pub fn incumbents(local: &id::Host, zone: &[Candidate], others: &[Candidate]) -> Vec<Candidate> {
    let order = candidates(zone, others);
    order
        .into_iter()
        .filter(|candidate| candidate.host != *local)
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
