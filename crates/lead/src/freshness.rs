//! Proof that the keys and quotas in force at an instance are current.
//!
//! No instance may accept a revoked key for long, not even one that was partitioned or that
//! resumes after a stall. So a key is accepted only with a proof: at a moment noted *before*
//! the request to the store was sent, the store held nothing newer than the version in force
//! here. A request may be served for a span after that moment. The arrival of the request
//! counts; later delays don't matter.
//!
//! A proof is relayed together with its age. The receiver subtracts the age from the moment
//! of its own request. Delays between that moment and the answer are added to the age, so a
//! relay that is slow, stalls or was replaced makes the proof older and never younger.

use std::time::Duration;

use clock::Instant;
use serde::{Deserialize, Serialize};

/// Divisor of a span that gives the largest clock drift between two machines: 2 %.
const DRIFT_DIVISOR: u32 = 50;

/// Progress of the store, or of an instance, in the shared configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Version of the catalogue.
    pub catalog: u64,
    /// Revision of the table of quota shares.
    pub shares: u64,
}

impl Watermark {
    /// Returns true if neither version is older than in `other`.
    pub fn reaches(self, other: Self) -> bool {
        self.catalog >= other.catalog && self.shares >= other.shares
    }
}

/// Proof that the store held nothing newer than the versions in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Instant>,
    pending: Option<(Watermark, Instant)>,
}

impl Freshness {
    /// Records that the store held nothing newer than `newest` at `since`, while `have` is in
    /// force here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use lead::freshness::{Freshness, Watermark};
    ///
    /// let at = Instant::from_millis;
    /// let watermark = |catalog| Watermark { catalog, shares: 0 };
    /// let span = Duration::from_millis(5_000);
    /// let mut freshness = Freshness::default();
    /// freshness.update(watermark(7), at(100), watermark(7));
    /// assert!(freshness.covers(at(4_900), span));
    /// assert!(!freshness.covers(at(5_100), span));
    ///
    /// // A newer version is no proof until it is in force here.
    /// freshness.update(watermark(8), at(2_000), watermark(7));
    /// assert!(!freshness.covers(at(5_100), span));
    /// freshness.advance(watermark(8));
    /// assert!(freshness.covers(at(5_100), span));
    /// ```
    pub fn update(&mut self, newest: Watermark, since: Instant, have: Watermark) {
        if have.reaches(newest) {
            self.proved_at = self.proved_at.max(Some(since));
        } else if self.pending.is_none_or(|(_, earlier)| earlier < since) {
            self.pending = Some((newest, since));
        }
    }

    /// Records that `have` is now in force here.
    pub fn advance(&mut self, have: Watermark) {
        if let Some((newest, since)) = self.pending
            && have.reaches(newest)
        {
            self.proved_at = self.proved_at.max(Some(since));
            self.pending = None;
        }
    }

    /// Newer versions that the store has and that are not in force here yet.
    pub fn pending(&self) -> Option<Watermark> {
        self.pending.map(|(newest, _)| newest)
    }

    /// Age of the proof at `now`.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|since| now.since(since))
    }

    /// Returns true if a request that arrived at `moment` may be served, where a key may be
    /// accepted for `span` after its revocation.
    pub fn covers(&self, moment: Instant, span: Duration) -> bool {
        let span = span - span / DRIFT_DIVISOR;
        self.proved_at.is_some_and(|since| moment < since + span)
    }
}

/// Start of a relayed proof that was requested at `asked` and was `age` old in the answer; `None` if
/// that is before the clock's origin, as right after the machine has booted. Counted from the origin,
/// such a proof would be too young.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::freshness::valid_from;
///
/// let (at, ms) = (Instant::from_millis, Duration::from_millis);
/// assert_eq!(valid_from(at(3_000), ms(2_000)), Some(at(1_000)));
/// assert_eq!(valid_from(at(1_000), ms(2_000)), None);
/// ```
pub fn valid_from(asked: Instant, age: Duration) -> Option<Instant> {
    asked.checked_sub(age)
}
