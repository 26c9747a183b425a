//! Brings the holds of replicas in line with the record of their primary.
//!
//! A replacement pauses the replicas until the next term. If it is called off, the order to receive
//! again may be lost: the replica refuses it for want of a slot, or the instance never learns that
//! its record was written. The replica would then receive nothing for good. So the instances that use
//! a group compare the replicas' status with a stable record, after each change of the record and
//! from time to time.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use futures_util::future::join_all;
use lead::{Phase, Record};
use tokio::{task::spawn_local, time::sleep};

use super::{Failed, due::position, lock::Lock, record::verify_written};
use crate::{
    edge::Edge,
    group::Group,
    member::Member,
    message::Command,
    node::Node,
    probe::{self, Answer},
};

/// Interval between looks at which groups are due.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a change of the record at which the first instance checks the replicas. Each further
/// instance waits for as much longer, here and below.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);

/// Pause after a check that some replicas didn't answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Pause after a check that all replicas answered.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Time limit of a status request, for which a replica needs a slot.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// What this instance knows of the holds of a group's replicas.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Holds {
    /// Revision of the record with which they were compared; zero for none.
    revision: u64,
    /// Time of the last comparison.
    checked_at: Instant,
    /// Pause until the next one, for the first instance.
    pause: Duration,
    /// True if a replica holds for a later term than the record's.
    is_outdated: bool,
    /// True while the replicas are asked.
    is_checking: bool,
}

/// Compares the replicas' holds with the records until the process ends.
pub(super) async fn watch<E: Edge>(node: Rc<Node<E>>) {
    loop {
        sleep(LOOK_INTERVAL).await;
        for group in node.active() {
            let now = Boot.now();
            let Some((record, revision)) = stable_record(&group) else {
                continue;
            };
            if !group.is_proof_wanted(now) || !is_check_due(&node, &group, revision, now) {
                continue;
            }
            group.holds.set(Holds {
                is_checking: true,
                ..group.holds.get()
            });
            spawn_local(async move {
                let holds = check::<E>(&group, &record, revision).await;
                group.holds.set(holds);
            });
        }
    }
}

fn stable_record(group: &Group) -> Option<(Record, u64)> {
    let known = group.stored_record()?;
    let is_stable = known.record.phase == Phase::Stable && !group.replacing.get();
    is_stable.then_some((known.record, known.revision))
}

fn is_check_due<E: Edge>(node: &Node<E>, group: &Group, revision: u64, now: Instant) -> bool {
    let holds = group.holds.get();
    if holds.is_checking {
        return false;
    }
    let (since, pause) = match holds.revision == revision {
        true => (holds.checked_at, holds.pause),
        false => (group.record_learnt_at.get(), FIRST_CHECK_DELAY),
    };
    // The position is computed last, as that ranks all instances.
    since + pause <= now && since + pause * (position(node, &group.service) + 1) <= now
}

async fn check<E: Edge>(group: &Group, record: &Record, revision: u64) -> Holds {
    let replicas = replicas(group, record);
    let (reachable, failing): (Vec<_>, Vec<_>) =
        replicas.iter().partition(|replica| !replica.is_failing());
    let status = |replica| probe::order::<E::Protocol>(replica, &Command::Status, STATUS_TIMEOUT);
    let answers = join_all(reachable.iter().map(|replica| status(replica))).await;
    let is_complete = failing.is_empty() && answers.iter().all(|a| matches!(a, Answer::Status(_)));
    for (replica, answer) in reachable.iter().zip(&answers) {
        if let Some(status) = answer.status().filter(|_| is_outdated(answer, record)) {
            log::warn!(
                service = &*group.service, upstream = &*replica.upstream.id,
                held = status.held.0, term = record.term.0;
                "replica holds for a term that isn't being prepared"
            );
        }
    }
    Holds {
        revision,
        checked_at: Boot.now(),
        pause: match is_complete {
            true => CHECK_INTERVAL,
            false => RETRY_DELAY,
        },
        is_outdated: answers.iter().any(|answer| is_outdated(answer, record)),
        is_checking: false,
    }
}

/// Returns true if the replica holds for a later term than the record's, and knows no later one.
fn is_outdated(answer: &Answer, record: &Record) -> bool {
    let status = answer.status();
    status.is_some_and(|status| status.held > record.term && status.term <= record.term)
}

fn replicas(group: &Group, record: &Record) -> Vec<Rc<Member>> {
    let is_replica = |member: &Rc<Member>| *member.upstream.id != *record.upstream;
    group.members().into_iter().filter(is_replica).collect()
}

/// Returns true if replicas of the group have to be told to receive again.
pub(super) fn is_release_due(group: &Group) -> bool {
    let holds = group.holds.get();
    let revision = stable_record(group).map(|(_, revision)| revision);
    holds.is_outdated && revision == Some(holds.revision)
}

/// Orders the replicas that hold for a later term than the record's to receive again.
///
/// The order would undo the fence of a replacement that goes on. Only the holder of the lock begins
/// one, so the record is read once the lock is held.
pub(super) async fn release<E: Edge>(
    node: &Node<E>,
    group: &Group,
    lock: &Lock,
) -> Result<(), Failed> {
    let known = group.stored_record().ok_or(Failed::Overtaken)?;
    verify_written(node, group, &known.record).await?;
    let record = known.record;
    if record.phase != Phase::Stable {
        return Err(Failed::Overtaken);
    }
    let replicas = replicas(group, &record);
    let answers = probe::status_of_all::<E::Protocol>(&replicas).await;
    let holding = replicas.into_iter().zip(&answers);
    let holding = holding.filter(|(_, answer)| is_outdated(answer, &record));
    let holding: Vec<_> = holding.map(|(replica, _)| replica).collect();
    if !lock.holds() {
        return Err(Failed::Expired);
    }
    let answers = probe::order_all::<E::Protocol>(&holding, &Command::Resume).await;
    for (replica, answer) in holding.iter().zip(&answers) {
        log::info!(service = &*group.service, upstream = &*replica.upstream.id, answer:?; "replica told to receive again");
    }
    group.holds.set(Holds {
        checked_at: Boot.now(),
        pause: RETRY_DELAY,
        is_outdated: false,
        ..group.holds.get()
    });
    Ok(())
}
