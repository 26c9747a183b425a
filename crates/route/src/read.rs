//! A read to be routed, and the choice made for it.

use clock::Instant;
use model::{Cause, Freshness, Position, name};
use session::Floor;

use crate::Target;

/// The evidence that a choice needs for the freshness of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trust {
    /// A replica that is expected to have reached the floor by now will do.
    #[default]
    Expected,
    /// The replica must have reported the floor, since a replica's answer was
    /// discarded before.
    Proved,
    /// The primary must be confirmed by a majority, since its answer was discarded
    /// before.
    Confirmed,
}

/// A read to be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// Floor of the session.
    pub floor: Floor,
    /// Position that the session has read and that is not known to be acknowledged.
    pub seen: Option<Position>,
    /// Freshness that the class of the entry asks for.
    pub freshness: Freshness,
    /// Time at which the read arrived at this instance.
    pub began: Instant,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// [`crate::statement::fingerprint`] of the statement.
    pub fingerprint: u64,
    /// Evidence needed, which grows with each discarded answer.
    pub trust: Trust,
}

impl Read {
    /// Creates a read of a session with an unknown floor, with session freshness.
    pub fn new(began: Instant, deadline: Instant) -> Self {
        Self {
            floor: Floor::Unknown { since: began },
            seen: None,
            freshness: Freshness::Session,
            began,
            deadline,
            fingerprint: 0,
            trust: Trust::Expected,
        }
    }

    /// Returns the read with this floor.
    pub fn floor(mut self, floor: Floor) -> Self {
        self.floor = floor;
        self
    }

    /// Returns the read after an answer from `target` was discarded.
    pub fn discarded(mut self, target: Target) -> Self {
        self.trust = match (target, self.trust) {
            (Target::Replica, Trust::Expected) => Trust::Proved,
            (Target::Replica, trust) => trust,
            (Target::Primary, _) => Trust::Confirmed,
        };
        self
    }

    /// Returns the read with this freshness.
    pub fn freshness(mut self, freshness: Freshness) -> Self {
        self.freshness = freshness;
        self
    }
}

/// The choice made for a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the read to this replica; [`crate::Router::verify`] then checks the answer.
    Replica(name::Upstream),
    /// Send the read to the primary; the answer is checked for
    /// [`crate::Target::Primary`].
    Primary(name::Upstream),
    /// Send the read to the primary, and hold the answer until a majority confirms the
    /// primary's term in answers to queries sent after the read began.
    Confirmed(name::Upstream),
    /// Choose again at `until`, or earlier when this upstream reports. If
    /// [`Read::trust`] needs a reported position, query the upstream at `until`
    /// first.
    Wait {
        /// Replica that is expected to catch up.
        upstream: name::Upstream,
        /// Time at which the replica is expected to have caught up.
        until: Instant,
    },
    /// Request a round ([`session::Round`]) and choose again when one ends.
    AwaitRound,
    /// No upstream can serve the read now but one may soon, for example after a change
    /// of primary: choose again after the next event, at `until` at the latest.
    Hold {
        /// Deadline of the read.
        until: Instant,
    },
    /// No upstream can serve the read, which has not run.
    Refuse(Cause),
}
