//! Hosts that exchange peer messages in memory, in virtual time and with real encodings.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::{amount, demand, exchange, membership, pace};
use papayayard_wire::{directory, id, peer, proof};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// HTTP and JSON-RPC overhead of a call and its reply.
pub(crate) const FRAME_BYTES: usize = 450;

pub(crate) fn name(index: usize) -> id::Host {
    id::Host::from(format!("entry-{index}"))
}

pub(crate) fn zone(index: usize, zones: usize) -> id::Zone {
    id::Zone::from(format!("zone-{}", index % zones))
}

pub(crate) fn list(count: usize, zones: usize) -> directory::List {
    let host = |index| directory::Host {
        id: name(index),
        zone: zone(index, zones),
        peer: ([10, 0, 0, 1], 7_000).into(),
        state: directory::State::Live,
    };
    directory::List {
        hosts: (0..count).map(host).collect(),
        endpoints: Vec::new(),
    }
}

/// All hosts of a deployment, in memory.
pub(crate) struct Net {
    pub(crate) nodes: Vec<exchange::Node>,
    pub(crate) bytes: Vec<usize>,
    pub(crate) calls: u64,
    /// Hosts on different sides of a network partition cannot call each other.
    pub(crate) partition_side: Vec<bool>,
    random: ChaCha8Rng,
    secret: proof::Secret,
}

impl Net {
    pub(crate) fn new(count: usize, zones: usize, accounts: usize, seed: u64) -> Self {
        let nodes = (0..count)
            .map(|index| node(index, count, zones, accounts, peer::VERSION))
            .collect();
        Self {
            nodes,
            bytes: vec![0; count],
            calls: 0,
            partition_side: vec![true; count],
            random: ChaCha8Rng::seed_from_u64(seed),
            secret: proof::Secret::new("shared"),
        }
    }

    /// Runs until `end` or until `is_done` returns true; returns the time reached.
    pub(crate) fn run<Done>(&mut self, from: Duration, end: Duration, is_done: Done) -> Duration
    where
        Done: Fn(&Self, Duration) -> bool,
    {
        let mut now = from;
        loop {
            let next = self.nodes.iter().enumerate();
            let Some((index, at)) = next
                .map(|(index, node)| (index, node.members.next_at()))
                .min_by_key(|(_, at)| *at)
            else {
                return now;
            };
            now = now.max(at);
            if now >= end || is_done(self, now) {
                return now.min(end);
            }
            for target in self.nodes[index].members.tick(now, &mut self.random) {
                self.contact(index, &target, now);
            }
        }
    }

    fn contact(&mut self, from: usize, target: &membership::Target, now: Duration) {
        let to = target.host.as_str().trim_start_matches("entry-");
        let to: usize = to.parse().expect("a host of this deployment");
        if self.partition_side[from] != self.partition_side[to] {
            self.nodes[from]
                .members
                .record_failure(&target.host, now, &mut self.random);
            return;
        }
        let call = self.nodes[from].call(target, now);
        let follow_up = self.round(from, to, &call, now);
        if let Some(follow_up) = follow_up {
            self.round(from, to, &follow_up, now);
        }
    }

    pub(crate) fn round(
        &mut self,
        from: usize,
        to: usize,
        call: &peer::Message,
        now: Duration,
    ) -> Option<peer::Message> {
        self.calls += 1;
        let sequence = self.calls;
        let (call_read, sent) = self.carry(from, to, call, now);
        let (reply, _) =
            self.nodes[to].handle_call(&name(from), &call_read, sequence, now, &mut self.random);
        let (reply_read, received) = self.carry(to, from, &reply, now);
        let bytes = sent + received + FRAME_BYTES;
        for host in [from, to] {
            self.bytes[host] += bytes;
            self.nodes[host].members.charge(bytes, now);
        }
        let (follow_up, _) =
            self.nodes[from].handle_reply(&name(to), call, now, &reply_read, now, &mut self.random);
        follow_up
    }

    fn carry(
        &self,
        from: usize,
        to: usize,
        message: &peer::Message,
        now: Duration,
    ) -> (peer::Message, usize) {
        let address = proof::Address {
            direction: proof::Direction::Call,
            from: name(from),
            to: Some(name(to)),
            time_ms: 1_790_000_000_000 + u64::try_from(now.as_millis()).expect("a short run"),
            nonce: 1_790_000_000_000_000 + self.calls,
        };
        let envelope = self.secret.seal(address, message).expect("sealed");
        let text = serde_json::to_string(&envelope).expect("encoded");
        let envelope: proof::Envelope = serde_json::from_str(&text).expect("decoded");
        let read = self.secret.open(proof::Direction::Call, &envelope);
        (read.expect("opened"), text.len())
    }
}

pub(crate) fn node(
    index: usize,
    count: usize,
    zones: usize,
    accounts: usize,
    speaks: u32,
) -> exchange::Node {
    let start = Duration::ZERO;
    let limits = pace::Limits::default();
    let mut members = membership::Table::new(name(index), zone(index, zones), limits, start);
    members.update(list(count, zones), start);
    let mut shares = demand::Table::new(name(index), demand::Limits::default(), start);
    let limit = amount::Amount::new(100, 50);
    let account = |number| (id::Account::from(format!("account-{number}")), limit);
    shares.configure(&(0..accounts).map(account).collect::<BTreeMap<_, _>>());
    shares.set_hosts(members.counted(), members.partners());
    let identity = exchange::Identity {
        host: name(index),
        member: peer::Member {
            zone: zone(index, zones),
            peer: ([10, 0, 0, 1], 7_000).into(),
        },
        speaks,
    };
    exchange::Node::new(identity, members, shares, start)
}
