//! Rates of requests.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// A number of requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// The number is negative or not finite.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{per_second} is no rate of requests; give a number from 0"))]
pub struct Error {
    per_second: f64,
}

impl Rate {
    /// Creates a rate; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        Self::new(per_second).context(Snafu { per_second })
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}
