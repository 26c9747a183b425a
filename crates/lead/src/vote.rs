//! Whether a primary is gone, judged by all instances that can be heard.

use std::time::Duration;

use clock::Instant;
use serde::{Deserialize, Serialize};

/// How long a primary must fail before those who see it fail may outvote silence.
const MAJORITY_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a third of the instances must be without the primary.
const MINORITY_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a primary must refuse everybody until it is replaced.
const REFUSING_PERIOD: Duration = Duration::from_millis(2_200);

/// How lately the store must have answered whoever judges a primary.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(700);

/// How long the store must have answered it again. An instance that was cut off reaches the
/// upstreams no sooner than the store: a zone that is back would else replace the primaries
/// of all groups that it holds.
const MIN_STORE_CONTACT: Duration = Duration::from_millis(700);

/// Whether an instance may judge primaries at `now`: the store, which answered it last at
/// `stored`, has done so without a gap since `since`.
///
/// ```
/// use clock::Instant;
/// use lead::vote::is_eligible;
///
/// let at = Instant::from_millis;
/// assert!(is_eligible(at(9_000), at(8_900), at(1_000)));
/// assert!(!is_eligible(at(9_000), at(8_200), at(1_000)), "cut off");
/// assert!(!is_eligible(at(9_000), at(8_900), at(8_800)), "back a moment ago");
/// ```
pub fn is_eligible(now: Instant, stored: Instant, since: Instant) -> bool {
    stored + MAX_STORE_SILENCE >= now && since + MIN_STORE_CONTACT <= now
}

/// What one instance sees of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It answered a moment ago.
    Fine,
    /// It fails, again and again.
    Failing,
    /// There was no reason to ask it.
    Unknown,
    /// It lives, but has refused this instance its first connection for a while.
    Full,
}

/// The verdicts of the instances that were heard lately, the own one included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Who saw it answer.
    pub fine: usize,
    /// Who sees it fail.
    pub failing: usize,
    /// Who can't tell.
    pub unknown: usize,
    /// Who is refused a first connection.
    pub full: usize,
}

impl Tally {
    /// Counts one more verdict.
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

    /// Whether the primary is to be replaced because it has refused everybody for
    /// `full_for`.
    ///
    /// A full upstream lives, and as a rule others use its connections. But it may
    /// count connections that nobody has any more, until they have lain idle for a
    /// minute; nobody is served meanwhile. Behind a loss of power all are refused as
    /// well: the upstream still counts for 3 s what they had, and instances are back
    /// after one. So it is replaced only if nobody at all was answered for longer.
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

    /// Whether the primary is to be replaced, after failing here for `failing_for`.
    ///
    /// One zone's blindness is not a dead primary: as a rule more must see it fail
    /// than see it answer, and those heard must be half of the `known` instances. A
    /// list of instances lags by seconds after many were killed, so after a while
    /// those who are heard decide alone. If several, and a third of those who can
    /// tell, see it fail for long, a replacement costs all callers less than a
    /// primary out of reach costs theirs.
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
