//! Status codes of answers.
//!
//! An answer to a request has a status from 200 to 599: interim answers come before it, and
//! nothing here asks for another protocol. With any other status the bytes answer no request, so
//! that none of their headers speaks for one either.

/// Whether an answer to a request can have a status.
pub const fn is_final(status: u16) -> bool {
    matches!(status, 200..=599)
}
