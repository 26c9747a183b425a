//! Which replica is promoted.

use std::time::Duration;

use model::Position;

/// What a replica answered when it was told to stop receiving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The replica.
    pub upstream: &'a str,
    /// How far its log goes, by its own answer, never by the list of upstreams.
    pub received: Position,
    /// How much longer it may take new work; `None` if it stays.
    pub leaves_in: Option<Duration>,
}

/// The least time that a replica must have left to be promoted: it has to be
/// replaced again before it is over.
const STAY: Duration = Duration::from_secs(4);

/// The replica with the furthest log; among equals one that stays.
///
/// A replica that hears nothing calls itself fine and may be far behind, so only
/// positions are compared. One that leaves is chosen only if its log is further
/// than all others and if there is time to replace it again: no new work may reach
/// it once its time is over, so promoting it later would leave nobody to write to.
pub fn best<'a>(candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let stays = |c: &&Candidate<'a>| c.leaves_in.is_none_or(|left| left >= STAY);
    let rank = |c: &&Candidate<'a>| {
        let stays = c.leaves_in.is_none();
        (c.received, stays, std::cmp::Reverse(c.upstream))
    };
    candidates
        .iter()
        .filter(stays)
        .max_by_key(rank)
        .map(|c| c.upstream)
}
