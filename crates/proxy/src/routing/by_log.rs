//! Choice of the upstream for a read by what is known of the logs ([`lead::reach`],
//! [`lead::read`]).

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use lead::{
    reach::Estimate,
    read::{self, Candidate, Role},
};
use model::Position;
use tokio::time::sleep;

use super::{REMOTE_ZONE_COST, Target, is_usable};
use crate::{
    edge::Edge,
    group::Group,
    member::Member,
    metrics::{Read, Wait},
    node::Node,
    reach,
    run::Context,
};

/// Interval at which a read that waits for a log chooses again.
const CHOICE_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses the upstream that is expected to answer first a read that needs `floor`, and waits until
/// its log is expected to have it. `None` if there is none before `deadline`.
pub(super) async fn choose_target<E: Edge>(
    node: &Node<E>,
    group: &Group,
    context: &Context<'_>,
    tried: &[Rc<str>],
    (floor, deadline): (Position, Instant),
) -> Option<Target> {
    let mut waited = None;
    let mut is_first = true;
    loop {
        let now = Boot.now();
        let (members, candidates) = candidates(node, group, context, tried, floor);
        if is_first {
            let late = members.iter().zip(&candidates);
            for (member, _) in late.filter(|(_, candidate)| candidate.log.ready_at() > now) {
                reach::pass_over(member, floor, now);
            }
        }
        let choice = read::earliest(&candidates, now, deadline)?;
        if choice.wait.is_zero() {
            return Some(Target {
                member: Rc::clone(&members[choice.index]),
                floor: Some(floor),
                is_primary: candidates[choice.index].role == Role::Primary,
            });
        }
        if is_first {
            node.metrics.count_read(context.route, Read::Awaited);
        }
        is_first = false;
        waited.get_or_insert_with(|| node.metrics.wait(Wait::Log));
        sleep(choice.wait.min(CHOICE_INTERVAL).min(deadline.since(now))).await;
    }
}

/// Returns the upstreams that may run the read, and what is known of each.
fn candidates<E: Edge>(
    node: &Node<E>,
    group: &Group,
    context: &Context<'_>,
    tried: &[Rc<str>],
    floor: Position,
) -> (Vec<Rc<Member>>, Vec<Candidate>) {
    let now = Boot.now();
    let primary = group.primary().map(|(member, _)| member);
    let role = |member: &Rc<Member>| match &primary {
        Some(primary) if Rc::ptr_eq(primary, member) => Role::Primary,
        _ => Role::Replica,
    };
    let mut members = group.members();
    members.retain(|member| is_usable(member, role(member) == Role::Primary, tried, now));
    let candidate = |member: &Rc<Member>| Candidate {
        role: role(member),
        log: match role(member) {
            Role::Primary => Estimate::Reached,
            Role::Replica => member.log.expect(floor, context.arrived_at, now),
        },
        latency: member.latency(),
        queued: member.running.get() + member.pool.waiting(),
        slots: member.slots(),
        distance: match member.upstream.zone == node.settings.zone {
            true => Duration::ZERO,
            false => REMOTE_ZONE_COST,
        },
    };
    let candidates = members.iter().map(candidate).collect();
    (members, candidates)
}
