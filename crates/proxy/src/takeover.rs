//! Replaces primaries.
//!
//! `due` decides when a primary has to be replaced, `lock` which instance may do so,
//! `fence` fences the old primary and chooses the next one, and `record` keeps the store up
//! to date. This module runs the steps in order. `holds` finds replicas that were fenced for a
//! replacement which didn't take place.

mod due;
mod fence;
mod holds;
mod lock;
mod record;

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::future::join4;
use lead::{Phase, Record, proof, quorum};
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
    probe::{self, Answer},
};
use due::{RANK_DELAY, Reason, due};
use fence::{Choice, Fenced, fence, still_holds, sync};
pub(crate) use holds::Holds;
pub(crate) use lock::RESTORE_GRACE;
use lock::{LOCK_TTL, Lock, claim, renew, write_lock};
use record::{announce, end_lease, note_order, record_primary};
/// Interval at which the primaries are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an idle holder keeps the lock: if a zone is cut off, peers report the failed
/// primaries one by one.
const LOCK_LINGER: Duration = Duration::from_secs(1);

/// Pause after an attempt to take the lock while another instance holds it. The holder receives
/// this instance's verdicts and acts on them.
const HELD_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Timeout of an order to an upstream.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);

/// Interval at which an upstream that is being promoted is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time that a promotion may take to become visible.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Work that needs the takeover lock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    /// The primary has to be replaced.
    Replace(Reason),
    /// Replicas have to receive again.
    Release,
}

fn due_work<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, has_lock: bool) -> Option<Work> {
    let work = match due(node, group, has_lock) {
        Some(reason) => Some(Work::Replace(reason)),
        None => holds::is_release_due(group).then_some(Work::Release),
    };
    work.filter(|_| !group.replacing.get())
}

async fn carry_out<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, lock: &Lock, work: Work) {
    let service = &*group.service;
    let ended = match work {
        Work::Replace(reason) => {
            log::info!(service, reason:?, fence = lock.token; "replacing the primary");
            let ended = replace(node, group, lock, reason).await;
            log::info!(service, ended:?; "replacement over");
            ended
        }
        Work::Release => holds::release(node, group, lock).await,
    };
    if ended.is_err() {
        sleep(RANK_DELAY).await;
    }
}

/// Replaces failed or leaving primaries until the process ends.
///
/// One instance at a time gives orders, for all groups and with one fencing token, so the
/// tokens of the orders that arrive never decrease, whatever their group.
pub async fn run<E: Edge>(node: Rc<Node<E>>) {
    spawn_local(holds::watch(Rc::clone(&node)));
    let mut held: Option<Rc<Lock>> = None;
    let mut last_used = Boot.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(lock) = held.take_if(|lock| !lock.holds()) {
            log::warn!(fence = lock.token; "takeover lock expired");
        }
        node.holds_takeover_lock.set(held.is_some());
        let due: Vec<_> = node
            .active()
            .into_iter()
            .filter_map(|group| Some((due_work(&node, &group, held.is_some())?, group)))
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
                    log::debug!(failed:?; "takeover lock not taken");
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
        for (work, group) in due {
            group.replacing.set(true);
            lock.active.set(lock.active.get() + 1);
            let (node, lock) = (Rc::clone(&node), Rc::clone(lock));
            spawn_local(async move {
                carry_out(&node, &group, &lock, work).await;
                group.replacing.set(false);
                lock.active.set(lock.active.get() - 1);
            });
        }
    }
}

/// Notes the holder of the takeover lock when a group's primary is being replaced: if the
/// holder is lost, its lock expires a fixed time after it was first seen.
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

/// Reason why a replacement didn't take place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Failed {
    #[error("another instance holds the takeover lock")]
    Held,
    #[error("another instance changed the record or the lock first")]
    Overtaken,
    #[error("the store didn't answer")]
    Store(#[from] Fault),
    #[error("takeover lock expired")]
    Expired,
}

async fn replace<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    lock: &Lock,
    mut reason: Reason,
) -> Result<(), Failed> {
    let old = group.stored_record().ok_or(Failed::Overtaken)?.record;
    // The reason is from before the lock was taken; another instance may have given an order since.
    if old.phase == Phase::Changing {
        reason = reason.ordered();
    }
    let mut revision = announce(node, group, lock).await?;
    let ended = end_lease(node, lock).await?;
    let mut ordered = old.ordered.clone();
    while lock.holds() {
        let Some(chosen) = fence(node, group, &old, reason).await else {
            sleep(POLL_INTERVAL * 4).await;
            continue;
        };
        let (member, next, fenced, informed) = match chosen {
            Choice::Leads(member, term) => {
                let last = ordered.as_deref().and_then(|id| group.member(id));
                let last = last.filter(|last| last.upstream.id != member.upstream.id);
                let Some((member, term)) =
                    last_promoted(node, group, lock, last, (member, term)).await
                else {
                    sleep(POLL_INTERVAL * 4).await;
                    continue;
                };
                return record_primary(node, group, lock, revision, &member, term).await;
            }
            // An instance may still prove the old primary by a majority of the group.
            Choice::Candidate {
                fenced: Fenced::Partial,
                ..
            } if Boot.now() < quorum::majorities_end_at(ended) => {
                sleep(POLL_INTERVAL * 4).await;
                continue;
            }
            Choice::Candidate {
                member,
                next,
                fenced,
                informed,
            } => (member, next, fenced, informed),
        };
        let lapsed = proof::all_expired_at(Boot.now(), node.settings.proof);
        let wait = lapsed.since(Boot.now());
        let ask_absent = async {
            sleep(wait.saturating_sub(probe::STATUS_TIMEOUT)).await;
            let absent = group.absent_to_ask(Boot.now());
            probe::status_of_absent(node, group, absent).await;
        };
        let (recovered, noted, (), ()) = join4(
            recovered_primary::<E>(group, &old, reason, wait),
            note_order(node, group, revision, &member),
            sleep(wait),
            ask_absent,
        )
        .await;
        revision = noted?;
        if !lock.holds() {
            break;
        }
        if let Some(primary) = recovered {
            return record_primary(node, group, lock, revision, &primary, old.term).await;
        }
        if !still_holds::<E>(group, &old, &member, fenced, &informed).await {
            log::warn!(service = &*group.service, upstream = &*member.upstream.id; "replica no longer holds for the next term");
            continue;
        }
        // The queries above may have taken longer than the lock's remaining time.
        if !lock.holds() {
            break;
        }
        reason = reason.ordered();
        ordered = Some(member.upstream.id.to_string());
        if let Promoted::Leads(term) = promote(node, group, lock, next, &member).await {
            return record_primary(node, group, lock, revision, &member, term).await;
        }
    }
    Err(Failed::Expired)
}

/// The old primary, if it is found to lead its term again before the proofs of other instances
/// have expired and while no order can be in flight.
async fn recovered_primary<E: Edge>(
    group: &Group,
    old: &Record,
    reason: Reason,
    wait: Duration,
) -> Option<Rc<Member>> {
    let primary = group.member(&old.upstream)?;
    if !reason.is_uncertain() {
        return None;
    }
    sleep(wait.saturating_sub(probe::STATUS_TIMEOUT)).await;
    let status = probe::status::<E::Protocol>(&primary).await.status()?;
    (status.leads && status.term == old.term).then_some(primary)
}

/// Result of an order to promote an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Promoted {
    /// The upstream leads this term.
    Leads(Term),
    /// The upstream isn't running, so neither this order nor an earlier one takes effect.
    Ended,
    /// This order has no effect.
    Refused,
    /// The order may still take effect.
    Unknown,
}

/// Returns the upstream that was promoted last, where `found` leads a newer term than the
/// record's, and `last` is another one that was noted for an order after it; `None` if it can't be
/// told.
///
/// An earlier order may have promoted `found`. If it were recorded behind a later promotion, commits
/// at a replaced primary would be acknowledged.
async fn last_promoted<E: Edge>(
    node: &Node<E>,
    group: &Group,
    lock: &Lock,
    last: Option<Rc<Member>>,
    found: (Rc<Member>, Term),
) -> Option<(Rc<Member>, Term)> {
    let Some(last) = last else {
        return Some(found);
    };
    let next = found.1.next();
    let promoted = match probe::status::<E::Protocol>(&last).await {
        Answer::Status(status) if status.leads && status.term > found.1 => {
            Promoted::Leads(status.term)
        }
        Answer::Status(_) => Promoted::Ended,
        Answer::Full | Answer::Refused(_) => Promoted::Unknown,
        // Without an answer, its log isn't known to have all commits.
        Answer::Silent if sync(node, group) > 0 || !lock.holds() => Promoted::Unknown,
        Answer::Silent => promote(node, group, lock, next, &last).await,
    };
    match promoted {
        Promoted::Leads(term) => Some((last, term)),
        Promoted::Ended => Some(found),
        Promoted::Refused | Promoted::Unknown => None,
    }
}

/// Orders that `member` leads the term `next`, and waits until it leads that term or a later one.
async fn promote<E: Edge>(
    node: &Node<E>,
    group: &Group,
    lock: &Lock,
    next: Term,
    member: &Rc<Member>,
) -> Promoted {
    let id = &member.upstream.id;
    let name = &node.settings.name;
    let may_send = || lock.holds();
    let order = node
        .edge
        .orders()
        .promote(&group.service, id, name, lock.token, &may_send);
    let ordered = timeout(ORDER_TIMEOUT, order).await;
    node.last_order_at.set(Some(Boot.now()));
    let answer = match &ordered {
        Ok(ordered) => counted::answer(ordered.as_ref().err()),
        Err(_) => "given_up",
    };
    node.metrics.count_call("promote", answer);
    log::info!(service = &*group.service, upstream = &**id, fence = lock.token, ordered:?; "promote");
    match ordered {
        Ok(Err(Fault::Missing)) => return Promoted::Ended,
        Ok(Err(Fault::Refused)) => return Promoted::Refused,
        Ok(_) | Err(_) => {}
    }
    let term = wait_until_promoted::<E>(member, next).await;
    term.map_or(Promoted::Unknown, Promoted::Leads)
}

/// Waits until `member` leads the term `next` or a later one. Returns that term.
async fn wait_until_promoted<E: Edge>(member: &Rc<Member>, next: Term) -> Option<Term> {
    let deadline = Boot.now() + PROMOTION_TIMEOUT;
    while Boot.now() < deadline {
        if let Some(status) = probe::status::<E::Protocol>(member).await.status()
            && status.leads
            && status.term >= next
        {
            return Some(status.term);
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}
