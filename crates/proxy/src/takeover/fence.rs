//! Fences a group and chooses its next primary.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::future::{join_all, join3};
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

/// Time for which a replica's position is remembered as a lower bound for the next primary.
pub(super) const POSITION_MEMORY: Duration = Duration::from_secs(30);

/// Number of times that a replica without a free slot is asked whether it still holds.
const MAX_HOLD_QUERIES: u32 = 4;

/// Time that replicas may take to receive the rest of a demoted primary's log.
pub(super) const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// The members that were fenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fenced {
    /// The old primary.
    Primary,
    /// Enough replicas that no majority with the old primary is left.
    Majority,
    /// Too few replicas.
    Partial,
}

/// The next primary.
#[derive(Debug)]
pub(super) enum Choice {
    /// An upstream has to be promoted.
    Candidate {
        /// The upstream to promote.
        member: Rc<Member>,
        /// The term that it is to lead.
        next: Term,
        /// The members that were fenced.
        fenced: Fenced,
        /// The replicas that were fenced.
        informed: Vec<Rc<Member>>,
    },
    /// The upstream already leads this term.
    Leads(Rc<Member>, Term),
}

/// Demotes the old primary if it can be reached, pauses the replicas, and chooses the next
/// primary.
///
/// A primary that was only unreachable for a while keeps its term, provided that no order to
/// promote another member can be in flight: no other member leads, and no log is further than
/// the primary's own. An instance that resumes a stalled replacement can't know whether an
/// order was given, and therefore always promotes.
pub(super) async fn fence<E: Edge>(
    node: &Node<E>,
    group: &Rc<Group>,
    old: &Record,
    reason: Reason,
) -> Option<Choice> {
    let members = group.members();
    let is_old = |m: &&Rc<Member>| *m.upstream.id == *old.upstream;
    let others: Vec<_> = members.iter().filter(|m| !is_old(m)).cloned().collect();
    let primary = members.iter().find(is_old);
    // A failing primary isn't waited for here. It is asked again before the order. Behind an order
    // it may lead a newer term.
    let is_asked = |primary: &Member| !primary.is_failing() || reason == Reason::Stuck;
    let primary_reply = async {
        match primary {
            Some(primary) if is_asked(primary) => probe::status::<E::Protocol>(primary).await,
            _ => Answer::Silent,
        }
    };
    let (replies, primary_reply, absent) = join3(
        probe::status_of_all::<E::Protocol>(&others),
        primary_reply,
        probe::status_of_absent(node, group, group.absent_to_ask(Boot.now())),
    )
    .await;
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
        && reason.is_uncertain()
        && status.leads
        && status.term == old.term
    {
        return Some(Choice::Leads(Rc::clone(primary), old.term));
    }
    // Replicas may follow an upstream that was promoted by an order of a lost instance, and that
    // isn't seen here.
    let absent_replies = absent.iter().map(|(_, reply)| reply);
    let known = replies.iter().chain(absent_replies);
    let known = known.filter_map(|reply| reply.status());
    let next = known.map(|s| s.term).fold(old.term, Term::max).next();
    let mut last = None;
    if let (Some(primary), Answer::Status(_)) = (primary, primary_reply) {
        let demote = Command::Demote(next);
        let reply = probe::order::<E::Protocol>(primary, &demote, probe::STATUS_TIMEOUT).await;
        if let Answer::Status(status) = reply
            && reason != Reason::Deposed
            && !status.leads
        {
            last = Some(status.received);
            catch_up::<E>(&others, status.received).await;
        }
    }
    // A voter without an entry that answers is fenced like the others, and isn't promoted.
    let answers = absent.iter().filter(|(_, reply)| *reply != Answer::Silent);
    let answering = answers.map(|(member, _)| member).filter(|m| !is_old(m));
    let others: Vec<_> = others.iter().chain(answering).cloned().collect();
    let replies = probe::order_all::<E::Protocol>(&others, &Command::Pause(next)).await;
    let now = Boot.now();
    let left = group.left_voters(now);
    let is_over = left > 0 || group.left_for(&old.upstream, now).is_some();
    let is_listed = |member: &Member| group.member(&member.upstream.id).is_some();
    let excludes = |member: &Member| {
        is_listed(member) && (last.is_some() || is_over || group.is_voter(member))
    };
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
            excludes: excludes(member),
        });
    }
    let answered = candidates.len();
    let listed = others.iter().filter(|member| is_listed(member)).count();
    let replicas = listed + group.unlisted_voters(now);
    if let (Some(primary), Some(received)) = (primary, last)
        && reason != Reason::Leaving
    {
        candidates.push(choose::Candidate {
            upstream: &primary.upstream.id,
            received,
            stays: primary.readiness.get() == Readiness::Ready,
            excludes: true,
        });
    }
    if !is_safe(node, group, &candidates, (answered, replicas), last) {
        return None;
    }
    let best = choose::best(&candidates, sync(node, group))?;
    log::info!(service = &*group.service, upstream = best, candidates:?, last:?; "replica chosen");
    let replicas = group.quorum_replicas(now);
    let voters = informed.iter().filter(|member| group.is_voter(member));
    let fenced = match last {
        Some(_) => Fenced::Primary,
        None if quorum::prevents_majority(voters.count() + left, replicas) => Fenced::Majority,
        None => Fenced::Partial,
    };
    Some(Choice::Candidate {
        member: group.member(best)?,
        next,
        fenced,
        informed,
    })
}

/// Returns true if no instance can have proved the old primary since the fence: `member`, the
/// chosen replica, and enough of the `informed` replicas still hold for a later term than that
/// of `old`.
///
/// A demoted primary that restarts may lead its old term again: as long as no other member was
/// promoted, it comes back in its old role. A replica that restarts forgets that it holds. An
/// instance without contact with the store could then prove the old primary through that replica,
/// between the fence and the order. A replica that still holds at the end has held all the time.
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
    let now = Boot.now();
    let voting = informed.iter().zip(&held);
    let voting = voting.filter(|(replica, held)| **held && group.is_voter(replica));
    let left = group.left_voters(now);
    let prevents = quorum::prevents_majority(voting.count() + left, group.quorum_replicas(now));
    let excludes =
        left > 0 || group.left_for(&old.upstream, now).is_some() || group.is_voter(member);
    let enough = match fenced {
        Fenced::Primary => prevents && excludes || is_demoted::<E>(group, old).await,
        Fenced::Majority => prevents,
        Fenced::Partial => true,
    };
    chosen_holds && enough
}

/// Returns true if the old primary answers that it doesn't lead.
async fn is_demoted<E: Edge>(group: &Group, old: &Record) -> bool {
    let Some(primary) = group.member(&old.upstream) else {
        return false;
    };
    let status = probe::status::<E::Protocol>(&primary).await.status();
    status.is_some_and(|status| !status.leads)
}

/// Returns true if `member` holds for a later term than `term`, or leads.
async fn holds<E: Edge>(member: &Rc<Member>, term: Term) -> bool {
    for _ in 0..MAX_HOLD_QUERIES {
        match probe::status::<E::Protocol>(member).await {
            Answer::Status(status) => {
                return status.held > term || status.term > term || status.leads;
            }
            Answer::Full => sleep(POLL_INTERVAL).await,
            Answer::Refused(_) | Answer::Silent => return false,
        }
    }
    false
}

/// Number of replicas that hold a commit when it is acknowledged.
pub(super) fn sync<E: Edge>(node: &Node<E>, group: &Group) -> usize {
    let catalog = node.catalog();
    catalog.services.get(&group.service).map_or(0, |s| s.sync)
}

/// Returns true if the furthest of the candidates is certain to have every commit that was
/// acknowledged under the service's durability setting. `answered` of at least `replicas` have
/// answered.
pub(super) fn is_safe<E: Edge>(
    node: &Node<E>,
    group: &Group,
    candidates: &[choose::Candidate<'_>],
    (answered, replicas): (usize, usize),
    last: Option<Position>,
) -> bool {
    let sync = sync(node, group);
    let furthest = candidates.iter().map(|c| c.received).max();
    let Some(furthest) = furthest else {
        return false;
    };
    if last.is_some_and(|last| furthest >= last) || sync == 0 {
        return true;
    }
    let now = Boot.now();
    let listed = group.replica_count(now, LIST_MEMORY);
    let voting = group.quorum_replicas(now);
    let remaining = voting.saturating_sub(group.left_voters(now));
    let replicas = replicas.max(listed).max(remaining);
    let seen = group.furthest(now, POSITION_MEMORY);
    choose::holds_all_commits(answered, replicas, sync) && seen.is_none_or(|seen| furthest >= seen)
}

/// Returns the member that leads a newer term than `term`, if any.
pub(super) fn leader(members: &[Rc<Member>], replies: &[Answer], term: Term) -> Option<Choice> {
    let leaders = members.iter().zip(replies).filter_map(|(member, reply)| {
        let status = reply.status()?;
        (status.leads && status.term > term).then_some((status.term, member))
    });
    let (term, member) = leaders.max_by_key(|(term, _)| *term)?;
    Some(Choice::Leads(Rc::clone(member), term))
}

/// Waits until a replica has received all of a demoted primary's log, up to
/// [`CATCH_UP_TIMEOUT`].
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
