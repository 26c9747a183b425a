//! Relays: the instances that ask the store for their availability zone, and their followers.
//!
//! Two instances of each zone are its relays ([`admit::relays`]). Two of all relays are the
//! readers, which watch the store. The other relays follow a reader, and all other instances
//! follow a relay of their zone; a follower polls for changes over one connection. There is no
//! election: an instance that finds itself among the first two of its zone asks the store, and
//! a surplus relay only costs a few calls. An instance that hears no peer is the first of its
//! zone.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use admit::{holders::Candidate, relays};
use bytes::Bytes;
use clock::{Boot, Instant};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    catalog_sends::{Content, Recipient, SLOT_LIMIT, Slot},
    control,
    delta::{self, Delta},
    edge::{Change, Edge, Item},
    leaves,
    mirror::{SECTIONS, Section},
    node::Node,
    peers::{
        LOST_HEARTBEATS,
        frame::{
            ChangeBatch, Cursor, Held, IO_TIMEOUT, Request, Response, connect, encode, receive,
            receive_body, send, send_frame,
        },
        heartbeat::{DELTA_FORMAT, StoreContact},
    },
    work::Kind,
};

/// Time that a follower's request waits for changes.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a follower sends its next request. It starts when the answer is in the
/// socket's buffer, which a busy link may take seconds to empty.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Picks one of the responsive peers at `addresses`.
fn pick<E: Edge>(node: &Node<E>, addresses: Vec<Option<SocketAddr>>) -> Source {
    let usable = addresses.into_iter().flatten();
    let usable = usable.filter(|address| !is_unresponsive(node, *address));
    relays::pick(&node.settings.name, usable).map_or(Source::Store, Source::Relay)
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
        let result = follow_relay(&node, address).await;
        node.followed_relay.set(None);
        let reason = match &result {
            Ok(()) => "another is responsible".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(address:%, reason = &*reason; "left a relay");
        if result.is_err() {
            node.silent_relay.set(Some((address, Boot.now())));
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Polls the relay at `address` for changes while it is this instance's source.
async fn follow_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(address).await?;
    node.followed_relay.set(Some(address));
    // A new relay continues from the revision of the store that the mirror has reached.
    let mut cursor = Cursor {
        incarnation: 0,
        seq: node.mirror.borrow().min_known(),
        version: 0,
    };
    // A relay that is about to send a catalogue isn't left before: others would send it again.
    while change_source(node) == Source::Relay(address) || is_catalog_coming(node) {
        let is_first = cursor.incarnation == 0;
        cursor.version = node.catalog().version;
        let request = match node.peers.format(address) {
            ..DELTA_FORMAT => Request::Follow(cursor),
            _ => Request::FollowFrom(cursor, held(node)),
        };
        let asked = Boot.now();
        send(&mut stream, &request).await?;
        // Once the response has begun to arrive, its bytes are the relay's sign of life: they
        // delay the heartbeats on the relay's link.
        let size = tokio::select! {
            size = timeout(FOLLOW_TIMEOUT + IO_TIMEOUT, stream.read_u32()) => size??,
            () = wait_until_silent(node, address) => return Err(io::Error::other("not heard")),
        };
        let response = receive_body(&mut stream, size).await?;
        let (batch, deltas, leaves, waited) = match response {
            Response::ChangeBatch(batch, leaves, waited) => (batch, Vec::new(), leaves, waited),
            Response::DeltaBatch(batch, deltas, leaves, waited) => (batch, deltas, leaves, waited),
            _ => return Err(io::Error::other("the peer is no longer a relay")),
        };
        if batch.incarnation == 0 {
            continue;
        }
        if is_first {
            log::info!(address:%; "following a relay");
        }
        let Ok(item) = apply_deltas(node, deltas) else {
            continue;
        };
        (cursor.incarnation, cursor.seq) = (batch.incarnation, batch.seq);
        apply_batch(node, batch, item, is_first);
        leaves::date(node, leaves, asked, waited);
    }
    Ok(())
}

/// Returns true if the relay that this instance follows has a newer catalogue, and so sends it.
pub(crate) fn is_catalog_coming<E: Edge>(node: &Node<E>) -> bool {
    let relay = node.followed_relay.get();
    relay.is_some_and(|relay| node.peers.catalog_version(relay) > node.catalog().version)
}

/// Waits until the peer at `address` is no longer heard.
async fn wait_until_silent<E: Edge>(node: &Node<E>, address: SocketAddr) {
    while node.peers.was_heard(address, LOST_HEARTBEATS) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the catalogue to which `deltas` lead from the one in force, `None` if there are none.
///
/// # Errors
///
/// They are differences to another catalogue: a newer one arrived meanwhile. If one that should
/// fit doesn't, a whole catalogue is requested next.
pub(crate) fn apply_deltas<E: Edge>(
    node: &Node<E>,
    deltas: Vec<Rc<Delta>>,
) -> io::Result<Option<Item>> {
    if deltas.is_empty() {
        return Ok(None);
    }
    let mut history = node.deltas.borrow_mut();
    let newest = history.newest();
    let others = deltas.into_iter().skip_while(|d| d.from() != newest);
    let deltas: Vec<_> = others.collect();
    let held = node.catalog_item().filter(|_| !deltas.is_empty());
    let Some(held) = held else {
        return Err(io::Error::other("difference to another version"));
    };
    let item = delta::apply_all(&deltas, &held.value).inspect_err(|_| history.clear())?;
    history.expect(deltas);
    Ok(Some(item))
}

/// Applies a batch and the catalogue to which its differences lead. `is_first` tells whether it is
/// the first one from this relay.
fn apply_batch<E: Edge>(
    node: &Rc<Node<E>>,
    batch: ChangeBatch,
    catalog: Option<Item>,
    is_first: bool,
) {
    let mut changes = batch.changes;
    let whole = batch.catalog.and_then(|whole| whole.decompress().ok());
    changes.extend(catalog.or(whole).map(Change::Put));
    let present: Vec<Item> = changes.iter().filter_map(Change::item).cloned().collect();
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

/// Sends changes to a follower until either side ends the connection. An instance that is no
/// longer a relay answers that it has nothing, once the follower has its catalogue.
pub(crate) async fn serve_follower<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    mut cursor: Cursor,
    mut held: Held,
) -> io::Result<()> {
    let peer = stream.peer_addr()?.ip().to_string();
    // Kept across requests, so that a follower keeps its place among those that wait.
    let mut acquire: Option<Pin<Box<dyn Future<Output = Slot>>>> = None;
    let mut queued_at = Boot.now();
    let mut arrived = Boot.now();
    loop {
        let _ = timeout(FOLLOW_TIMEOUT, wait_for_changes(node, &cursor)).await;
        let mut slot = None;
        if lacks_catalog(node, &cursor) {
            let (content, size) = match cursor.version {
                0 => (Content::Snapshot, node.mirror.borrow().size()),
                _ => update(node, &held),
            };
            let acquired = acquire.get_or_insert_with(|| {
                queued_at = Boot.now();
                Box::pin(node.catalog_sends.acquire(content, size, held.recipient))
            });
            tokio::select! {
                biased;
                acquired = acquired => slot = Some(acquired),
                () = wait_for_other_changes(node, &cursor) => {}
                () = sleep(FOLLOW_TIMEOUT) => {}
                // A follower that has left would be sent a catalogue ahead of those that wait.
                () = wait_until_closed(&stream) => return Err(io::ErrorKind::BrokenPipe.into()),
            }
        }
        if slot.is_some() || !lacks_catalog(node, &cursor) {
            acquire = None;
        }
        let is_responsible = is_relay(node) && node.store_contact() != StoreContact::Unreachable;
        let can_serve =
            node.is_upstream_list_read.get() && (is_responsible || lacks_catalog(node, &cursor));
        let frame = match can_serve {
            true if acquire.is_some() => encode_batch(node, partial_batch(node, &cursor), arrived)?,
            true => encoded_batch(node, &cursor, &held, arrived)?,
            false => encode(&Response::Nothing)?,
        };
        if slot.is_some() && can_serve {
            let waited = Boot.now().since(queued_at);
            log::info!(
                peer = &*peer, bytes = frame.len(), waited_ms = waited.as_millis() as u64;
                "catalogue sent"
            );
        }
        let transfer = async {
            send_frame(&mut stream, &frame).await?;
            node.work.add(Kind::ChangeBatch, 1);
            node.work.add(Kind::ChangeBatchByte, frame.len());
            receive(&mut stream, REQUEST_TIMEOUT).await
        };
        let request = match slot {
            Some(slot) => slot.hold(transfer).await?,
            None => {
                let mut transfer = pin!(transfer);
                match timeout(SLOT_LIMIT, &mut transfer).await {
                    Ok(request) => request?,
                    Err(_) => {
                        // A stalled follower would keep its place, and delay those behind it.
                        acquire = None;
                        transfer.await?
                    }
                }
            }
        };
        arrived = Boot.now();
        (cursor, held) = match request {
            Request::Follow(next) => (next, Held::default()),
            Request::FollowFrom(next, held) => (next, held),
            _ => return Err(io::Error::other("expected a request to follow")),
        };
    }
}

/// Waits until the peer closes a connection on which it waits for a response.
async fn wait_until_closed(stream: &TcpStream) {
    let _ = stream.peek(&mut [0]).await;
}

/// What this instance has when it requests a catalogue.
pub(crate) fn held<E: Edge>(node: &Node<E>) -> Held {
    Held {
        hash: node.deltas.borrow().newest(),
        recipient: match is_relay(node) {
            true => Recipient::Relay,
            false => Recipient::Follower,
        },
    }
}

/// What brings the catalogue that a peer holds up to date, and its size.
pub(crate) fn update<E: Edge>(node: &Node<E>, held: &Held) -> (Content, usize) {
    match node.deltas.borrow_mut().since(held.hash) {
        Some(deltas) => {
            let size = deltas.iter().map(|delta| delta.size()).sum();
            (Content::Differences, size)
        }
        None => {
            let size = node.packed().map_or(0, |packed| packed.value.len());
            (Content::Catalog, size)
        }
    }
}

/// Returns true if the follower has an older catalogue than this instance.
fn lacks_catalog<E: Edge>(node: &Node<E>, cursor: &Cursor) -> bool {
    cursor.version < node.catalog().version
}

/// Waits until there are changes that a follower can apply before it has the catalogue.
async fn wait_for_other_changes<E: Edge>(node: &Node<E>, cursor: &Cursor) {
    loop {
        let learnt = node.store_changed.notified();
        if is_continued(node, cursor) && cursor.seq != node.mirror.borrow().seq() {
            return;
        }
        learnt.await;
    }
}

/// Returns true if the changes after `cursor` are known, so that no snapshot has to be sent.
fn is_continued<E: Edge>(node: &Node<E>, cursor: &Cursor) -> bool {
    cursor.incarnation == node.incarnation
        && cursor.seq != 0
        && node.mirror.borrow().changes_since(cursor.seq).is_some()
}

/// The batch for a follower that still has to wait for the catalogue: the other changes or, if
/// that would take a snapshot, nothing.
fn partial_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> ChangeBatch {
    if !is_continued(node, cursor) {
        return ChangeBatch {
            incarnation: 0,
            seq: cursor.seq,
            known: 0,
            is_snapshot: false,
            changes: Vec::new(),
            catalog: None,
        };
    }
    let mut batch = changes_batch(node, cursor);
    // Without the catalogue, the follower is complete up to the revision before it.
    let revision = node.catalog_item().map_or(0, |item| item.revision);
    batch.known = batch.known.min(revision.saturating_sub(1));
    batch
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

/// Encodes the batch for `cursor`, requested at `arrived`. The batch for a follower that has nothing
/// yet is cached: when a whole zone starts, its relay gets a hundred identical requests.
fn encoded_batch<E: Edge>(
    node: &Node<E>,
    cursor: &Cursor,
    held: &Held,
    arrived: Instant,
) -> io::Result<Bytes> {
    if lacks_catalog(node, cursor)
        && let Some(deltas) = node.deltas.borrow_mut().since(held.hash)
    {
        let batch = changes_batch(node, cursor);
        let (leaves, waited) = leaves::in_batch(node, &batch, arrived);
        return encode(&Response::DeltaBatch(batch, deltas, leaves, waited));
    }
    let is_initial = cursor.incarnation == 0 && cursor.seq == 0 && cursor.version == 0;
    if !is_initial {
        return encode_batch(node, change_batch(node, cursor), arrived);
    }
    let version = (node.mirror.borrow().version(), node.catalog().version);
    let mut cached = node.full_batch.borrow_mut();
    if let Some((_, frame)) = cached.as_ref().filter(|(of, _)| *of == version) {
        return Ok(frame.clone());
    }
    let batch = change_batch(node, cursor);
    let (leaves, waited) = leaves::in_batch(node, &batch, arrived);
    let is_lasting = leaves.is_empty();
    let frame = encode(&Response::ChangeBatch(batch, leaves, waited))?;
    if is_lasting {
        *cached = Some((version, frame.clone()));
    }
    Ok(frame)
}

fn encode_batch<E: Edge>(
    node: &Node<E>,
    batch: ChangeBatch,
    arrived: Instant,
) -> io::Result<Bytes> {
    let (leaves, waited) = leaves::in_batch(node, &batch, arrived);
    encode(&Response::ChangeBatch(batch, leaves, waited))
}

fn change_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> ChangeBatch {
    let batch = changes_batch(node, cursor);
    ChangeBatch {
        catalog: lacks_catalog(node, cursor).then(|| node.packed()).flatten(),
        ..batch
    }
}

/// The batch for `cursor` without the catalogue.
fn changes_batch<E: Edge>(node: &Node<E>, cursor: &Cursor) -> ChangeBatch {
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
    changes.retain(|change| change.item().is_none_or(|item| item.key != E::CATALOG_KEY));
    ChangeBatch {
        incarnation: node.incarnation,
        seq: mirror.seq(),
        known: mirror.min_known(),
        is_snapshot,
        changes,
        catalog: None,
    }
}
