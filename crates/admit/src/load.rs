//! Load of a holder at an upstream: how it is measured, and when it is told at once.
//!
//! Load pattern: the statements of a holder come and go within milliseconds, while the other
//! holders learn of them a heartbeat later. Reports of single moments would say that holders are
//! idle and busy in turn, so reports hold averages, and only a holder that starts to queue tells
//! the others at once.

use std::time::Duration;

use clock::Instant;
use serde::{Deserialize, Serialize};

use crate::relays::FREQUENT_INTERVAL;

/// Units of a [`Load`] for one statement.
pub const TENTHS: u16 = 10;

/// Time constant of the averages: a holder that stops working counts as idle two heartbeats later.
const AVERAGING: Duration = FREQUENT_INTERVAL.checked_div(2).unwrap();

/// Average load of a holder at an upstream, in tenths of statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Statements that run, those of transactions included.
    pub running: u16,
    /// Requests that wait.
    pub waiting: u16,
    /// Requests of the highest priority that wait.
    pub urgent: u16,
    /// Accounts with waiting requests.
    pub accounts: u16,
}

impl Load {
    /// Statements that run and requests that wait, in tenths.
    pub fn total(self) -> usize {
        usize::from(self.running) + usize::from(self.waiting)
    }

    /// Returns true if there is work for at least one place all the time.
    ///
    /// ```
    /// use admit::load::Load;
    ///
    /// assert!(!Load { running: 9, ..Load::default() }.is_busy());
    /// assert!(Load { running: 4, waiting: 6, ..Load::default() }.is_busy());
    /// ```
    pub fn is_busy(self) -> bool {
        self.total() >= usize::from(TENTHS)
    }

    /// Returns true if a request waits all the time.
    pub fn is_queueing(self) -> bool {
        self.waiting >= TENTHS
    }

    /// Returns true if there is nothing to report.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// The work of a holder at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Statements that run, those of transactions included.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests of the highest priority that wait.
    pub urgent: usize,
    /// Accounts with waiting requests.
    pub accounts: usize,
}

/// Moving averages of a holder's work at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    means: [f64; 4],
    sampled_at: Option<Instant>,
}

impl Meter {
    /// Adds the work at `now` and returns the average load.
    ///
    /// ```
    /// use admit::load::{Load, Meter, Sample};
    /// use clock::Instant;
    ///
    /// let mut meter = Meter::default();
    /// let sample = Sample { waiting: 40, ..Sample::default() };
    /// assert_eq!(meter.record(Instant::from_millis(0), Sample::default()), Load::default());
    /// assert!(meter.record(Instant::from_millis(25), sample).is_queueing());
    /// ```
    pub fn record(&mut self, now: Instant, sample: Sample) -> Load {
        let elapsed = self.sampled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.sampled_at = Some(now);
        let kept = (-elapsed.as_secs_f64() / AVERAGING.as_secs_f64()).exp();
        let Sample {
            running,
            waiting,
            urgent,
            accounts,
        } = sample;
        for (mean, count) in self
            .means
            .iter_mut()
            .zip([running, waiting, urgent, accounts])
        {
            let count = u32::try_from(count).map_or(f64::MAX, f64::from);
            *mean = *mean * kept + count * (1.0 - kept);
        }
        let [running, waiting, urgent, accounts] = self.means.map(tenths);
        Load {
            running,
            waiting,
            urgent,
            accounts,
        }
    }
}

/// Rounds to tenths. A float that is too large becomes the largest integer.
fn tenths(mean: f64) -> u16 {
    (mean * f64::from(TENTHS)).round() as u16
}

/// Decides when a holder tells its load before the next heartbeat.
#[derive(Debug, Clone, Copy, Default)]
pub struct Announcer {
    is_told: bool,
    told_at: Option<Instant>,
}

impl Announcer {
    /// Returns true if `load` is to be told at once: the holder has become busy, and its last
    /// announcement is at least a heartbeat ago.
    ///
    /// ```
    /// use admit::load::{Announcer, Load};
    /// use clock::Instant;
    ///
    /// let (at, busy) = (Instant::from_millis, Load { waiting: 20, ..Load::default() });
    /// let mut announcer = Announcer::default();
    /// assert!(announcer.is_due(at(0), busy));
    /// assert!(!announcer.is_due(at(1_000), busy));
    /// assert!(!announcer.is_due(at(1_001), Load::default()));
    /// assert!(announcer.is_due(at(1_002), busy));
    /// ```
    pub fn is_due(&mut self, now: Instant, load: Load) -> bool {
        if !load.is_busy() {
            self.is_told = false;
            return false;
        }
        let is_recent = self.told_at.is_some_and(|at| at + FREQUENT_INTERVAL > now);
        if self.is_told || is_recent {
            return false;
        }
        *self = Self {
            is_told: true,
            told_at: Some(now),
        };
        true
    }
}
