//! Repeats the call of a request whose dispatcher is busy.
//!
//! The request is asked again once, and is then refused as not run. A stream that goes on is
//! asked again until its deadline, since a refusal would cut it off. Such a request is never
//! placed by this host alone: its dispatcher answers others, and knows the load.

use std::time::Duration;

use papayayard_coordination::dispatcher::ANSWER_TIMEOUT;
use papayayard_coordination::dispatcher_health;
use papayayard_routing::placement::{Availability, Query};
use papayayard_wire::id;
use tokio::time;

use super::Selection;
use super::cause::Cause;
use crate::clock::Clock;

/// Minimum delay before a stream that goes on is asked again. The delay of a refusal is a fraction
/// of the time left, so that without a minimum the calls would become ever denser until the
/// deadline.
pub(super) const MIN_DELAY: Duration = Duration::from_millis(50);

/// Whether time is left to repeat the call of a request.
pub(super) fn is_in_time(query: &Query, clock: Clock) -> bool {
    clock.now() + ANSWER_TIMEOUT <= query.deadline
}

/// Waits if a stream that goes on was refused undecided. Returns whether it is asked again.
pub(super) async fn wait(query: &Query, selection: &Selection, clock: Clock) -> bool {
    let Selection::Refused {
        reason: Cause::BusyDispatcher,
        retry_after,
        ..
    } = selection
    else {
        return false;
    };
    let delay = MIN_DELAY.max(*retry_after);
    let may_wait = is_continued(query) && clock.now() + delay < query.deadline;
    if may_wait {
        time::sleep(delay).await;
    }
    may_wait
}

/// Refuses a request since its dispatcher is busy.
pub(super) fn refuse(query: &Query, dispatcher: &id::Host, clock: Clock) -> Selection {
    let left = query.deadline.saturating_sub(clock.now());
    let retry_after = dispatcher_health::retry_after(left, rand::random());
    refused(retry_after, dispatcher.as_str())
}

/// Refusal of a request on which the scheduler `by` did not decide.
pub(super) fn refused(retry_after: Duration, by: &str) -> Selection {
    Selection::Refused {
        reason: Cause::BusyDispatcher,
        retry_after,
        availability: Availability::default(),
        refused_by: by.to_owned(),
    }
}

/// Whether the request continues a stream that has begun.
pub(super) const fn is_continued(query: &Query) -> bool {
    query.software.is_some()
}
