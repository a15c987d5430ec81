//! Start-time fair queueing among flows.

use papayayard_routing::fairness::{self, Flows};

/// Serves the flow with the lowest start tag.
fn serve_first(flows: &mut Flows<u32>, keys: &[fairness::Key], length: u64) -> usize {
    let indexes = 0..keys.len();
    let first = indexes.min_by_key(|index| (flows.start(keys[*index]), *index));
    let first = first.expect("a flow");
    let start = flows.charge(keys[first], length);
    flows.serve(start);
    first
}

/// Guards against accounts that save up service while they ask for none.
#[test]
fn an_idle_flow_gains_nothing() {
    let mut flows = Flows::default();
    let busy: Vec<_> = (0..200).map(|_| flows.join(&0)).collect();
    let short = flows.join(&1);
    for key in &busy[..100] {
        let start = flows.charge(*key, 10);
        flows.serve(start);
    }
    flows.charge(short, 10);
    flows.leave(short);
    assert_eq!(
        flows.len(),
        1,
        "an idle flow behind the virtual time is removed"
    );
    let back = flows.join(&1);
    for _ in 0..100 {
        flows.join(&1);
    }
    let keys = [busy[0], back];
    let served: usize = (0..20).map(|_| serve_first(&mut flows, &keys, 10)).sum();
    assert!((10..=11).contains(&served), "{served} of 20");
}

/// Guards against an account that loses its place while its work does not fit.
#[test]
fn waiting_work_keeps_its_start_tag() {
    let mut flows = Flows::default();
    let stuck = flows.join(&0);
    let busy = flows.join(&1);
    for _ in 0..10 {
        let start = flows.charge(busy, 10);
        flows.serve(start);
    }
    flows.join(&0);
    assert_eq!(flows.start(stuck), 0);
}

/// Guards against weights that are ignored.
#[test]
fn service_follows_weights() {
    let mut flows = Flows::default();
    let keys = [flows.join(&0), flows.join(&1)];
    let weights = [3, 1];
    let mut served = [0, 0];
    for _ in 0..80 {
        let first = usize::from(flows.start(keys[1]) < flows.start(keys[0]));
        let start = flows.charge(keys[first], fairness::length(100, weights[first]));
        flows.serve(start);
        served[first] += 1;
    }
    assert_eq!(served, [60, 20]);
}

/// Guards against memory that grows with the accounts that were ever seen.
#[test]
fn flows_are_forgotten() {
    let mut flows = Flows::default();
    let waiting = flows.join(&0);
    for name in 1..10_000 {
        let key = flows.join(&name);
        let start = flows.charge(key, 10);
        flows.serve(start);
        flows.leave(key);
        if name % 10 == 0 {
            let start = flows.charge(waiting, 10);
            flows.serve(start);
        }
        assert!(flows.len() <= 22, "{} flows", flows.len());
    }
    flows.leave(waiting);
    assert!(flows.is_empty());
}

/// Guards against accounts that are charged for work which was withdrawn.
#[test]
fn a_refund_takes_back_the_last_charge_only() {
    let mut flows = Flows::default();
    let key = flows.join(&0);
    let first = flows.charge(key, 10);
    let second = flows.charge(key, 10);
    flows.refund(key, first, 10);
    assert_eq!(flows.start(key), 20, "later work keeps its start tag");
    flows.refund(key, second, 10);
    assert_eq!(flows.start(key), 10);
}
