//! Detects which hosts are live by the order of their records in a log.
//!
//! Each host appends a record periodically, with the same period for all hosts. A host
//! has ended if the other hosts have since appended more records than they would in a
//! few periods. Wall-clock times are not compared, because they differ between hosts
//! and can jump.
//!
//! A log that is restored from an older copy assigns offsets again. All known hosts then
//! count as if they had just appended a record, and those that have ended are told apart
//! from there on.

use std::collections::BTreeMap;

use papayayard_wire::id;

/// Periods without a record after which a host has ended.
const MAX_MISSED_PERIODS: f64 = 2.5;

/// Offset of each host's newest record.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    newest: BTreeMap<id::Host, u64>,
}

impl Tracker {
    /// Records the offset of a host's record; the newest one counts.
    pub fn observe(&mut self, host: &id::Host, offset: u64) {
        let newest = self.newest.entry(host.clone()).or_default();
        *newest = offset.max(*newest);
    }

    /// Counts all known hosts from the end of a log that was restored.
    pub fn restore(&mut self, end: u64) {
        for newest in self.newest.values_mut() {
            *newest = end;
        }
    }

    /// Removes a host that has announced its end.
    pub fn remove(&mut self, host: &id::Host) {
        self.newest.remove(host);
    }

    /// Removes hosts that did not appear in a complete read of the log.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&id::Host) -> bool,
    {
        self.newest.retain(|host, _| keep(host));
    }

    /// Hosts that are live when the log ends at an offset.
    pub fn live_hosts(&self, end: u64) -> Vec<&id::Host> {
        let mut live: Vec<(&id::Host, u64)> = self
            .newest
            .iter()
            .map(|(host, offset)| (host, *offset))
            .collect();
        // Ended hosts append nothing, so each one that is removed shortens the period
        // of the remaining hosts, counted in records.
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

/// Number of records that this many hosts append before a host has missed too many
/// periods.
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
