//! Stopping a group, and choosing who leads it next.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::future::{join, join_all};
use lead::{Record, choose, quorum};
use model::{Position, Term};
use tokio::time::sleep;

use super::{POLL, due::Reason};
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
pub(super) const SEEN: Duration = Duration::from_secs(30);

/// How often a replica that has no room to answer is asked whether it still holds.
const HOLD_ASKED: u32 = 4;

/// How long replicas may take to receive the last of a demoted primary.
pub(super) const CATCH_UP: Duration = Duration::from_millis(400);

/// Who was told of the next term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fenced {
    /// The old primary.
    Primary,
    /// So many replicas that no majority with the old primary is left.
    Majority,
    /// Too few replicas.
    InPart,
}

/// Who is to lead.
#[derive(Debug)]
pub(super) enum Chosen {
    /// An upstream is to be promoted.
    Candidate {
        /// Who is to be promoted.
        member: Rc<Member>,
        /// Who was told of the next term.
        fenced: Fenced,
        /// The replicas among them.
        told: Vec<Rc<Member>>,
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
) -> Option<Chosen> {
    let next = old.term.next();
    let members = group.members();
    let is_old = |m: &&Rc<Member>| *m.upstream.id == *old.upstream;
    let others: Vec<_> = members.iter().filter(|m| !is_old(m)).cloned().collect();
    let primary = members.iter().find(is_old);
    // One that fails is asked again before the order; nobody waits for it here.
    let old_said = async {
        match primary {
            Some(primary) if !primary.is_failing() => probe::status::<E::Protocol>(primary).await,
            _ => Answer::Silent,
        }
    };
    let (said, old_said) = join(probe::status_of_all::<E::Protocol>(&others), old_said).await;
    if let Some(leads) = leader(&others, &said, old.term) {
        return Some(leads);
    }
    if let (Some(primary), Answer::Status(status)) = (primary, old_said)
        && status.leads
        && status.term > old.term
    {
        return Some(Chosen::Leads(Rc::clone(primary), status.term));
    }
    if let (Some(primary), Answer::Status(status)) = (primary, old_said)
        && reason.is_doubt()
        && status.leads
        && status.term == old.term
    {
        return Some(Chosen::Leads(Rc::clone(primary), old.term));
    }
    let mut last = None;
    if let (Some(primary), Answer::Status(_)) = (primary, old_said) {
        let demote = Command::Demote(next);
        let said = probe::order::<E::Protocol>(primary, &demote, probe::STATUS_TIMEOUT).await;
        if let Answer::Status(status) = said
            && reason != Reason::Deposed
        {
            last = Some(status.received);
            catch_up::<E>(&others, status.received).await;
        }
    }
    let said = probe::order_all::<E::Protocol>(&others, &Command::Pause(next)).await;
    let mut candidates = Vec::new();
    let mut told = Vec::new();
    for (member, said) in others.iter().zip(&said) {
        let Some(status) = said.status() else {
            continue;
        };
        group.note_received(status.received);
        told.push(Rc::clone(member));
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
        None => Fenced::InPart,
    };
    Some(Chosen::Candidate {
        member: group.member(best)?,
        fenced,
        told,
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
    told: &[Rc<Member>],
) -> bool {
    let asked = told.iter().map(|one| holds::<E>(one, old.term));
    let held = join_all(asked).await;
    let leads = |one: &Rc<Member>| Rc::ptr_eq(one, member);
    let chosen = told.iter().position(leads);
    let chosen_holds = chosen.is_none_or(|at| held[at]);
    let holding = held.iter().filter(|held| **held).count();
    let replicas = group.replica_count(Boot.now(), LIST_MEMORY);
    let enough = fenced != Fenced::Majority || quorum::prevents_majority(holding, replicas);
    chosen_holds && enough
}

/// Whether `member` holds for a later term than `term`, or leads one.
async fn holds<E: Edge>(member: &Rc<Member>, term: Term) -> bool {
    for _ in 0..HOLD_ASKED {
        match probe::status::<E::Protocol>(member).await {
            Answer::Status(status) => return status.held > term || status.leads,
            Answer::Full => sleep(POLL).await,
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
    let seen = group.furthest(now, SEEN);
    choose::holds_all_commits(answered, replicas, sync) && seen.is_none_or(|seen| furthest >= seen)
}

/// The member that leads a newer term than `term`, if one does.
pub(super) fn leader(members: &[Rc<Member>], said: &[Answer], term: Term) -> Option<Chosen> {
    let leaders = members.iter().zip(said).filter_map(|(member, said)| {
        let status = said.status()?;
        (status.leads && status.term > term).then_some((status.term, member))
    });
    let (term, member) = leaders.max_by_key(|(term, _)| *term)?;
    Some(Chosen::Leads(Rc::clone(member), term))
}

/// Waits a little until a replica has received all of a demoted primary's log.
pub(super) async fn catch_up<E: Edge>(others: &[Rc<Member>], last: Position) {
    let deadline = Boot.now() + CATCH_UP;
    while Boot.now() < deadline {
        let said = probe::status_of_all::<E::Protocol>(others).await;
        let received = said.iter().filter_map(|said| said.status());
        if received
            .map(|status| status.received)
            .any(|position| position >= last)
        {
            return;
        }
        sleep(POLL).await;
    }
}
