//! Drain of a leaving upstream: the time after its announcement for which it may get new work.
//!
//! The list of upstreams tells that an upstream leaves, but not since when. An instance knows the
//! last time at which the list did not say so yet, and counts the drain from then. If it counted
//! from when it learnt of the announcement, an upstream would get work after its drain whenever
//! the instance learns late: after a start, a lost answer, a partition or a suspension.

use std::time::Duration;

use clock::Instant;

use crate::freshness;

/// Drain of a leaving upstream.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::Drain;
///
/// let (at, span) = (Instant::from_millis, Duration::from_secs(7));
/// let mut drain = Drain::default();
/// assert_eq!(drain.left(at(9_000), span), Duration::ZERO, "announced at an unknown time");
/// drain.narrow(Some(at(5_000)));
/// drain.narrow(Some(at(4_000)));
/// assert_eq!(drain.left(at(9_000), span), Duration::from_secs(3));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drain {
    not_before: Option<Instant>,
}

impl Drain {
    /// A drain that was announced at `not_before` or later; `None` if nothing is known.
    pub fn new(not_before: Option<Instant>) -> Self {
        Self { not_before }
    }

    /// Records that the drain was announced at `not_before` or later. The latest of these times
    /// counts.
    pub fn narrow(&mut self, not_before: Option<Instant>) {
        self.not_before = self.not_before.max(not_before);
    }

    /// Returns the longest time for which the upstream may have been leaving; `None` if unknown.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.since(self.not_before?))
    }

    /// Returns how much longer the upstream may get new work, `span` being the time allowed after
    /// its announcement. Zero if it is unknown when the upstream announced.
    pub fn left(&self, now: Instant, span: Duration) -> Duration {
        let age = self.age(now);
        age.map_or(Duration::ZERO, |age| span.saturating_sub(age))
    }
}

/// Returns the earliest time of an announcement, by the clock of the instance that was told its
/// `age` in answer to a request sent at `asked`. The request had `waited` at the other instance
/// when the age was taken. `None` if that is before the clock's origin: this instance's machine may
/// have booted after the announcement.
///
/// A delay of the answer makes the result earlier than the announcement, never later.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::drain::not_before;
///
/// let (at, ms) = (Instant::from_millis, Duration::from_millis);
/// assert_eq!(not_before(at(9_000), ms(500), ms(2_000)), Some(at(7_500)));
/// assert_eq!(not_before(at(1_000), ms(500), ms(2_000)), None);
/// ```
pub fn not_before(asked: Instant, waited: Duration, age: Duration) -> Option<Instant> {
    freshness::valid_from(asked + waited, age)
}
