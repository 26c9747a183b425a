//! Majorities that prove a primary, and fencing that prevents such a majority.

/// Number of a group's `replicas` that must confirm the primary. Together with the primary
/// these are a majority.
///
/// ```
/// assert_eq!(lead::quorum::needed(2), 1);
/// assert_eq!(lead::quorum::needed(3), 2);
/// ```
pub fn needed(replicas: usize) -> usize {
    replicas.div_ceil(2)
}

/// Returns true if no majority with the old primary is possible, once `fenced` of its
/// `replicas` follow the next term.
///
/// Fencing all replicas is not required: after the recent replacement of a replica, the one
/// that left still counts for a while and can't be fenced.
///
/// ```
/// use lead::quorum::prevents_majority;
/// assert!(prevents_majority(2, 2));
/// assert!(prevents_majority(2, 3));
/// assert!(!prevents_majority(1, 2));
/// ```
pub fn prevents_majority(fenced: usize, replicas: usize) -> bool {
    replicas.saturating_sub(fenced) < needed(replicas)
}
