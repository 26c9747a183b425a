//! Proofs that no primary has been replaced, renewed for a tenth of a read.
//!
//! All instances renew one lease of the store, the *era*. Whoever replaces a
//! primary first writes so into its record, then ends the era, and then waits as
//! long as a proof lasts. An instance that read the records together with the era
//! and renewed it at a later moment therefore knows that no replacement which was
//! announced since was far enough to matter at that moment. The era may also lapse
//! or vanish by itself; then somebody begins the next one, and everybody reads the
//! records again. Nothing rests on a key that vanishes with a lease: the era's
//! number is kept under a plain key.
//!
//! When the store says nothing, another instance that still hears it reads for
//! this one. When nobody does, the members of the group are asked.

mod adopt;
mod lease;
mod recovery;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use clock::{Boot, Instant};
use futures_util::future::{Either, select};
use lead::quorum;
use rand::seq::IndexedRandom;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    control::{self, record, record_key},
    edge::{Change, Edge, Fault, Items, Store, Swap, Swapped},
    freshness,
    group::{Group, LIST_MEMORY},
    node::Node,
    peers::{self, heartbeat::StoreContact},
    probe, proofs,
    relay::{self, Source},
};
pub(crate) use adopt::adopt_proof;
pub use lease::{Lease, find_lease};
pub(crate) use recovery::restore_record;
use recovery::write_missing;

/// How long the store may take to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an era lasts without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// How long the store may be silent to a relay until it is asked: whether it is heard
/// decides who the relays are.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(900);

/// The shortest pause between two renewals. It makes a proof that much older, of the
/// 600 ms that it lasts; without it a relay renewed once for each who asks, 250 times a
/// second in a fleet of 195 instances.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(120);

/// How old a proof may be that is passed on. Two hops of it, and the pause until the next one
/// is asked for, leave a third of the 600 ms that a proof lasts.
const MAX_SHARED_AGE: Duration = Duration::from_millis(100);

/// How long a relay waits for a reader's answer before it asks the store as well: some hops
/// between zones, and a turn of a busy processor.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// The shortest pause between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// How long after the store was last heard a majority of a group may prove its
/// primary; then only all of it may.
///
/// While the store is away for all and a zone is cut off, a majority is all there is:
/// without it every database with an upstream in that zone refuses its writes. But a
/// primary that is lost together with a replica is replaced that much later.
pub const UNANIMITY_AFTER: Duration = Duration::from_secs(5);

/// The part of a proof's span, as a divisor, that is left when a group's members are asked.
const MEMBER_QUERY_DIVISOR: u32 = 6;

/// The most time before a missing era or record is written by this instance, so
/// that not all do it at once.
const WRITE_JITTER_MS: u64 = 60;

/// How often the records are read while some group has none.
const UNKNOWN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long the store is left alone behind a call that it did not answer, at first and at
/// most.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How many renewals may be on their way at once.
const MAX_IN_FLIGHT: usize = 3;

/// The key of the era, beside the records so that both are read at once.
pub fn lease_key<E: Edge>() -> String {
    record_key::<E>("")
}

/// Keeps the proofs of all primaries fresh for as long as somebody needs them.
pub async fn run<E: Edge>(node: Rc<Node<E>>) {
    node.wait_for_peers().await;
    loop {
        let now = Boot.now();
        if !node.groups().is_empty() {
            let groups = node.active();
            let wanted = groups.iter().any(|g| g.is_proof_wanted(now));
            answer_pending(&node);
            let asked = node.proofs.has_pending() || node.proofs.is_relied_on(now);
            let is_recent = has_recent_proof(&node, now) && !has_unread_record(&node);
            match freshness::source(&node) {
                Source::Relay(address) if (wanted || asked) && !is_recent => {
                    renew_via_relay(&node, address);
                }
                Source::Relay(_) => {}
                Source::Store => {
                    let unknown = groups.iter().any(|g| !g.has_record()) && relay::is_reader(&node);
                    if (wanted || asked) && !is_recent || unknown {
                        renew_via_store(&node);
                    }
                }
            }
            // Whether the store hears it decides who the relays are.
            if relay::is_relay(&node) && node.store_answered_at.get() + MAX_STORE_SILENCE < now {
                renew_via_store(&node);
            }
            let span = node.settings.proof;
            let is_late = node.proved_lease.get().1 + span * 2 / 3 < now;
            let due = |g: &Rc<Group>| g.proof().until() < now + span / 3 && g.is_proof_wanted(now);
            if is_late && groups.iter().any(due) {
                query_peer(&node);
            }
            query_members(&node, &groups);
        }
        sleep(MIN_ROUND_INTERVAL).await;
        let _ = timeout(renew_interval(&node), node.proof_wanted.notified()).await;
        // Questions of others that come in a row are answered by one renewal.
        let rest = (node.lease_renewed_at.get() + MIN_RENEW_INTERVAL).since(Boot.now());
        sleep(rest).await;
    }
}

/// Whether the era was proved a moment ago.
fn has_recent_proof<E: Edge>(node: &Node<E>, now: Instant) -> bool {
    let (tag, since) = node.proved_lease.get();
    tag != 0 && tag == node.proof_lease.get() && since + MAX_SHARED_AGE > now
}

/// How long the next renewal may wait: others find a young proof at a relay whenever they
/// ask, and their callers wait for a hop and not for a renewal.
fn renew_interval<E: Edge>(node: &Node<E>) -> Duration {
    let now = Boot.now();
    let (_, since) = node.proved_lease.get();
    let renew = node.settings.renew;
    match node.proofs.is_relied_on(now) {
        true => renew.min((since + MAX_SHARED_AGE).since(now)),
        false => renew,
    }
}

/// Answers those who asked for a proof, if this instance has one that is young; whether it
/// has.
pub(crate) fn answer_pending<E: Edge>(node: &Node<E>) -> bool {
    let now = Boot.now();
    if !has_recent_proof(node, now) {
        return false;
    }
    if node.proofs.has_pending() {
        let (tag, since) = node.proved_lease.get();
        let requests = node.proofs.take_pending();
        node.proofs
            .answer_with_age(&requests, tag, now.since(since));
    }
    true
}

/// Has the relay at `address` renew the era, or asks the store if it does not answer.
fn renew_via_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) {
    if node.proofs_in_flight.get() >= MAX_IN_FLIGHT {
        return;
    }
    node.proofs_in_flight.set(node.proofs_in_flight.get() + 1);
    let node = Rc::clone(node);
    spawn_local(async move {
        let relayed = match relay::is_relay(&node) {
            true => renew_hedged(&node, address).await,
            false => renew_from_peer(&node, address).await,
        };
        answer_pending(&node);
        if relayed.is_err() {
            node.silent_relay.set(Some((address, Boot.now())));
            if !is_backing_off(&node) {
                let _ = query_store(&node).await;
            }
        }
        node.proofs_in_flight.set(node.proofs_in_flight.get() - 1);
    });
}

/// Proves by a reader's answer, or by the store's if that comes first: a relay whose
/// followers wait must not wait as long for a reader that is gone as they do for it.
async fn renew_hedged<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let relayed = pin!(renew_from_peer(node, address));
    let hedge = pin!(async {
        sleep(HEDGE_DELAY).await;
        match is_backing_off(node) {
            true => Err(Fault::Unknown),
            false => query_store(node).await.map(|_| ()),
        }
    });
    match select(relayed, hedge).await {
        Either::Left((Ok(()), _)) | Either::Right((Ok(()), _)) => Ok(()),
        Either::Left((Err(_), hedge)) => hedge.await,
        Either::Right((Err(_), relayed)) => relayed.await,
    }
}

/// Proves by a relay's answer, and reads the records through it if any of them is not
/// known.
async fn renew_from_peer<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let asked_at = Boot.now();
    let (tag, age) = proofs::query_lease(node, address)
        .await
        .ok_or(Fault::Unknown)?;
    let sent = asked_at - age;
    node.heard_from_store(sent);
    node.store_heard();
    let before = node.lease.get();
    if adopt::wait_for_lease(node, tag).await && !has_unread_record(node) {
        prove_groups(node, tag, sent);
        return Ok(());
    }
    if node.lease.get() != before && !has_unread_record(node) {
        // The answer is of an era before.
        node.proof_wanted.notify_one();
        return Ok(());
    }
    let sent = Boot.now();
    let items = peers::records(address).await?;
    node.records_read_at.set(sent);
    apply_records(node, &items, sent);
    if let Some(lease) = find_lease::<E>(&items) {
        switch_to(node, &items, lease);
    }
    Ok(())
}

/// Renews the era, or reads it and the records if any of them is not known.
fn renew_via_store<E: Edge>(node: &Rc<Node<E>>) {
    if node.proofs_in_flight.get() >= MAX_IN_FLIGHT || is_backing_off(node) {
        return;
    }
    node.proofs_in_flight.set(node.proofs_in_flight.get() + 1);
    let node = Rc::clone(node);
    spawn_local(async move {
        let requests = node.proofs.take_pending();
        if let Ok(Some(tag)) = query_store(&node).await {
            node.proofs.answer_renewed(&requests, tag);
        }
        node.proofs_in_flight.set(node.proofs_in_flight.get() - 1);
    });
}

/// Asks the store; the era if it was renewed.
async fn query_store<E: Edge>(node: &Rc<Node<E>>) -> Result<Option<u64>, Fault> {
    let asked = timeout(STORE_TIMEOUT, renew_or_read(node)).await;
    let asked = asked.unwrap_or(Err(Fault::Unknown));
    match asked {
        Ok(_) => record_store_answer(node),
        Err(_) => record_store_failure(node),
    }
    asked
}

/// Notes that the store answered this instance.
pub(crate) fn record_store_answer<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(0);
    if node.store_contact() != StoreContact::Reachable {
        // Others that ask in vain try again at once.
        node.store_answered();
        node.peers.announce();
    }
    node.store_answered();
}

/// Notes that it did not.
pub(crate) fn record_store_failure<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(node.renewal_failures.get() + 1);
    node.store_failed();
}

/// Whether the store is left alone for now because it did not answer.
///
/// While it was away for 4.4 s, 18 instances asked it 493 times. One that hears it again
/// tells the others.
pub(crate) fn is_backing_off<E: Edge>(node: &Node<E>) -> bool {
    let failures = node.renewal_failures.get();
    if failures == 0 {
        return false;
    }
    let rest = (BACKOFF.0 * 2_u32.saturating_pow(failures - 1)).min(BACKOFF.1);
    node.failed_at() + rest > Boot.now()
}

/// Whether some record was not read in the era that is known.
fn has_unread_record<E: Edge>(node: &Node<E>) -> bool {
    let tag = node.proof_lease.get();
    let is_due = node.records_read_at.get() + UNKNOWN_READ_INTERVAL < Boot.now();
    let unread = |group: &Rc<Group>| match group.has_record() {
        true => group.proof_lease.get() != tag && !adopt::is_record_current(node, group),
        false => is_due && relay::is_reader(node),
    };
    node.active().iter().any(unread)
}

/// Renews the era, or reads what is to be known for that; the era if it was renewed.
async fn renew_or_read<E: Edge>(node: &Rc<Node<E>>) -> Result<Option<u64>, Fault> {
    let (tag, lease) = (node.proof_lease.get(), node.lease.get());
    let mut is_over = tag == 0;
    if tag != 0 && !has_unread_record(node) {
        let sent = Boot.now();
        node.lease_renewed_at.set(sent);
        match lease.renew(node).await {
            Ok(()) => {
                node.heard_from_store(sent);
                prove_groups(node, tag, sent);
                return Ok(Some(tag));
            }
            Err(Fault::Missing) => is_over = true,
            Err(fault) => return Err(fault),
        }
    }
    // Most learn what the first of them began, without another question.
    let jitter = rand::random_range(0..WRITE_JITTER_MS);
    sleep(Duration::from_millis(jitter)).await;
    let is_newer = adopt::switch_to_newer(node, lease);
    if (is_newer || !is_over) && !has_unread_record(node) {
        node.proof_wanted.notify_one();
        return Ok(None);
    }
    let sent = Boot.now();
    let items = node
        .store()
        .read(&record_key::<E>(""), STORE_TIMEOUT)
        .await?;
    node.records_read_at.set(sent);
    apply_records(node, &items, sent);
    let Some(read) = find_lease::<E>(&items) else {
        create_lease(node, 0).await?;
        return Ok(None);
    };
    if read == lease && read.renew(node).await == Err(Fault::Missing) {
        create_lease(node, read.revision).await?;
        return Ok(None);
    }
    switch_to(node, &items, read);
    node.proof_wanted.notify_one();
    Ok(None)
}

/// Goes on in the era of `lease`, which was read together with the records in `items`.
fn switch_to<E: Edge>(node: &Node<E>, items: &Items, lease: Lease) {
    let tag = lease.tag();
    let revisions: HashMap<_, _> = items.items.iter().map(|i| (&*i.key, i.revision)).collect();
    for group in node.active() {
        let key = record_key::<E>(&group.service);
        if revisions.get(&*key).copied() == group.revision() {
            group.proof_lease.set(tag);
        }
    }
    node.proof_lease.set(tag);
    node.lease.set(lease);
}

/// Begins the next era, unless somebody else did since its key was read at `revision`.
async fn create_lease<E: Edge>(node: &Rc<Node<E>>, revision: u64) -> Result<(), Fault> {
    let store = node.store();
    let lease = store.grant(LEASE_TTL).await?;
    let swap = Swap {
        expected: vec![(lease_key::<E>(), revision)],
        puts: vec![(lease_key::<E>(), Bytes::from(lease.to_string()), 0)],
        deletes: Vec::new(),
    };
    let swapped = store.swap(&swap).await?;
    log::info!(lease, swapped:?; "next era");
    if swapped == Swapped::Conflict {
        let _ = store.revoke(lease).await;
    }
    Ok(())
}

/// Proves the active groups whose records were read in the era, which was renewed for a
/// question sent at `sent`; the others adopt it once they are asked for.
fn prove_groups<E: Edge>(node: &Node<E>, tag: u64, sent: Instant) {
    if node.proved_lease.get().0 != tag || node.proved_lease.get().1 < sent {
        node.proved_lease.set((tag, sent));
    }
    for group in node.active().iter().filter(|g| g.proof_lease.get() == tag) {
        if let Some(revision) = group.revision() {
            group.prove(revision, sent, node.settings.proof);
        }
    }
}

/// Takes in records that were read for a question sent at `sent`.
fn apply_records<E: Edge>(node: &Rc<Node<E>>, items: &Items, sent: Instant) {
    node.heard_from_store(sent);
    for item in &items.items {
        control::apply_change(node, Change::Put(item.clone()));
        if let Some(group) = record(node, item) {
            group.prove(item.revision, sent, node.settings.proof);
        }
    }
    if !relay::is_reader(node) {
        return;
    }
    let present: HashSet<_> = items.items.iter().map(|item| &*item.key).collect();
    let is_missing = |group: &Rc<Group>| {
        let key = record_key::<E>(&group.service);
        !present.contains(&*key) && !group.replacing.replace(true)
    };
    let missing: Vec<_> = node.active().into_iter().filter(is_missing).collect();
    if missing.is_empty() {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move {
        write_missing(&node, &missing).await;
        missing.iter().for_each(|group| group.replacing.set(false));
    });
}

/// Proves primaries without asking the store: by another instance that hears it.
fn query_peer<E: Edge>(node: &Rc<Node<E>>) {
    if !node.is_asking_relay.replace(true) {
        let node = Rc::clone(node);
        spawn_local(async move {
            let addresses = node.peers.with_store_contact();
            let chosen = addresses.choose(&mut rand::rng()).copied();
            if let Some(address) = chosen {
                let _ = renew_from_peer(&node, address).await;
            }
            node.is_asking_relay.set(false);
        });
    }
}

/// Proves by themselves the groups in use whose proofs are about to lapse and that the
/// era's proof does not cover.
///
/// Only these: questions of all members open connections to all upstreams at once, which
/// have no slots left for statements.
fn query_members<E: Edge>(node: &Rc<Node<E>>, groups: &[Rc<Group>]) {
    let now = Boot.now();
    for group in groups {
        let lapses = || group.proof().until() < now + node.settings.proof / MEMBER_QUERY_DIVISOR;
        if !group.is_proof_wanted(now) || !lapses() {
            continue;
        }
        adopt_proof(node, group);
        if !lapses() || group.asking.replace(true) {
            continue;
        }
        let (node, group) = (Rc::clone(node), Rc::clone(group));
        spawn_local(async move {
            query_group(&node, &group).await;
            group.asking.set(false);
        });
    }
}

/// Proves a primary by its group: by the primary and as many replicas as make a
/// majority, or by all of them once the store was not heard for [`UNANIMITY_AFTER`].
///
/// Whoever replaces a primary tells it to step down, or so many replicas to hold for the
/// next term that no majority is left, before anything else; waits then as long as any
/// proof lasts; and gives the order only if the chosen replica still holds. So if the
/// primary and a majority answer that they have heard of no newer term, none was told so
/// before the question was sent. Where too few replicas can be told, the replacement
/// waits until nobody counts on a mere majority any more.
async fn query_group<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>) {
    let Some(known) = group.stored_record() else {
        return;
    };
    let Some((leader, term)) = group.primary() else {
        return;
    };
    let members = group.members();
    let sent = Boot.now();
    let replicas = group.replica_count(sent, LIST_MEMORY);
    let needs_all = node.store_contact_at.get() + UNANIMITY_AFTER < sent;
    let others = match needs_all {
        true => replicas,
        false => quorum::needed(replicas),
    };
    if others == 0 {
        return;
    }
    if probe::confirm_primary::<E::Protocol>(&members, &leader, term, others).await {
        group.prove(known.revision, sent, node.settings.proof);
    }
}
