//! How much one instance lets an account ask for.
//!
//! The load pattern: customers whose programs ask in bursts, now and then seven times as much
//! as they usually do. What is beyond their quota is refused before it costs an upstream or a
//! hop; a burst that is within it, or nearly so, waits for a moment instead of being refused
//! and asked again.

use std::time::Duration;

use clock::Instant;

/// What an instance may let an account ask for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once, beyond the rate.
    pub burst: f64,
}

/// The operations that an account may ask for just now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    /// A bucket with `level` operations in it.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// Takes one operation out: how long it has to wait.
    ///
    /// Whoever waits has taken the next operation that comes in, so that those behind wait
    /// longer, and nobody is overtaken.
    ///
    /// # Errors
    ///
    /// It would have to wait for longer than `patience`, namely for so long; nothing was
    /// taken out.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::bucket::{Bucket, Limit};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let limit = Limit { rate: 10.0, burst: 2.0 };
    /// let max_wait = Duration::from_millis(150);
    /// let mut bucket = Bucket::new(1.0, at(0));
    /// assert_eq!(bucket.take(limit, at(0), max_wait), Ok(Duration::ZERO));
    /// assert_eq!(bucket.take(limit, at(0), max_wait), Ok(Duration::from_millis(100)));
    /// assert_eq!(bucket.take(limit, at(0), max_wait), Err(Duration::from_millis(200)));
    /// assert_eq!(bucket.take(limit, at(200), max_wait), Ok(Duration::ZERO));
    /// ```
    pub fn take(
        &mut self,
        limit: Limit,
        now: Instant,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        self.refill(limit, now);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = match limit.rate > 0.0 {
            true => Duration::try_from_secs_f64(missing / limit.rate).unwrap_or(Duration::MAX),
            false if missing > 0.0 => Duration::MAX,
            false => Duration::ZERO,
        };
        if wait > max_wait {
            return Err(wait);
        }
        self.tokens -= 1.0;
        Ok(wait)
    }

    /// Takes in what came since it was looked at last.
    fn refill(&mut self, limit: Limit, now: Instant) {
        let added = now.since(self.updated_at).as_secs_f64() * limit.rate;
        self.tokens = (self.tokens + added).min(limit.burst.max(0.0));
        self.updated_at = now;
    }
}

/// How many operations a second an account has asked for of late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    rate: f64,
    updated_at: Instant,
}

/// How long back demand is looked at: long enough that a few operations a second make a
/// steady figure, and short beside the seconds that a burst lasts.
const DECAY: Duration = Duration::from_millis(1_500);

impl Demand {
    /// Nothing was asked for yet.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Counts an operation that was asked for, whether or not it is let in.
    pub fn count(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / DECAY.as_secs_f64();
        self.updated_at = now;
    }

    /// Operations a second.
    ///
    /// ```
    /// use admit::bucket::Demand;
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let mut demand = Demand::new(at(0));
    /// (0..100).for_each(|tenth| demand.count(at(tenth * 100)));
    /// assert!((9.0..11.0).contains(&demand.rate(at(9_950))));
    /// ```
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / DECAY.as_secs_f64();
        self.rate * (-elapsed).exp()
    }
}
