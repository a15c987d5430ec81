//! Headers at the router: what it sets, and what must not pass through it.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use papayayard_gateway::hop;
use papayayard_wire::header as names;

/// Headers that end at each hop.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// A header of older clients that ends at each hop.
const KEEP_ALIVE: &str = "keep-alive";
/// Headers that only the router or an endpoint's contract may set.
const ROUTER_HEADERS: [&str; 8] = [
    names::REQUEST_ID,
    names::CACHE_SALT,
    names::BLOCK_SIZE,
    names::PRIORITY,
    names::WEIGHTS_VERSION,
    names::INCARNATION,
    names::RAN,
    names::HOST_ID,
];

/// Drops what ends here, the headers that `Connection` names included.
pub(crate) fn strip(headers: &mut HeaderMap) {
    hop::drop_named(headers);
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    for name in ROUTER_HEADERS {
        headers.remove(name);
    }
}

/// Sets a header; a value that cannot stand in one is left out.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
