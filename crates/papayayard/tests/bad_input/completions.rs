//! Bodies of completions.

use http::{Method, StatusCode};
use papayayard_wire::refusal::Kind;
use rstest::rstest;

use crate::support;
use crate::{expect_refusal, expect_unharmed, start};

#[rstest]
#[case::empty("", "not a completion request")]
#[case::no_json("model=match", "not a completion request")]
#[case::cut_json(r#"{"model":"match","prompt":"x"#, "not a completion request")]
#[case::more_after_json(r#"{"model":"match","prompt":"x"}}"#, "not a completion request")]
#[case::a_list(r#"["match","x"]"#, "not a completion request")]
#[case::no_model(r#"{"prompt":"x"}"#, "missing field `model`")]
#[case::model_no_text(r#"{"model":7,"prompt":"x"}"#, "not a completion request")]
#[case::model_twice(
    r#"{"model":"match","model":"match","prompt":"x"}"#,
    "duplicate field `model`"
)]
#[case::no_prompt(r#"{"model":"match"}"#, "neither `prompt` nor `messages`")]
#[case::prompt_no_text(r#"{"model":"match","prompt":{"a":1}}"#, "not a completion request")]
#[case::negative_token(r#"{"model":"match","prompt":[-1]}"#, "not a completion request")]
#[case::huge_token(
    r#"{"model":"match","prompt":[4294967296]}"#,
    "not a completion request"
)]
#[case::negative_length(
    r#"{"model":"match","prompt":"x","max_tokens":-1}"#,
    "not a completion request"
)]
#[case::message_without_text(
    r#"{"model":"match","messages":[{"role":"user"}]}"#,
    "missing field `content`"
)]
#[case::stream_no_flag(
    r#"{"model":"match","prompt":"x","stream":"yes"}"#,
    "not a completion request"
)]
#[case::half_a_surrogate(r#"{"model":"match","prompt":"\ud800"}"#, "not a completion request")]
#[case::continuation(
    r#"{"model":"match","prompt":"x","continuation":{"position":3,"text":"abc"}}"#,
    "`continuation` is reserved"
)]
#[case::escaped_continuation(
    r#"{"model":"match","prompt":"x","\u0063ontinuation":{"position":3,"text":"abc"}}"#,
    "`continuation` is reserved"
)]
#[tokio::test]
async fn malformed_completions(#[case] body: &str, #[case] told: &str) {
    let (bed, host) = start().await;
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let callers = host.addresses().callers;
    for path in ["/v1/completions", "/v1/chat/completions"] {
        let reply = support::call(callers, Method::POST, path, &headers, body).await;
        let reply = reply.expect("the exchange is whole");
        expect_refusal(&reply, Kind::BadRequest, told);
    }
    expect_unharmed(&bed, &host).await;
}

/// A null field is an absent one.
#[tokio::test]
async fn a_null_continuation_says_nothing() {
    let (_bed, host) = start().await;
    let body = r#"{"model":"match","prompt":"x","max_tokens":2,"continuation":null}"#;
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::POST, "/v1/completions", &headers, body).await;
    let reply = reply.expect("the exchange is whole");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}

#[tokio::test]
async fn deep_nesting_in_json() {
    let (bed, host) = start().await;
    let nested = format!(
        r#"{{"model":"match","prompt":"x","extra":{}"#,
        "[".repeat(3000)
    );
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::POST, "/v1/completions", &headers, &nested).await;
    let reply = reply.expect("the exchange is whole");
    expect_refusal(&reply, Kind::BadRequest, "not a completion request");
    expect_unharmed(&bed, &host).await;
}

#[rstest]
#[case::unknown("mismatch")]
#[case::empty("")]
#[case::service_name("match-llm")]
#[case::unknown_adapter("match:polka")]
#[case::empty_adapter("match:")]
#[case::line_break("match\r\nx-priority: 9")]
#[case::beyond_ascii("mätch")]
#[tokio::test]
async fn unknown_models(#[case] model: &str) {
    let (bed, host) = start().await;
    let body = serde_json::json!({"model": model, "prompt": "x"}).to_string();
    let bearer = support::bearer(support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let callers = host.addresses().callers;
    let reply = support::call(callers, Method::POST, "/v1/completions", &headers, &body).await;
    let reply = reply.expect("the exchange is whole");
    expect_refusal(&reply, Kind::NotFound, "GET /v1/models");
    expect_unharmed(&bed, &host).await;
}
