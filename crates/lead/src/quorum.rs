//! Who must agree that a primary still leads, and who must be told to prevent that.

/// How many of a group's `replicas` prove its primary beside the primary's own word:
/// with the primary they are a majority.
///
/// ```
/// assert_eq!(lead::quorum::needed(2), 1);
/// assert_eq!(lead::quorum::needed(3), 2);
/// ```
pub fn needed(replicas: usize) -> usize {
    replicas.div_ceil(2)
}

/// Whether no majority with the old primary is left, once `told` of its `replicas` hold
/// for the next term.
///
/// Not only if all were told: where a replica was replaced lately, the one that left
/// still counts for a while, and it can't be told.
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
