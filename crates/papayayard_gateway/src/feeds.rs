//! Reads what endpoints and the store of cached prompts keep.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use papayayard_routing::placement::Endpoint;
use papayayard_routing::prompt;
use papayayard_wire::id;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time;

use crate::beliefs::Configuration;
use crate::call::Caller;
use crate::exchange::{Changes, Codec};
use crate::schedule::{Handle, Holder, Message};

/// Time that a holder waits for a change.
const WAIT: Duration = Duration::from_millis(950);
/// Time for an answer beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two readings, in which changes add up.
const PAUSE: Duration = Duration::from_millis(250);
/// Time for a whole list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to try again after a failure.
const RETRY: Duration = Duration::from_millis(700);

/// Keeps a reader for each holder of cached parts.
pub(crate) async fn follow<Platform>(
    codec: Platform,
    mut endpoints: watch::Receiver<Vec<Endpoint>>,
    mut configuration: watch::Receiver<Configuration>,
    schedule: Handle,
) where
    Platform: Codec,
{
    let mut readers: HashMap<Source, AbortHandle> = HashMap::new();
    loop {
        let wanted = sources(&endpoints.borrow(), &configuration.borrow());
        readers.retain(|source, reader| {
            let is_wanted = wanted.contains(source);
            if !is_wanted {
                reader.abort();
            }
            is_wanted
        });
        for source in wanted {
            readers.entry(source).or_insert_with_key(|source| {
                let reader = read(codec.clone(), source.clone(), schedule.clone());
                tokio::spawn(reader).abort_handle()
            });
        }
        let changed = tokio::select! {
            changed = endpoints.changed() => changed,
            changed = configuration.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// A holder to read from; a restart makes another one of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Source {
    holder: Holder,
    started: id::Incarnation,
    address: SocketAddr,
}

fn sources(endpoints: &[Endpoint], configuration: &Configuration) -> Vec<Source> {
    let Some(table) = &configuration.table else {
        return Vec::new();
    };
    let engines = endpoints.iter().filter(|endpoint| {
        let service = table.services.get(&endpoint.service);
        service.is_some_and(|service| service.engine.is_some())
    });
    let mut sources: Vec<Source> = engines
        .map(|endpoint| Source {
            holder: Holder::Endpoint(endpoint.id.clone()),
            started: endpoint.started,
            address: endpoint.address,
        })
        .collect();
    sources.extend(table.cache_stores().map(|(name, store)| Source {
        holder: Holder::Store(name.clone()),
        started: id::Incarnation::default(),
        address: store.address,
    }));
    sources
}

async fn read<Platform>(codec: Platform, source: Source, schedule: Handle)
where
    Platform: Codec,
{
    let mut caller = Caller::new(source.address);
    let mut run = None;
    let mut since = 0;
    // Holders are read at different moments, so that work is spread.
    time::sleep(PAUSE.mul_f64(rand::random())).await;
    loop {
        let request = codec.changes(since, WAIT);
        let reply = match caller.call(request, WAIT + ANSWER_TIMEOUT).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(address:% = source.address, error:%; "no news of a cache");
                time::sleep(RETRY).await;
                continue;
            }
        };
        let Some(changes) = codec.decode_changes(&reply) else {
            log::debug!(address:% = source.address, status = reply.status.as_u16(); "cache not told");
            time::sleep(RETRY).await;
            continue;
        };
        if run.is_some_and(|run| run != changes.run) {
            log::info!(address:% = source.address; "holder of cached parts has restarted");
            schedule.tell(Message::Forget(source.holder.clone()));
        }
        // An engine's cache turns over within seconds, so that a gap there
        // closes by itself; the store keeps parts for long.
        let is_gap = changes.has_gap && matches!(source.holder, Holder::Store(_));
        let changes = match is_gap {
            true => contents(&codec, &mut caller).await.unwrap_or(changes),
            false => changes,
        };
        run = Some(changes.run);
        since = changes.next;
        tell(&source.holder, &changes, &schedule);
        time::sleep(PAUSE).await;
    }
}

/// All that a holder keeps.
async fn contents<Platform>(codec: &Platform, caller: &mut Caller) -> Option<Changes>
where
    Platform: Codec,
{
    match caller.call(codec.contents(), LIST_TIMEOUT).await {
        Ok(reply) => {
            let contents = codec.decode_contents(&reply);
            let parts = contents.as_ref().map_or(0, |contents| contents.parts.len());
            log::info!(parts; "contents of a cache read");
            contents
        }
        Err(error) => {
            log::info!(error:%; "contents of a cache not read");
            None
        }
    }
}

fn tell(holder: &Holder, changes: &Changes, schedule: &Handle) {
    if changes.parts.is_empty() {
        return;
    }
    let parts = changes.parts.iter();
    let parts = parts
        .map(|one| (prompt::key(&one.salt, &one.part), one.tokens))
        .collect();
    schedule.tell(Message::Told(holder.clone(), parts));
}
