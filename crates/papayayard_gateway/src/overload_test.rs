use std::time::Duration;

use papayayard_routing::placement::PendingKey;
use slotmap::SlotMap;

use super::Overload;
use crate::metrics::Metrics;

const NOW: Duration = Duration::from_secs(100);
const DEADLINE: Duration = Duration::from_secs(110);

/// Guards against callers of shed requests that are told nothing, or all the same, and against
/// requests that are refused although their callers have disconnected.
#[test]
fn requests_that_cannot_be_decided_in_time_are_refused_with_different_delays() {
    let metrics = Metrics::new();
    let mut overload = Overload::new(metrics.clone());
    // Each decision takes 10 ms.
    overload.record_pass(100, Duration::from_secs(1));
    let mut keys: SlotMap<PendingKey, ()> = SlotMap::with_key();
    let keys: Vec<PendingKey> = (0..40).map(|_| keys.insert(())).collect();
    for (index, key) in keys.iter().enumerate() {
        overload.add(*key, u8::from(index < 20), DEADLINE, NOW);
    }
    let disconnected = keys[39];
    let shed = overload.shed(39, |key| key != disconnected, NOW);
    let first = &shed[..20];
    assert!(first.iter().all(|(key, _)| keys[..20].contains(key)));
    assert!(shed.len() > 30 && shed.iter().all(|(key, _)| *key != disconnected));
    assert!(shed.iter().any(|(_, delay)| *delay != shed[0].1));
    let text = String::from_utf8(metrics.text()).expect("a text");
    assert!(text.contains("papayayard_shed_requests_total"));
    assert!(overload.shed(0, |_| true, NOW).is_empty());
}
