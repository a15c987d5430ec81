//! The order of the filters, for each kind of request.

use tokio::sync::watch;

use crate::controllers::{admission, configuration};
use crate::filters::Then;
use crate::filters::admit::Admit;
use crate::filters::authenticate::Authenticate;
use crate::filters::call::Classify;
use crate::filters::completion::Parse;
use crate::filters::read::Read;
use crate::settings;

/// Filters of a completion.
pub(crate) type Completions = Then<Then<Then<Authenticate, Read>, Parse>, Admit>;
/// Filters of a plain service's request.
pub(crate) type Calls = Then<Then<Then<Authenticate, Read>, Classify>, Admit>;

/// Makes the chain of a completion.
pub(crate) fn completions(
    active: watch::Receiver<configuration::Current>,
    limits: &settings::Limits,
    admission: admission::Handle,
) -> Completions {
    let whole = Then(Authenticate::new(active), Read::new(limits));
    Then(Then(whole, Parse), Admit::new(admission))
}

/// Makes the chain of a plain service's request.
pub(crate) fn calls(
    active: watch::Receiver<configuration::Current>,
    limits: &settings::Limits,
    admission: admission::Handle,
) -> Calls {
    let whole = Then(Authenticate::new(active), Read::new(limits));
    Then(Then(whole, Classify), Admit::new(admission))
}
