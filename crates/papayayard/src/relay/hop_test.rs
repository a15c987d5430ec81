//! What does not pass through the router.

use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

use crate::relay::hop;

#[rstest]
#[case::hop("te", "trailers")]
#[case::older_hop("keep-alive", "timeout=5")]
#[case::named_by_connection("x-of-this-hop", "1")]
#[case::second_name_of_connection("x-also", "1")]
#[case::router("x-cache-salt", "0000000000000000")]
#[case::contract("x-ran", "no")]
#[case::host("x-papayayard-host", "entry-9")]
fn a_header_that_ends_here_is_dropped(#[case] name: &'static str, #[case] value: &'static str) {
    let mut headers = HeaderMap::new();
    let connection = HeaderValue::from_static("x-of-this-hop, X-Also");
    headers.insert("connection", connection);
    headers.insert("accept", HeaderValue::from_static("text/plain"));
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    hop::strip(&mut headers);
    assert_eq!(headers.len(), 1, "{headers:?}");
    assert!(headers.contains_key("accept"));
}
