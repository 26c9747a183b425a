//! Stopping a group, and choosing who leads it next.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::future::{join, join_all};
use lead::{Record, choose, quorum};
use model::{Position, Term};
use tokio::time::sleep;

use super::{POLL_INTERVAL, due::Reason};
use crate::{
    catalog::Readiness,
    edge::Edge,
    group::{Group, LIST_MEMORY},
    member::Member,
    message::Command,
    node::Node,
    probe::{self, Answer},
};

/// How long a replica's position is remembered that no other may fall behind.
pub(super) const POSITION_MEMORY: Duration = Duration::from_secs(30);

/// How often a replica that has no room to answer is asked whether it still holds.
const MAX_HOLD_QUERIES: u32 = 4;

/// How long replicas may take to receive the last of a demoted primary.
pub(super) const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Who was told of the next term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fenced {
    /// The old primary.
    Primary,
    /// So many replicas that no majority with the old primary is left.
    Majority,
    /// Too few replicas.
    Partial,
}

/// Who is to lead.
#[derive(Debug)]
pub(super) enum Choice {
    /// An upstream is to be promoted.
    Candidate {
        /// Who is to be promoted.
        member: Rc<Member>,
        /// Who was told of the next term.
        fenced: Fenced,
        /// The replicas among them.
        informed: Vec<Rc<Member>>,
    },
    /// This upstream leads this term already.
    Leads(Rc<Member>, Term),
}

/// Stops the old primary if it can be reached, and the replicas; chooses one.
///
/// A primary that was only out of reach for a while leads on in its term, as long as
/// no order to promote another may be on its way: nobody else leads, and no log is
/// further than its own. Whoever takes over a replacement that stands still can't
/// know that, and promotes in any case.
pub(super) async fn fence<E: Edge>(
    node: &Node<E>,
    group: &Rc<Group>,
    old: &Record,
    reason: Reason,
) -> Option<Choice> {
    let next = old.term.next();
    let members = group.members();
    let is_old = |m: &&Rc<Member>| *m.upstream.id == *old.upstream;
    let others: Vec<_> = members.iter().filter(|m| !is_old(m)).cloned().collect();
    let primary = members.iter().find(is_old);
    // One that fails is asked again before the order; nobody waits for it here.
    let primary_reply = async {
        match primary {
            Some(primary) if !primary.is_failing() => probe::status::<E::Protocol>(primary).await,
            _ => Answer::Silent,
        }
    };
    let (replies, primary_reply) =
        join(probe::status_of_all::<E::Protocol>(&others), primary_reply).await;
    if let Some(leads) = leader(&others, &replies, old.term) {
        return Some(leads);
    }
    if let (Some(primary), Answer::Status(status)) = (primary, primary_reply)
        && status.leads
        && status.term > old.term
    {
        return Some(Choice::Leads(Rc::clone(primary), status.term));
    }
    if let (Some(primary), Answer::Status(status)) = (primary, primary_reply)
        && reason.is_doubt()
        && status.leads
        && status.term == old.term
    {
        return Some(Choice::Leads(Rc::clone(primary), old.term));
    }
    let mut last = None;
    if let (Some(primary), Answer::Status(_)) = (primary, primary_reply) {
        let demote = Command::Demote(next);
        let reply = probe::order::<E::Protocol>(primary, &demote, probe::STATUS_TIMEOUT).await;
        if let Answer::Status(status) = reply
            && reason != Reason::Deposed
        {
            last = Some(status.received);
            catch_up::<E>(&others, status.received).await;
        }
    }
    let replies = probe::order_all::<E::Protocol>(&others, &Command::Pause(next)).await;
    let mut candidates = Vec::new();
    let mut informed = Vec::new();
    for (member, reply) in others.iter().zip(&replies) {
        let Some(status) = reply.status() else {
            continue;
        };
        group.note_received(status.received);
        informed.push(Rc::clone(member));
        candidates.push(choose::Candidate {
            upstream: &member.upstream.id,
            received: status.received,
            stays: member.readiness.get() == Readiness::Ready,
        });
    }
    let answered = candidates.len();
    if let (Some(primary), Some(received)) = (primary, last)
        && reason != Reason::Leaving
    {
        candidates.push(choose::Candidate {
            upstream: &primary.upstream.id,
            received,
            stays: primary.readiness.get() == Readiness::Ready,
        });
    }
    if !is_safe(node, group, &candidates, answered, last) {
        return None;
    }
    let best = choose::best(&candidates)?;
    log::info!(service = &*group.service, upstream = best, candidates:?, last:?; "replica chosen");
    let replicas = group.replica_count(Boot.now(), LIST_MEMORY);
    let fenced = match last {
        Some(_) => Fenced::Primary,
        None if quorum::prevents_majority(answered, replicas) => Fenced::Majority,
        None => Fenced::Partial,
    };
    Some(Choice::Candidate {
        member: group.member(best)?,
        fenced,
        informed,
    })
}

/// Whether nobody can have proved the old primary since the fence: `member`, which is to
/// lead, and enough of those `told` hold for the term behind `old` still.
///
/// A replica that starts again forgets what it was told. An instance without the store
/// could then prove the old primary with it, after the fence and before the order. One
/// that holds at the end has held all the time.
pub(super) async fn still_holds<E: Edge>(
    group: &Group,
    old: &Record,
    member: &Rc<Member>,
    fenced: Fenced,
    informed: &[Rc<Member>],
) -> bool {
    let queries = informed.iter().map(|replica| holds::<E>(replica, old.term));
    let held = join_all(queries).await;
    let leads = |replica: &Rc<Member>| Rc::ptr_eq(replica, member);
    let chosen = informed.iter().position(leads);
    let chosen_holds = chosen.is_none_or(|at| held[at]);
    let holding = held.iter().filter(|held| **held).count();
    let replicas = group.replica_count(Boot.now(), LIST_MEMORY);
    let enough = fenced != Fenced::Majority || quorum::prevents_majority(holding, replicas);
    chosen_holds && enough
}

/// Whether `member` holds for a later term than `term`, or leads one.
async fn holds<E: Edge>(member: &Rc<Member>, term: Term) -> bool {
    for _ in 0..MAX_HOLD_QUERIES {
        match probe::status::<E::Protocol>(member).await {
            Answer::Status(status) => return status.held > term || status.leads,
            Answer::Full => sleep(POLL_INTERVAL).await,
            Answer::Refused(_) | Answer::Silent => return false,
        }
    }
    false
}

/// Whether the furthest of the candidates surely holds every acknowledged commit
/// that the service's durability speaks for.
pub(super) fn is_safe<E: Edge>(
    node: &Node<E>,
    group: &Group,
    candidates: &[choose::Candidate<'_>],
    answered: usize,
    last: Option<Position>,
) -> bool {
    let catalog = node.catalog();
    let sync = catalog.services.get(&group.service).map_or(0, |s| s.sync);
    let furthest = candidates.iter().map(|c| c.received).max();
    let Some(furthest) = furthest else {
        return false;
    };
    if last.is_some_and(|last| furthest >= last) || sync == 0 {
        return true;
    }
    let now = Boot.now();
    let replicas = group.replica_count(now, LIST_MEMORY);
    let seen = group.furthest(now, POSITION_MEMORY);
    choose::holds_all_commits(answered, replicas, sync) && seen.is_none_or(|seen| furthest >= seen)
}

/// The member that leads a newer term than `term`, if one does.
pub(super) fn leader(members: &[Rc<Member>], replies: &[Answer], term: Term) -> Option<Choice> {
    let leaders = members.iter().zip(replies).filter_map(|(member, reply)| {
        let status = reply.status()?;
        (status.leads && status.term > term).then_some((status.term, member))
    });
    let (term, member) = leaders.max_by_key(|(term, _)| *term)?;
    Some(Choice::Leads(Rc::clone(member), term))
}

/// Waits a little until a replica has received all of a demoted primary's log.
pub(super) async fn catch_up<E: Edge>(others: &[Rc<Member>], last: Position) {
    let deadline = Boot.now() + CATCH_UP_TIMEOUT;
    while Boot.now() < deadline {
        let replies = probe::status_of_all::<E::Protocol>(others).await;
        let received = replies.iter().filter_map(|reply| reply.status());
        if received
            .map(|status| status.received)
            .any(|position| position >= last)
        {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
