//! Maintains the proof that no access key in force here has been revoked ([`lead::freshness`]).
//!
//! Relays that read the catalogue ask the store whether the catalogue has changed. All other
//! instances ask a peer, which answers with the age of its own proof: a relay asks one of the
//! readers, any other instance asks a relay of its zone. If that peer doesn't answer, the
//! instance asks another peer that reaches the store, and asks the store itself once half of
//! its proof's validity has passed.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use lead::{
    Freshness,
    freshness::{self, Watermark},
};
use rand::seq::IndexedRandom;
use tokio::{
    sync::{Notify, oneshot},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    control,
    edge::{Change, Edge, Fault, Item, Store},
    node::Node,
    peers::heartbeat::Message,
    proof_lease,
    relay::{self, Source},
    shares,
};

/// Interval at which the age of the proof is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a peer may take to answer: one round trip and one scheduling delay of a busy
/// processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of times that a reader asks the store within the time for which a revoked key may
/// still be served.
const CHECKS_PER_SPAN: u32 = 4;

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The freshness proof of this instance and its open requests to peers.
#[derive(Debug, Default)]
pub struct Tracker {
    proof: Cell<Freshness>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<(Watermark, Duration)>>>,
    asking: Cell<bool>,
    asked_at: Cell<Instant>,
    /// Notified when a caller needs a proof now.
    pub requested: Notify,
    /// Notified when there is a newer proof.
    pub updated: Notify,
}

impl Tracker {
    /// Returns true if a request that arrived at `moment` may be served, provided that a key
    /// may be served for up to `span` after its revocation.
    pub fn covers(&self, moment: Instant, span: Duration) -> bool {
        self.proof.get().covers(moment, span)
    }

    /// Age of the proof; `None` if there has been none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proof.get().age(now)
    }

    /// Records that this instance has `have` in force.
    pub fn advance(&self, have: Watermark) {
        let mut proof = self.proof.get();
        proof.advance(have);
        self.proof.set(proof);
        self.updated.notify_waiters();
    }

    /// Revisions that the store has and this instance lacks.
    pub fn pending(&self) -> Option<Watermark> {
        self.proof.get().pending()
    }

    fn update(&self, newest: Watermark, since: Instant, have: Watermark) {
        let mut proof = self.proof.get();
        proof.update(newest, since, have);
        self.proof.set(proof);
        self.updated.notify_waiters();
    }

    /// Passes a peer's answer to the request with this `id`.
    pub(crate) fn resolve(&self, id: u64, newest: Watermark, age: Duration) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send((newest, age));
        }
    }
}

/// Answers a peer's freshness request.
pub(crate) fn answer_request<E: Edge>(node: &Node<E>, id: u64, to: SocketAddr) {
    let Some(age) = node.freshness.age(Boot.now()) else {
        return;
    };
    let newest = node.mark();
    let reply = Message::FreshnessAge { id, newest, age };
    node.proofs.send(&reply, to);
}

/// Keeps the proof fresh while the catalogue has accounts, until the process ends.
pub(crate) async fn run<E: Edge>(node: Rc<Node<E>>) {
    let span = node.settings.agreement_ttl();
    loop {
        let _ = timeout(CHECK_INTERVAL, node.freshness.requested.notified()).await;
        if node.catalog().accounts.is_empty() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let now = Boot.now();
        let age = node.freshness.age(now);
        let was_asked = node.freshness.asked_at.get() + RETRY_INTERVAL > now;
        if was_asked || age.is_some_and(|age| age < renew_age(&node, span)) {
            continue;
        }
        if !node.freshness.asking.replace(true) {
            node.freshness.asked_at.set(now);
            let node = Rc::clone(&node);
            spawn_local(async move {
                renew(&node, age, span).await;
                node.freshness.asking.set(false);
            });
        }
    }
}

/// Age at which the proof is renewed.
fn renew_age<E: Edge>(node: &Node<E>, span: Duration) -> Duration {
    match source(node) {
        Source::Store => span / CHECKS_PER_SPAN,
        Source::Relay(_) => span / (2 * CHECKS_PER_SPAN),
    }
}

/// Source of this instance's proof: a relay of its zone or, for a relay, the first reader that
/// answers. The first reader itself asks the store.
pub(crate) fn source<E: Edge>(node: &Node<E>) -> Source {
    if let Source::Relay(relay) = relay::source(node) {
        return Source::Relay(relay);
    }
    let readers = relay::readers(node).into_iter();
    let mut usable =
        readers.filter(|reader| reader.is_none_or(|at| !relay::is_unresponsive(node, at)));
    match usable.next() {
        Some(Some(reader)) => Source::Relay(reader),
        Some(None) | None => Source::Store,
    }
}

async fn renew<E: Edge>(node: &Rc<Node<E>>, age: Option<Duration>, span: Duration) {
    let result = match source(node) {
        Source::Relay(address) => query_peer(node, address).await,
        Source::Store if proof_lease::is_backing_off(node) => Err(Fault::Refused),
        Source::Store => query_store(node).await,
    };
    if result.is_ok() {
        return;
    }
    let addresses = node.peers.with_store_contact();
    let other = addresses.choose(&mut rand::rng()).copied();
    if let Some(address) = other
        && query_peer(node, address).await.is_ok()
    {
        return;
    }
    if age.is_none_or(|age| age > span / 2) && !proof_lease::is_backing_off(node) {
        let _ = query_store(node).await;
    }
}

/// Asks the peer at `address`.
async fn query_peer<E: Edge>(node: &Node<E>, address: SocketAddr) -> Result<(), Fault> {
    let tracker = &node.freshness;
    tracker.last_id.set(tracker.last_id.get() + 1);
    // The offset by the incarnation keeps an answer to an earlier run of this process from
    // matching a request of this one.
    let id = node.incarnation.wrapping_add(tracker.last_id.get());
    let (sender, answer) = oneshot::channel();
    tracker.waiting.borrow_mut().insert(id, sender);
    let sent = Boot.now();
    let request = Message::FreshnessRequest {
        id,
        reply_to: node.settings.peers,
    };
    node.proofs.send(&request, address);
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    tracker.waiting.borrow_mut().remove(&id);
    let Ok(Ok((newest, age))) = answer else {
        return Err(Fault::Unknown);
    };
    let since = freshness::valid_from(sent, age).ok_or(Fault::Unknown)?;
    let is_newer = tracker.age(sent).is_none_or(|own| own > age);
    tracker.update(newest, since, node.mark());
    if tracker.pending().is_some() {
        node.shares.outdated.notify_one();
    }
    match is_newer {
        true => Ok(()),
        false => Err(Fault::Unknown),
    }
}

/// Reads the catalogue and the shares in full, because the store is in another era than the
/// known revisions.
async fn read_all<E: Edge>(node: &Node<E>) -> Result<Vec<Item>, Fault> {
    let catalog = node.store().read(E::CATALOG_KEY, STORE_TIMEOUT).await?;
    let shares = node
        .store()
        .read(&shares::table_key::<E>(), STORE_TIMEOUT)
        .await?;
    let items = catalog.items.into_iter().chain(shares.items);
    Ok(items.collect())
}

/// Asks the store for newer revisions and applies them.
async fn query_store<E: Edge>(node: &Rc<Node<E>>) -> Result<(), Fault> {
    let revision = node.catalog_item().map_or(0, |item| item.revision);
    let sent = Boot.now();
    let shares = shares::table_key::<E>();
    let known = [(E::CATALOG_KEY, revision), (&*shares, node.mark().shares)];
    let newer = match node.store().read_newer(&known, STORE_TIMEOUT).await {
        Err(Fault::Compacted) => read_all(node).await,
        newer => newer,
    };
    let newer = newer.inspect_err(|_| proof_lease::record_store_failure(node))?;
    proof_lease::record_store_answer(node);
    for item in newer {
        // An unreadable catalogue isn't in force here and proves nothing.
        if item.key == E::CATALOG_KEY {
            E::catalog(&item.value).map_err(|_| Fault::Malformed)?;
        }
        control::apply_change(node, Change::Put(item));
    }
    let have = node.mark();
    // A store restored from a backup may lack the newest catalogue. The newest version that a
    // peer reports counts too; otherwise an instance that starts after the restore would serve
    // keys that have been revoked.
    let newest = Watermark {
        catalog: have.catalog.max(node.peers.newest_catalog()),
        ..have
    };
    node.freshness.update(newest, sent, have);
    Ok(())
}
