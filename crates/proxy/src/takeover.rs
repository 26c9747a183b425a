//! Replacing a primary.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use lead::{Phase, Record, choose, proof};
use model::{Position, Term};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    catalog::Stay,
    control::{duty_key, encode, lead_key},
    edge::{Edge, Fault, Orders, Store, Swap, Swapped},
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
const RIGHT: Duration = Duration::from_millis(4_000);

/// How long before the right ends no order is given any more.
const LAST: Duration = Duration::from_millis(1_000);

/// How long an order may take.
const ORDER: Duration = Duration::from_millis(700);

/// How long a call to the store may take.
const CALL: Duration = Duration::from_millis(500);

/// The pause between two looks at an upstream that is to lead.
const POLL: Duration = Duration::from_millis(25);

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

/// A right that this instance holds.
#[derive(Debug, Clone, Copy)]
struct Right {
    fence: u64,
    until: Instant,
    duty: u64,
    record: u64,
}

/// Looks after all primaries until the process ends.
pub async fn oversee<E: Edge>(node: Rc<Node<E>>) {
    let mut seen = Seen::default();
    loop {
        sleep(LOOK).await;
        if node.is_stopping() {
            continue;
        }
        for group in node.groups() {
            let Some(reason) = due(&node, &group) else {
                continue;
            };
            log::info!(service = &*group.service, reason:?; "replacing the primary");
            let ended = replace(&node, &group, &mut seen).await;
            log::info!(service = &*group.service, ended:?; "replacement over");
            if ended.is_err() {
                sleep(RANK).await;
            }
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

/// Why a group's primary is to be replaced by this instance now, if it is.
fn due<E: Edge>(node: &Node<E>, group: &Group) -> Option<Reason> {
    let known = group.known()?;
    let now = Boot.now();
    let service = &*group.service;
    if known.record.phase == Phase::Changing {
        let since = group.known_at.get();
        let wait = RIGHT + RANK * rank(node, service, &node.peers.names());
        return (since + wait < now).then_some(Reason::Stuck);
    }
    let Some(primary) = group.member(&known.record.upstream) else {
        let gone = group.unlisted.get();
        let wait = RANK * (2 + rank(node, service, &node.peers.names()));
        return gone.is_some_and(|at| at + wait < now).then_some(Reason::Gone);
    };
    if primary.stay.get() == Stay::Draining {
        let wait = RANK * rank(node, service, &node.peers.names());
        let since = group.leaving_since(now);
        return (since + wait < now).then_some(Reason::Leaving);
    }
    if !primary.is_failing() {
        return None;
    }
    let since = primary.health().failing_since?;
    let own = primary.verdict(now);
    let (tally, failing) = node.peers.tally(service, known.record.term, own);
    if !tally.gone(node.peers.count(), now.since(since)) {
        return None;
    }
    let wait = RANK * rank(node, service, &failing);
    (since + wait <= now).then_some(Reason::Gone)
}

/// How many of `others` come before this instance for `service`.
fn rank<E: Edge>(node: &Node<E>, service: &str, others: &[String]) -> u32 {
    let weight = |name: &str| xxh3_64(format!("{name} {service}").as_bytes());
    let own = weight(&node.settings.name);
    let before = others.iter().filter(|name| weight(name) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Which right of another instance was seen, and since when.
#[derive(Debug, Default)]
struct Seen {
    revision: u64,
    since: Instant,
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
    seen: &mut Seen,
) -> Result<(), Failed> {
    let right = claim(node, group, seen).await?;
    let Some(known) = group.known() else {
        return Err(Failed::Overtaken);
    };
    let old = known.record;
    loop {
        if Boot.now() + LAST > right.until {
            return Err(Failed::Expired);
        }
        let Some(chosen) = fence::<E>(group, &old).await else {
            sleep(POLL * 4).await;
            continue;
        };
        if let Chosen::Leads(member, term) = &chosen {
            return settle(node, group, right, member, *term).await;
        }
        let Chosen::Candidate(member) = chosen else {
            continue;
        };
        let lapsed = proof::all_lapsed(Boot.now(), node.settings.proof);
        sleep(lapsed.since(Boot.now())).await;
        if Boot.now() + LAST > right.until {
            return Err(Failed::Expired);
        }
        let id = &member.upstream.id;
        let name = &node.settings.name;
        let order = node.edge.orders().promote(&group.service, id, name, right.fence);
        let ordered = timeout(ORDER, order).await;
        log::info!(service = &*group.service, upstream = &**id, fence = right.fence, ordered:?; "promote");
        if matches!(ordered, Ok(Err(Fault::Missing | Fault::Refused))) {
            continue;
        }
        if let Some(term) = shown::<E>(&member, old.term).await {
            return settle(node, group, right, &member, term).await;
        }
    }
}

/// Takes the right to give orders, and announces the replacement, in one change.
async fn claim<E: Edge>(
    node: &Node<E>,
    group: &Group,
    seen: &mut Seen,
) -> Result<Right, Failed> {
    let store = node.edge.store();
    let (duty_key, lead_key) = (duty_key::<E>(), lead_key::<E>(&group.service));
    let duties = timeout(CALL, store.read(&duty_key)).await;
    let duties = duties.map_err(|_| Fault::Unknown)??;
    let item = duties.items.iter().find(|item| item.key == duty_key);
    let revision = item.map_or(0, |item| item.revision);
    let duty = item.and_then(|item| serde_json::from_slice::<Duty>(&item.value).ok());
    if duty.as_ref().is_some_and(|duty| duty.held) {
        let now = Boot.now();
        if seen.revision != revision {
            *seen = Seen {
                revision,
                since: now,
            };
        }
        let own = duty.is_some_and(|duty| duty.life == node.life);
        if !own && seen.since + RIGHT + LAST > now {
            return Err(Failed::Held);
        }
    }
    let known = group.known().ok_or(Failed::Overtaken)?;
    let record = Record {
        phase: Phase::Changing,
        by: node.settings.name.clone(),
        ..known.record
    };
    let held = Duty {
        holder: node.settings.name.clone(),
        life: node.life,
        held: true,
    };
    let swap = Swap {
        expected: vec![(duty_key.clone(), revision), (lead_key.clone(), known.revision)],
        puts: vec![
            (duty_key, encode(&held), 0),
            (lead_key, encode(&record), 0),
        ],
        deletes: Vec::new(),
    };
    let sent = Boot.now();
    match timeout(CALL, store.swap(&swap)).await {
        Ok(Ok(Swapped::Done(revision))) => {
            group.learn(record, revision);
            Ok(Right {
                fence: revision,
                until: sent + RIGHT,
                duty: revision,
                record: revision,
            })
        }
        Ok(Ok(Swapped::Conflict | Swapped::NoLease)) => Err(Failed::Overtaken),
        Ok(Err(fault)) => Err(fault.into()),
        Err(_) => Err(Fault::Unknown.into()),
    }
}

/// Who is to lead.
#[derive(Debug)]
enum Chosen {
    /// This replica.
    Candidate(Rc<Member>),
    /// This upstream leads a newer term already.
    Leads(Rc<Member>, Term),
}

/// Stops the old primary if it can be reached, and the replicas; chooses one.
async fn fence<E: Edge>(group: &Rc<Group>, old: &Record) -> Option<Chosen> {
    let next = old.term.next();
    let members = group.members();
    let primary = members.iter().find(|m| *m.upstream.id == *old.upstream).cloned();
    let others: Vec<_> = members
        .into_iter()
        .filter(|m| *m.upstream.id != *old.upstream)
        .collect();
    let said = probe::all::<E::Protocol>(&others).await;
    if let Some(leads) = leader(&others, &said, old.term) {
        return Some(leads);
    }
    if let Some(primary) = primary {
        let demote = Command::Demote(next);
        let said = probe::order::<E::Protocol>(&primary, &demote, probe::ANSWER).await;
        if let Said::Status(status) = said {
            catch_up::<E>(&others, status.received).await;
        }
    }
    let said = probe::each::<E::Protocol>(&others, &Command::Pause(next)).await;
    let mut candidates = Vec::new();
    for (member, said) in others.iter().zip(&said) {
        let Some(status) = said.status() else {
            continue;
        };
        candidates.push(choose::Candidate {
            upstream: &member.upstream.id,
            received: status.received,
            draining: member.stay.get() == Stay::Draining,
        });
    }
    let best = choose::best(&candidates)?;
    group.member(best).map(Chosen::Candidate)
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
        if received.map(|status| status.received).any(|position| position >= last) {
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

/// Records the new primary, gives the right back, and tells the others to follow.
async fn settle<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    right: Right,
    member: &Rc<Member>,
    term: Term,
) -> Result<(), Failed> {
    let record = Record {
        term,
        upstream: member.upstream.id.to_string(),
        phase: Phase::Stable,
        by: node.settings.name.clone(),
    };
    let free = Duty {
        holder: node.settings.name.clone(),
        life: node.life,
        held: false,
    };
    let (duty_key, lead_key) = (duty_key::<E>(), lead_key::<E>(&group.service));
    let swap = Swap {
        expected: vec![(duty_key.clone(), right.duty), (lead_key.clone(), right.record)],
        puts: vec![(duty_key, encode(&free), 0), (lead_key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    let mut unknown = false;
    loop {
        if Boot.now() > right.until {
            return Err(Failed::Expired);
        }
        match timeout(CALL, node.edge.store().swap(&swap)).await {
            Ok(Ok(Swapped::Done(revision))) => {
                group.learn(record, revision);
                break;
            }
            Ok(Ok(_)) if unknown => break,
            Ok(Ok(_)) => return Err(Failed::Overtaken),
            Ok(Err(_)) | Err(_) => {
                unknown = true;
                sleep(POLL * 2).await;
            }
        }
    }
    node.prove.notify_one();
    let others: Vec<_> = group
        .members()
        .into_iter()
        .filter(|m| !Rc::ptr_eq(m, member))
        .collect();
    tokio::task::spawn_local(async move {
        probe::each::<E::Protocol>(&others, &Command::Resume).await;
        probe::each::<E::Protocol>(&others, &Command::Demote(term)).await;
    });
    Ok(())
}
