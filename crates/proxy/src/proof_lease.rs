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
    control::{self, apply_record, record_key},
    edge::{Change, Edge, Fault, Items, Store, Swap, Swapped},
    freshness,
    group::{Group, LIST_MEMORY},
    node::Node,
    peers::{self, heartbeat::StoreContact},
    probe, proofs,
    relay::{self, Source},
};
pub(crate) use adopt::adopt_proof;
pub use lease::{Lease, era_of};
pub(crate) use recovery::restore_record;
use recovery::write_missing;

/// How long the store may take to answer.
const CALL: Duration = Duration::from_millis(700);

/// How long an era lasts without a renewal.
const ERA: Duration = Duration::from_secs(60);

/// How long the store may be silent to a relay until it is asked: whether it is heard
/// decides who the relays are.
const QUIET: Duration = Duration::from_millis(900);

/// The shortest pause between two renewals. It makes a proof that much older, of the
/// 600 ms that it lasts; without it a relay renewed once for each who asks, 250 times a
/// second in a fleet of 195 instances.
const PACE: Duration = Duration::from_millis(120);

/// How old a proof may be that is passed on. Two hops of it, and the pause until the next one
/// is asked for, leave a third of the 600 ms that a proof lasts.
const YOUNG: Duration = Duration::from_millis(100);

/// How long a relay waits for a reader's answer before it asks the store as well: some hops
/// between zones, and a turn of a busy processor.
const HEDGE: Duration = Duration::from_millis(60);

/// The shortest pause between two rounds.
const GAP: Duration = Duration::from_millis(20);

/// How long after the store was last heard a majority of a group may prove its
/// primary; then only all of it may.
///
/// While the store is away for all and a zone is cut off, a majority is all there is:
/// without it every database with an upstream in that zone refuses its writes. But a
/// primary that is lost together with a replica is replaced that much later.
pub const UNANIMITY_AFTER: Duration = Duration::from_secs(5);

/// The part of a proof's span, as a divisor, that is left when a group's members are asked.
const LAPSES: u32 = 6;

/// The most time before a missing era or record is written by this instance, so
/// that not all do it at once.
const JITTER_MS: u64 = 60;

/// How often the records are read while some group has none.
const UNKNOWN: Duration = Duration::from_secs(1);

/// How long the store is left alone behind a call that it did not answer, at first and at
/// most.
const REST: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How many renewals may be on their way at once.
const FLIGHT: usize = 3;

/// The key of the era, beside the records so that both are read at once.
pub fn era_key<E: Edge>() -> String {
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
            answer_asked(&node);
            let asked = node.proofs.is_asked() || node.proofs.is_relied_on(now);
            let is_young = is_young(&node, now) && !is_unread(&node);
            match freshness::source(&node) {
                Source::Relay(address) if (wanted || asked) && !is_young => {
                    ask_relay(&node, address);
                }
                Source::Relay(_) => {}
                Source::Store => {
                    let unknown = groups.iter().any(|g| !g.has_record()) && relay::is_reader(&node);
                    if (wanted || asked) && !is_young || unknown {
                        ask_store(&node);
                    }
                }
            }
            // Whether the store hears it decides who the relays are.
            if relay::is_relay(&node) && node.store_answered_at.get() + QUIET < now {
                ask_store(&node);
            }
            let span = node.settings.proof;
            let is_late = node.proved_lease.get().1 + span * 2 / 3 < now;
            let due = |g: &Rc<Group>| g.proof().until() < now + span / 3 && g.is_proof_wanted(now);
            if is_late && groups.iter().any(due) {
                ask_others(&node);
            }
            ask_members(&node, &groups);
        }
        sleep(GAP).await;
        let _ = timeout(pause(&node), node.proof_wanted.notified()).await;
        // Questions of others that come in a row are answered by one renewal.
        let rest = (node.lease_renewed_at.get() + PACE).since(Boot.now());
        sleep(rest).await;
    }
}

/// Whether the era was proved a moment ago.
fn is_young<E: Edge>(node: &Node<E>, now: Instant) -> bool {
    let (era, since) = node.proved_lease.get();
    era != 0 && era == node.proof_lease.get() && since + YOUNG > now
}

/// How long the next renewal may wait: others find a young proof at a relay whenever they
/// ask, and their callers wait for a hop and not for a renewal.
fn pause<E: Edge>(node: &Node<E>) -> Duration {
    let now = Boot.now();
    let (_, since) = node.proved_lease.get();
    let renew = node.settings.renew;
    match node.proofs.is_relied_on(now) {
        true => renew.min((since + YOUNG).since(now)),
        false => renew,
    }
}

/// Answers those who asked for a proof, if this instance has one that is young; whether it
/// has.
pub(crate) fn answer_asked<E: Edge>(node: &Node<E>) -> bool {
    let now = Boot.now();
    if !is_young(node, now) {
        return false;
    }
    if node.proofs.is_asked() {
        let (era, since) = node.proved_lease.get();
        let questions = node.proofs.questions();
        node.proofs.tell_aged(&questions, era, now.since(since));
    }
    true
}

/// Has the relay at `address` renew the era, or asks the store if it does not answer.
fn ask_relay<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) {
    if node.proofs_in_flight.get() >= FLIGHT {
        return;
    }
    node.proofs_in_flight.set(node.proofs_in_flight.get() + 1);
    let node = Rc::clone(node);
    spawn_local(async move {
        let relayed = match relay::is_relay(&node) {
            true => hedged(&node, address).await,
            false => relayed(&node, address).await,
        };
        answer_asked(&node);
        if relayed.is_err() {
            node.silent_relay.set(Some((address, Boot.now())));
            if !is_resting(&node) {
                let _ = asked(&node).await;
            }
        }
        node.proofs_in_flight.set(node.proofs_in_flight.get() - 1);
    });
}

/// Proves by a reader's answer, or by the store's if that comes first: a relay whose
/// followers wait must not wait as long for a reader that is gone as they do for it.
async fn hedged<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let relayed = pin!(relayed(node, address));
    let hedge = pin!(async {
        sleep(HEDGE).await;
        match is_resting(node) {
            true => Err(Fault::Unknown),
            false => asked(node).await.map(|_| ()),
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
async fn relayed<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    let asked = Boot.now();
    let (era, age) = proofs::ask(node, address).await.ok_or(Fault::Unknown)?;
    let sent = asked - age;
    node.heard_from_store(sent);
    node.store_heard();
    let before = node.lease.get();
    if adopt::enter(node, era).await && !is_unread(node) {
        prove_all(node, era, sent);
        return Ok(());
    }
    if node.lease.get() != before && !is_unread(node) {
        // The answer is of an era before.
        node.proof_wanted.notify_one();
        return Ok(());
    }
    let sent = Boot.now();
    let items = peers::records(address).await?;
    node.records_read_at.set(sent);
    learn(node, &items, sent);
    if let Some(lease) = era_of::<E>(&items) {
        enter(node, &items, lease);
    }
    Ok(())
}

/// Renews the era, or reads it and the records if any of them is not known.
fn ask_store<E: Edge>(node: &Rc<Node<E>>) {
    if node.proofs_in_flight.get() >= FLIGHT || is_resting(node) {
        return;
    }
    node.proofs_in_flight.set(node.proofs_in_flight.get() + 1);
    let node = Rc::clone(node);
    spawn_local(async move {
        let questions = node.proofs.questions();
        if let Ok(Some(era)) = asked(&node).await {
            node.proofs.tell(&questions, era);
        }
        node.proofs_in_flight.set(node.proofs_in_flight.get() - 1);
    });
}

/// Asks the store; the era if it was renewed.
async fn asked<E: Edge>(node: &Rc<Node<E>>) -> Result<Option<u64>, Fault> {
    let asked = timeout(CALL, round(node)).await;
    let asked = asked.unwrap_or(Err(Fault::Unknown));
    match asked {
        Ok(_) => answered(node),
        Err(_) => unanswered(node),
    }
    asked
}

/// Notes that the store answered this instance.
pub(crate) fn answered<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(0);
    if node.store_contact() != StoreContact::Reachable {
        // Others that ask in vain try again at once.
        node.store_answered();
        node.peers.announce();
    }
    node.store_answered();
}

/// Notes that it did not.
pub(crate) fn unanswered<E: Edge>(node: &Node<E>) {
    node.renewal_failures.set(node.renewal_failures.get() + 1);
    node.store_failed();
}

/// Whether the store is left alone for now because it did not answer.
///
/// While it was away for 4.4 s, 18 instances asked it 493 times. One that hears it again
/// tells the others.
pub(crate) fn is_resting<E: Edge>(node: &Node<E>) -> bool {
    let failures = node.renewal_failures.get();
    if failures == 0 {
        return false;
    }
    let rest = (REST.0 * 2_u32.saturating_pow(failures - 1)).min(REST.1);
    node.failed_at() + rest > Boot.now()
}

/// Whether some record was not read in the era that is known.
fn is_unread<E: Edge>(node: &Node<E>) -> bool {
    let era = node.proof_lease.get();
    let is_due = node.records_read_at.get() + UNKNOWN < Boot.now();
    let unread = |group: &Rc<Group>| match group.has_record() {
        true => group.proof_lease.get() != era && !adopt::is_read(node, group),
        false => is_due && relay::is_reader(node),
    };
    node.active().iter().any(unread)
}

/// Renews the era, or reads what is to be known for that; the era if it was renewed.
async fn round<E: Edge>(node: &Rc<Node<E>>) -> Result<Option<u64>, Fault> {
    let (era, lease) = (node.proof_lease.get(), node.lease.get());
    let mut is_over = era == 0;
    if era != 0 && !is_unread(node) {
        let sent = Boot.now();
        node.lease_renewed_at.set(sent);
        match lease.renew(node).await {
            Ok(()) => {
                node.heard_from_store(sent);
                prove_all(node, era, sent);
                return Ok(Some(era));
            }
            Err(Fault::Missing) => is_over = true,
            Err(fault) => return Err(fault),
        }
    }
    // Most learn what the first of them began, without another question.
    let jitter = rand::random_range(0..JITTER_MS);
    sleep(Duration::from_millis(jitter)).await;
    let is_newer = adopt::enter_newer(node, lease);
    if (is_newer || !is_over) && !is_unread(node) {
        node.proof_wanted.notify_one();
        return Ok(None);
    }
    let sent = Boot.now();
    let items = node.store().read(&record_key::<E>(""), CALL).await?;
    node.records_read_at.set(sent);
    learn(node, &items, sent);
    let Some(read) = era_of::<E>(&items) else {
        begin(node, 0).await?;
        return Ok(None);
    };
    if read == lease && read.renew(node).await == Err(Fault::Missing) {
        begin(node, read.revision).await?;
        return Ok(None);
    }
    enter(node, &items, read);
    node.proof_wanted.notify_one();
    Ok(None)
}

/// Goes on in the era of `lease`, which was read together with the records in `items`.
fn enter<E: Edge>(node: &Node<E>, items: &Items, lease: Lease) {
    let era = lease.era();
    let revisions: HashMap<_, _> = items.items.iter().map(|i| (&*i.key, i.revision)).collect();
    for group in node.active() {
        let key = record_key::<E>(&group.service);
        if revisions.get(&*key).copied() == group.revision() {
            group.proof_lease.set(era);
        }
    }
    node.proof_lease.set(era);
    node.lease.set(lease);
}

/// Begins the next era, unless somebody else did since its key was read at `revision`.
async fn begin<E: Edge>(node: &Rc<Node<E>>, revision: u64) -> Result<(), Fault> {
    let store = node.store();
    let lease = store.grant(ERA).await?;
    let swap = Swap {
        expected: vec![(era_key::<E>(), revision)],
        puts: vec![(era_key::<E>(), Bytes::from(lease.to_string()), 0)],
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
fn prove_all<E: Edge>(node: &Node<E>, era: u64, sent: Instant) {
    if node.proved_lease.get().0 != era || node.proved_lease.get().1 < sent {
        node.proved_lease.set((era, sent));
    }
    for group in node.active().iter().filter(|g| g.proof_lease.get() == era) {
        if let Some(revision) = group.revision() {
            group.extend_proof(revision, sent, node.settings.proof);
        }
    }
}

/// Takes in records that were read for a question sent at `sent`.
fn learn<E: Edge>(node: &Rc<Node<E>>, items: &Items, sent: Instant) {
    node.heard_from_store(sent);
    for item in &items.items {
        control::apply_change(node, Change::Put(item.clone()));
        if let Some(group) = apply_record(node, item) {
            group.extend_proof(item.revision, sent, node.settings.proof);
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
fn ask_others<E: Edge>(node: &Rc<Node<E>>) {
    if !node.is_asking_relay.replace(true) {
        let node = Rc::clone(node);
        spawn_local(async move {
            let hearing = node.peers.hearing();
            let chosen = hearing.choose(&mut rand::rng()).copied();
            if let Some(address) = chosen {
                let _ = relayed(&node, address).await;
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
fn ask_members<E: Edge>(node: &Rc<Node<E>>, groups: &[Rc<Group>]) {
    let now = Boot.now();
    for group in groups {
        let lapses = || group.proof().until() < now + node.settings.proof / LAPSES;
        if !group.is_proof_wanted(now) || !lapses() {
            continue;
        }
        adopt_proof(node, group);
        if !lapses() || group.asking.replace(true) {
            continue;
        }
        let (node, group) = (Rc::clone(node), Rc::clone(group));
        spawn_local(async move {
            ask_group(&node, &group).await;
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
async fn ask_group<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>) {
    let Some(known) = group.stored_record() else {
        return;
    };
    let Some((leader, term)) = group.primary() else {
        return;
    };
    let members = group.members();
    let sent = Boot.now();
    let replicas = group.replica_count(sent, LIST_MEMORY);
    let lonely = node.store_contact_at.get() + UNANIMITY_AFTER < sent;
    let others = match lonely {
        true => replicas,
        false => quorum::needed(replicas),
    };
    if others == 0 {
        return;
    }
    if probe::confirm_primary::<E::Protocol>(&members, &leader, term, others).await {
        group.extend_proof(known.revision, sent, node.settings.proof);
    }
}
