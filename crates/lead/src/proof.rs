//! How long an instance may believe that a primary has not been replaced.
//!
//! A replaced primary that has not noticed answers reads and even writes as if
//! nothing had happened. So an instance uses a primary only under a proof: it
//! asked, at a moment that it noted *before* asking, and the answer said that no
//! replacement had begun. Whoever replaces a primary announces it where the proof
//! is asked for, and then waits until every proof given before has run out. No
//! list of instances is needed, and an instance that is paused, cut off or lied
//! to by silence merely runs out of proof.

use std::time::Duration;

use clock::Instant;

/// The part of a span by which clocks of two machines may drift apart.
const DRIFT_DIVISOR: u32 = 50;

/// The proof that a primary has not been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Proof {
    until: Instant,
}

impl Proof {
    /// Takes in an answer to a question that was sent at `sent` and that showed
    /// no replacement. A late answer counts from its question all the same.
    pub fn extend(&mut self, sent: Instant, span: Duration) {
        self.until = self.until.max(sent + span);
    }

    /// Whether no replacement took effect before `moment`.
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

    /// The moment from which nothing is proved any more.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Forgets everything, because a replacement was heard of.
    pub fn invalidate(&mut self) {
        *self = Self::default();
    }
}

/// When every proof that was given before `announced` has run out.
///
/// `announced` must be a moment after the store acknowledged the announcement.
pub fn all_expired_at(announced: Instant, span: Duration) -> Instant {
    announced + span + span / DRIFT_DIVISOR
}
