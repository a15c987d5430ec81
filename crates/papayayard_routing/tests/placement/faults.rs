//! Bad moments of a site, drawn from a seed.

use std::time::Duration;

use papayayard_routing::rate::Rate;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::support::{NOW, ms};

/// Time from which all endpoints and hosts are sound.
pub(crate) const CALM: Duration = Duration::from_secs(114);
/// Time from which callers have to be served: `stableMs` later.
pub(crate) const STABLE: Duration = Duration::from_secs(117);

/// What goes wrong for a time.
#[derive(Clone, Debug)]
pub(crate) struct Spell {
    pub(crate) fault: Fault,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The endpoints send nothing, one after the other.
    SilentInTurn { each: Duration },
    /// A host reaches no endpoint.
    Cut { host: usize, way: Way },
    /// Some endpoints of each service misbehave.
    Endpoints {
        first: usize,
        number: usize,
        behavior: Behavior,
    },
    /// The outcomes of a host's requests do not arrive at the dispatcher.
    Unheard { host: usize },
    /// A host never calls again.
    Gone { host: usize },
}

/// What becomes of connections that do not reach an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    Refused,
    /// Accepted and closed.
    Closed,
    Hanging,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Behavior {
    Unreachable,
    /// Connections are accepted and closed.
    Closed,
    Mismatched,
    /// Requests are refused, with the backoff that the endpoint asks for.
    Full(Option<Duration>),
    /// Requests are never answered.
    Hanging,
    /// Requests are answered once the spell has ended.
    Standing,
    /// First events are late.
    Slow(Duration),
    /// Answers name limits, and some requests are refused.
    Limited {
        requests: Option<Rate>,
        refusals: Option<Rate>,
    },
}

impl Spell {
    pub(crate) fn includes(&self, now: Duration) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// Draws what happens to a site of so many hosts and endpoints.
pub(crate) fn draw(rng: &mut ChaCha8Rng, hosts: usize, endpoints: usize) -> Vec<Spell> {
    let number = rng.random_range(1..=4);
    let spells = (0..number).map(|_| {
        let fault = draw_fault(rng, hosts, endpoints);
        let is_gone = matches!(fault, Fault::Gone { .. });
        let is_long = rng.random_range(0..3) > 0;
        let shortest = if is_long { 8_000 } else { 300 };
        let lasts = ms(rng.random_range(shortest..12_000));
        let latest = CALM.saturating_sub(NOW + lasts);
        let from = if rng.random::<bool>() {
            CALM.saturating_sub(lasts)
        } else {
            NOW + latest.mul_f64(rng.random::<f64>())
        };
        let until = if is_gone { Duration::MAX } else { from + lasts };
        Spell { fault, from, until }
    });
    spells.collect()
}

fn draw_fault(rng: &mut ChaCha8Rng, hosts: usize, endpoints: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let other = (hosts > 1).then(|| rng.random_range(1..hosts.max(2)));
    match (rng.random_range(0..8), other) {
        (0, _) => Fault::SilentInTurn {
            each: ms(rng.random_range(300..1_600)),
        },
        (1, _) => Fault::Cut {
            host,
            way: draw_way(rng),
        },
        (2, Some(host)) => Fault::Unheard { host },
        (3, Some(host)) => Fault::Gone { host },
        _ => Fault::Endpoints {
            first: rng.random_range(0..endpoints),
            number: rng.random_range(1..=endpoints),
            behavior: draw_behavior(rng),
        },
    }
}

fn draw_way(rng: &mut ChaCha8Rng) -> Way {
    [Way::Refused, Way::Closed, Way::Hanging][rng.random_range(0..3)]
}

fn draw_behavior(rng: &mut ChaCha8Rng) -> Behavior {
    let is_first = rng.random::<bool>();
    match rng.random_range(0..8) {
        0 => Behavior::Unreachable,
        1 => Behavior::Closed,
        2 => Behavior::Mismatched,
        3 => Behavior::Full(is_first.then(|| ms(rng.random_range(200..3_000)))),
        4 => Behavior::Hanging,
        5 => Behavior::Standing,
        6 => Behavior::Slow(ms(rng.random_range(400..2_500))),
        _ => {
            // From these on a limit lets a request through in less than `stableMs`, also where
            // three hosts share it.
            let rate = Rate::new(rng.random_range(3.0..20.0));
            Behavior::Limited {
                requests: rate.filter(|_| is_first),
                refusals: rate.filter(|_| !is_first),
            }
        }
    }
}
