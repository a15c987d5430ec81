//! Asks admission for a permit, which the request keeps until its answer is
//! whole.

use std::time::Duration;

use papayayard_document::document;

use crate::controllers::admission;
use crate::exchange::{Admitted, Call, Completion, Known};
use crate::filters::Filter;
use crate::refusal::Refusal;

/// First-token targets that a request without a deadline waits at most.
const PATIENCE_TARGETS: u32 = 4;

/// Asks for a permit.
pub(crate) struct Admit {
    admission: admission::Handle,
}

impl Admit {
    /// Makes the filter.
    pub(crate) fn new(admission: admission::Handle) -> Self {
        Self { admission }
    }
}

impl Filter<Completion> for Admit {
    type Output = Admitted<Completion>;

    async fn apply(&self, mut completion: Completion) -> Result<Admitted<Completion>, Refusal> {
        let known = &mut completion.whole.known;
        let patience = completion.first_token * PATIENCE_TARGETS;
        let deadline = known.deadline.unwrap_or(known.arrival.received + patience);
        known.deadline = Some(deadline);
        let computed = completion.prompt_bytes / document::BYTES_PER_TOKEN;
        let computed = u32::try_from(computed).unwrap_or(u32::MAX);
        let cost = computed.saturating_add(completion.max_tokens.unwrap_or_default());
        let request = request(known, Some(cost), deadline);
        let permit = self.admission.admit(request).await?;
        Ok(Admitted {
            work: completion,
            _permit: permit,
        })
    }
}

impl Filter<Call> for Admit {
    type Output = Admitted<Call>;

    async fn apply(&self, call: Call) -> Result<Admitted<Call>, Refusal> {
        let known = &call.whole.known;
        let latest = known.arrival.received + call.timeout;
        let deadline = known.deadline.map_or(latest, |stated| stated.min(latest));
        let permit = self.admission.admit(request(known, None, deadline)).await?;
        Ok(Admitted {
            work: call,
            _permit: permit,
        })
    }
}

/// A request for a permit; what has no `cost` takes no endpoint's slot.
fn request(known: &Known, cost: Option<u32>, deadline: Duration) -> admission::Request {
    admission::Request {
        account: known.account.id.clone(),
        priority: known.account.priority,
        cost: cost.unwrap_or(1),
        deadline,
        needs_slot: cost.is_some(),
    }
}
