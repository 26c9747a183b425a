//! Choice of the upstream that runs a read.

mod by_log;

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use lead::floor;
use model::Position;

use crate::{
    catalog::{Freshness, Readiness, Route},
    edge::Edge,
    group::Group,
    member::Member,
    message::{Access, Code, Reply},
    metrics::Read,
    node::{Node, Proved},
    outcome::Origin,
    run::Context,
};

/// Cost of an upstream in another zone, comparable to time in its queue.
const REMOTE_ZONE_COST: Duration = Duration::from_millis(12);

/// Extra cost of the primary, since only the primary can run writes.
const PRIMARY_COST: Duration = Duration::from_millis(25);

/// The upstream that runs a read, and the conditions for it.
#[derive(Debug)]
pub struct Target {
    /// The upstream.
    pub member: Rc<Member>,
    /// Position that the upstream's log must have reached.
    pub floor: Option<Position>,
    /// True if the upstream is the primary.
    pub is_primary: bool,
}

impl Target {
    /// Returns what the log tells of the target.
    pub fn origin(&self) -> Origin {
        Origin {
            upstream: Rc::clone(&self.member.upstream.id),
            floor: self.floor,
        }
    }

    /// Returns true if the target is a replica that refused a read for its log.
    pub fn is_lagging(&self, reply: &Reply) -> bool {
        let is_refused = matches!(&reply.verdict, Err(failure) if failure.code == Code::Lagging);
        is_refused && !self.is_primary
    }
}

/// Returns true if the position in a refusal tells how far the target's log is behind the floor, so
/// that the same read may be sent there again later, and other reads now.
pub fn is_retried<E: Edge>(node: &Node<E>, target: &Target, reply: &Reply) -> bool {
    let is_behind = match (target.floor, reply.position) {
        (Some(floor), Some(position)) => !position.covers(floor),
        _ => false,
    };
    node.features.get().replica_reads && target.is_lagging(reply) && is_behind
}

/// Returns the lowest position that a read on `route` may show, if it is known.
fn required(group: &Group, route: &Route, own: Option<Position>, at: Instant) -> Option<Position> {
    match route.freshness {
        Freshness::Current => None,
        Freshness::Bounded(age) => group.floor(at, age),
        Freshness::OwnWrites(age) => {
            let floor = group.floor(at, age)?;
            let current = group.primary().map(|(_, term)| term);
            floor::raise(floor, own, current)
        }
    }
}

/// Estimates the time within which `member` answers a statement.
fn expected_time(member: &Member, zone: &str) -> Duration {
    let queued = member.running.get() + member.pool.waiting();
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    let mut expected_time = member.latency().saturating_mul(queued.saturating_add(1));
    if member.upstream.zone != zone {
        expected_time += REMOTE_ZONE_COST;
    }
    expected_time
}

/// Chooses the upstream for a read; `None` if none may run it now.
pub async fn choose_target<E: Edge>(
    node: &Node<E>,
    group: &Group,
    context: &Context<'_>,
    tried: &[Rc<str>],
    wait: Duration,
) -> Option<Target> {
    let target = choose(node, group, context, tried, wait).await;
    if let Some(target) = &target {
        let read = match target.is_primary {
            true => Read::Primary,
            false => Read::Replica,
        };
        node.metrics.count_read(context.route, read);
    }
    target
}

async fn choose<E: Edge>(
    node: &Node<E>,
    group: &Group,
    context: &Context<'_>,
    tried: &[Rc<str>],
    wait: Duration,
) -> Option<Target> {
    let since = Boot.now();
    let floor = required(
        group,
        context.route,
        context.last_commit,
        context.arrived_at,
    );
    if let Some(floor) = floor {
        let target = match node.features.get().replica_reads {
            true => by_log::choose_target(node, group, context, tried, (floor, since + wait)).await,
            false => by_queue(node, group, tried, floor),
        };
        if target.is_some() {
            return target;
        }
    }
    let left = wait.saturating_sub(Boot.now().since(since));
    match node.proved(group, context.arrived_at, left).await {
        Proved::Primary(member) => Some(Target {
            member,
            floor: None,
            is_primary: true,
        }),
        Proved::NoPrimary => None,
    }
}

/// Returns true if `member` may run a read of this instance's now.
fn is_usable(member: &Member, is_primary: bool, tried: &[Rc<str>], now: Instant) -> bool {
    let is_ready = member.readiness.get() == Readiness::Ready;
    let is_held_back = member.is_lagging(now) && !is_primary;
    is_ready && !is_held_back && !member.is_failing() && !tried.contains(&member.upstream.id)
}

/// Chooses the upstream with the shortest queue, whatever is known of its log.
fn by_queue<E: Edge>(
    node: &Node<E>,
    group: &Group,
    tried: &[Rc<str>],
    floor: Position,
) -> Option<Target> {
    let now = Boot.now();
    let primary = group
        .primary()
        .map(|(member, _)| Rc::clone(&member.upstream.id));
    let is_primary = |member: &Member| primary.as_deref() == Some(&*member.upstream.id);
    let members = group.members();
    let usable = members
        .iter()
        .filter(|member| is_usable(member, is_primary(member), tried, now));
    let member = usable.min_by_key(|member| {
        let expected_time = expected_time(member, &node.settings.zone);
        match is_primary(member) {
            true => expected_time + PRIMARY_COST,
            false => expected_time,
        }
    })?;
    Some(Target {
        member: Rc::clone(member),
        floor: Some(floor),
        is_primary: is_primary(member),
    })
}

/// Returns true if a transaction on this route has to run on a proved primary.
pub fn needs_primary(route: &Route, access: Access) -> bool {
    access == Access::Write || route.freshness == Freshness::Current
}
