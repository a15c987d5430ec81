//! Amounts of a client account's two limits: request rate and open requests.

use papayayard_wire::{id, peer};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Amount {
    /// In thousandths of a request per second.
    pub rate: u64,
    pub open: u64,
}

impl Amount {
    /// Takes whole requests per second and a number of open requests.
    pub const fn new(requests_per_second: u32, open_requests: u32) -> Self {
        Self {
            rate: requests_per_second as u64 * 1_000,
            open: open_requests as u64,
        }
    }

    pub fn requests_per_second(self) -> f64 {
        let milli = u32::try_from(self.rate).unwrap_or(u32::MAX);
        f64::from(milli) / 1_000.0
    }

    pub fn open_requests(self) -> u32 {
        u32::try_from(self.open).unwrap_or(u32::MAX)
    }

    pub(crate) const fn from_share(share: &peer::Share) -> Self {
        Self {
            rate: share.rate,
            open: share.open,
        }
    }

    pub(crate) const fn to_share(self, account: id::Account) -> peer::Share {
        peer::Share {
            account,
            rate: self.rate,
            open: self.open,
        }
    }

    pub(crate) const fn is_zero(self) -> bool {
        self.rate == 0 && self.open == 0
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }

    pub(crate) fn component_min(self, other: Self) -> Self {
        self.zip_with(other, u64::min)
    }

    pub(crate) fn component_max(self, other: Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// Scales the amount by a percentage, rounding down.
    pub(crate) const fn percent(self, percent: u64) -> Self {
        Self {
            rate: self.rate.saturating_mul(percent) / 100,
            open: self.open.saturating_mul(percent) / 100,
        }
    }

    /// One of `count` equal parts, rounded up.
    pub(crate) fn div_ceil(self, count: usize) -> Self {
        let count = count.max(1) as u64;
        Self {
            rate: self.rate.div_ceil(count),
            open: self.open.div_ceil(count),
        }
    }

    /// The part at index `rank` when the amount is split into `count` integer parts
    /// that add up to it.
    pub(crate) const fn nth_part(self, rank: u64, count: u64) -> Self {
        Self {
            rate: nth_part(self.rate, rank, count),
            open: nth_part(self.open, rank, count),
        }
    }

    fn zip_with<Operation>(self, other: Self, operation: Operation) -> Self
    where
        Operation: Fn(u64, u64) -> u64,
    {
        Self {
            rate: operation(self.rate, other.rate),
            open: operation(self.open, other.open),
        }
    }
}

const fn nth_part(whole: u64, rank: u64, count: u64) -> u64 {
    let remainder = whole % count;
    whole / count + if rank < remainder { 1 } else { 0 }
}
