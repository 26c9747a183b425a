//! A read that wants an upstream, and where it is to go.

use clock::Instant;
use model::{Cause, Freshness, Position, name};
use session::Floor;

use crate::Target;

/// How much a choice may rest on what an upstream is expected to have reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trust {
    /// Send to a replica that should have reached the floor by now.
    #[default]
    Expected,
    /// Send only to a replica that reported the floor: a replica's answer was
    /// discarded before.
    Proved,
    /// Take the primary only with a majority's word: its answer was discarded.
    Confirmed,
}

/// A read that wants an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// What the session's reads must have reached.
    pub floor: Floor,
    /// What the session saw that is not known to be acknowledged.
    pub seen: Option<Position>,
    /// How fresh the entry's class wants it.
    pub freshness: Freshness,
    /// When it came to this instance.
    pub began: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The statement's [`crate::statement::fingerprint`].
    pub fingerprint: u64,
    /// Whether an answer to it was discarded before.
    pub trust: Trust,
}

impl Read {
    /// A read by a session whose floor is unknown, with session freshness.
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

    /// The same read with this floor.
    pub fn floor(mut self, floor: Floor) -> Self {
        self.floor = floor;
        self
    }

    /// The same read after an answer to it did not pass.
    pub fn discarded(mut self, target: Target) -> Self {
        self.trust = match (target, self.trust) {
            (Target::Replica, Trust::Expected) => Trust::Proved,
            (Target::Replica, trust) => trust,
            (Target::Primary, _) => Trust::Confirmed,
        };
        self
    }

    /// The same read with this freshness.
    pub fn freshness(mut self, freshness: Freshness) -> Self {
        self.freshness = freshness;
        self
    }
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this replica; [`crate::Router::verify`] then judges the answer.
    Replica(name::Upstream),
    /// To the primary, judged with [`crate::Target::Primary`].
    Primary(name::Upstream),
    /// To the primary, and the answer is held until a majority confirms its
    /// term by answers to questions sent after the read began.
    Confirmed(name::Upstream),
    /// Choose again at `until`, or earlier when this upstream reports; where
    /// [`Read::trust`] wants proof, ask it for its position at `until` first.
    Wait {
        /// The replica that is expected to catch up.
        upstream: name::Upstream,
        /// When it is expected to have caught up.
        until: Instant,
    },
    /// Want a round ([`session::Round`]) and choose again when one ends.
    AwaitRound,
    /// No upstream can serve it now but one may soon, as during a change of
    /// primary: choose again after the next event, at `until` at the latest.
    Hold {
        /// The read's deadline.
        until: Instant,
    },
    /// Nothing can serve it; it did not run.
    Refuse(Cause),
}
