//! Vote of all reachable instances on the replacement of a primary.

use std::time::Duration;

use clock::Instant;
use serde::{Deserialize, Serialize};

/// Time for which a primary must fail before the instances that were heard decide without
/// those that were not.
const MAJORITY_PERIOD: Duration = Duration::from_millis(1_500);

/// Time for which a primary must fail before a third of the voters suffices.
const MINORITY_PERIOD: Duration = Duration::from_millis(1_000);

/// Time for which a primary must refuse all instances before it is replaced.
const REFUSING_PERIOD: Duration = Duration::from_millis(2_200);

/// Longest silence of the store towards an instance that judges a primary.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(700);

/// Time for which the store must have answered without a gap. After a partition, an instance
/// reaches the upstreams no sooner than the store; without this time a returning zone would
/// replace the primaries of all groups for which it holds connections.
const MIN_STORE_CONTACT: Duration = Duration::from_millis(700);

/// Returns true if an instance may judge primaries at `now`, where the store answered last at
/// `stored` and without a gap since `since`.
///
/// ```
/// use clock::Instant;
/// use lead::vote::is_eligible;
///
/// let at = Instant::from_millis;
/// assert!(is_eligible(at(9_000), at(8_900), at(1_000)));
/// assert!(!is_eligible(at(9_000), at(8_200), at(1_000)), "partitioned");
/// assert!(!is_eligible(at(9_000), at(8_900), at(8_800)), "back a moment ago");
/// ```
pub fn is_eligible(now: Instant, stored: Instant, since: Instant) -> bool {
    stored + MAX_STORE_SILENCE >= now && since + MIN_STORE_CONTACT <= now
}

/// Verdict of one instance on a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The primary answered a moment ago.
    Fine,
    /// The primary fails repeatedly.
    Failing,
    /// The instance has had no reason to contact the primary.
    Unknown,
    /// The primary is alive, but has refused the instance's first connection for a while.
    Full,
}

/// Counts of the verdicts of recently heard instances, the own instance included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Instances that saw the primary answer.
    pub fine: usize,
    /// Instances that see the primary fail.
    pub failing: usize,
    /// Instances without information.
    pub unknown: usize,
    /// Instances whose first connection is refused.
    pub full: usize,
}

impl Tally {
    /// Adds a verdict.
    pub fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Fine => self.fine += 1,
            Verdict::Failing => self.failing += 1,
            Verdict::Unknown => self.unknown += 1,
            Verdict::Full => self.full += 1,
        }
    }

    fn heard(&self) -> usize {
        self.fine + self.failing + self.unknown + self.full
    }

    /// Returns true if the primary is to be replaced because it has refused all instances for
    /// `full_for`.
    ///
    /// A full upstream is alive, and usually other instances use its connections. But it may
    /// still count connections of lost instances until these have been idle for a minute, and
    /// serve no instance meanwhile. After a power loss all instances are refused as well: the
    /// upstream counts their old connections for 3 s, and the instances are back after one. So
    /// the primary is replaced only if no instance at all has been served for longer.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tally = lead::Tally { full: 2, unknown: 3, ..lead::Tally::default() };
    /// assert!(tally.is_refusing_all(6, Duration::from_millis(2_300)));
    /// assert!(!tally.is_refusing_all(6, Duration::from_millis(1_900)));
    /// let used = lead::Tally { fine: 1, ..tally };
    /// assert!(!used.is_refusing_all(6, Duration::from_secs(10)));
    /// ```
    pub fn is_refusing_all(&self, known: usize, full_for: Duration) -> bool {
        let has_quorum = self.heard() * 2 >= known;
        self.full > 0 && self.fine == 0 && has_quorum && full_for >= REFUSING_PERIOD
    }

    /// Returns true if the primary is to be replaced, after failing here for `failing_for`.
    ///
    /// A partitioned zone does not make the primary a failed one: in general more instances must
    /// see it fail than see it answer, and at least half of the `known` instances must have been
    /// heard. The list of instances lags by seconds after many have been killed, so after a while
    /// the heard ones decide alone. If several instances, and a third of those with information,
    /// see the primary fail for long, a replacement costs all callers less than an unreachable
    /// primary costs theirs.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tally = lead::Tally { fine: 1, failing: 3, unknown: 1, full: 0 };
    /// assert!(tally.is_failed(9, Duration::from_millis(300)));
    /// let partitioned = lead::Tally { fine: 7, failing: 2, ..lead::Tally::default() };
    /// assert!(!partitioned.is_failed(9, Duration::from_secs(10)));
    /// ```
    pub fn is_failed(&self, known: usize, failing_for: Duration) -> bool {
        let heard = self.heard();
        let voters = self.fine + self.failing;
        if self.failing > self.fine {
            return heard * 2 >= known || failing_for >= MAJORITY_PERIOD;
        }
        let is_third_failing = self.failing >= 2 && self.failing * 3 >= voters;
        is_third_failing && heard * 2 >= known && failing_for >= MINORITY_PERIOD
    }
}
