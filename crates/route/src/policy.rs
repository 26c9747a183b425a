//! Alternative routing policies, as a baseline for measurements of the router.

use clock::Instant;
use model::{Cause, Freshness, Role, name};
use rand::Rng;
use session::Floor;

use crate::{Choice, Read, Router, Target, verify::demand};

/// A policy that routes reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The router's own policy, [`Router::choose`].
    Routed,
    /// Any replica whose last report was fresh enough, else the primary.
    Naive,
    /// Every read to the primary.
    AllPrimary,
    /// A policy that knows all present and future positions and the true floor of
    /// every session.
    Oracle,
}

/// Exact knowledge of a replica and a read, for [`Policy::Oracle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exact {
    /// The replica.
    pub upstream: name::Upstream,
    /// First time at which a statement that arrives there is fresh enough, if any.
    pub ready: Option<Instant>,
}

impl Policy {
    /// Chooses an upstream for a read; only [`Policy::Oracle`] uses `exact`.
    pub fn choose(
        self,
        now: Instant,
        router: &mut Router,
        read: &Read,
        exact: &[Exact],
        rng: &mut impl Rng,
    ) -> Choice {
        match self {
            Self::Routed => router.choose(now, read, rng),
            Self::Naive => naive(now, router, read, rng),
            Self::AllPrimary => primary(router),
            Self::Oracle => oracle(now, router, read, exact),
        }
    }
}

fn primary(router: &Router) -> Choice {
    match router.primary() {
        Some(upstream) => Choice::Confirmed(upstream.clone()),
        None => Choice::Refuse(Cause::NoUpstream),
    }
}

fn naive(now: Instant, router: &Router, read: &Read, rng: &mut impl Rng) -> Choice {
    let Floor::Known(floor) = read.floor else {
        return primary(router);
    };
    let floor = demand(floor, read.seen, Target::Replica);
    let is_young = |as_of: Instant| match read.freshness {
        Freshness::Age(bound) => now.since(as_of) <= bound,
        Freshness::Session => true,
        Freshness::Current => false,
    };
    let is_candidate = |node: &&crate::node::Node| {
        let replica = node.answer.is_some_and(|a| a.report.role == Role::Replica);
        let covers = node.position().is_some_and(|p| p.covers(floor));
        replica && covers && node.as_of().is_some_and(is_young)
    };
    let candidates: Vec<_> = router.nodes.iter().filter(is_candidate).collect();
    if candidates.is_empty() {
        return primary(router);
    }
    let drawn = candidates[rng.random_range(0..candidates.len())];
    Choice::Replica(drawn.member.upstream.clone())
}

/// Serves from the replica that can answer first, with the router's own limits for
/// the wait and for the preference of the primary.
fn oracle(now: Instant, router: &Router, read: &Read, exact: &[Exact]) -> Choice {
    let end = (read.began + router.conf.max_replica_wait).min(read.deadline);
    let options = exact.iter().filter_map(|known| {
        let node = router
            .nodes
            .iter()
            .find(|n| n.member.upstream == known.upstream)?;
        let start = known.ready?.max(now + node.rtt() / 2) - node.rtt() / 2;
        Some((start + node.cost(), start, node))
    });
    let Some((finish, start, node)) = options.min_by_key(|&(finish, ..)| finish) else {
        return primary(router);
    };
    if start > now && finish <= end {
        return Choice::Wait {
            upstream: node.member.upstream.clone(),
            until: start,
        };
    }
    if start > now || router.prefers_primary(node.cost()) {
        return primary(router);
    }
    Choice::Replica(node.member.upstream.clone())
}
