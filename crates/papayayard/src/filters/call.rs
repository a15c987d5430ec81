//! Classifies a plain service's request: may it be repeated or not.

use std::time::Duration;

use http::HeaderMap;
use papayayard_document::document;
use papayayard_wire::refusal::Kind;
use papayayard_wire::{header, id};

use crate::exchange::{Call, Whole};
use crate::filters::Filter;
use crate::refusal::Refusal;

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Classifies a plain service's request.
pub(crate) struct Classify;

impl Filter<Whole> for Classify {
    type Output = Call;

    async fn apply(&self, whole: Whole) -> Result<Call, Refusal> {
        let head = &whole.known.arrival.head;
        check_path(&head.path)?;
        let service = head.service.clone().ok_or_else(|| unknown("/"))?;
        let plain = whole.known.active.plain(service.as_str());
        let plain = plain.ok_or_else(|| unknown(service.as_str()))?;
        let key = key(&head.headers)?;
        Ok(Call {
            idempotent: key.is_none() && idempotent(plain, head.method.as_str(), &head.path),
            timeout: Duration::from_millis(plain.timeout_ms.into()),
            service,
            key,
            whole,
        })
    }
}

/// Refuses a path that an endpoint may take for another one, since routes are
/// told apart by it.
fn check_path(path: &str) -> Result<(), Refusal> {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = path.to_ascii_lowercase().replace("%2e", ".");
    let hidden = ["%2f", "%5c", "\\"]
        .iter()
        .any(|mark| decoded.contains(mark));
    let dots = decoded
        .split('/')
        .any(|segment| matches!(segment, "." | ".."));
    if hidden || dots {
        return Err(Refusal::not_run(
            Kind::BadRequest,
            "the path has `.` or `..` segments or an encoded separator; send the path that is meant",
        ));
    }
    Ok(())
}

fn idempotent(plain: &document::Plain, method: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let route = plain
        .routes
        .iter()
        .filter(|route| route.method.eq_ignore_ascii_case(method))
        .filter(|route| covers(&route.path, path))
        .max_by_key(|route| route.path.len());
    route.is_some_and(|route| route.idempotent)
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn key(headers: &HeaderMap) -> Result<Option<id::Key>, Refusal> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| !text.is_empty());
    let text = text.filter(|text| text.len() <= MAX_KEY_BYTES);
    match (text, values.next()) {
        (Some(text), None) => Ok(Some(id::Key::from(text))),
        _ => Err(Refusal::not_run(
            Kind::BadRequest,
            format!("send one `Idempotency-Key` of 1 to {MAX_KEY_BYTES} visible characters"),
        )),
    }
}

fn unknown(service: &str) -> Refusal {
    Refusal::not_run(
        Kind::NotFound,
        format!("plain service {service:?} is not configured; check the name in the path"),
    )
}
