//! The filter chain: what a request passes before it is relayed.
//!
//! Each filter takes one stage of a request and returns the next, or refuses
//! the request. [`chain`] lists the filters in the order in which they run.

use crate::refusal::Refusal;

pub(crate) mod admit;
pub(crate) mod authenticate;
pub(crate) mod call;
pub(crate) mod chain;
pub(crate) mod completion;
pub(crate) mod read;

/// One step of the chain.
pub(crate) trait Filter<Input>: Sync
where
    Input: Send,
{
    /// Stage that the filter returns.
    type Output: Send;

    /// Passes the request on or refuses it.
    fn apply(&self, input: Input) -> impl Future<Output = Result<Self::Output, Refusal>> + Send;
}

/// Two filters, one after the other.
pub(crate) struct Then<First, Second>(pub(crate) First, pub(crate) Second);

impl<Input, First, Second> Filter<Input> for Then<First, Second>
where
    Input: Send,
    First: Filter<Input>,
    Second: Filter<First::Output>,
{
    type Output = Second::Output;

    async fn apply(&self, input: Input) -> Result<Self::Output, Refusal> {
        let next = self.0.apply(input).await?;
        self.1.apply(next).await
    }
}
