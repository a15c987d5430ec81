//! The order of the filters, for each kind of request.

use tokio::sync::watch;

use crate::controllers::configuration;
use crate::filters::Then;
use crate::filters::authenticate::Authenticate;
use crate::filters::call::Classify;
use crate::filters::completion::Parse;
use crate::filters::read::Read;
use crate::settings;

/// Filters of a completion.
pub(crate) type Completions = Then<Then<Authenticate, Read>, Parse>;
/// Filters of a plain service's request.
pub(crate) type Calls = Then<Then<Authenticate, Read>, Classify>;

/// Makes the chain of a completion.
pub(crate) fn completions(
    active: watch::Receiver<configuration::Current>,
    limits: &settings::Limits,
) -> Completions {
    Then(Then(Authenticate::new(active), Read::new(limits)), Parse)
}

/// Makes the chain of a plain service's request.
pub(crate) fn calls(
    active: watch::Receiver<configuration::Current>,
    limits: &settings::Limits,
) -> Calls {
    Then(Then(Authenticate::new(active), Read::new(limits)), Classify)
}
