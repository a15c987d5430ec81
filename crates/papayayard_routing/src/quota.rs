//! Quotas of client accounts as operators set them, and what a request costs.

use snafu::{Snafu, ensure};

use crate::prompt::Prompt;

/// What the rate and the burst of a quota count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    Requests,
    Tokens {
        /// Cost in tokens of a request that declares no prompt.
        plain: f64,
    },
}

/// Quota of a client account over all hosts together, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    per_second: f64,
    burst: f64,
    unit: Unit,
}

/// Why numbers are no quota.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum Error {
    #[snafu(display("{value} is no amount; write a finite number from 0"))]
    NoAmount { value: f64 },
    #[snafu(display("a rate of {per_second} without a burst allows no request; set both or none"))]
    NoBurst { per_second: f64 },
    #[snafu(display("a burst of {burst} without a rate never refills; set both or none"))]
    NoRate { burst: f64 },
}

impl Quota {
    /// Creates a quota; `None` if both the rate and the burst are 0.
    ///
    /// # Errors
    ///
    /// A number is negative or not finite, or just one of the rate and the burst is 0.
    pub fn new(per_second: f64, burst: f64, unit: Unit) -> Result<Option<Self>, Error> {
        let plain = match unit {
            Unit::Requests => 0.0,
            Unit::Tokens { plain } => plain,
        };
        for value in [per_second, burst, plain] {
            ensure!(value.is_finite() && value >= 0.0, NoAmountSnafu { value });
        }
        let (has_rate, has_burst) = (per_second > 0.0, burst > 0.0);
        ensure!(has_burst || !has_rate, NoBurstSnafu { per_second });
        ensure!(has_rate || !has_burst, NoRateSnafu { burst });
        Ok(has_rate.then_some(Self {
            per_second,
            burst,
            unit,
        }))
    }

    /// Rate at which the quota refills, in its unit per second.
    pub const fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Maximum amount that can be spent at once, in its unit.
    pub const fn burst(&self) -> f64 {
        self.burst
    }

    /// Cost of a request in the unit of the quota, by the prompt that it declares.
    pub fn cost(&self, prompt: Option<&Prompt>) -> f64 {
        match (self.unit, prompt) {
            (Unit::Requests, _) => 1.0,
            (Unit::Tokens { plain }, None) => plain,
            (Unit::Tokens { .. }, Some(prompt)) => {
                f64::from(prompt.tokens) + f64::from(prompt.max_output)
            }
        }
    }
}
