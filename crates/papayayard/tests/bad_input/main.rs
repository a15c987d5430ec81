//! Bad input of callers ends in a clear refusal, runs nothing, and leaves a
//! host that goes on.

mod completions;
mod passing;
mod raw;
mod requests;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use papayayard::host;
use papayayard_wire::refusal::{Kind, Ran};
use support::Bed;

/// Most bytes of a body in these tests.
pub(crate) const BODY_BYTES: usize = 4096;
/// Most bytes of a request's head in these tests.
pub(crate) const HEADER_BYTES: usize = 8192;

pub(crate) async fn start() -> (Bed, host::Running) {
    let bed = Bed::start(1, 1).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let mut settings = bed.settings("entry-1", "bergen-a", &[]);
    settings.limits.body_bytes = BODY_BYTES;
    settings.limits.header_bytes = HEADER_BYTES;
    settings.limits.send = Duration::from_millis(300);
    let host = host::start(settings, host::Blind);
    let host = host.expect("the host starts");
    support::wait_until(&host, |status| {
        status.revision.0 == 1 && status.endpoints.iter().any(|endpoint| endpoint.eligible)
    })
    .await;
    (bed, host)
}

/// Expects that nothing ran, and that the host still answers.
pub(crate) async fn expect_unharmed(bed: &Bed, host: &host::Running) {
    let ran = [bed.engine_ledger(), bed.service_ledger()].concat();
    assert!(ran.is_empty(), "{ran:?}");
    let reply = support::complete(host, "hello", 4).await;
    reply.expect("the exchange is whole").complete_stream();
}

pub(crate) fn expect_refusal(reply: &support::Reply, kind: Kind, told: &str) {
    let refusal = reply.refusal().error;
    assert_eq!((refusal.kind, refusal.ran), (kind, Ran::No), "{refusal:?}");
    assert_eq!(reply.status.as_u16(), kind.status());
    assert_eq!(refusal.code, kind.status());
    assert!(refusal.message.contains(told), "{refusal:?}");
}
