//! Heads of responses, and how the HTTP library reads their bodies.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rstest::rstest;

use super::ends_with_connection;

/// Guards against taking the end of a connection for the end of chunks.
#[rstest]
#[case::nothing(200, &[], true)]
#[case::length(200, &[("content-length", "3")], false)]
#[case::chunks(200, &[("transfer-encoding", "chunked")], false)]
#[case::chunks_last(200, &[("transfer-encoding", "gzip, Chunked")], false)]
#[case::other_coding(200, &[("transfer-encoding", "identity")], true)]
#[case::other_coding_last(200, &[("transfer-encoding", "chunked, gzip")], true)]
#[case::coding_before_length(
    200, &[("transfer-encoding", "gzip"), ("content-length", "3")], true
)]
#[case::no_content(204, &[], false)]
fn a_body_ends_with_its_connection_if_nothing_else_ends_it(
    #[case] status: u16,
    #[case] fields: &[(&'static str, &'static str)],
    #[case] expected: bool,
) {
    let fields = fields.iter();
    let headers: HeaderMap = fields
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect();
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(ends_with_connection(status, &headers), expected);
}
