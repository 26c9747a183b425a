//! Estimates of service times from completed statements.

use std::time::Duration;

use clock::Instant;

/// Time without a sample after which an estimate halves, and halves again.
///
/// If estimates did not decay, an entry whose statements were slow for a short
/// time would be refused for ever as unable to end in time, because no
/// statement would run that could correct its estimate.
pub const HALF_LIFE: Duration = Duration::from_secs(1);

const INITIAL: Duration = Duration::from_millis(5);
const GAIN_MEAN: f64 = 1.0 / 16.0;
const GAIN_DEVIATION: f64 = 1.0 / 8.0;

/// Moving mean and mean deviation of service times, as used by TCP.
///
/// ```
/// use std::time::Duration;
///
/// use clock::Instant;
///
/// let mut estimate = pool::estimate::Estimate::default();
/// let now = Instant::ZERO;
/// for _ in 0..200 {
///     estimate.learn(now, Duration::from_millis(8));
/// }
/// assert!(estimate.mean(now).abs_diff(Duration::from_millis(8)) < Duration::from_micros(10));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    updated: Instant,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            mean: INITIAL.as_secs_f64(),
            deviation: INITIAL.as_secs_f64() / 2.0,
            updated: Instant::ZERO,
        }
    }
}

impl Estimate {
    /// Records a statement that took `span` from its dispatch to its answer, or
    /// that was cancelled after `span`. Leaving out cancelled statements would
    /// make the estimate too short exactly when all of them time out.
    pub fn learn(&mut self, now: Instant, span: Duration) {
        let error = span.as_secs_f64() - self.mean;
        self.mean += error * GAIN_MEAN;
        self.deviation += (error.abs() - self.deviation) * GAIN_DEVIATION;
        self.updated = now;
    }

    /// Mean service time.
    pub fn mean(&self, now: Instant) -> Duration {
        self.decayed(now, self.mean)
    }

    /// Service time that nearly all statements stay below.
    pub fn tail(&self, now: Instant) -> Duration {
        self.decayed(now, self.mean + 2.0 * self.deviation)
    }

    fn decayed(&self, now: Instant, seconds: f64) -> Duration {
        let halvings = now.since(self.updated).as_secs() / HALF_LIFE.as_secs();
        let halvings = i32::try_from(halvings).unwrap_or(i32::MAX);
        Duration::from_secs_f64((seconds * 0.5_f64.powi(halvings)).max(0.0))
    }
}
