//! Token buckets that limit an account's operations at one instance.
//!
//! Load pattern: clients send in bursts of up to seven times their usual rate. Operations
//! beyond the quota are refused before they cost an upstream or a network hop. A burst at or
//! slightly above the quota waits for a moment, which saves a refusal and a retry.

use std::time::Duration;

use clock::Instant;

/// Rate limit of an account at one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations a second.
    pub rate: f64,
    /// Operations that may come at once beyond the rate.
    pub burst: f64,
    /// Part of the burst that may be kept for urgent operations.
    pub reserve: f64,
}

/// Token bucket of an account, one token for each operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates a bucket with `tokens` operations.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// Takes one operation and returns the time that it has to wait.
    ///
    /// A waiting operation has reserved the next token, so later operations wait longer and
    /// none overtakes another.
    ///
    /// # Errors
    ///
    /// Returns the required wait if it exceeds `max_wait`; no token is taken then.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::bucket::{Bucket, Limit};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let limit = Limit { rate: 10.0, burst: 2.0, reserve: 0.0 };
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
        self.take_above(0.0, limit, now, max_wait)
    }

    /// Takes one operation like [`Bucket::take`], but leaves `kept` operations in the bucket.
    ///
    /// # Errors
    ///
    /// Returns the required wait if it exceeds `max_wait`; no token is taken then.
    pub fn take_above(
        &mut self,
        kept: f64,
        limit: Limit,
        now: Instant,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        self.refill(limit, now);
        let missing = (1.0 + kept - self.tokens).max(0.0);
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

    /// Continues with at most `tokens` operations, if the last update was before `since`: nothing
    /// has accrued meanwhile.
    pub fn resume(&mut self, tokens: f64, since: Instant) {
        if self.updated_at < since {
            self.tokens = self.tokens.min(tokens);
            self.updated_at = since;
        }
    }

    /// Adds the tokens that have accrued since the last update.
    fn refill(&mut self, limit: Limit, now: Instant) {
        let added = now.since(self.updated_at).as_secs_f64() * limit.rate;
        self.tokens = (self.tokens + added).min(limit.burst.max(0.0));
        self.updated_at = now;
    }
}

/// Exponentially weighted rate of the operations that an account requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    rate: f64,
    updated_at: Instant,
}

/// Time constant of the weighting: long enough for a steady figure at a few operations a
/// second, and short against bursts, which last for seconds.
const DECAY: Duration = Duration::from_millis(1_500);

impl Demand {
    /// Creates an estimate with a rate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Counts requested operations, admitted or not.
    pub fn add(&mut self, count: u32, now: Instant) {
        self.rate = self.rate(now) + f64::from(count) / DECAY.as_secs_f64();
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
    /// (0..100).for_each(|tenth| demand.add(1, at(tenth * 100)));
    /// assert!((9.0..11.0).contains(&demand.rate(at(9_950))));
    /// ```
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / DECAY.as_secs_f64();
        self.rate * (-elapsed).exp()
    }
}
