//! Choice of the replica to promote.

use model::Position;

/// Answer of a replica that was ordered to stop receiving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the replica.
    pub upstream: &'a str,
    /// End of its log according to its own answer, never according to the list of upstreams.
    pub received: Position,
    /// True unless the replica is about to leave.
    pub stays: bool,
    /// True if the old primary can't be proved once the replica leads: the replica is a voter, or
    /// the old primary was demoted, or a voter has left.
    pub excludes: bool,
}

/// Chooses the replica with the furthest log, and among equals one that stays. None is chosen that
/// doesn't exclude a proof of the old primary: with `sync` of zero, where the primary acknowledges
/// alone, another replica is chosen; otherwise only the furthest log has all commits.
///
/// Only positions are compared, because a replica without a connection to the primary
/// reports itself healthy and may be far behind. A leaving replica may be the only one with the
/// last acknowledged commits. If so, it leads until another replica has received them; once
/// its time to leave is over, it is sent no statements.
pub fn best<'a>(candidates: &[Candidate<'a>], sync: usize) -> Option<&'a str> {
    let rank = |c: &&Candidate<'a>| {
        let name = std::cmp::Reverse(c.upstream);
        (c.received, c.excludes, c.stays, name)
    };
    let eligible = candidates.iter().filter(|c| c.excludes || sync > 0);
    let best = eligible.max_by_key(rank)?;
    best.excludes.then_some(best.upstream)
}

/// Returns true if one of the replicas that answered certainly holds all acknowledged commits.
///
/// A commit is acknowledged once `sync` of the `replicas` hold it in addition to the primary.
/// If fewer than `sync` replicas are silent, at least one that answered holds the commit, and
/// so does the one with the furthest log. With `sync` of zero the primary acknowledges alone,
/// so there is no certainty and any answer suffices.
///
/// ```
/// use lead::choose::holds_all_commits;
/// assert!(holds_all_commits(1, 2, 0));
/// assert!(!holds_all_commits(1, 2, 1));
/// assert!(holds_all_commits(2, 2, 1));
/// assert!(holds_all_commits(1, 2, usize::MAX));
/// ```
pub fn holds_all_commits(answered: usize, replicas: usize, sync: usize) -> bool {
    match sync {
        0 => answered > 0,
        _ => answered.saturating_add(sync) > replicas,
    }
}
