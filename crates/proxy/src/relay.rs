//! Relays: the instances that ask the store for their availability zone, and their followers.
//!
//! Two instances of each zone are its relays ([`admit::relays`]). Two of all relays are the
//! readers, which watch the store. The other relays follow a reader, and all other instances
//! follow a relay of their zone; a follower polls for changes over one connection. There is no
//! election: an instance that finds itself among the first two of its zone asks the store, and
//! a surplus relay only costs a few calls. An instance that hears no peer is the first of its
//! zone.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use admit::holders::Candidate;
use bytes::Bytes;
use clock::Boot;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control,
    edge::{Change, Edge, Item},
    mirror::{SECTIONS, Section},
    node::Node,
    peers::{
        LOST_HEARTBEATS,
        frame::{
            ChangeBatch, Cursor, IO_TIMEOUT, Request, Response, connect, encode, receive, send,
            send_frame,
        },
        heartbeat::StoreContact,
    },
    work::Kind,
};

/// Time that a follower's request waits for changes.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the choice of relays is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a relay that didn't answer isn't asked.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);

/// Source of an instance's knowledge of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The instance asks the store.
    Store,
    /// The instance asks the peer at this address.
    Relay(SocketAddr),
}

pub(crate) fn candidate<E: Edge>(node: &Node<E>) -> Candidate<'_> {
    Candidate {
        name: &node.settings.name,
        zone: &node.settings.zone,
        weight: node.settings.weight,
        able: node.store_contact() != StoreContact::Unreachable,
    }
}

/// Returns true if this instance reads and watches the store for all others.
pub(crate) fn is_reader<E: Edge>(node: &Node<E>) -> bool {
    change_source(node) == Source::Store
}

/// Source of the store's contents: a relay of the zone or, for a relay, one of the readers.
fn change_source<E: Edge>(node: &Node<E>) -> Source {
    if let Source::Relay(address) = source(node) {
        return Source::Relay(address);
    }
    let readers = readers(node);
    if readers.contains(&None) {
        return Source::Store;
    }
    pick(node, readers)
}

/// Picks one of the responsive peers at `addresses`, by a hash of this instance's name that
/// spreads the followers evenly.
fn pick<E: Edge>(node: &Node<E>, addresses: Vec<Option<SocketAddr>>) -> Source {
    let usable = addresses.into_iter().flatten();
    let usable: Vec<_> = usable
        .filter(|address| !is_unresponsive(node, *address))
        .collect();
    if usable.is_empty() {
        return Source::Store;
    }
    let picked = xxh3_64(node.settings.name.as_bytes()) % usable.len() as u64;
    Source::Relay(usable[picked as usize])
}

/// Addresses of the relays that read the store, `None` for this instance.
pub(crate) fn readers<E: Edge>(node: &Node<E>) -> Vec<Option<SocketAddr>> {
    node.peers.readers(candidate(node))
}

/// Returns true if the peer at `address` recently failed to answer.
pub(crate) fn is_unresponsive<E: Edge>(node: &Node<E>, address: SocketAddr) -> bool {
    let failed = node.silent_relay.get();
    failed.is_some_and(|(relay, at)| relay == address && at + UNRESPONSIVE_FOR > Boot.now())
}

/// Source of proofs: a relay of this zone, or the store.
pub(crate) fn source<E: Edge>(node: &Node<E>) -> Source {
    let relays = node.peers.relays(candidate(node));
    if relays.contains(&None) {
        return Source::Store;
    }
    pick(node, relays)
}

/// Returns true if this instance is a relay, so that it asks the store itself.
pub(crate) fn is_relay<E: Edge>(node: &Node<E>) -> bool {
    source(node) == Source::Store
}

/// Follows a relay while this instance isn't a reader, until the process ends.
pub(crate) async fn follow<E: Edge>(node: Rc<Node<E>>) {
    loop {
        let Source::Relay(address) = change_source(&node) else {
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        if follow_relay(&node, address).await.is_err() {
            node.silent_relay.set(Some((address, Boot.now())));
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Polls the relay at `address` for changes while it is this instance's source.
async fn follow_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(address).await?;
    // A new relay continues from the revision of the store that the mirror has reached.
    let mut cursor = Cursor {
        incarnation: 0,
        seq: node.mirror.borrow().min_known(),
        version: 0,
    };
    while change_source(node) == Source::Relay(address) {
        let is_first = cursor.incarnation == 0;
        cursor.version = node.catalog().version;
        send(&mut stream, &Request::Follow(cursor)).await?;
        let response = tokio::select! {
            response = receive(&mut stream, FOLLOW_TIMEOUT + IO_TIMEOUT) => response?,
            () = wait_until_silent(node, address) => return Err(io::ErrorKind::TimedOut.into()),
        };
        let Response::ChangeBatch(batch) = response else {
            return Err(io::Error::other("the peer is no longer a relay"));
        };
        if is_first {
            log::info!(address:%; "following a relay");
        }
        (cursor.incarnation, cursor.seq) = (batch.incarnation, batch.seq);
        apply_batch(node, batch, is_first);
    }
    Ok(())
}

/// Waits until the peer at `address` is no longer heard.
async fn wait_until_silent<E: Edge>(node: &Node<E>, address: SocketAddr) {
    while node.peers.was_heard(address, LOST_HEARTBEATS) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Applies a batch. `is_first` tells whether it is the first one from this relay.
fn apply_batch<E: Edge>(node: &Rc<Node<E>>, batch: ChangeBatch, is_first: bool) {
    let mut changes = batch.changes;
    if let Some(item) = batch
        .catalog
        .and_then(|compressed| compressed.decompress().ok())
    {
        changes.push(Change::Put(item));
    }
    let present: Vec<Item> = changes.iter().filter_map(item_of).cloned().collect();
    if batch.is_snapshot {
        let mirror = node.mirror.borrow();
        for section in [Section::Upstreams, Section::Records] {
            let prefix = control::section_prefix::<E>(section);
            changes.extend(mirror.missing(&prefix, &present, batch.known));
        }
    }
    node.work.add(Kind::Change, changes.len());
    for change in changes {
        control::apply_change(node, change);
    }
    // A relay reads the list of instances itself.
    if (is_first || batch.is_snapshot) && !is_relay(node) {
        control::forget_silent_instances(node, &present);
    }
    let mut mirror = node.mirror.borrow_mut();
    for section in SECTIONS {
        mirror.advance(section, batch.known);
    }
    drop(mirror);
    node.watch_answered_at.set(Boot.now());
    node.is_upstream_list_read.set(true);
    node.note_instances_listed();
}

fn item_of(change: &Change) -> Option<&Item> {
    match change {
        Change::Put(item) => Some(item),
        Change::Gone(..) => None,
    }
}

/// Sends changes to a follower until either side ends the connection. An instance that is no
/// longer a relay answers that it has nothing.
pub(crate) async fn serve_follower<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    mut cursor: Cursor,
) -> io::Result<()> {
    loop {
        let _ = timeout(FOLLOW_TIMEOUT, wait_for_changes(node, &cursor)).await;
        let can_serve = node.is_upstream_list_read.get()
            && node.store_contact() != StoreContact::Unreachable
            && is_relay(node);
        let frame = match can_serve {
            true => encoded_batch(node, &cursor)?,
            false => encode(&Response::Nothing)?,
        };
        send_frame(&mut stream, &frame).await?;
        node.work.add(Kind::ChangeBatch, 1);
        node.work.add(Kind::ChangeBatchByte, frame.len());
        drop(frame);
        let Request::Follow(next) = receive(&mut stream, FOLLOW_TIMEOUT).await? else {
            return Err(io::Error::other("expected a request to follow"));
        };
        cursor = next;
    }
}

/// Waits until there are changes for the follower.
async fn wait_for_changes<E: Edge>(node: &Node<E>, cursor: &Cursor) {
    loop {
        let learnt = node.store_changed.notified();
        let is_known =
            cursor.incarnation == node.incarnation && cursor.seq == node.mirror.borrow().seq();
        let is_newest = cursor.version >= node.catalog().version;
        if node.is_upstream_list_read.get() && !(is_known && is_newest) {
            return;
        }
        learnt.await;
    }
}

/// Encodes the batch for `cursor`. The batch for a follower that has nothing yet is cached:
/// when a whole zone starts, its relay gets a hundred identical requests.
fn encoded_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> io::Result<Bytes> {
    let is_initial = cursor.incarnation == 0 && cursor.seq == 0 && cursor.version == 0;
    if !is_initial {
        return encode(&Response::ChangeBatch(change_batch(node, cursor)));
    }
    let version = (node.mirror.borrow().version(), node.catalog().version);
    let mut cached = node.full_batch.borrow_mut();
    if let Some((_, frame)) = cached.as_ref().filter(|(of, _)| *of == version) {
        return Ok(frame.clone());
    }
    let frame = encode(&Response::ChangeBatch(change_batch(node, cursor)))?;
    *cached = Some((version, frame.clone()));
    Ok(frame)
}

fn change_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> ChangeBatch {
    let mirror = node.mirror.borrow();
    let known = match cursor.incarnation {
        0 if cursor.seq <= mirror.min_known() => {
            mirror.changes_after(cursor.seq, &control::instances_prefix::<E>())
        }
        incarnation if incarnation == node.incarnation => mirror.changes_since(cursor.seq),
        _ => None,
    };
    let is_snapshot = known.is_none() || cursor.seq == 0;
    let mut changes = known
        .or_else(|| mirror.changes_since(0))
        .unwrap_or_default();
    changes.retain(|change| item_of(change).is_none_or(|item| item.key != E::CATALOG_KEY));
    ChangeBatch {
        incarnation: node.incarnation,
        seq: mirror.seq(),
        known: mirror.min_known(),
        is_snapshot,
        changes,
        catalog: (node.catalog().version > cursor.version)
            .then(|| node.packed())
            .flatten(),
    }
}
