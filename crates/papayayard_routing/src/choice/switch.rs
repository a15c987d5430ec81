//! Selection of a policy by name, without dynamic dispatch.

use serde::{Deserialize, Serialize};

use crate::choice::{
    GroundTruth, LeastLoaded, Oracle, Papayayard, Pick, Policy, Query, Refusal, Rendezvous,
    RoundRobin,
};
use crate::fleet;

/// Name of a policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// Endpoints in rotation.
    RoundRobin,
    /// The shortest queue.
    LeastLoaded,
    /// Rendezvous hashing of the prefix.
    Rendezvous,
    /// The lowest estimated time to first token.
    #[default]
    Papayayard,
    /// The lowest true time to first token.
    Oracle,
}

impl Name {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Rendezvous,
        Self::Papayayard,
        Self::Oracle,
    ];

    /// Name in settings and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Rendezvous => "rendezvous",
            Self::Papayayard => "papayayard",
            Self::Oracle => "oracle",
        }
    }
}

/// One of the policies.
#[derive(Debug)]
pub enum Switch<View> {
    /// Endpoints in rotation.
    RoundRobin(RoundRobin),
    /// The shortest queue.
    LeastLoaded(LeastLoaded),
    /// Rendezvous hashing of the prefix.
    Rendezvous(Rendezvous),
    /// The lowest estimated time to first token.
    Papayayard(Papayayard),
    /// The lowest true time to first token.
    Oracle(Oracle<View>),
}

impl<View> Switch<View>
where
    View: GroundTruth,
{
    /// Creates the policy called `name`; `seed` differs between hosts.
    pub fn new(name: Name, seed: u64, truth: View) -> Self {
        match name {
            Name::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            Name::LeastLoaded => Self::LeastLoaded(LeastLoaded),
            Name::Rendezvous => Self::Rendezvous(Rendezvous::default()),
            Name::Papayayard => Self::Papayayard(Papayayard::new(seed)),
            Name::Oracle => Self::Oracle(Oracle::new(truth)),
        }
    }
}

impl<View> Policy for Switch<View>
where
    View: GroundTruth,
{
    fn pick(&mut self, fleet: &fleet::Fleet, query: &Query<'_>) -> Result<Pick, Refusal> {
        match self {
            Self::RoundRobin(policy) => policy.pick(fleet, query),
            Self::LeastLoaded(policy) => policy.pick(fleet, query),
            Self::Rendezvous(policy) => policy.pick(fleet, query),
            Self::Papayayard(policy) => policy.pick(fleet, query),
            Self::Oracle(policy) => policy.pick(fleet, query),
        }
    }
}
