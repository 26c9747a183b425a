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

/// Time since the store last confirmed a group's record for which an instance that doesn't hear most
/// of the other instances proves a primary by its members.
///
/// Such an instance may be alone in a partition with the primary and a voter that count as ended
/// elsewhere. A voter counts as ended [`RETURN_TIME`](crate::absence::RETURN_TIME) after its entry
/// was lost; the difference covers the time after which the loss of the entry was known to an
/// instance that the store still confirmed.
pub const ISOLATED_PROOF_TIME: Duration = Duration::from_secs(12);

/// Whether an instance hears most of the instances that it knows, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// It hears most of them, as in an outage of the store.
    Majority,
    /// It hears half of them or fewer, so others may have replaced a primary unseen.
    Minority,
}

impl Connectivity {
    /// The connectivity of an instance that hears `heard` of the `known` other instances.
    ///
    /// ```
    /// use lead::quorum::Connectivity;
    /// assert_eq!(Connectivity::new(0, 0), Connectivity::Majority, "the only instance");
    /// assert_eq!(Connectivity::new(4, 8), Connectivity::Majority);
    /// assert_eq!(Connectivity::new(0, 1), Connectivity::Minority);
    /// ```
    pub fn new(heard: usize, known: usize) -> Self {
        match (heard + 1) * 2 > known + 1 {
            true => Self::Majority,
            false => Self::Minority,
        }
    }
}

/// Returns true if the group's members may prove a primary in answer to a request sent at `sent`,
/// where the store last confirmed the record at `confirmed`.
///
/// ```
/// use clock::Instant;
/// use lead::quorum::{Connectivity, accepts_members};
///
/// let at = Instant::from_millis;
/// assert!(accepts_members(at(1_000), Connectivity::Minority, at(13_000)));
/// assert!(!accepts_members(at(1_000), Connectivity::Minority, at(13_001)));
/// assert!(accepts_members(at(1_000), Connectivity::Majority, at(60_000)));
/// ```
pub fn accepts_members(confirmed: Instant, connectivity: Connectivity, sent: Instant) -> bool {
    connectivity == Connectivity::Majority || confirmed + ISOLATED_PROOF_TIME >= sent
}

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
