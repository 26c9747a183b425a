//! Proofs that no primary has been replaced, shared by all instances.
//!
//! All instances renew one lease in the store, the *proof lease*. An instance that replaces a
//! primary first marks the primary's record as changing, then ends the proof lease, and then
//! waits for as long as a proof is valid. An instance that has read the records under the
//! current lease and renews the lease later therefore knows that no replacement announced since
//! then had taken effect when the renewal was sent. If the lease expires or disappears for
//! another reason, the first instance to notice creates the next one, and all instances read
//! the records again. The lease's number is stored under a plain key that isn't attached to the
//! lease, so that nothing depends on a key that disappears with it.
//!
//! If the store doesn't answer this instance, another instance that reaches the store proves
//! for it. If no instance reaches the store, the members of each group are asked.

mod adopt;
mod lease;
mod recovery;
mod voters;

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
use lead::{freshness::valid_from, quorum};
use rand::seq::IndexedRandom;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    control::{self, apply_record, record_key},
    edge::{Change, Edge, Fault, Items, Store, Swap, Swapped},
    freshness,
    group::{Group, ProofSource},
    member::Member,
    node::Node,
    peers::{self, heartbeat::StoreContact},
    probe, proofs,
    relay::{self, Source},
};
pub(crate) use adopt::adopt_proof;
pub use lease::{Lease, find_lease};
pub use quorum::UNANIMITY_AFTER;
use recovery::write_missing;
pub(crate) use recovery::{repair_record, restore_record};

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a lease that isn't renewed expires.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// Time without an answer from the store after which a relay calls it even without need: the
/// relays are chosen among the instances that reach the store.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(900);

/// Minimum pause between two renewals. The pause makes a proof that much older, of the 600 ms
/// that a proof is valid. Without it, a relay renews once per request: 250 times a second in a
/// fleet of 195 instances.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(120);

/// Maximum age of a proof that is passed on. After two hops, and the pause until the next
/// request, a third of the 600 ms for which a proof is valid is left.
const MAX_SHARED_AGE: Duration = Duration::from_millis(100);

/// Time that a relay waits for a reader's answer before it also calls the store: a few hops
/// between zones and one scheduling delay of a busy processor.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Minimum pause between two rounds of the proof loop.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// A group's members are asked when less than the validity of a proof divided by this is left:
/// while the lease is proved in time, and while it is not. In the second case the answers have to
/// arrive before the proof expires.
const MEMBER_QUERY_DIVISORS: (u32, u32) = (6, 2);

/// Interval at which proofs that are about to expire are looked for while the lease isn't proved
/// in time.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum random delay, in milliseconds, before this instance writes a missing lease or
/// record, so that not all instances write it at once.
const WRITE_JITTER_MS: u64 = 60;

/// Interval at which the records are read while a group has none.
const UNKNOWN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed call to the store: the first one and the maximum.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Maximum number of renewals in flight.
const MAX_IN_FLIGHT: usize = 3;

/// Key of the proof lease. It shares a prefix with the records, so that one read returns both.
pub fn lease_key<E: Edge>() -> String {
    record_key::<E>("")
}

/// Keeps the proofs of all primaries in use valid until the process ends.
pub async fn run<E: Edge>(node: Rc<Node<E>>) {
    node.wait_for_peers().await;
    spawn_local(prove_without_lease(Rc::clone(&node)));
    spawn_local(voters::revise(Rc::clone(&node)));
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
            // The relays are chosen among the instances that reach the store, so the contact is
            // kept up.
            if relay::is_relay(&node) && node.store_answered_at.get() + MAX_STORE_SILENCE < now {
                renew_via_store(&node);
            }
            let span = node.settings.proof;
            let due = |g: &Rc<Group>| g.proof().until() < now + span / 3 && g.is_proof_wanted(now);
            if is_lease_late(&node, now) && groups.iter().any(due) {
                query_peer(&node);
            }
            query_members(&node, &groups);
        }
        sleep(MIN_ROUND_INTERVAL).await;
        let _ = timeout(renew_interval(&node), node.proof_wanted.notified()).await;
        // One renewal answers all requests of peers that arrive during the pause.
        let pause = (node.lease_renewed_at.get() + MIN_RENEW_INTERVAL).since(Boot.now());
        sleep(pause).await;
    }
}

/// Returns true if the proof lease was proved recently enough to pass the proof on.
fn has_recent_proof<E: Edge>(node: &Node<E>, now: Instant) -> bool {
    let (tag, since) = node.proved_lease.get();
    tag != 0 && tag == node.proof_lease.get() && since + MAX_SHARED_AGE > now
}

/// Returns true if the proof lease has not been proved for two thirds of a proof's validity.
fn is_lease_late<E: Edge>(node: &Node<E>, now: Instant) -> bool {
    node.proved_lease.get().1 + node.settings.proof * 2 / 3 < now
}

/// Maximum wait until the next renewal. While peers rely on this instance, a proof that can be
/// passed on is always kept ready, so that their sessions wait for one hop instead of a
/// renewal.
fn renew_interval<E: Edge>(node: &Node<E>) -> Duration {
    let now = Boot.now();
    let (_, since) = node.proved_lease.get();
    let renew = node.settings.renew;
    match node.proofs.is_relied_on(now) {
        true => renew.min((since + MAX_SHARED_AGE).since(now)),
        false => renew,
    }
}

/// Answers the pending proof requests of peers if this instance has a recent proof. Returns
/// true if it has one.
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

/// Renews the proof lease through the relay at `address`, or at the store if the relay doesn't
/// answer.
fn renew_via_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) {
    if node.proofs_in_flight.get() >= MAX_IN_FLIGHT {
        return;
    }
    node.proofs_in_flight.set(node.proofs_in_flight.get() + 1);
    let node = Rc::clone(node);
    spawn_local(async move {
        let renewed = match relay::is_relay(&node) {
            true => renew_hedged(&node, address).await,
            false => renew_from_peer(&node, address).await,
        };
        answer_pending(&node);
        if renewed.is_err() {
            node.silent_relay.set(Some((address, Boot.now())));
            if !is_backing_off(&node) {
                let _ = query_store(&node).await;
            }
        }
        node.proofs_in_flight.set(node.proofs_in_flight.get() - 1);
    });
}

/// Renews through a reader, and after [`HEDGE_DELAY`] at the store as well; the first answer
/// counts. If a relay waited for the whole timeout of a lost reader, its followers would time
/// out waiting for the relay.
async fn renew_hedged<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let renewed = pin!(renew_from_peer(node, address));
    let hedge = pin!(async {
        sleep(HEDGE_DELAY).await;
        match is_backing_off(node) {
            true => Err(Fault::Unknown),
            false => query_store(node).await.map(|_| ()),
        }
    });
    match select(renewed, hedge).await {
        Either::Left((Ok(()), _)) | Either::Right((Ok(()), _)) => Ok(()),
        Either::Left((Err(_), hedge)) => hedge.await,
        Either::Right((Err(_), renewed)) => renewed.await,
    }
}

/// Proves the primaries by a peer's answer, and reads the records through that peer if any
/// record is missing.
async fn renew_from_peer<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let asked_at = Boot.now();
    let (tag, age) = proofs::query_lease(node, address)
        .await
        .ok_or(Fault::Unknown)?;
    let sent = valid_from(asked_at, age).ok_or(Fault::Unknown)?;
    node.heard_from_store(sent);
    node.store_heard();
    let before = node.lease.get();
    if adopt::wait_for_lease(node, tag).await && !has_unread_record(node) {
        prove_groups(node, tag, sent);
        return Ok(());
    }
    if node.lease.get() != before && !has_unread_record(node) {
        // The answer is about an earlier lease.
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

/// Renews the proof lease at the store, or reads the lease and the records if any is missing.
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

/// Calls the store. Returns the tag of the proof lease if it was renewed.
async fn query_store<E: Edge>(node: &Rc<Node<E>>) -> Result<Option<u64>, Fault> {
    let result = timeout(STORE_TIMEOUT, renew_or_read(node)).await;
    let result = result.unwrap_or(Err(Fault::Unknown));
    match result {
        Ok(_) => record_store_answer(node),
        Err(_) => record_store_failure(node),
    }
    result
}

/// Records that the store answered this instance.
pub(crate) fn record_store_answer<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(0);
    if node.store_contact() != StoreContact::Reachable {
        // Tells peers that the store answers again, so that those that are backing off retry at
        // once.
        node.store_answered();
        node.peers.announce();
    }
    node.store_answered();
}

/// Records that the store didn't answer this instance.
pub(crate) fn record_store_failure<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(node.renewal_failures.get() + 1);
    node.store_failed();
}

/// Returns true if this instance doesn't call the store for now because calls have failed.
///
/// Without the backoff, 18 instances called a store that was down for 4.4 s 493 times. An
/// instance that reaches the store again tells its peers.
pub(crate) fn is_backing_off<E: Edge>(node: &Node<E>) -> bool {
    let failures = node.renewal_failures.get();
    if failures == 0 {
        return false;
    }
    let pause = (BACKOFF.0 * 2_u32.saturating_pow(failures - 1)).min(BACKOFF.1);
    node.failed_at() + pause > Boot.now()
}

/// Returns true if a record hasn't been read under the current proof lease.
fn has_unread_record<E: Edge>(node: &Node<E>) -> bool {
    let tag = node.proof_lease.get();
    let is_due = node.records_read_at.get() + UNKNOWN_READ_INTERVAL < Boot.now();
    let unread = |group: &Rc<Group>| match group.has_record() {
        true => group.proof_lease.get() != tag && !adopt::is_record_current(node, group),
        false => is_due && relay::is_reader(node),
    };
    node.active().iter().any(unread)
}

/// Renews the proof lease, or reads the lease and the records if either is missing. Returns the
/// lease's tag if it was renewed.
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
    // During the random delay most instances learn of a lease that another instance has
    // created, and needn't read it.
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

/// Switches to `lease`, which was read together with the records in `items`.
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

/// Creates the next proof lease, unless another instance has written one since the key was read
/// at `revision`.
async fn create_lease<E: Edge>(node: &Rc<Node<E>>, revision: u64) -> Result<(), Fault> {
    let store = node.store();
    let lease = store.grant(LEASE_TTL).await?;
    let swap = Swap {
        expected: vec![(lease_key::<E>(), revision)],
        puts: vec![(lease_key::<E>(), Bytes::from(lease.to_string()), 0)],
        deletes: Vec::new(),
    };
    let swapped = store.swap(&swap).await?;
    log::info!(lease, swapped:?; "proof lease created");
    if swapped == Swapped::Conflict {
        let _ = store.revoke(lease).await;
    }
    Ok(())
}

/// Proves the active groups whose records were read under the lease with `tag`, which was
/// renewed by a request sent at `sent`. Other groups adopt the proof when they are used.
fn prove_groups<E: Edge>(node: &Node<E>, tag: u64, sent: Instant) {
    if node.proved_lease.get().0 != tag || node.proved_lease.get().1 < sent {
        node.proved_lease.set((tag, sent));
    }
    for group in node.active().iter().filter(|g| g.proof_lease.get() == tag) {
        if let Some(revision) = group.revision() {
            group.extend_proof(revision, ProofSource::Lease, sent, node.settings.proof);
        }
    }
}

/// Applies records read by a request sent at `sent`.
fn apply_records<E: Edge>(node: &Rc<Node<E>>, items: &Items, sent: Instant) {
    node.heard_from_store(sent);
    for item in &items.items {
        control::apply_change(node, Change::Put(item.clone()));
        if let Some(group) = apply_record(node, item) {
            group.extend_proof(
                item.revision,
                ProofSource::Record,
                sent,
                node.settings.proof,
            );
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

/// Proves the primaries through a peer that reaches the store.
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

/// Asks the members of groups in time while the lease isn't proved: a majority can't prove a
/// primary whose proof has expired.
async fn prove_without_lease<E: Edge>(node: Rc<Node<E>>) {
    loop {
        sleep(MEMBER_CHECK_INTERVAL).await;
        if is_lease_late(&node, Boot.now()) {
            query_members(&node, &node.active());
        }
    }
}

/// Asks the members of the groups in use whose proofs are about to expire and aren't covered by
/// the proof lease.
///
/// Other groups are left out: asking all members opens connections to all upstreams at once,
/// which then have no slots left for statements.
fn query_members<E: Edge>(node: &Rc<Node<E>>, groups: &[Rc<Group>]) {
    let now = Boot.now();
    let divisor = match is_lease_late(node, now) {
        true => MEMBER_QUERY_DIVISORS.1,
        false => MEMBER_QUERY_DIVISORS.0,
    };
    for group in groups {
        let expires_soon = || group.proof().until() < now + node.settings.proof / divisor;
        if !group.is_proof_wanted(now) || !expires_soon() {
            continue;
        }
        adopt_proof(node, group);
        if !expires_soon() || group.asking.replace(true) {
            continue;
        }
        let (node, group) = (Rc::clone(node), Rc::clone(group));
        spawn_local(async move {
            query_group(&node, &group).await;
            group.asking.set(false);
        });
    }
}

/// Proves a primary by its group.
///
/// An instance that replaces a primary first demotes the primary, or makes enough replicas hold
/// for the next term that no majority with the old primary is left. It then waits for as long
/// as a proof is valid, and promotes the chosen replica only if that replica still holds. So if
/// the primary and a majority answer that they know of no newer term, none of them had been
/// fenced when the request was sent. If too few replicas can be reached to exclude a majority,
/// the replacement waits until no instance accepts a mere majority any more.
///
/// The promotion ends the hold of the other replicas. A majority therefore only extends a proof
/// that is still valid when the answers are in: such a proof counts from before the fence, and
/// the promotion is not ordered before it expires.
///
/// An instance that is cut off from the store and from most others stops proving primaries before a
/// voter that the others don't reach counts as ended there.
async fn query_group<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>) {
    let Some(known) = group.stored_record() else {
        return;
    };
    let Some((leader, term)) = group.primary() else {
        return;
    };
    let members = group.members();
    let sent = Boot.now();
    let replicas = group.quorum_replicas(sent);
    let confirmed = adopt::confirmed_at(node, group);
    if !quorum::accepts_members(confirmed, node.peers.connectivity(), sent) {
        group.note_isolated(sent.since(confirmed));
        return;
    }
    let (others, source) = match quorum::accepts_majority(confirmed, group.proof(), sent) {
        true => (quorum::needed(replicas), ProofSource::Majority),
        false => (replicas, ProofSource::Unanimity),
    };
    if others == 0 {
        return;
    }
    let is_voter = |member: &Member| known.record.is_voter(&member.upstream.id);
    let confirmed =
        probe::confirm_primary::<E::Protocol>(&members, &leader, term, others, is_voter);
    let is_confirmed = confirmed.await;
    let is_extended = source == ProofSource::Unanimity || group.proof().covers(Boot.now());
    if is_confirmed && is_extended {
        group.extend_proof(known.revision, source, sent, node.settings.proof);
    }
}
