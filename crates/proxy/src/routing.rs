//! Where a read may run.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use model::Position;

use crate::{
    catalog::{Freshness, Readiness, Route},
    edge::Edge,
    group::Group,
    member::Member,
    message::Access,
    node::{Node, Proved},
    run::Ask,
};

/// What a way to an upstream in another zone weighs against a wait there.
const FAR: Duration = Duration::from_millis(12);

/// What the primary weighs more, since only it can run writes.
const LEADER: Duration = Duration::from_millis(25);

/// Where a read may run.
#[derive(Debug)]
pub struct Target {
    /// The upstream.
    pub member: Rc<Member>,
    /// The position that its log must have reached.
    pub floor: Option<Position>,
    /// Whether it runs there as on the primary.
    pub leads: bool,
}

/// The lowest position that a read on `route` may show, if it can be told.
fn floor(group: &Group, route: &Route, own: Option<Position>, at: Instant) -> Option<Position> {
    match route.freshness {
        Freshness::Current => None,
        Freshness::Bounded(age) => group.floor(at, age),
        Freshness::OwnWrites(age) => {
            let floor = group.floor(at, age)?;
            let current = group.primary().map(|(_, term)| term);
            match own {
                // A commit of an earlier term may be on no log any more.
                Some(own) if current.is_some_and(|term| own.term < term) => None,
                Some(own) => Some(floor.max(own)),
                None => Some(floor),
            }
        }
    }
}

/// How soon a statement is likely to be answered by `member`.
fn cost(member: &Member, zone: &str) -> Duration {
    let queued = member.running.get() + member.pool.waiting();
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    let mut cost = member.latency().saturating_mul(queued.saturating_add(1));
    if member.upstream.zone != zone {
        cost += FAR;
    }
    cost
}

/// Where a read runs next; `None` if nobody may run it now.
pub async fn choose_target<E: Edge>(
    node: &Node<E>,
    group: &Group,
    ask: &Ask<'_>,
    tried: &[Rc<str>],
    wait: Duration,
) -> Option<Target> {
    if let Some(floor) = floor(group, ask.route, ask.own, ask.at) {
        let now = Boot.now();
        let primary = group
            .primary()
            .map(|(member, _)| Rc::clone(&member.upstream.id));
        let leads = |member: &Member| primary.as_deref() == Some(&*member.upstream.id);
        let usable = |member: &&Rc<Member>| {
            let fit = member.readiness.get() == Readiness::Ready;
            let held = member.is_lagging(now) && !leads(member);
            fit && !held && !member.is_failing() && !tried.contains(&member.upstream.id)
        };
        let members = group.members();
        let best = members.iter().filter(usable).min_by_key(|member| {
            let cost = cost(member, &node.settings.zone);
            match leads(member) {
                true => cost + LEADER,
                false => cost,
            }
        });
        if let Some(member) = best {
            let leads = leads(member);
            return Some(Target {
                member: Rc::clone(member),
                floor: Some(floor),
                leads,
            });
        }
    }
    match node.proved(group, ask.at, wait).await {
        Proved::Primary(member) => Some(Target {
            member,
            floor: None,
            leads: true,
        }),
        Proved::Nobody => None,
    }
}

/// Whether a transaction on this route has to run on a proved primary.
pub fn needs_primary(route: &Route, access: Access) -> bool {
    access == Access::Write || route.freshness == Freshness::Current
}
