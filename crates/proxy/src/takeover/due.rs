//! Whether a primary is to be replaced, and whether it is this instance's turn.

use std::{rc::Rc, time::Duration};

use admit::{holders, relays};
use clock::Boot;
use lead::{Phase, Verdict, vote};

use super::lock::LOCK_TTL;
use crate::{catalog::Readiness, edge::Edge, group::Group, node::Node};

/// How much later each further instance tries.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(200);

/// How long an upstream may be missing in the list before it counts as gone.
pub(super) const UNLISTED_GRACE: Duration = Duration::from_millis(400);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// Most see it fail.
    Gone,
    /// It refuses everybody, though nobody has a connection.
    Full,
    /// By its own word it does not lead any more, or has lost a part of its log.
    Deposed,
    /// It is about to leave.
    Leaving,
    /// A replacement stands still.
    Stuck,
}

impl Reason {
    /// The reason once an order was given: its effect may still come.
    pub(super) fn ordered(self) -> Self {
        match self {
            Self::Gone | Self::Full | Self::Deposed | Self::Stuck => Self::Stuck,
            Self::Leaving => Self::Leaving,
        }
    }

    /// Whether the old primary leads on if it answers after all.
    pub(super) fn is_doubt(self) -> bool {
        matches!(self, Self::Gone | Self::Full)
    }
}

/// Why a group's primary is to be replaced by this instance now, if it is.
pub(super) fn due<E: Edge>(node: &Node<E>, group: &Group, has_lock: bool) -> Option<Reason> {
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
        let missing_since = group.unlisted.get();
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
    // What was seen while this instance itself was cut off says nothing.
    let is_sighted = vote::is_eligible(now, node.store_heard_at.get(), node.store_up_since.get());
    if !primary.is_failing() || !is_sighted {
        return None;
    }
    let since = primary.health().failing_since?;
    let own = primary.verdict(now);
    let (tally, failing) = node.peers.tally(service, known.record.term, own);
    // A zone that was cut off hears its own first when it is back.
    let failing_for = now.since(since.max(node.store_up_since.get()));
    if !tally.is_failed(node.peers.judges(), failing_for) {
        return None;
    }
    (since + delay(rank(node, service, &failing)) <= now).then_some(Reason::Gone)
}

/// How many instances come before this one for `service`: its holders know first, and
/// reach its upstreams.
fn position<E: Edge>(node: &Node<E>, service: &Rc<str>) -> u32 {
    let holders = node.holder_names(service);
    let own = &node.settings.name;
    let place = holders.iter().position(|name| name == own);
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    match place {
        Some(place) => count(place),
        None => count(holders.len()) + rank(node, service, &node.peers.names()),
    }
}

/// How many of `others` come before this instance for `service`. Strong ones come first:
/// behind a zone's cut whoever replaces one primary replaces those of many groups.
pub(super) fn rank<E: Edge>(node: &Node<E>, service: &str, others: &[String]) -> u32 {
    let score = |name: &str, weight| holders::score(service, name, relays::weight(weight));
    let own = score(&node.settings.name, node.settings.weight);
    let is_before = |name: &&String| score(name, node.peers.weight(name)) < own;
    let before = others.iter().filter(is_before).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
