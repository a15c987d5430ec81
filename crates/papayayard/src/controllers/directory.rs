//! Reads the platform's list of hosts and passes changes on.

use std::time::Duration;

use papayayard_platform::service;
use papayayard_wire::directory;
use tokio::sync::watch;
use tokio::time;

/// Reads the list every `period` until nobody listens any more.
pub(crate) async fn follow<Directory>(
    source: Directory,
    period: Duration,
    list: watch::Sender<Option<directory::List>>,
) where
    Directory: service::Directory,
{
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut unreadable = 0;
    while !list.is_closed() {
        ticks.tick().await;
        match source.list().await {
            Ok(fresh) => {
                if replace(&mut unreadable, fresh.unreadable) {
                    log::warn!(entries = unreadable; "unreadable entries in the list of hosts");
                }
                list.send_if_modified(|known| set(known, fresh.list));
            }
            Err(error) => log::warn!("the list of hosts cannot be read: {error}"),
        }
    }
}

/// Sets the list; returns whether it has changed. Before the first, it is as if empty.
fn set(known: &mut Option<directory::List>, fresh: directory::List) -> bool {
    replace(known.get_or_insert_default(), fresh)
}

/// Replaces a value; returns whether it has changed.
fn replace<Value>(known: &mut Value, fresh: Value) -> bool
where
    Value: PartialEq,
{
    let changed = *known != fresh;
    *known = fresh;
    changed
}
