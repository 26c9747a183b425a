//! Which replica is promoted.

use model::Position;

/// What a replica answered when it was told to stop receiving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The replica.
    pub upstream: &'a str,
    /// How far its log goes, by its own answer, never by the list of upstreams.
    pub received: Position,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// The replica with the furthest log; among equals one that stays.
///
/// A replica that hears nothing calls itself fine and may be far behind, so only
/// positions are compared. One that leaves is chosen only if its log is further
/// than all others: it would have to be replaced at once.
pub fn best<'a>(candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let rank = |c: &&Candidate<'a>| (c.received, !c.draining, std::cmp::Reverse(c.upstream));
    candidates.iter().max_by_key(rank).map(|c| c.upstream)
}
