//! Whether a response states where its body ends.

use http::{HeaderMap, StatusCode, header};

/// Last coding of a body that is sent in chunks.
const CHUNKED: &str = "chunked";

/// Whether the body has neither a length nor chunks, so that it ends with its connection. The
/// request's method must allow a body.
pub(crate) fn ends_with_connection(status: StatusCode, headers: &HeaderMap) -> bool {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return false;
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return !is_chunked(headers);
    }
    !headers.contains_key(header::CONTENT_LENGTH)
}

/// Whether the last coding is chunks.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let last = last.and_then(|value| value.to_str().ok());
    let coding = last.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}

#[cfg(test)]
#[path = "framing_test.rs"]
mod test;
