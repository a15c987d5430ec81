//! Load and faults of one replay, drawn from a seed.

use std::time::Duration;

use papayayard_coordination::quota::{Quota, Tolerance};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Hosts are killed, and started again after a time.
    Restart(Vec<usize>, Duration),
    /// Hosts stand still for a time; their messages wait.
    Freeze(Vec<usize>, Duration),
    /// Hosts are cut off from all others, but not from each other, for a time.
    Cut(Vec<usize>, Duration),
    /// Hosts cannot read the store for a time.
    CutStore(Vec<usize>, Duration),
    /// Hosts join.
    Join(usize),
    /// The quotas are lowered by a factor.
    Lower(f64),
}

/// Load and faults of a replay.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    /// Hosts that others use as dispatcher, in order of preference.
    pub dispatchers: usize,
    pub quotas: Vec<Quota>,
    pub tolerance: Tolerance,
    /// Demand of each account, as a multiple of its quota.
    pub demand: f64,
    /// Number of hosts at which the demand arrives.
    pub entries: usize,
    /// Part of the requests that declare no prompt.
    pub plain: f64,
    /// Part of the admitted requests that do not run.
    pub unrun: f64,
    /// Largest deviation of a clock.
    pub drift: f64,
    pub lost: f64,
    pub late: f64,
    pub repeated: f64,
    /// Part of the hosts that move between the two first dispatchers all the time.
    pub moving: f64,
    /// Whether each demand pauses for some seconds and then returns.
    pub has_pauses: bool,
    pub is_first_start: bool,
    pub length: Duration,
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Plan without any fault.
    pub fn calm(hosts: usize) -> Self {
        Self {
            hosts,
            dispatchers: 1,
            quotas: vec![Quota {
                per_second: 29_000.0,
                burst: 29_000.0,
            }],
            tolerance: Tolerance {
                window: Duration::from_secs(8),
                ratio: 0.1,
                slack: 110_000.0,
            },
            demand: 1.5,
            entries: 3,
            plain: 0.0,
            unrun: 0.0,
            drift: 0.0,
            lost: 0.0,
            late: 0.0,
            repeated: 0.0,
            moving: 0.0,
            has_pauses: false,
            is_first_start: false,
            length: Duration::from_secs(30),
            faults: Vec::new(),
        }
    }

    /// Plan with faults of several kinds at once.
    pub fn random(rng: &mut ChaCha8Rng) -> Self {
        let hosts = if rng.random_bool(0.3) {
            75
        } else {
            rng.random_range(2..=75)
        };
        let mut plan = Self::calm(hosts);
        plan.dispatchers = rng.random_range(1..=4).min(hosts);
        plan.quotas = (0..rng.random_range(1..=2)).map(|_| quota(rng)).collect();
        plan.tolerance.slack = if rng.random_bool(0.5) { 0.0 } else { 110_000.0 };
        plan.demand = rng.random_range(0.4..4.0);
        plan.entries = rng.random_range(1..=hosts);
        plan.plain = [0.0, 0.3, 1.0][rng.random_range(0..3)];
        plan.unrun = [0.0, 0.1, 0.6][rng.random_range(0..3)];
        plan.drift = [0.0, 0.02, 0.04][rng.random_range(0..3)];
        plan.lost = [0.0, 0.02, 0.2][rng.random_range(0..3)];
        plan.late = [0.0, 0.02, 0.1][rng.random_range(0..3)];
        plan.repeated = [0.0, 0.02, 0.1][rng.random_range(0..3)];
        plan.moving = [0.0, 0.0, 0.3, 1.0][rng.random_range(0..4)];
        plan.has_pauses = rng.random_bool(0.5);
        plan.is_first_start = rng.random_bool(0.3);
        for _ in 0..rng.random_range(0..=6) {
            let at = between(rng, 1.0, 24.0);
            let fault = plan.fault(rng);
            plan.faults.push((at, fault.clone()));
            let is_repeated = matches!(fault, Fault::Restart(..)) && rng.random_bool(0.5);
            if is_repeated {
                plan.faults.push((at + between(rng, 0.2, 7.0), fault));
            }
        }
        if rng.random_bool(0.3) {
            let hosts = rng.random_range(0..=hosts / 5);
            plan.faults
                .push((between(rng, 1.0, 20.0), Fault::Join(hosts)));
        }
        if rng.random_bool(0.3) {
            let factor = rng.random_range(0.05..0.7);
            plan.faults
                .push((between(rng, 5.0, 15.0), Fault::Lower(factor)));
        }
        plan
    }

    fn fault(&self, rng: &mut ChaCha8Rng) -> Fault {
        let hosts = self.group(rng);
        let time = between(rng, 0.3, 9.0);
        match rng.random_range(0..4) {
            0 => Fault::Restart(hosts, between(rng, 0.02, 3.0)),
            1 => Fault::Freeze(hosts, time),
            2 => Fault::Cut(hosts, time),
            _ => Fault::CutStore(hosts, time * 2),
        }
    }

    /// All hosts, a zone, the dispatchers, one host or any hosts.
    fn group(&self, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let all = 0..self.hosts;
        match rng.random_range(0..6) {
            0 => all.collect(),
            1 => {
                let zone = rng.random_range(0..3);
                all.filter(|host| host % 3 == zone).collect()
            }
            2 => (0..self.dispatchers).collect(),
            3 => vec![rng.random_range(all)],
            4 => vec![0],
            _ => all.filter(|_| rng.random_bool(0.5)).collect(),
        }
    }
}

/// A time between two numbers of seconds.
pub fn between(rng: &mut ChaCha8Rng, from: f64, to: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(from..to))
}

fn quota(rng: &mut ChaCha8Rng) -> Quota {
    let per_second = rng.random_range(29_000.0..914_000.0);
    Quota {
        per_second,
        burst: per_second * rng.random_range(0.3..2.0),
    }
}
