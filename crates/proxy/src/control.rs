//! Background tasks that keep a node's catalogue, upstreams, primary records and proofs up to date.

mod loads;
mod pools;
mod register;
mod section;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::Boot;
use lead::{Phase, Record};
use serde::Deserialize;
use tokio::{task::spawn_local, time::sleep};

use crate::{
    edge::{Change, Edge, Fault, Item, Items, Store, era_of},
    freshness,
    group::Group,
    leaves,
    mirror::{SECTIONS, Section},
    node::Node,
    peers, proof_lease, relay, shares, takeover,
};

pub(crate) use section::section_prefix;
use section::{follow_section, read_section};

/// Longest silence within an answer of the store. The total time is not limited: a catalogue of
/// 1,524 routes takes two seconds on a link of 2 Mbit/s, and with a limit on the total each read
/// was aborted and started again, so that no caller was served any more.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Intervals between reads of the list of instances: by an instance that knows no other, and by a
/// relay.
const LIST_INTERVALS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// Interval between checks of which instances are relays.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// First and longest pause after a failed call.
const RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_600));

/// Time for which a starting instance waits for answers of its zone.
const GREETING_WAIT: Duration = Duration::from_millis(60);

/// The same wait while most listed instances, which may be starting too, have not been heard.
const CROWDED_GREETING_WAIT: Duration = Duration::from_millis(600);

/// Returns the key of a group's primary record.
pub fn record_key<E: Edge>(service: &str) -> String {
    format!("{}lead/{service}", E::OWN_PREFIX)
}

/// Returns the key of the takeover lock.
pub fn takeover_lock_key<E: Edge>() -> String {
    format!("{}duty", E::OWN_PREFIX)
}

pub(crate) fn instances_prefix<E: Edge>() -> String {
    format!("{}instance/", E::OWN_PREFIX)
}

/// Starts the background tasks of a node.
pub fn spawn<E: Edge>(node: &Rc<Node<E>>) {
    spawn_local(start(Rc::clone(node)));
    spawn_local(proof_lease::run(Rc::clone(node)));
    spawn_local(register::run(Rc::clone(node)));
    spawn_local(freshness::run(Rc::clone(node)));
    spawn_local(shares::run(Rc::clone(node)));
    spawn_local(pools::maintain(Rc::clone(node)));
    spawn_local(loads::run(Rc::clone(node)));
    spawn_local(takeover::run(Rc::clone(node)));
    spawn_local(leaves::run(Rc::clone(node)));
}

/// Reads a prefix from the store, or from another instance if the store does not answer.
pub async fn read<E: Edge>(node: &Node<E>, prefix: &str) -> Result<Items, Fault> {
    if let Ok(items) = node.store().read(prefix, READ_TIMEOUT).await {
        node.store_answered();
        return Ok(items);
    }
    node.store_failed();
    peers::read(node, prefix).await
}

/// Reads the list of instances, then follows the store for the lifetime of the process.
///
/// An instance gets to know the others before it reads anything else: it can then follow one of
/// them, and a fleet that starts at once reads little more than the list from the store.
async fn start<E: Edge>(node: Rc<Node<E>>) {
    if read_instances(&node).await.is_ok() && node.peers.count() > 1 {
        node.note_instances_listed();
    }
    let since = Boot.now();
    while relay::is_relay(&node) && since + greeting_wait(&node) > Boot.now() {
        sleep(RELAY_CHECK_INTERVAL / 10).await;
    }
    let mut pause = RETRY_PAUSES.0;
    while relay::is_reader(&node) && read_section(&node, Section::Records).await.is_err() {
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_PAUSES.1);
    }
    node.note_instances_listed();
    // More instances than the relays may have read the records by now, which does no harm.
    sleep(GREETING_WAIT).await;
    spawn_local(relay::follow(Rc::clone(&node)));
    spawn_local(refresh_instances(Rc::clone(&node)));
    for section in SECTIONS {
        spawn_local(follow_section(Rc::clone(&node), section));
    }
}

/// Returns how long a starting instance waits for other instances before it acts as a relay of its
/// zone: longer while most listed instances have not been heard.
///
/// Without the wait, each instance of a fleet that starts at once would read the whole store.
fn greeting_wait<E: Edge>(node: &Node<E>) -> Duration {
    match node.peers.is_mostly_unheard() {
        true => CROWDED_GREETING_WAIT,
        false => GREETING_WAIT,
    }
}

/// Reads the list of instances, which may be some seconds old.
///
/// The revision of such a copy is the store's, so an entry that the copy lacks may be newer than the
/// copy. A current read tells whether the entry was deleted; it is made only if an instance is
/// missing that isn't heard.
async fn read_instances<E: Edge>(node: &Rc<Node<E>>) -> Result<(), Fault> {
    let prefix = instances_prefix::<E>();
    let mut listed = node.store().read_stale(&prefix, READ_TIMEOUT).await?;
    let absent = node.mirror.borrow().absent_keys(&prefix, &listed.items);
    let mut names = absent.iter().filter_map(|key| key.strip_prefix(&prefix));
    let mut missing = Vec::new();
    if names.any(|name| !node.peers.is_heard(name))
        && let Ok(current) = node.store().read(&prefix, READ_TIMEOUT).await
    {
        let mirror = node.mirror.borrow();
        missing = mirror.missing(&prefix, &current.items, current.at);
        listed = current;
    }
    let present = listed.items.into_iter().map(Change::Put);
    for change in present.chain(missing) {
        apply_change(node, change);
    }
    Ok(())
}

/// Forgets the instances that are missing from the list of a relay and have been silent for long.
///
/// The list is read from time to time and belongs to no section, so the relay may not have read a
/// new instance's entry yet: a missing entry is no deletion.
pub(crate) fn forget_silent_instances<E: Edge>(node: &Node<E>, present: &[Item]) {
    let prefix = instances_prefix::<E>();
    let absent = node.mirror.borrow().absent_keys(&prefix, present);
    for key in absent {
        let Some(name) = key.strip_prefix(&prefix) else {
            continue;
        };
        if node.peers.is_long_silent(name) {
            node.mirror.borrow_mut().forget(&key);
            node.peers.unlist(name);
        }
    }
}

/// Reads the list periodically while this instance is a relay, so that instances which do not know
/// each other get in contact: a starting instance greets all that it finds listed.
async fn refresh_instances<E: Edge>(node: Rc<Node<E>>) {
    let mut pause = LIST_INTERVALS.0;
    loop {
        sleep(pause).await;
        // Instances that start at the same time may be missing from the first read.
        pause = match node.peers.count() {
            1 => LIST_INTERVALS.0,
            _ => (pause * 2).min(LIST_INTERVALS.1),
        };
        if relay::is_relay(&node) {
            let _ = read_instances(&node).await;
        }
    }
}

/// Applies a change of the store, unless a newer one is known.
pub(crate) fn apply_change<E: Edge>(node: &Rc<Node<E>>, change: Change) {
    if let Change::Put(item) = &change
        && item.key == E::CATALOG_KEY
        && !put_in_force(node, item)
    {
        return;
    }
    let previous = match change.key() == E::CATALOG_KEY {
        true => node.catalog_item(),
        false => None,
    };
    if !node.mirror.borrow_mut().apply(&change) {
        return;
    }
    match &change {
        Change::Put(item) => {
            if item.key == E::CATALOG_KEY {
                let mut deltas = node.deltas.borrow_mut();
                deltas.record(previous, item);
            }
            apply_item(node, item);
            if let Some((name, address)) = parse_instance::<E>(item) {
                node.peers.add(name, address);
            }
        }
        Change::Gone(key, _) => {
            if key.starts_with(E::UPSTREAMS_PREFIX) {
                node.unlist_upstream(upstream_id::<E>(key));
            }
            if let Some(name) = key.strip_prefix(&instances_prefix::<E>()) {
                node.peers.unlist(name);
            }
        }
    }
    node.store_changed.notify_waiters();
}

/// Returns the name and the address of an instance if `item` is an instance's entry.
fn parse_instance<E: Edge>(item: &Item) -> Option<(&str, SocketAddr)> {
    let prefix = instances_prefix::<E>();
    let name = item.key.strip_prefix(&prefix)?;
    let text = std::str::from_utf8(&item.value).ok()?;
    Some((name, text.parse().ok()?))
}

/// Puts a catalogue in force unless a newer one is, and returns whether it is in force now.
///
/// A catalogue that is not in force must not be passed on either: a starting instance would take
/// it, with keys that have been revoked since.
fn put_in_force<E: Edge>(node: &Rc<Node<E>>, item: &Item) -> bool {
    let known = node.mirror.borrow().item(E::CATALOG_KEY);
    if known.is_some_and(|known| known.revision >= item.revision) {
        return true;
    }
    match E::catalog(&item.value) {
        Ok(catalog) => {
            let version = catalog.version;
            node.apply(catalog);
            node.catalog().version == version
        }
        Err(error) => {
            log::error!(error:%; "catalogue can't be parsed");
            false
        }
    }
}

pub(crate) fn upstream_id<E: Edge>(key: &str) -> &str {
    key.strip_prefix(E::UPSTREAMS_PREFIX).unwrap_or(key)
}

/// Applies an item of the store to the node.
fn apply_item<E: Edge>(node: &Rc<Node<E>>, item: &Item) {
    if item.key == E::CATALOG_KEY {
        node.peers.announce();
    } else if item.key == shares::table_key::<E>() {
        let spans = (node.started_at, node.settings.agreement_ttl());
        node.shares.learn(item, &node.settings.name, spans);
        node.freshness.advance(node.mark());
    } else if item.key.starts_with(E::UPSTREAMS_PREFIX) {
        match E::upstream(&item.key, &item.value) {
            Ok(upstream) => node.put_upstream(upstream),
            Err(error) => {
                log::error!(error:%, key = &*item.key; "upstream entry can't be parsed");
                node.unlist_upstream(upstream_id::<E>(&item.key));
            }
        }
    } else if let Some(group) = apply_record(node, item) {
        takeover::track_replacement(node, &group);
    }
}

/// Applies a group's record. A relay writes it again if another writer has spoiled it, or if a restored
/// store brought it back from before the restoration.
pub fn apply_record<E: Edge>(node: &Rc<Node<E>>, item: &Item) -> Option<Rc<Group>> {
    let service = item.key.strip_prefix(&record_key::<E>(""))?;
    // The proof lease's key.
    if service.is_empty() {
        return None;
    }
    let Ok(record) = serde_json::from_slice::<Record>(&item.value) else {
        let is_spoiled = !is_of_later_version(&item.value);
        if is_spoiled && relay::is_relay(node) && node.catalog().services.contains_key(service) {
            proof_lease::repair_record(node, &node.group_of(&service.into()), item.revision);
        }
        return None;
    };
    let group = node.group_of(&service.into());
    let text = format!("{record:?}");
    if record.written < era_of(item.revision) {
        node.era_since();
        if relay::is_relay(node) {
            proof_lease::restore_record(node, &group, record, item.revision);
        }
        return None;
    }
    if group.update_record(record, item.revision) {
        log::info!(service, revision = item.revision; "record: {text}");
    }
    Some(group)
}

/// Returns true if a record that can't be read has a phase that this version doesn't know: later
/// versions only add phases and optional fields.
fn is_of_later_version(record: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Phased {
        phase: String,
    }
    let phased = serde_json::from_slice::<Phased>(record);
    phased.is_ok_and(|record| serde_json::from_value::<Phase>(record.phase.into()).is_err())
}

/// Encodes a record for the store.
pub fn encode<T: serde::Serialize>(record: &T) -> Bytes {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .unwrap_or_default()
}
