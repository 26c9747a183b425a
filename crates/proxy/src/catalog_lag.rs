//! Decides when an instance whose catalogue is behind fetches a newer one from a peer.

use std::time::Duration;

use clock::Instant;

/// Time to wait for the catalogue from the store: longer than the 0.8 s for which changes are
/// gathered plus the delays of a busy processor, and short compared with the 3 s within which a
/// catalogue has to be in force.
const FETCH_DELAY: Duration = Duration::from_millis(1_200);

/// Tracks how long this instance has been behind its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tracker {
    behind: Option<(u64, Instant)>,
}

impl Tracker {
    /// Records that a peer has the catalogue `version` while this instance has `own`. Returns
    /// true if the peer is to be asked for the catalogue.
    ///
    /// At most one request is sent per `FETCH_DELAY`: a catalogue with many routes occupies a
    /// slow link for one second, and 57 instances that asked at once occupied it for four.
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
