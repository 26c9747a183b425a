//! Records a replacement in the store: its start, the end of the proof lease, and its result.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use futures_util::future::join_all;
use lead::{Phase, Record};
use model::Term;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{
    Failed, POLL_INTERVAL,
    lock::{Lock, STORE_TIMEOUT},
};
use crate::{
    control::{encode, record_key, takeover_lock_key},
    edge::{Edge, Fault, Store, Swap, Swapped},
    group::Group,
    member::Member,
    message::Command,
    node::Node,
    probe::{self, Answer},
    proof_lease::{UNANIMITY_AFTER, find_lease, lease_key},
};

/// Time for which a former primary is told to follow. After that, an instance without contact
/// with the store proves no primary without the new one.
const DEMOTION_TIMEOUT: Duration = UNANIMITY_AFTER.saturating_add(Duration::from_secs(1));

/// Pause between two orders to follow that an upstream didn't answer.
const DEMOTION_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Marks the primary's record as changing. Returns the new revision.
pub(super) async fn announce<E: Edge>(
    node: &Node<E>,
    group: &Group,
    lock: &Lock,
) -> Result<u64, Failed> {
    let known = group.stored_record().ok_or(Failed::Overtaken)?;
    let record = Record {
        phase: Phase::Changing,
        by: node.settings.name.clone(),
        written: node.store().era(),
        replicas: group.quorum_replicas(Boot.now()),
        ..known.record
    };
    let key = record_key::<E>(&group.service);
    let mut swap = Swap {
        expected: vec![(key.clone(), known.revision), (takeover_lock_key::<E>(), 0)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    while lock.holds() {
        let duty = lock.revision.get();
        swap.expected[1].1 = duty;
        match timeout(STORE_TIMEOUT, node.store().swap(&swap)).await {
            Ok(Ok(Swapped::Done(revision))) => {
                group.update_record(record, revision);
                return Ok(revision);
            }
            // The lock was renewed in the meantime, or an earlier call succeeded without an
            // answer.
            Ok(Ok(_)) if duty != lock.revision.get() => {}
            Ok(Ok(_)) => return verify_written(node, group, &record).await,
            Ok(Err(_)) | Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
    Err(Failed::Expired)
}

/// Notes in the record that `member` is going to be promoted, so that another instance that goes
/// on with the replacement promotes no other. Returns the record's revision.
///
/// The replacement goes on if the store doesn't answer.
pub(super) async fn note_order<E: Edge>(
    node: &Node<E>,
    group: &Group,
    revision: u64,
    member: &Member,
) -> Result<u64, Failed> {
    let known = group.stored_record().ok_or(Failed::Overtaken)?;
    let ordered = Some(member.upstream.id.to_string());
    if known.record.ordered == ordered {
        return Ok(revision);
    }
    let record = Record {
        ordered,
        ..known.record
    };
    let key = record_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    match timeout(STORE_TIMEOUT, node.store().swap(&swap)).await {
        Ok(Ok(Swapped::Done(revision))) => {
            group.update_record(record, revision);
            Ok(revision)
        }
        Ok(Ok(_)) => verify_written(node, group, &record).await,
        Ok(Err(_)) | Err(_) => Ok(revision),
    }
}

/// Returns the record's revision if the record is what this instance tried to write.
pub(super) async fn verify_written<E: Edge>(
    node: &Node<E>,
    group: &Group,
    record: &Record,
) -> Result<u64, Failed> {
    let key = record_key::<E>(&group.service);
    let items = timeout(STORE_TIMEOUT, node.store().read(&key, STORE_TIMEOUT)).await;
    let items = items.map_err(|_| Fault::Unknown)??;
    let item = items.items.iter().find(|item| item.key == key);
    let item = item.ok_or(Failed::Overtaken)?;
    let read: Option<Record> = serde_json::from_slice(&item.value).ok();
    if read.as_ref() != Some(record) {
        return Err(Failed::Overtaken);
    }
    group.update_record(record.clone(), item.revision);
    Ok(item.revision)
}

/// Ends the lease under which proofs were given before the announcement. Returns the time at
/// which the lease had ended.
pub(super) async fn end_lease<E: Edge>(node: &Node<E>, lock: &Lock) -> Result<Instant, Failed> {
    let store = node.store();
    while lock.holds() {
        let items = timeout(STORE_TIMEOUT, store.read(&lease_key::<E>(), STORE_TIMEOUT)).await;
        let Ok(Ok(items)) = items else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let Some(lease) = find_lease::<E>(&items) else {
            return Ok(Boot.now());
        };
        match timeout(STORE_TIMEOUT, store.revoke(lease.id)).await {
            Ok(Ok(()) | Err(Fault::Missing)) => return Ok(Boot.now()),
            _ => sleep(POLL_INTERVAL).await,
        }
    }
    Err(Failed::Expired)
}

/// Records the new primary and makes the other members follow it.
pub(super) async fn record_primary<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    lock: &Lock,
    revision: u64,
    member: &Rc<Member>,
    term: Term,
) -> Result<(), Failed> {
    let old = group.stored_record().map(|known| known.record);
    let kept = old.as_ref().filter(|old| old.term == term);
    let voters = kept.map_or_else(
        || group.voters(&member.upstream.id),
        |old| old.voters.clone(),
    );
    let record = Record {
        term,
        upstream: member.upstream.id.to_string(),
        phase: Phase::Stable,
        by: node.settings.name.clone(),
        written: node.store().era(),
        replicas: group.quorum_replicas(Boot.now()),
        addresses: group.addresses(&voters),
        voters,
        ordered: None,
    };
    // Voters without an entry may have been told to hold.
    let absent = group.absent();
    let key = record_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    loop {
        if !lock.holds() {
            return Err(Failed::Expired);
        }
        match timeout(STORE_TIMEOUT, node.store().swap(&swap)).await {
            Ok(Ok(Swapped::Done(revision))) => {
                group.update_record(record, revision);
                break;
            }
            Ok(Ok(_)) => {
                verify_written(node, group, &record).await?;
                break;
            }
            Ok(Err(_)) | Err(_) => sleep(POLL_INTERVAL * 2).await,
        }
    }
    node.proof_wanted.notify_one();
    let is_unchanged = old.is_some_and(|old| *old.upstream == *member.upstream.id);
    let others: Vec<_> = group
        .members()
        .into_iter()
        .filter(|m| !Rc::ptr_eq(m, member))
        .chain(absent)
        .collect();
    spawn_local(async move {
        if is_unchanged {
            probe::order_all::<E::Protocol>(&others, &Command::Resume).await;
            return;
        }
        join_all(others.iter().map(|m| follow::<E>(m, term))).await;
    });
    Ok(())
}

/// Orders `member` to receive again and to follow the primary of `term`, until it answers or
/// [`DEMOTION_TIMEOUT`] has passed: a former primary that was unreachable goes on leading when
/// it returns.
async fn follow<E: Edge>(member: &Rc<Member>, term: Term) {
    let deadline = Boot.now() + DEMOTION_TIMEOUT;
    probe::order::<E::Protocol>(member, &Command::Resume, probe::STATUS_TIMEOUT).await;
    let order = Command::Demote(term);
    while Boot.now() < deadline {
        let answer = probe::order::<E::Protocol>(member, &order, probe::STATUS_TIMEOUT).await;
        if matches!(answer, Answer::Status(_) | Answer::Refused(_)) {
            return;
        }
        sleep(DEMOTION_RETRY_DELAY).await;
    }
}
