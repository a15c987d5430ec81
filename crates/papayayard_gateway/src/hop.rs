//! Hop-by-hop headers: their removal, and those that hosts use between each other when one
//! passes on a request to another.

use http::{HeaderMap, HeaderName, header};

/// Host that passes on a request.
pub(crate) const FORWARDED_BY: HeaderName = HeaderName::from_static("host-forwarded-by");
/// Runs that are handed over with a request.
pub(crate) const RUNS: HeaderName = HeaderName::from_static("host-runs");
/// Host that answers a request which another one passed on.
pub(crate) const ANSWERED_BY: HeaderName = HeaderName::from_static("host-answered-by");
/// Set if the host did not take the request, which has not run; the value tells for which
/// requests this holds.
pub(crate) const NOT_TAKEN: HeaderName = HeaderName::from_static("host-not-taken");
/// Set if a request that is passed on is charged to the quota of its client account already.
pub(crate) const CHARGED: HeaderName = HeaderName::from_static("host-charged");
/// Endpoint that gave the leave notice of an answer.
pub(crate) const LEAVING_ENDPOINT: HeaderName = HeaderName::from_static("host-leaving-endpoint");

const HOP_HEADERS: [HeaderName; 14] = [
    FORWARDED_BY,
    RUNS,
    ANSWERED_BY,
    NOT_TAKEN,
    CHARGED,
    LEAVING_ENDPOINT,
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip(headers: &mut HeaderMap) {
    drop_named(headers);
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers that `Connection` names.
pub fn drop_named(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
}
