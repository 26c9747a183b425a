//! Which replica is promoted.

use model::Position;

/// What a replica answered when it was told to stop receiving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The replica.
    pub upstream: &'a str,
    /// How far its log goes, by its own answer, never by the list of upstreams.
    pub received: Position,
    /// Whether it stays, or is about to leave.
    pub stays: bool,
}

/// The replica with the furthest log; among equals one that stays.
///
/// A replica that hears nothing calls itself fine and may be far behind, so only
/// positions are compared. One that leaves may be the only one that holds the last
/// acknowledged commits: then it leads just for as long as it takes another replica
/// to receive them, and is sent no work if its time is over.
pub fn best<'a>(candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let rank = |c: &&Candidate<'a>| (c.received, c.stays, std::cmp::Reverse(c.upstream));
    candidates.iter().max_by_key(rank).map(|c| c.upstream)
}

/// Whether one of those that answered surely holds every acknowledged commit.
///
/// A commit is acknowledged once `sync` of the `replicas` hold it beside the
/// primary. If fewer than `sync` replicas stay silent, at least one that answered
/// holds it, and the one with the furthest log does. Where commits are acknowledged
/// by the primary alone, nobody can be sure, and whoever answers must do.
///
/// ```
/// use lead::choose::holds_all_commits;
/// assert!(holds_all_commits(1, 2, 0));
/// assert!(!holds_all_commits(1, 2, 1));
/// assert!(holds_all_commits(2, 2, 1));
/// ```
pub fn holds_all_commits(answered: usize, replicas: usize, sync: usize) -> bool {
    match sync {
        0 => answered > 0,
        _ => answered + sync > replicas,
    }
}
