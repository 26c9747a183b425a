//! Decides whether a primary has to be replaced and whether it is this instance's turn to do
//! so.

use std::{rc::Rc, time::Duration};

use admit::{holders, relays};
use clock::Boot;
use lead::{Phase, Verdict, vote};

use super::lock::LOCK_TTL;
use crate::{catalog::Readiness, edge::Edge, group::Group, node::Node, probe};

/// Additional delay of each further instance.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(200);

/// Time for which an upstream may be missing from the list before it counts as gone.
pub(super) const UNLISTED_GRACE: Duration = Duration::from_millis(400);

/// Reason to replace a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// Most instances see the primary fail.
    Gone,
    /// The primary refuses all instances although none has a connection.
    Full,
    /// The primary reports that it no longer leads, or has lost a part of its log.
    Deposed,
    /// The primary is being drained.
    Leaving,
    /// A replacement isn't making progress.
    Stuck,
}

impl Reason {
    /// The reason after an order was given, which may still take effect.
    pub(super) fn ordered(self) -> Self {
        match self {
            Self::Gone | Self::Full | Self::Deposed | Self::Stuck => Self::Stuck,
            Self::Leaving => Self::Leaving,
        }
    }

    /// Returns true if the old primary stays in its role should it answer after all.
    pub(super) fn is_uncertain(self) -> bool {
        matches!(self, Self::Gone | Self::Full)
    }
}

/// Returns the reason for which this instance has to replace the group's primary now, if any.
pub(super) fn due<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    has_lock: bool,
) -> Option<Reason> {
    let known = group.stored_record()?;
    let now = Boot.now();
    let service = &*group.service;
    let delay = |position: u32| match has_lock {
        true => Duration::ZERO,
        false => RANK_DELAY * position,
    };
    let own_delay = || delay(position(node, &group.service));
    if known.record.phase == Phase::Changing {
        let since = group.record_learnt_at.get();
        let wait = match has_lock {
            true => Duration::ZERO,
            false => LOCK_TTL / 4 + own_delay() / 2,
        };
        return (since + wait <= now).then_some(Reason::Stuck);
    }
    let Some(primary) = group.member(&known.record.upstream) else {
        let missing_since = group.primary_missing_since();
        let wait = UNLISTED_GRACE + own_delay();
        return missing_since
            .is_some_and(|at| at + wait < now)
            .then_some(Reason::Gone);
    };
    if let Some(since) = primary.deposed_since(known.record.term) {
        let wait = own_delay();
        return (since + wait <= now).then_some(Reason::Deposed);
    }
    if primary.readiness.get() == Readiness::Draining {
        let wait = own_delay();
        let since = group.leaving_since(now);
        return (since + wait < now).then_some(Reason::Leaving);
    }
    if let Some(since) = primary.pool.locked_out_since(now) {
        let (tally, _) = node.peers.tally(service, known.record.term, Verdict::Full);
        let wait = own_delay();
        if tally.is_refusing_all(node.peers.judges(), now.since(since).saturating_sub(wait)) {
            return Some(Reason::Full);
        }
    }
    // Failures seen while this instance itself was cut off don't count.
    let is_sighted = vote::is_eligible(now, node.store_heard_at.get(), node.store_up_since.get());
    if !primary.is_failing() || !is_sighted {
        return None;
    }
    // A failure during a partition has to show again: the primary may be used by others only, so
    // that nothing here tells that it answers.
    let returned = node.store_up_since.get() + probe::STATUS_TIMEOUT;
    if !primary.is_seen_failing(now) || primary.health().failed < returned {
        probe::monitor(node, group, &primary);
        return None;
    }
    let since = primary.health().failing_since?;
    let own = primary.verdict(now);
    let (tally, failing) = node.peers.tally(service, known.record.term, own);
    // After a zone was cut off, its instances hear each other before they hear the other zones.
    let failing_for = now.since(since.max(node.store_up_since.get()));
    if !tally.is_failed(node.peers.judges(), failing_for) {
        return None;
    }
    (since + delay(rank(node, service, &failing)) <= now).then_some(Reason::Gone)
}

/// Number of instances that come before this one for `service`. The service's holders come
/// first, because they notice a failure first and can reach the upstreams.
pub(super) fn position<E: Edge>(node: &Node<E>, service: &Rc<str>) -> u32 {
    let holders = node.holder_names(service);
    let own = &node.settings.name;
    let place = holders.iter().position(|name| name == own);
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    match place {
        Some(place) => count(place),
        None => count(holders.len()) + rank(node, service, &node.peers.names()),
    }
}

/// Number of instances among `others` that come before this one for `service`. Instances with
/// more capacity come first: if a zone is cut off, the instance that replaces one primary
/// replaces those of many groups.
pub(super) fn rank<E: Edge>(node: &Node<E>, service: &str, others: &[String]) -> u32 {
    let score = |name: &str, weight| holders::score(service, name, relays::weight(weight));
    let own = score(&node.settings.name, node.settings.weight);
    let is_before = |name: &&String| score(name, node.peers.weight(name)) < own;
    let before = others.iter().filter(is_before).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
