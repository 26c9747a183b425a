//! Moments counted in microseconds from an arbitrary start.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime},
};

/// A moment, in microseconds since its clock was opened.
///
/// Instants of two processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Instant {
    /// The moment the clock was opened.
    pub const ZERO: Self = Self(0);

    /// The moment `micros` microseconds after the clock was opened.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The moment `millis` milliseconds after the clock was opened.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the clock was opened.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The machine's monotonic clock; the only place where it is read.
///
/// ```
/// let clock = clock::Clock::open();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
    epoch: Duration,
}

impl Clock {
    /// Opens a clock that counts from now.
    pub fn open() -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            start: std::time::Instant::now(),
            epoch: epoch.unwrap_or_default(),
        }
    }

    /// The time since the Unix epoch: the machine's clock when this one was
    /// opened, counted on without a jump.
    ///
    /// ```
    /// let clock = clock::Clock::open();
    /// assert!(clock.since_epoch() <= clock.since_epoch());
    /// ```
    pub fn since_epoch(&self) -> Duration {
        self.epoch + self.start.elapsed()
    }

    /// The moment it is.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.start.elapsed()
    }
}
