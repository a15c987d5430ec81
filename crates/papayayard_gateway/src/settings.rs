//! Settings file of a host that serves routes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use papayayard_coordination::quota::Tolerance;
use papayayard_document::reader::{Fields, Place, Reader};
use papayayard_document::{fault, file, rule};
use papayayard_routing::retry_budget;
use papayayard_wire::id;

/// Maximum duration in a setting, in ms.
const MAX_MS: f64 = 3_600_000.0;
/// Memory of a host whose settings do not state it, in MB.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Bytes of a thousandth of an MB.
const BYTES_PER_KB: usize = 1000;
/// Maximum memory in the setting, in MB.
const MAX_MEMORY_MB: f64 = 1e6;
/// Maximum amount by which a quota may be exceeded, in its unit.
const MAX_QUOTA_SLACK: f64 = 1e12;

#[derive(Clone, Debug)]
pub struct Settings {
    pub host: id::Host,
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators and health checks.
    pub operators: SocketAddr,
    /// Listening address for other hosts.
    pub peers: SocketAddr,
    /// Address at which other hosts reach `peers`.
    pub announced_peers: SocketAddr,
    /// Listening address for requests that other hosts pass on; `None` if this host neither
    /// takes nor passes on any.
    pub forwarded: Option<SocketAddr>,
    /// Addresses of possible other hosts, which are called while no other host is known and
    /// the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Capacity relative to other hosts, in any unit that all hosts share.
    pub capacity: u32,
    /// Memory that the host may use, in bytes.
    pub memory_bytes: usize,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    pub bounds: Bounds,
}

/// Limits on times and retries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time within which a revoked key is refused; `None` without strict revocation.
    pub revocation: Option<Duration>,
    /// Time within which published configuration must be in force.
    pub configuration: Duration,
    /// Time for which requests may start on older weights after a newer version became the
    /// target.
    pub old_weights: Duration,
    /// Minimum time between orders of different hosts.
    pub lease: Duration,
    /// Maximum duration of a shutdown, from the signal to its end.
    pub stop: Duration,
    /// Limit on retries.
    pub retries: retry_budget::Bounds,
    /// By how much client accounts may exceed their quotas in a window.
    pub quotas: Tolerance,
}

/// Reads settings from a YAML file.
pub fn read(path: &Path) -> Result<Settings, file::Error> {
    file::read(path, parse)
}

/// Reads settings from YAML text.
pub fn parse(text: &str) -> Result<Settings, Vec<fault::Fault>> {
    Reader::read(text, settings)
}

fn settings(reader: &mut Reader, place: &Place<'_>) -> Option<Settings> {
    let mut fields = reader.fields(place)?;
    let host = fields.required(reader, "host", rule::name);
    let zone = fields.required(reader, "zone", rule::name);
    let listen = fields.required(reader, "listen", listen);
    let store = fields.required(reader, "store", Reader::address);
    let bounds = fields.required(reader, "bounds", bounds);
    let seeds = fields.optional(reader, "seeds", Vec::new(), |reader, place| {
        reader.list(place, Reader::address)
    });
    let announced_peers = fields.optional(reader, "announced_peers", None, |reader, place| {
        Reader::address(reader, place).map(Some)
    });
    let capacity = fields.optional(reader, "capacity", 1.0, |reader, place| {
        decimal(reader, place, 1e6)
    });
    let memory_mb = fields.optional(reader, "memory_mb", DEFAULT_MEMORY_MB, |reader, place| {
        decimal(reader, place, MAX_MEMORY_MB)
    });
    let first_start = fields.optional(reader, "first_start", false, Reader::flag);
    fields.reject_unknown(reader);
    let listen = listen?;
    Some(Settings {
        host: host?,
        zone: zone?,
        callers: listen.callers,
        operators: listen.operators,
        peers: listen.peers,
        announced_peers: announced_peers?.unwrap_or(listen.peers),
        forwarded: listen.forwarded,
        seeds: seeds?,
        capacity: thousandths(capacity?),
        memory_bytes: thousandths(memory_mb?) as usize * BYTES_PER_KB,
        store: store?,
        first_start: first_start?,
        bounds: bounds?,
    })
}

/// Addresses to listen on.
struct Listen {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    forwarded: Option<SocketAddr>,
}

fn listen(reader: &mut Reader, place: &Place<'_>) -> Option<Listen> {
    let mut fields = reader.fields(place)?;
    let callers = fields.required(reader, "callers", Reader::address);
    let operators = fields.required(reader, "operators", Reader::address);
    let peers = fields.required(reader, "peers", Reader::address);
    let forwarded = fields.optional(reader, "forwarded", None, |reader, place| {
        Reader::address(reader, place).map(Some)
    });
    fields.reject_unknown(reader);
    Some(Listen {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        forwarded: forwarded?,
    })
}

fn thousandths(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is checked to be from 0 to a million"
    )]
    let thousandths = (number * 1000.0) as u32;
    thousandths
}

fn bounds(reader: &mut Reader, place: &Place<'_>) -> Option<Bounds> {
    let mut fields = reader.fields(place)?;
    let strict = fields.optional(reader, "strict_revocation", false, Reader::flag);
    let revocation = duration(reader, &mut fields, "revocation_ms", Duration::from_secs(5));
    let configuration = duration(
        reader,
        &mut fields,
        "configuration_ms",
        Duration::from_secs(2),
    );
    let old_weights = duration(
        reader,
        &mut fields,
        "old_weights_ms",
        Duration::from_mins(1),
    );
    let lease = duration(reader, &mut fields, "lease_ms", Duration::from_secs(3));
    let stop = duration(reader, &mut fields, "stop_ms", Duration::from_secs(8));
    let window = duration(
        reader,
        &mut fields,
        "repeat_window_ms",
        Duration::from_secs(10),
    );
    let ratio = fields.optional(reader, "repeat_ratio", 0.1, |reader, place| {
        decimal(reader, place, 10.0)
    });
    let slack = fields.optional(reader, "repeat_slack", 10.0, |reader, place| {
        decimal(reader, place, 1e6)
    });
    let quotas = quotas(reader, &mut fields);
    fields.reject_unknown(reader);
    Some(Bounds {
        revocation: revocation.filter(|_| strict == Some(true)),
        configuration: configuration?,
        old_weights: old_weights?,
        lease: lease?,
        stop: stop?,
        retries: retry_budget::Bounds {
            ratio: ratio?,
            slack: slack?,
            window: window?,
        },
        quotas: quotas?,
    })
}

fn quotas(reader: &mut Reader, fields: &mut Fields<'_>) -> Option<Tolerance> {
    let default = Tolerance::default();
    let window = fields.optional(
        reader,
        "quota_window_ms",
        default.window,
        |reader, place| {
            let ms = decimal(reader, place, MAX_MS)?;
            if ms < 1.0 {
                let remedy = "write a number from 1";
                reader.fault(
                    place,
                    "the window is too short".to_owned(),
                    remedy.to_owned(),
                );
                return None;
            }
            Some(Duration::from_secs_f64(ms / 1000.0))
        },
    );
    let ratio = fields.optional(reader, "quota_ratio", default.ratio, |reader, place| {
        decimal(reader, place, 10.0)
    });
    let slack = fields.optional(reader, "quota_slack", default.slack, |reader, place| {
        decimal(reader, place, MAX_QUOTA_SLACK)
    });
    Some(Tolerance {
        window: window?,
        ratio: ratio?,
        slack: slack?,
    })
}

fn duration(
    reader: &mut Reader,
    fields: &mut Fields<'_>,
    key: &'static str,
    default: Duration,
) -> Option<Duration> {
    fields.optional(reader, key, default, |reader, place| {
        let ms = decimal(reader, place, MAX_MS)?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    })
}

/// Reads a number from 0 to `max`, with or without a fraction.
fn decimal(reader: &mut Reader, place: &Place<'_>, max: f64) -> Option<f64> {
    let text = reader.text(place)?;
    match text.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Some(number),
        _ => {
            let remedy = format!("write a number from 0 to {max}");
            reader.fault(
                place,
                format!("{text:?} is not a number in the allowed range"),
                remedy,
            );
            None
        }
    }
}
