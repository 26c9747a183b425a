//! Time-limited proof that a primary has not been replaced.
//!
//! A replaced primary that has not noticed its replacement continues to answer reads and even
//! writes. So an instance uses a primary only with a proof: it sent a request, at a moment
//! noted *before* sending, and the answer showed no replacement in progress. A replacement
//! is announced where proofs are requested, and then waits until every proof granted before
//! has expired. This needs no list of instances, and an instance that is paused or
//! partitioned merely runs out of proof.

use std::time::Duration;

use clock::Instant;

/// Divisor of a span that gives the largest clock drift between two machines: 2 %.
const DRIFT_DIVISOR: u32 = 50;

/// Proof that a primary has not been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Proof {
    until: Instant,
}

impl Proof {
    /// Extends the proof by an answer that showed no replacement. The span starts at `sent`, when
    /// the request was sent, however late the answer is.
    pub fn extend(&mut self, sent: Instant, span: Duration) {
        self.until = self.until.max(sent + span);
    }

    /// Returns true if no replacement took effect before `moment`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// let mut proof = lead::Proof::default();
    /// proof.extend(Instant::from_millis(100), Duration::from_millis(50));
    /// assert!(proof.covers(Instant::from_millis(149)));
    /// assert!(!proof.covers(Instant::from_millis(150)));
    /// ```
    pub fn covers(&self, moment: Instant) -> bool {
        moment < self.until
    }

    /// The moment at which the proof expires.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Drops the proof, because a replacement has become known.
    pub fn invalidate(&mut self) {
        *self = Self::default();
    }
}

/// The moment at which every proof granted before `announced` has expired.
///
/// `announced` must not be earlier than the store's acknowledgement of the announcement.
pub fn all_expired_at(announced: Instant, span: Duration) -> Instant {
    announced + span + span / DRIFT_DIVISOR
}
