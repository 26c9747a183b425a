//! Replacing a primary.

use std::{cell::Cell, rc::Rc, time::Duration};

use clock::{Boot, Instant};
use futures_util::future::join;
use lead::{Phase, Record, choose, proof};
use model::{Position, Term};
use serde::{Deserialize, Serialize};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    catalog::Stay,
    control::{duty_key, encode, lead_key},
    edge::{Edge, Fault, Orders, Store, Swap, Swapped},
    era::{LONELY, MEMORY, era_key, era_of},
    group::{Group, Member},
    message::Command,
    node::Node,
    probe::{self, Said},
};

/// How often primaries are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// How much later each further instance tries.
const RANK: Duration = Duration::from_millis(200);

/// How long the right to give orders lasts.
const RIGHT: Duration = Duration::from_millis(2_000);

/// How long before the right ends no order is given any more.
const LAST: Duration = Duration::from_millis(600);

/// How lately the store must have answered whoever wants to replace a primary.
const STORED: Duration = Duration::from_millis(700);

/// How long an upstream may be missing in the list before it counts as gone.
const UNLISTED: Duration = Duration::from_millis(400);

/// How long an order may take.
const ORDER: Duration = Duration::from_millis(450);

/// How long a call to the store may take.
const CALL: Duration = Duration::from_millis(500);

/// The pause between two looks at an upstream that is to lead.
const POLL: Duration = Duration::from_millis(25);

/// How long a replica's position is remembered that no other may fall behind.
const SEEN: Duration = Duration::from_secs(30);

/// How long replicas may take to receive the last of a demoted primary.
const CATCH_UP: Duration = Duration::from_millis(400);

/// How long a promotion may take to show.
const SHOW: Duration = Duration::from_millis(2_000);

/// The right to give orders, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Duty {
    holder: String,
    life: u64,
    held: bool,
}

/// The right to give orders, while this instance holds it.
#[derive(Debug)]
struct Right {
    fence: u64,
    revision: Cell<u64>,
    until: Cell<Instant>,
    active: Cell<usize>,
}

impl Right {
    /// Whether an order may still be given: it arrives, or is reset, well before
    /// the right ends.
    fn holds(&self) -> bool {
        Boot.now() + LAST < self.until.get()
    }
}

/// Looks after all primaries until the process ends.
///
/// One instance at a time gives orders, for all groups, under one fence. So the
/// fences of calls that arrive never fall, whichever group they are for.
pub async fn oversee<E: Edge>(node: Rc<Node<E>>) {
    let mut held: Option<Rc<Right>> = None;
    loop {
        sleep(LOOK).await;
        if let Some(right) = held.take_if(|right| !right.holds()) {
            log::warn!(fence = right.fence; "the right to give orders ran out");
        }
        let due: Vec<_> = node
            .groups()
            .into_iter()
            .filter_map(|group| Some((due(&node, &group, held.is_some())?, group)))
            .filter(|(_, group)| !group.replacing.get())
            .collect();
        if let Some(right) = &held {
            let idle = due.is_empty() && right.active.get() == 0;
            let old = Boot.now() + RIGHT * 3 / 4 > right.until.get();
            if idle || node.is_stopping() && right.active.get() == 0 {
                let _ = write_duty(&node, right.revision.get(), false).await;
                held = None;
                continue;
            }
            if old {
                renew(&node, right).await;
            }
        }
        if due.is_empty() || node.is_stopping() {
            continue;
        }
        if held.is_none() {
            held = match claim(&node).await {
                Ok(right) => Some(Rc::new(right)),
                Err(failed) => {
                    log::debug!(failed:?; "no right to give orders");
                    sleep(RANK / 2).await;
                    None
                }
            };
        }
        let Some(right) = &held else {
            continue;
        };
        for (reason, group) in due {
            group.replacing.set(true);
            right.active.set(right.active.get() + 1);
            let (node, right) = (Rc::clone(&node), Rc::clone(right));
            spawn_local(async move {
                log::info!(service = &*group.service, reason:?, fence = right.fence; "replacing the primary");
                let ended = replace(&node, &group, &right, reason).await;
                log::info!(service = &*group.service, ended:?; "replacement over");
                if ended.is_err() {
                    sleep(RANK).await;
                }
                group.replacing.set(false);
                right.active.set(right.active.get() - 1);
            });
        }
    }
}

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Most see it fail.
    Gone,
    /// It is about to leave.
    Leaving,
    /// A replacement stands still.
    Stuck,
}

impl Reason {
    /// The reason once an order was given: its effect may still come.
    fn ordered(self) -> Self {
        match self {
            Self::Gone | Self::Stuck => Self::Stuck,
            Self::Leaving => Self::Leaving,
        }
    }
}

/// Why a group's primary is to be replaced by this instance now, if it is.
fn due<E: Edge>(node: &Node<E>, group: &Group, holds: bool) -> Option<Reason> {
    let known = group.known()?;
    let now = Boot.now();
    let service = &*group.service;
    let delay = |others: &[String]| match holds {
        true => Duration::ZERO,
        false => RANK * rank(node, service, others),
    };
    if known.record.phase == Phase::Changing {
        let since = group.known_at.get();
        let wait = match holds {
            true => Duration::ZERO,
            false => RIGHT / 4 + delay(&node.peers.names()) / 2,
        };
        return (since + wait <= now).then_some(Reason::Stuck);
    }
    let Some(primary) = group.member(&known.record.upstream) else {
        let gone = group.unlisted.get();
        let wait = UNLISTED + delay(&node.peers.names());
        return gone
            .is_some_and(|at| at + wait < now)
            .then_some(Reason::Gone);
    };
    if primary.stay.get() == Stay::Draining {
        let wait = delay(&node.peers.names());
        let since = group.leaving_since(now);
        return (since + wait < now).then_some(Reason::Leaving);
    }
    // What was seen while this instance itself was cut off says nothing.
    if !primary.is_failing() || node.stored.get() + STORED < now {
        return None;
    }
    let since = primary.health().failing_since?;
    let own = primary.verdict(now);
    let (tally, failing) = node.peers.tally(service, known.record.term, own);
    // A zone that was cut off hears its own first when it is back.
    let failing_for = now.since(since.max(node.stored_since.get()));
    if !tally.gone(node.peers.count(), failing_for) {
        return None;
    }
    (since + delay(&failing) <= now).then_some(Reason::Gone)
}

/// How many of `others` come before this instance for `service`.
fn rank<E: Edge>(node: &Node<E>, service: &str, others: &[String]) -> u32 {
    let weight = |name: &str| xxh3_64(format!("{name} {service}").as_bytes());
    let own = weight(&node.settings.name);
    let before = others.iter().filter(|name| weight(name) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
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

/// Takes the right to give orders.
async fn claim<E: Edge>(node: &Node<E>) -> Result<Right, Failed> {
    let store = node.edge.store();
    let key = duty_key::<E>();
    let duties = timeout(CALL, store.read(&key)).await;
    let duties = duties.map_err(|_| Fault::Unknown)??;
    let item = duties.items.iter().find(|item| item.key == key);
    let revision = item.map_or(0, |item| item.revision);
    let duty = item.and_then(|item| serde_json::from_slice::<Duty>(&item.value).ok());
    if duty.as_ref().is_some_and(|duty| duty.held) {
        let now = Boot.now();
        if node.duty.get().0 != revision {
            node.duty.set((revision, now));
        }
        let (_, seen) = node.duty.get();
        let own = duty.is_some_and(|duty| duty.life == node.life);
        if !own && seen + RIGHT + RIGHT / 20 > now {
            return Err(Failed::Held);
        }
    }
    let (revision, until) = write_duty(node, revision, true).await?;
    Ok(Right {
        fence: revision,
        revision: Cell::new(revision),
        until: Cell::new(until),
        active: Cell::new(0),
    })
}

/// Keeps the right; it is lost if somebody else has it.
async fn renew<E: Edge>(node: &Node<E>, right: &Right) {
    match write_duty(node, right.revision.get(), true).await {
        Ok((revision, until)) => {
            right.revision.set(revision);
            right.until.set(until);
        }
        Err(Failed::Overtaken) => right.until.set(Instant::ZERO),
        Err(_) => {}
    }
}

/// Writes who has the right; its revision, and when it ends.
async fn write_duty<E: Edge>(
    node: &Node<E>,
    revision: u64,
    held: bool,
) -> Result<(u64, Instant), Failed> {
    let duty = Duty {
        holder: node.settings.name.clone(),
        life: node.life,
        held,
    };
    let swap = Swap {
        expected: vec![(duty_key::<E>(), revision)],
        puts: vec![(duty_key::<E>(), encode(&duty), 0)],
        deletes: Vec::new(),
    };
    let sent = Boot.now();
    match timeout(CALL, node.edge.store().swap(&swap)).await {
        Ok(Ok(Swapped::Done(revision))) => Ok((revision, sent + RIGHT)),
        Ok(Ok(_)) => Err(Failed::Overtaken),
        Ok(Err(fault)) => Err(fault.into()),
        Err(_) => Err(Fault::Unknown.into()),
    }
}

async fn replace<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    right: &Right,
    mut reason: Reason,
) -> Result<(), Failed> {
    let old = group.known().ok_or(Failed::Overtaken)?.record;
    let revision = announce(node, group, right).await?;
    let ended = end_era(node, right).await?;
    while right.holds() {
        let Some(chosen) = fence(node, group, &old, reason).await else {
            sleep(POLL * 4).await;
            continue;
        };
        let member = match chosen {
            Chosen::Leads(member, term) => {
                return settle(node, group, right, revision, &member, term).await;
            }
            // Somebody may still prove the old primary by a majority of the group.
            Chosen::Candidate(_, Fenced::InPart) if Boot.now() < ended + LONELY => {
                sleep(POLL * 4).await;
                continue;
            }
            Chosen::Candidate(member, _) => member,
        };
        let lapsed = proof::all_lapsed(Boot.now(), node.settings.proof);
        let wait = lapsed.since(Boot.now());
        let (back, ()) = join(is_back::<E>(group, &old, reason, wait), sleep(wait)).await;
        if !right.holds() {
            break;
        }
        if let Some(primary) = back {
            return settle(node, group, right, revision, &primary, old.term).await;
        }
        reason = reason.ordered();
        let id = &member.upstream.id;
        let name = &node.settings.name;
        let order = node
            .edge
            .orders()
            .promote(&group.service, id, name, right.fence);
        let ordered = timeout(ORDER, order).await;
        log::info!(service = &*group.service, upstream = &**id, fence = right.fence, ordered:?; "promote");
        if matches!(ordered, Ok(Err(Fault::Missing | Fault::Refused))) {
            continue;
        }
        if let Some(term) = shown::<E>(&member, old.term).await {
            return settle(node, group, right, revision, &member, term).await;
        }
    }
    Err(Failed::Expired)
}

/// The old primary, if it leads its term again before others' proofs have lapsed
/// and no order may be on its way.
async fn is_back<E: Edge>(
    group: &Group,
    old: &Record,
    reason: Reason,
    wait: Duration,
) -> Option<Rc<Member>> {
    let primary = group.member(&old.upstream)?;
    if reason != Reason::Gone {
        return None;
    }
    sleep(wait.saturating_sub(probe::ANSWER)).await;
    let status = probe::status::<E::Protocol>(&primary).await.status()?;
    (status.leads && status.term == old.term).then_some(primary)
}

/// Writes into the record that the primary is being replaced; the new revision.
async fn announce<E: Edge>(node: &Node<E>, group: &Group, right: &Right) -> Result<u64, Failed> {
    let known = group.known().ok_or(Failed::Overtaken)?;
    let record = Record {
        phase: Phase::Changing,
        by: node.settings.name.clone(),
        ..known.record
    };
    let key = lead_key::<E>(&group.service);
    let mut swap = Swap {
        expected: vec![(key.clone(), known.revision), (duty_key::<E>(), 0)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    while right.holds() {
        let duty = right.revision.get();
        swap.expected[1].1 = duty;
        match timeout(CALL, node.edge.store().swap(&swap)).await {
            Ok(Ok(Swapped::Done(revision))) => {
                group.learn(record, revision);
                return Ok(revision);
            }
            // The right was renewed meanwhile, or an unanswered try was done.
            Ok(Ok(_)) if duty != right.revision.get() => {}
            Ok(Ok(_)) => return announced(node, group, &record).await,
            Ok(Err(_)) | Err(_) => sleep(POLL).await,
        }
    }
    Err(Failed::Expired)
}

/// Whether the record says just what this instance tried to write.
async fn announced<E: Edge>(node: &Node<E>, group: &Group, record: &Record) -> Result<u64, Failed> {
    let key = lead_key::<E>(&group.service);
    let items = timeout(CALL, node.edge.store().read(&key)).await;
    let items = items.map_err(|_| Fault::Unknown)??;
    let item = items.items.iter().find(|item| item.key == key);
    let item = item.ok_or(Failed::Overtaken)?;
    let read: Option<Record> = serde_json::from_slice(&item.value).ok();
    if read.as_ref() != Some(record) {
        return Err(Failed::Overtaken);
    }
    group.learn(record.clone(), item.revision);
    Ok(item.revision)
}

/// Ends the era in which proofs were given before the announcement; when that was.
async fn end_era<E: Edge>(node: &Node<E>, right: &Right) -> Result<Instant, Failed> {
    let store = node.edge.store();
    while right.holds() {
        let items = timeout(CALL, store.read(&era_key::<E>())).await;
        let Ok(Ok(items)) = items else {
            sleep(POLL).await;
            continue;
        };
        let Some((lease, _)) = era_of::<E>(&items) else {
            return Ok(Boot.now());
        };
        match timeout(CALL, store.end(lease)).await {
            Ok(Ok(()) | Err(Fault::Missing)) => return Ok(Boot.now()),
            _ => sleep(POLL).await,
        }
    }
    Err(Failed::Expired)
}

/// Who was told of the next term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fenced {
    /// The old primary, or all replicas: no majority with the old primary is left.
    Wholly,
    /// Some replicas.
    InPart,
}

/// Who is to lead.
#[derive(Debug)]
enum Chosen {
    /// This upstream is to be promoted.
    Candidate(Rc<Member>, Fenced),
    /// This upstream leads this term already.
    Leads(Rc<Member>, Term),
}

/// Stops the old primary if it can be reached, and the replicas; chooses one.
///
/// A primary that was only out of reach for a while leads on in its term, as long as
/// no order to promote another may be on its way: nobody else leads, and no log is
/// further than its own. Whoever takes over a replacement that stands still can't
/// know that, and promotes in any case.
async fn fence<E: Edge>(
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
            _ => Said::Silent,
        }
    };
    let (said, old_said) = join(probe::all::<E::Protocol>(&others), old_said).await;
    if let Some(leads) = leader(&others, &said, old.term) {
        return Some(leads);
    }
    if let (Some(primary), Said::Status(status)) = (primary, old_said)
        && status.leads
        && status.term > old.term
    {
        return Some(Chosen::Leads(Rc::clone(primary), status.term));
    }
    if let (Some(primary), Said::Status(status)) = (primary, old_said)
        && reason == Reason::Gone
        && status.leads
        && status.term == old.term
    {
        return Some(Chosen::Leads(Rc::clone(primary), old.term));
    }
    let mut last = None;
    if let (Some(primary), Said::Status(_)) = (primary, old_said) {
        let demote = Command::Demote(next);
        let said = probe::order::<E::Protocol>(primary, &demote, probe::ANSWER).await;
        if let Said::Status(status) = said {
            last = Some(status.received);
            catch_up::<E>(&others, status.received).await;
        }
    }
    let said = probe::each::<E::Protocol>(&others, &Command::Pause(next)).await;
    let mut candidates = Vec::new();
    for (member, said) in others.iter().zip(&said) {
        let Some(status) = said.status() else {
            continue;
        };
        group.received(status.received);
        candidates.push(choose::Candidate {
            upstream: &member.upstream.id,
            received: status.received,
            stays: member.stay.get() == Stay::Ready,
        });
    }
    let answered = candidates.len();
    if let (Some(primary), Some(received)) = (primary, last)
        && reason != Reason::Leaving
    {
        candidates.push(choose::Candidate {
            upstream: &primary.upstream.id,
            received,
            stays: primary.stay.get() == Stay::Ready,
        });
    }
    if !is_safe(node, group, &candidates, answered, last) {
        return None;
    }
    let best = choose::best(&candidates)?;
    log::info!(service = &*group.service, upstream = best, candidates:?, last:?; "replica chosen");
    let replicas = group.replicas(Boot.now(), MEMORY);
    let fenced = match last.is_some() || answered >= replicas {
        true => Fenced::Wholly,
        false => Fenced::InPart,
    };
    let member = group.member(best)?;
    Some(Chosen::Candidate(member, fenced))
}

/// Whether the furthest of the candidates surely holds every acknowledged commit
/// that the service's durability speaks for.
fn is_safe<E: Edge>(
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
    let replicas = group.replicas(now, MEMORY);
    let seen = group.furthest(now, SEEN);
    choose::enough(answered, replicas, sync) && seen.is_none_or(|seen| furthest >= seen)
}

/// The member that leads a newer term than `term`, if one does.
fn leader(members: &[Rc<Member>], said: &[Said], term: Term) -> Option<Chosen> {
    let leaders = members.iter().zip(said).filter_map(|(member, said)| {
        let status = said.status()?;
        (status.leads && status.term > term).then_some((status.term, member))
    });
    let (term, member) = leaders.max_by_key(|(term, _)| *term)?;
    Some(Chosen::Leads(Rc::clone(member), term))
}

/// Waits a little until a replica has received all of a demoted primary's log.
async fn catch_up<E: Edge>(others: &[Rc<Member>], last: Position) {
    let deadline = Boot.now() + CATCH_UP;
    while Boot.now() < deadline {
        let said = probe::all::<E::Protocol>(others).await;
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

/// Waits until `member` leads a newer term than `old`; that term.
async fn shown<E: Edge>(member: &Rc<Member>, old: Term) -> Option<Term> {
    let deadline = Boot.now() + SHOW;
    while Boot.now() < deadline {
        if let Some(status) = probe::status::<E::Protocol>(member).await.status()
            && status.leads
            && status.term > old
        {
            return Some(status.term);
        }
        sleep(POLL).await;
    }
    None
}

/// Records the new primary, and tells the others to follow.
async fn settle<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    right: &Right,
    revision: u64,
    member: &Rc<Member>,
    term: Term,
) -> Result<(), Failed> {
    let old = group.known().map(|known| known.record.upstream);
    let record = Record {
        term,
        upstream: member.upstream.id.to_string(),
        phase: Phase::Stable,
        by: node.settings.name.clone(),
    };
    let key = lead_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    loop {
        if !right.holds() {
            return Err(Failed::Expired);
        }
        match timeout(CALL, node.edge.store().swap(&swap)).await {
            Ok(Ok(Swapped::Done(revision))) => {
                group.learn(record, revision);
                break;
            }
            Ok(Ok(_)) => {
                announced(node, group, &record).await?;
                break;
            }
            Ok(Err(_)) | Err(_) => sleep(POLL * 2).await,
        }
    }
    node.prove.notify_one();
    let again = old.as_deref() == Some(&*member.upstream.id);
    let others: Vec<_> = group
        .members()
        .into_iter()
        .filter(|m| !Rc::ptr_eq(m, member))
        .collect();
    spawn_local(async move {
        probe::each::<E::Protocol>(&others, &Command::Resume).await;
        if again {
            return;
        }
        probe::each::<E::Protocol>(&others, &Command::Demote(term)).await;
    });
    Ok(())
}
