//! When a catalogue that others have is asked of one of them.

use std::time::Duration;

use clock::Instant;

/// How long the store's own word is waited for: longer than changes are gathered (0.8 s)
/// and a busy processor takes, and short beside the seconds in which a catalogue has to be
/// in force (3 s, the platform's pages).
const FETCH_DELAY: Duration = Duration::from_millis(1_200);

/// How long an instance has been behind others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tracker {
    behind: Option<(u64, Instant)>,
}

impl Tracker {
    /// Takes in that another instance has `version` while this one has `own`; whether it
    /// is to be asked for it.
    ///
    /// One question for each span of patience: a catalogue of many routes takes a weak
    /// link for a second, and 57 instances asked at once took it for four.
    ///
    /// ```
    /// use clock::Instant;
    /// use proxy::catalog_lag::Tracker;
    ///
    /// let at = Instant::from_millis;
    /// let mut tracker = Tracker::default();
    /// assert!(!tracker.observe(5, 4, at(1_000)));
    /// assert!(!tracker.observe(5, 4, at(2_100)));
    /// assert!(tracker.observe(5, 4, at(2_200)));
    /// assert!(!tracker.observe(5, 4, at(2_201)));
    /// ```
    pub fn observe(&mut self, version: u64, own: u64, now: Instant) -> bool {
        if version <= own {
            return false;
        }
        let since = match self.behind {
            Some((then, since)) if then == own => since,
            _ => now,
        };
        let due = since + FETCH_DELAY <= now;
        self.behind = Some((own, if due { now } else { since }));
        due
    }
}
