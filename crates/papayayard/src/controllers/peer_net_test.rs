//! Peers that exchange their configurations in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use papayayard_coordination::exchange::{self, Node, Update};
use papayayard_coordination::{demand, membership, pace};
use papayayard_wire::configuration::Entry;
use papayayard_wire::{directory, id, peer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{mpsc, watch};
use tokio::time;

const ZONES: usize = 3;

/// One host's ways to its configuration.
pub(super) struct Port {
    pub(super) accepted: watch::Receiver<Option<Entry>>,
    pub(super) adopt: mpsc::Sender<Entry>,
}

/// The hosts' states, and their ports.
pub(super) struct Net {
    nodes: Vec<Node>,
    ports: Vec<Port>,
    random: StdRng,
    started: time::Instant,
    calls: u64,
}

impl Net {
    pub(super) fn new(ports: Vec<Port>, seed: u64) -> Self {
        Self {
            nodes: (0..ports.len()).map(|at| node(at, ports.len())).collect(),
            ports,
            random: StdRng::seed_from_u64(seed),
            started: time::Instant::now(),
            calls: 0,
        }
    }

    /// Exchanges until it is dropped.
    pub(super) async fn run(mut self) {
        let (sender, mut accepted) = mpsc::unbounded_channel();
        for (index, port) in self.ports.iter().enumerate() {
            tokio::spawn(forward(index, port.accepted.clone(), sender.clone()));
        }
        loop {
            let nodes = self.nodes.iter().enumerate();
            let times = nodes.map(|(index, node)| (node.members.next_at(), index));
            let (next, from) = times.min().unwrap();
            tokio::select! {
                Some((index, entry)) = accepted.recv() => self.accepted(index, entry),
                () = time::sleep_until(self.started + next) => self.call(from),
            }
        }
    }

    fn accepted(&mut self, index: usize, entry: Entry) {
        let now = self.started.elapsed();
        if self.nodes[index].set_configuration(entry) {
            let members = &mut self.nodes[index].members;
            members.expedite_calls(now, &mut self.random);
        }
    }

    fn call(&mut self, from: usize) {
        let now = self.started.elapsed();
        let members = &mut self.nodes[from].members;
        for target in members.tick(now, &mut self.random) {
            let call = self.nodes[from].call(&target, now);
            let to = index(&target.host);
            let further = self.round(from, to, &call, now);
            if let Some(further) = further {
                self.round(from, to, &further, now);
            }
        }
    }

    fn round(
        &mut self,
        from: usize,
        to: usize,
        call: &peer::Message,
        now: Duration,
    ) -> Option<peer::Message> {
        self.calls += 1;
        let random = &mut self.random;
        let (reply, news) = self.nodes[to].handle_call(&name(from), call, self.calls, now, random);
        self.tell(to, news);
        let random = &mut self.random;
        let (further, news) =
            self.nodes[from].handle_reply(&name(to), call, now, &reply, now, random);
        self.tell(from, news);
        further
    }

    fn tell(&self, index: usize, news: Vec<Update>) {
        for item in news {
            if let Update::Configuration(entry) = item {
                self.ports[index].adopt.try_send(entry).unwrap();
            }
        }
    }
}

async fn forward(
    index: usize,
    mut accepted: watch::Receiver<Option<Entry>>,
    sender: mpsc::UnboundedSender<(usize, Entry)>,
) {
    while accepted.changed().await.is_ok() {
        let entry = accepted.borrow_and_update().clone();
        if sender.send((index, entry.unwrap())).is_err() {
            return;
        }
    }
}

fn name(index: usize) -> id::Host {
    id::Host::from(format!("entry-{index}"))
}

fn index(host: &id::Host) -> usize {
    let number = host.as_str().trim_start_matches("entry-");
    number.parse().unwrap()
}

fn member(index: usize) -> peer::Member {
    peer::Member {
        zone: id::Zone::from(format!("zone-{}", index % ZONES)),
        peer: ([10, 0, 0, 1], 7_000).into(),
    }
}

fn list(count: usize) -> directory::List {
    let host = |index| directory::Host {
        id: name(index),
        zone: member(index).zone,
        peer: member(index).peer,
        state: directory::State::Live,
    };
    directory::List {
        hosts: (0..count).map(host).collect(),
        endpoints: Vec::new(),
    }
}

fn node(index: usize, count: usize) -> Node {
    let start = Duration::ZERO;
    let limits = pace::Limits::default();
    let mut members = membership::Table::new(name(index), member(index).zone, limits, start);
    members.update(list(count), start);
    let mut shares = demand::Table::new(name(index), demand::Limits::default(), start);
    shares.configure(&BTreeMap::new());
    shares.set_hosts(members.counted(), members.partners());
    let identity = exchange::Identity {
        host: name(index),
        member: member(index),
        speaks: peer::VERSION,
    };
    Node::new(identity, members, shares, start)
}
