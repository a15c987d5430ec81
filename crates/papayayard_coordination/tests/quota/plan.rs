//! Load and faults of one replay, drawn from a seed.

use std::time::Duration;

use papayayard_coordination::quota::{Quota, Tolerance};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
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
pub(crate) struct Plan {
    pub(crate) hosts: usize,
    /// Hosts that others use as dispatcher, in order of preference.
    pub(crate) dispatchers: usize,
    pub(crate) quotas: Vec<Quota>,
    pub(crate) tolerance: Tolerance,
    /// Demand of each account, as a multiple of its quota.
    pub(crate) demand: f64,
    /// Number of hosts at which the demand arrives.
    pub(crate) entries: usize,
    /// Mean cost of a request, as a part of what refills in a second.
    pub(crate) cost: f64,
    /// Part of the requests that declare no prompt.
    pub(crate) plain: f64,
    /// Part of the admitted requests that do not run.
    pub(crate) unrun: f64,
    /// Largest deviation of a clock.
    pub(crate) drift: f64,
    pub(crate) lost: f64,
    pub(crate) late: f64,
    pub(crate) repeated: f64,
    /// Part of the hosts that move between the two first dispatchers all the time.
    pub(crate) moving: f64,
    /// Longest time between two moves, in seconds.
    pub(crate) move_seconds: f64,
    /// Longest time after which a charge is returned, in seconds.
    pub(crate) return_seconds: f64,
    /// Whether each demand pauses for some seconds and then returns.
    pub(crate) has_pauses: bool,
    pub(crate) is_first_start: bool,
    pub(crate) length: Duration,
    pub(crate) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Plan without any fault.
    pub(crate) fn calm(hosts: usize) -> Self {
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
            cost: 0.12,
            plain: 0.0,
            unrun: 0.0,
            drift: 0.0,
            lost: 0.0,
            late: 0.0,
            repeated: 0.0,
            moving: 0.0,
            move_seconds: 4.0,
            return_seconds: 2.0,
            has_pauses: false,
            is_first_start: false,
            length: Duration::from_secs(30),
            faults: Vec::new(),
        }
    }

    /// Plan with faults.
    pub(crate) fn random(rng: &mut ChaCha8Rng) -> Self {
        if rng.random_bool(0.5) {
            Self::focused(rng)
        } else {
            Self::mixed(rng)
        }
    }

    /// Plan with one kind of fault, under a load that leaves nothing of the quota unused.
    fn focused(rng: &mut ChaCha8Rng) -> Self {
        let hosts = rng.random_range(2..=15);
        let mut plan = Self::calm(hosts);
        plan.quotas = vec![quota(rng)];
        plan.tolerance.slack = 0.0;
        plan.dispatchers = 3.min(hosts);
        plan.entries = hosts;
        plan.cost = 0.04;
        plan.demand = rng.random_range(2.0..4.0);
        plan.drift = pick(rng, [0.0, 0.04]);
        plan.has_pauses = rng.random_bool(0.5);
        match rng.random_range(0..6) {
            0 => {
                plan.unrun = pick(rng, [0.6, 0.8]);
                plan.demand /= 1.0 - plan.unrun;
                plan.repeated = pick(rng, [0.0, 0.5, 0.5]);
                plan.return_seconds = pick(rng, [0.3, 0.3, 2.0, 10.0]);
            }
            1 => plan.add_stale_join(rng),
            2 => {
                plan.plain = 1.0;
                plan.repeated = pick(rng, [0.0, 0.5]);
                plan.has_pauses = true;
            }
            3 => {
                plan.moving = pick(rng, [0.5, 1.0]);
                plan.move_seconds = pick(rng, [4.0, 12.0]);
                plan.late = pick(rng, [0.0, 0.1]);
            }
            4 => {
                plan.moving = 0.5;
                plan.move_seconds = 30.0;
                plan.add_restarts(rng);
            }
            _ => plan.add_failovers(rng),
        }
        plan
    }

    /// Plan with faults of several kinds at once.
    fn mixed(rng: &mut ChaCha8Rng) -> Self {
        let is_small = rng.random_bool(0.7);
        let hosts = if is_small {
            rng.random_range(2..=12)
        } else {
            let any = rng.random_range(13..=75);
            pick(rng, [75, any])
        };
        let mut plan = Self::calm(hosts);
        plan.dispatchers = rng.random_range(1..=4).min(hosts);
        plan.quotas = (0..rng.random_range(1..=2)).map(|_| quota(rng)).collect();
        plan.tolerance.slack = pick(rng, [0.0, 0.0, 0.0, 110_000.0]);
        // Costs below what one part refills make pools of few parts usable.
        plan.cost = pick(rng, [0.04, 0.12]);
        plan.demand = rng.random_range(0.5..4.0);
        let few = rng.random_range(1..=hosts);
        plan.entries = pick(rng, [hosts, hosts, few]);
        plan.plain = pick(rng, [0.0, 0.3, 1.0]);
        plan.unrun = pick(rng, [0.0, 0.0, 0.1, 0.6]);
        plan.drift = pick(rng, [0.0, 0.02, 0.04]);
        plan.lost = pick(rng, [0.0, 0.0, 0.02, 0.2]);
        plan.late = pick(rng, [0.0, 0.0, 0.02, 0.1, 0.3]);
        plan.repeated = pick(rng, [0.0, 0.02, 0.1, 0.5]);
        plan.moving = pick(rng, [0.0, 0.0, 0.3, 1.0]);
        plan.move_seconds = pick(rng, [4.0, 12.0]);
        plan.return_seconds = pick(rng, [0.3, 2.0, 10.0]);
        plan.has_pauses = rng.random_bool(0.5);
        plan.is_first_start = rng.random_bool(0.3);
        match rng.random_range(0..6) {
            0 => plan.add_stale_join(rng),
            1 => plan.add_failovers(rng),
            2 => plan.add_restarts(rng),
            _ => plan.add_faults(rng),
        }
        if rng.random_bool(0.2) {
            let factor = rng.random_range(0.05..0.7);
            let at = between(rng, 5.0, 15.0);
            plan.faults.push((at, Fault::Lower(factor)));
        }
        plan
    }

    /// Hosts join while others can reach neither them nor the store.
    fn add_stale_join(&mut self, rng: &mut ChaCha8Rng) {
        self.dispatchers = self.hosts.min(3);
        let at = between(rng, 5.0, 12.0);
        let part = rng.random_range(0.2..0.9);
        let stale = (0..self.hosts).filter(|_| rng.random_bool(part));
        let stale: Vec<usize> = stale.collect();
        let time = between(rng, 5.0, 18.0);
        self.faults.push((at, Fault::CutStore(stale.clone(), time)));
        self.faults.push((at, Fault::Cut(stale, time)));
        let join = Fault::Join(self.hosts / 5);
        self.faults.push((at + between(rng, 0.0, 2.0), join));
    }

    /// Dispatchers fail one after another.
    fn add_failovers(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = between(rng, 4.0, 8.0);
        for _ in 0..rng.random_range(2..=8) {
            let host = rng.random_range(0..self.dispatchers);
            let time = between(rng, 0.3, 6.0);
            let fault = match rng.random_range(0..3) {
                0 => Fault::Restart(vec![host], time.min(Duration::from_secs(2))),
                1 => Fault::Freeze(vec![host], time),
                _ => Fault::Cut(vec![host], time),
            };
            self.faults.push((at, fault));
            at += between(rng, 0.5, 5.0);
        }
    }

    /// Many hosts are killed again and again.
    fn add_restarts(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = between(rng, 2.0, 8.0);
        for _ in 0..rng.random_range(2..=10) {
            let hosts = self.group(rng);
            let pause = between(rng, 0.02, 0.5);
            self.faults.push((at, Fault::Restart(hosts, pause)));
            at += between(rng, 0.3, 5.0);
        }
    }

    /// Faults that are not related to each other.
    fn add_faults(&mut self, rng: &mut ChaCha8Rng) {
        for _ in 0..rng.random_range(0..=6) {
            let at = between(rng, 1.0, 24.0);
            let fault = self.fault(rng);
            self.faults.push((at, fault.clone()));
            let is_repeated = matches!(fault, Fault::Restart(..)) && rng.random_bool(0.5);
            if is_repeated {
                self.faults.push((at + between(rng, 0.2, 7.0), fault));
            }
        }
        if rng.random_bool(0.3) {
            let hosts = rng.random_range(0..=self.hosts / 5);
            let at = between(rng, 1.0, 20.0);
            self.faults.push((at, Fault::Join(hosts)));
        }
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
pub(crate) fn between(rng: &mut ChaCha8Rng, from: f64, to: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(from..to))
}

fn pick<T: Copy, const COUNT: usize>(rng: &mut ChaCha8Rng, values: [T; COUNT]) -> T {
    values[rng.random_range(0..COUNT)]
}

fn quota(rng: &mut ChaCha8Rng) -> Quota {
    let per_second = rng.random_range(29_000.0..914_000.0);
    Quota {
        per_second,
        burst: per_second * rng.random_range(0.3..2.0),
    }
}
