//! The router adds no wait of its own to a stream's first token.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use support::Bed;

/// Time for which a peer commonly holds an acknowledgement back.
const DELAYED_ACK: Duration = Duration::from_millis(40);
const REQUESTS: u32 = 20;

/// On a connection that is used again, acknowledgements are held back.
#[rstest]
#[tokio::test]
async fn no_event_waits_for_an_acknowledgement() {
    let bed = Bed::with(1, 0, |options| options.time_scale = 1_000.0).await;
    bed.publish(0, &support::document("v1", 1)).await;
    let host = bed.ready_host("entry-1").await;
    let uri = format!("http://{}/v1/completions", host.addresses().callers);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let start = Instant::now();
    for _ in 0..REQUESTS {
        let body = support::body("a partner", 2, true);
        let request = Request::post(&uri)
            .header(header::AUTHORIZATION, support::bearer(support::KEY))
            .body(Full::new(Bytes::from(body)))
            .expect("the request is well formed");
        let response = client.request(request).await.expect("the host answers");
        assert_eq!(response.status(), StatusCode::OK);
        let body = response.into_body().collect().await;
        body.expect("the stream is whole");
    }
    let each = start.elapsed() / REQUESTS;
    assert!(each < DELAYED_ACK, "{each:?}");
}
