//! Who asks the store for an availability zone, and how the others follow.
//!
//! Two instances of each zone are its relays ([`admit::relays`]), and two of all relays
//! watch the store. The other relays ask one of these what it learnt, on one connection,
//! again and again, and all other instances ask a relay of their zone. Nobody is elected: whoever
//! sees itself among the first two of its zone asks the store, and one more who does so
//! costs a few calls. An instance that hears nobody is its zone's first.

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

/// How long a question for news waits.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// How often it is looked who the relays are.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a relay that did not answer is left alone.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);

/// Where an instance learns of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// It asks the store.
    Store,
    /// It follows the instance at this address.
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

/// Whether this instance reads and watches the store, for all others.
pub(crate) fn is_reader<E: Edge>(node: &Node<E>) -> bool {
    change_source(node) == Source::Store
}

/// Where this instance learns what is in the store: from a relay of its zone, and a relay
/// from one of the readers.
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

/// One of those at `addresses` that answer; each has its share of those who follow.
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

/// Which relays read the store: their addresses, `None` for this instance.
pub(crate) fn readers<E: Edge>(node: &Node<E>) -> Vec<Option<SocketAddr>> {
    node.peers.readers(candidate(node))
}

/// Whether the instance at `address` did not answer a moment ago.
pub(crate) fn is_unresponsive<E: Edge>(node: &Node<E>, address: SocketAddr) -> bool {
    let left = node.silent_relay.get();
    left.is_some_and(|(a, at)| a == address && at + UNRESPONSIVE_FOR > Boot.now())
}

/// Where this instance learns of the store.
pub(crate) fn source<E: Edge>(node: &Node<E>) -> Source {
    let relays = node.peers.relays(candidate(node));
    if relays.contains(&None) {
        return Source::Store;
    }
    pick(node, relays)
}

/// Whether this instance asks the store itself.
pub(crate) fn is_relay<E: Edge>(node: &Node<E>) -> bool {
    source(node) == Source::Store
}

/// Follows a relay whenever there is one, until the process ends.
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

/// Asks the relay at `address` for news as long as it is one.
async fn follow_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(address).await?;
    // Another relay than before goes on from what is known of the store.
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
            return Err(io::Error::other("it asks the store no more"));
        };
        if is_first {
            log::info!(address:%; "follows a relay");
        }
        (cursor.incarnation, cursor.seq) = (batch.incarnation, batch.seq);
        apply_batch(node, batch);
    }
    Ok(())
}

/// Waits until the instance at `address` is heard no more.
async fn wait_until_silent<E: Edge>(node: &Node<E>, address: SocketAddr) {
    while node.peers.was_heard(address, LOST_HEARTBEATS) {
        sleep(CHECK_INTERVAL).await;
    }
}

fn apply_batch<E: Edge>(node: &Rc<Node<E>>, batch: ChangeBatch) {
    let mut changes = batch.changes;
    if let Some(item) = batch
        .catalog
        .and_then(|compressed| compressed.decompress().ok())
    {
        changes.push(Change::Put(item));
    }
    if batch.is_snapshot {
        let present: Vec<Item> = changes.iter().filter_map(item_of).cloned().collect();
        let mirror = node.mirror.borrow();
        let sections = [Section::Upstreams, Section::Records];
        let prefixes = sections.map(control::section_prefix::<E>);
        for prefix in prefixes.iter().chain([&control::instances_prefix::<E>()]) {
            changes.extend(mirror.missing(prefix, &present, batch.known));
        }
    }
    node.work.add(Kind::Change, changes.len());
    for change in changes {
        control::apply_change(node, change);
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

/// Tells an instance that follows this one what is learnt here, until either is gone or
/// this one asks the store no more.
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
            return Err(io::Error::other("another question"));
        };
        cursor = next;
    }
}

/// Waits until there is something to tell.
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

/// What `followed` is told, as it is sent. What those are told who know nothing is kept for
/// the next of them: a zone that starts at once asks its relay a hundred times for the same.
fn encoded_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> io::Result<Bytes> {
    let knows_nothing = cursor.incarnation == 0 && cursor.seq == 0 && cursor.version == 0;
    if !knows_nothing {
        return encode(&Response::ChangeBatch(change_batch(node, cursor)));
    }
    let state = (node.mirror.borrow().version(), node.catalog().version);
    let mut kept = node.full_batch.borrow_mut();
    if let Some((_, frame)) = kept.as_ref().filter(|(of, _)| *of == state) {
        return Ok(frame.clone());
    }
    let frame = encode(&Response::ChangeBatch(change_batch(node, cursor)))?;
    *kept = Some((state, frame.clone()));
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
