//! Moments in microseconds since an arbitrary start.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime},
};

/// Moment in microseconds since its clock was opened.
///
/// Instants of different processes are not comparable.
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

    /// The moment `span` earlier, or `None` if that is before the clock was opened.
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        let micros = u64::try_from(span.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Self)
    }

    /// Time since `earlier`, or zero if `earlier` is the later moment.
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

/// Monotonic clock of the machine, which is read nowhere else.
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
    /// Opens a clock that starts at zero now.
    pub fn open() -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            start: std::time::Instant::now(),
            epoch: epoch.unwrap_or_default(),
        }
    }

    /// Time since the Unix epoch: the machine's time of day when the clock was opened, advanced
    /// monotonically since.
    ///
    /// ```
    /// let clock = clock::Clock::open();
    /// assert!(clock.since_epoch() <= clock.since_epoch());
    /// ```
    pub fn since_epoch(&self) -> Duration {
        self.epoch + self.start.elapsed()
    }

    /// The current moment.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.start.elapsed()
    }
}
