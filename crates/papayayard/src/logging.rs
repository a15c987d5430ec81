//! Logs as JSON lines.
//!
//! Key-value pairs of a record become keys of the line, so that a request's
//! id can be searched for. Keys and prompts are never passed to the log.

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Env, Target};
use log::kv;
use serde_json::{Map, Value};

pub mod queue;

/// Where lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written at once.
    Error,
    /// Standard output, through a queue that loses lines rather than block.
    Queued,
}

/// Starts logging; `RUST_LOG` sets the level, `info` where it is absent.
pub fn start(output: Output) {
    let env = Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if output == Output::Queued {
        match queue::Queue::start(io::stdout()) {
            Ok(queue) => {
                builder.target(Target::Pipe(Box::new(queue)));
            }
            Err(error) => eprintln!("logs go to standard error: {error}"),
        }
    }
    let outcome = builder
        .format(|out, record| {
            let line = line(record);
            writeln!(out, "{line}")
        })
        .try_init();
    if outcome.is_err() {
        log::debug!("the log was started before");
    }
}

fn line(record: &log::Record<'_>) -> Value {
    let mut fields = Map::new();
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    fields.insert("time".to_owned(), since_epoch.as_secs_f64().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("target".to_owned(), record.target().into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    let mut visitor = Fields(&mut fields);
    if record.key_values().visit(&mut visitor).is_err() {
        fields.insert("fields".to_owned(), "unreadable".into());
    }
    Value::Object(fields)
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
