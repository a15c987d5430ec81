//! Removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, header};

const HOP_HEADERS: [HeaderName; 8] = [
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
