//! Replacing a primary.
//!
//! [`due`] tells when, [`right`] who may, [`record`] what the store is told, [`fence`]
//! who is stopped and who leads next; here the steps are put together.

mod due;
mod fence;
mod lock;
mod record;

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::future::join;
use lead::{Phase, Record, proof};
use model::Term;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    counted,
    edge::{Edge, Fault, Orders},
    group::{Group, StoredRecord},
    member::Member,
    node::Node,
    probe,
    proof_lease::UNANIMITY_AFTER,
};
use due::{RANK_DELAY, Reason, due};
use fence::{Choice, Fenced, fence, still_holds};
pub(crate) use lock::RESTORE_GRACE;
use lock::{LOCK_TTL, Lock, claim, renew, write_lock};
use record::{announce, end_lease, record_primary};
/// How often primaries are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long whoever has the right keeps it without anything to do: where a zone is cut off,
/// others tell it one by one of primaries that fail.
const LOCK_LINGER: Duration = Duration::from_secs(1);

/// How long an instance leaves the store alone that asked for the right while another one
/// has it. That one is told what this one sees, and acts for it.
const HELD_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);

/// The pause between two looks at an upstream that is to lead.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How long a promotion may take to show.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Looks after all primaries until the process ends.
///
/// One instance at a time gives orders, for all groups, under one fence. So the
/// fences of calls that arrive never fall, whichever group they are for.
pub async fn run<E: Edge>(node: Rc<Node<E>>) {
    let mut held: Option<Rc<Lock>> = None;
    let mut last_used = Boot.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(lock) = held.take_if(|lock| !lock.holds()) {
            log::warn!(fence = lock.token; "the right to give orders ran out");
        }
        node.has_right.set(held.is_some());
        let due: Vec<_> = node
            .active()
            .into_iter()
            .filter_map(|group| Some((due(&node, &group, held.is_some())?, group)))
            .filter(|(_, group)| !group.replacing.get())
            .collect();
        if let Some(lock) = &held {
            if !due.is_empty() || lock.active.get() > 0 {
                last_used = Boot.now();
            }
            let is_idle = last_used + LOCK_LINGER < Boot.now();
            let is_old = Boot.now() + LOCK_TTL * 3 / 4 > lock.until.get();
            if is_idle || node.is_stopping() && lock.active.get() == 0 {
                let _ = write_lock(&node, lock.revision.get(), false).await;
                held = None;
                continue;
            }
            if is_old {
                renew(&node, lock).await;
            }
        }
        if due.is_empty() || node.is_stopping() {
            continue;
        }
        if held.is_none() {
            held = match claim(&node).await {
                Ok(lock) => Some(Rc::new(lock)),
                Err(failed) => {
                    log::debug!(failed:?; "no right to give orders");
                    let rest = match failed {
                        Failed::Held => HELD_RETRY_DELAY,
                        _ => RANK_DELAY / 2,
                    };
                    sleep(rest).await;
                    None
                }
            };
        }
        let Some(lock) = &held else {
            continue;
        };
        for (reason, group) in due {
            group.replacing.set(true);
            lock.active.set(lock.active.get() + 1);
            let (node, lock) = (Rc::clone(&node), Rc::clone(lock));
            spawn_local(async move {
                log::info!(service = &*group.service, reason:?, fence = lock.token; "replacing the primary");
                let ended = replace(&node, &group, &lock, reason).await;
                log::info!(service = &*group.service, ended:?; "replacement over");
                if ended.is_err() {
                    sleep(RANK_DELAY).await;
                }
                group.replacing.set(false);
                lock.active.set(lock.active.get() - 1);
            });
        }
    }
}

/// Notes who has the right to give orders as soon as a group's primary is being replaced:
/// if that instance is lost, the right has run out so long after it was seen first.
pub(crate) fn track_replacement<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>) {
    let changes = |known: &StoredRecord| known.record.phase == Phase::Changing;
    if !group.stored_record().as_ref().is_some_and(changes) {
        return;
    }
    let holders = node.holder_names(&group.service);
    if !holders.contains(&node.settings.name) {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move { lock::observe(&node).await });
}

/// Why a replacement did not come about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Failed {
    #[error("another instance has the right to give orders")]
    Held,
    #[error("another instance was first")]
    Overtaken,
    #[error("the store did not answer")]
    Store(#[from] Fault),
    #[error("the right to give orders ran out")]
    Expired,
}

async fn replace<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    lock: &Lock,
    mut reason: Reason,
) -> Result<(), Failed> {
    let old = group.stored_record().ok_or(Failed::Overtaken)?.record;
    let revision = announce(node, group, lock).await?;
    let ended = end_lease(node, lock).await?;
    while lock.holds() {
        let Some(chosen) = fence(node, group, &old, reason).await else {
            sleep(POLL_INTERVAL * 4).await;
            continue;
        };
        let (member, fenced, informed) = match chosen {
            Choice::Leads(member, term) => {
                return record_primary(node, group, lock, revision, &member, term).await;
            }
            // Somebody may still prove the old primary by a majority of the group.
            Choice::Candidate {
                fenced: Fenced::Partial,
                ..
            } if Boot.now() < ended + UNANIMITY_AFTER => {
                sleep(POLL_INTERVAL * 4).await;
                continue;
            }
            Choice::Candidate {
                member,
                fenced,
                informed,
            } => (member, fenced, informed),
        };
        let lapsed = proof::all_expired_at(Boot.now(), node.settings.proof);
        let wait = lapsed.since(Boot.now());
        let (recovered, ()) = join(
            recovered_primary::<E>(group, &old, reason, wait),
            sleep(wait),
        )
        .await;
        if !lock.holds() {
            break;
        }
        if let Some(primary) = recovered {
            return record_primary(node, group, lock, revision, &primary, old.term).await;
        }
        if !still_holds::<E>(group, &old, &member, fenced, &informed).await {
            log::warn!(service = &*group.service, upstream = &*member.upstream.id; "replica holds no more");
            continue;
        }
        reason = reason.ordered();
        let id = &member.upstream.id;
        let name = &node.settings.name;
        let order = node
            .edge
            .orders()
            .promote(&group.service, id, name, lock.token);
        let ordered = timeout(ORDER_TIMEOUT, order).await;
        node.last_order_at.set(Some(Boot.now()));
        let answer = match &ordered {
            Ok(ordered) => counted::answer(ordered.as_ref().err()),
            Err(_) => "given_up",
        };
        node.metrics.called("promote", answer);
        log::info!(service = &*group.service, upstream = &**id, fence = lock.token, ordered:?; "promote");
        if matches!(ordered, Ok(Err(Fault::Missing | Fault::Refused))) {
            continue;
        }
        if let Some(term) = wait_until_promoted::<E>(&member, old.term).await {
            return record_primary(node, group, lock, revision, &member, term).await;
        }
    }
    Err(Failed::Expired)
}

/// The old primary, if it leads its term again before others' proofs have lapsed
/// and no order may be on its way.
async fn recovered_primary<E: Edge>(
    group: &Group,
    old: &Record,
    reason: Reason,
    wait: Duration,
) -> Option<Rc<Member>> {
    let primary = group.member(&old.upstream)?;
    if !reason.is_doubt() {
        return None;
    }
    sleep(wait.saturating_sub(probe::STATUS_TIMEOUT)).await;
    let status = probe::status::<E::Protocol>(&primary).await.status()?;
    (status.leads && status.term == old.term).then_some(primary)
}

/// Waits until `member` leads a newer term than `old`; that term.
async fn wait_until_promoted<E: Edge>(member: &Rc<Member>, old: Term) -> Option<Term> {
    let deadline = Boot.now() + PROMOTION_TIMEOUT;
    while Boot.now() < deadline {
        if let Some(status) = probe::status::<E::Protocol>(member).await.status()
            && status.leads
            && status.term > old
        {
            return Some(status.term);
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}
