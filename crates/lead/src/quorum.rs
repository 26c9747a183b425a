//! Majorities that prove a primary, and fencing that prevents such a majority.

use std::time::Duration;

use clock::Instant;

use crate::proof::{Proof, all_expired_at};

/// Time since the store last confirmed a group's record for which a majority of the group can
/// prove its primary. After that, all members have to answer.
///
/// If the store is down for all instances and a zone is cut off, only a majority is reachable:
/// if unanimity were always needed, every database with an upstream in that zone would refuse
/// its writes. The cost is that a primary lost together with a replica is replaced this much
/// later.
pub const UNANIMITY_AFTER: Duration = Duration::from_secs(5);

/// Returns true if a majority proves the primary in answer to a request sent at `sent`, where
/// the store last confirmed the record at `confirmed`, and `proof` is the last proof.
///
/// A promotion ends the hold of the replicas that were not promoted, so a majority may agree on
/// the old primary again. Only a proof from before the fence can be valid until then: a majority
/// extends a proof, and never replaces an expired one. The proof has to be valid also when the
/// answers are in.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::quorum::accepts_majority;
///
/// let at = Instant::from_millis;
/// let mut proof = lead::Proof::default();
/// proof.extend(at(1_000), Duration::from_millis(600));
/// assert!(accepts_majority(at(900), proof, at(1_500)));
/// assert!(!accepts_majority(at(900), proof, at(1_600)), "expired");
/// ```
pub fn accepts_majority(confirmed: Instant, proof: Proof, sent: Instant) -> bool {
    confirmed + UNANIMITY_AFTER >= sent && proof.covers(sent)
}

/// The moment from which no instance accepts a majority for a record that the store confirmed
/// before `ended`.
pub fn majorities_end_at(ended: Instant) -> Instant {
    all_expired_at(ended, UNANIMITY_AFTER)
}

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
