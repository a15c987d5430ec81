//! Reads settings out of a tree and lists every fault of them.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use papayayard_document::reader::{Fields, Place, Reader};
use papayayard_document::rule::{self, Unique};
use papayayard_routing::choice;

use super::{Limits, Listen, Periods, Platform, Secret, Settings};

const BODY_BYTES: RangeInclusive<usize> = 1..=1 << 30;
/// The HTTP library needs 8 KiB for a request's head.
const HEADER_BYTES: RangeInclusive<usize> = 8 << 10..=1 << 20;
const DURATION_MS: RangeInclusive<u64> = 1..=3_600_000;
const STOP_GRACE_MS: RangeInclusive<u64> = 0..=3_600_000;
/// Fewest characters of the peers' secret.
const MIN_SECRET_CHARS: usize = 16;

const POLICIES: [(&str, choice::Name); 4] = [
    (choice::Name::RoundRobin.as_str(), choice::Name::RoundRobin),
    (
        choice::Name::LeastLoaded.as_str(),
        choice::Name::LeastLoaded,
    ),
    (choice::Name::Rendezvous.as_str(), choice::Name::Rendezvous),
    (choice::Name::Papayayard.as_str(), choice::Name::Papayayard),
];

pub(super) fn settings(reader: &mut Reader, place: &Place<'_>) -> Option<Settings> {
    let mut fields = reader.fields(place)?;
    let host = fields.required(reader, "host", rule::name);
    let zone = fields.required(reader, "zone", rule::name);
    let listen = fields.required(reader, "listen", listen);
    let platform = fields.required(reader, "platform", platform);
    let peers = fields.optional(reader, "peers", Vec::new(), peers);
    let peer_secret = fields.required(reader, "peer_secret", secret);
    let policy = fields.optional(
        reader,
        "policy",
        choice::Name::default(),
        |reader, place| reader.choice(place, &POLICIES),
    );
    let limits = fields.optional(reader, "limits", Limits::default(), limits);
    let periods = fields.optional(reader, "periods", Periods::default(), periods);
    let stop_grace = fields.optional(
        reader,
        "stop_grace_ms",
        Settings::DEFAULT_STOP_GRACE,
        |reader, place| reader.milliseconds(place, STOP_GRACE_MS),
    );
    fields.reject_unknown(reader);
    Some(Settings {
        host: host?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        peers: peers?,
        peer_secret: peer_secret?,
        policy: policy?,
        limits: limits?,
        periods: periods?,
        stop_grace: stop_grace?,
    })
}

fn listen(reader: &mut Reader, place: &Place<'_>) -> Option<Listen> {
    let mut unique = Unique::new("address", "give each listener a port of its own");
    let mut listener = |reader: &mut Reader, place: &Place<'_>| {
        let address = reader.address(place)?;
        if address.port() != 0 {
            unique.insert(reader, place, address.to_string());
        }
        Some(address)
    };
    let mut fields = reader.fields(place)?;
    let callers = fields.required(reader, "callers", &mut listener);
    let peers = fields.required(reader, "peers", &mut listener);
    let operators = fields.required(reader, "operators", &mut listener);
    fields.reject_unknown(reader);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

fn platform(reader: &mut Reader, place: &Place<'_>) -> Option<Platform> {
    let mut fields = reader.fields(place)?;
    let log = fields.required(reader, "log", remote);
    let directory = fields.required(reader, "directory", remote);
    fields.reject_unknown(reader);
    Some(Platform {
        log: log?,
        directory: directory?,
    })
}

fn peers(reader: &mut Reader, place: &Place<'_>) -> Option<Vec<SocketAddr>> {
    let mut unique = Unique::new("address", "name each peer once");
    reader.list(place, |reader, place| {
        let address = remote(reader, place)?;
        unique.insert(reader, place, address.to_string());
        Some(address)
    })
}

/// An address that can be connected to.
fn remote(reader: &mut Reader, place: &Place<'_>) -> Option<SocketAddr> {
    let address = reader.address(place)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        let problem = format!("{address} cannot be connected to");
        reader.fault(
            place,
            problem,
            "write the IP number and port of the other side",
        );
        return None;
    }
    Some(address)
}

/// The peers' secret, which no fault shows.
fn secret(reader: &mut Reader, place: &Place<'_>) -> Option<Secret> {
    let text = reader.text(place)?;
    let visible = text.chars().all(|c| c.is_ascii_graphic());
    if text.len() >= MIN_SECRET_CHARS && visible {
        return Some(Secret(text.to_owned()));
    }
    let remedy = format!(
        "write at least {MIN_SECRET_CHARS} letters, digits and signs, the same on all hosts"
    );
    reader.fault(
        place,
        "the secret is too short or has other characters",
        remedy,
    );
    None
}

fn limits(reader: &mut Reader, place: &Place<'_>) -> Option<Limits> {
    let default = Limits::default();
    let mut fields = reader.fields(place)?;
    let body_bytes = fields.optional(reader, "body_bytes", default.body_bytes, |reader, place| {
        reader.number(place, BODY_BYTES)
    });
    let header_bytes = fields.optional(
        reader,
        "header_bytes",
        default.header_bytes,
        |reader, place| reader.number(place, HEADER_BYTES),
    );
    let send = period(reader, &mut fields, "send_ms", default.send);
    fields.reject_unknown(reader);
    Some(Limits {
        body_bytes: body_bytes?,
        header_bytes: header_bytes?,
        send: send?,
    })
}

fn periods(reader: &mut Reader, place: &Place<'_>) -> Option<Periods> {
    let default = Periods::default();
    let mut fields = reader.fields(place)?;
    let directory = period(reader, &mut fields, "directory_ms", default.directory);
    let report = period(reader, &mut fields, "report_ms", default.report);
    let events = period(reader, &mut fields, "events_ms", default.events);
    let peers = period(reader, &mut fields, "peers_ms", default.peers);
    let platform_timeout = period(
        reader,
        &mut fields,
        "platform_timeout_ms",
        default.platform_timeout,
    );
    fields.reject_unknown(reader);
    Some(Periods {
        directory: directory?,
        report: report?,
        events: events?,
        peers: peers?,
        platform_timeout: platform_timeout?,
    })
}

fn period(
    reader: &mut Reader,
    fields: &mut Fields<'_>,
    key: &'static str,
    default: Duration,
) -> Option<Duration> {
    fields.optional(reader, key, default, |reader, place| {
        reader.milliseconds(place, DURATION_MS)
    })
}
