//! Which hosts live, told by the order of their records in a log.
//!
//! Each host writes a record from time to time, all equally often. A host has
//! ended when the others have since written more records than they would in a
//! few periods. So no time of day is compared: it differs between hosts, and can
//! jump.

use std::collections::BTreeMap;

use papayayard_wire::id;

/// Periods without a record after which a host has ended.
const MAX_MISSED_PERIODS: f64 = 2.5;

/// Offsets of hosts' newest records.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    newest: BTreeMap<id::Host, u64>,
}

impl Tracker {
    /// Takes over a record of a host at an offset.
    pub fn observe(&mut self, host: &id::Host, offset: u64) {
        let newest = self.newest.entry(host.clone()).or_default();
        *newest = offset.max(*newest);
    }

    /// Takes over that a host has said that it ends.
    pub fn remove(&mut self, host: &id::Host) {
        self.newest.remove(host);
    }

    /// Forgets hosts that a whole reading did not show.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&id::Host) -> bool,
    {
        self.newest.retain(|host, _| keep(host));
    }

    /// Hosts that live, where the log ends at an offset.
    pub fn live_hosts(&self, end: u64) -> Vec<&id::Host> {
        let mut live: Vec<(&id::Host, u64)> = self
            .newest
            .iter()
            .map(|(host, offset)| (host, *offset))
            .collect();
        // Hosts that have ended write nothing, so each that goes makes the
        // live ones' periods shorter.
        loop {
            let oldest = end.saturating_sub(max_record_gap(live.len()));
            let before = live.len();
            live.retain(|(_, offset)| *offset >= oldest);
            if live.len() == before {
                return live.into_iter().map(|(host, _)| host).collect();
            }
        }
    }
}

/// Records that so many hosts write before one of them has missed too many.
fn max_record_gap(hosts: usize) -> u64 {
    let hosts = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a product of positive numbers below 2^34"
    )]
    let records = (hosts * MAX_MISSED_PERIODS).ceil() as u64;
    records
}
