//! Grants operations from an account's share by priority.
//!
//! Load pattern: an account sends several times its quota, most of it operations of low
//! priority. Granted in order of arrival, those take the quota from the few urgent ones. So a
//! limiter keeps some operations for the more urgent requests that it expects, by their
//! measured rate. What it keeps comes from the part of the burst beyond the quota's own, so an
//! account within its quota loses nothing. Only the level is kept, not a part of the rate: what
//! urgent callers don't use goes to the others as it accrues.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;

use crate::bucket::{Bucket, Demand, Limit};

/// Time of urgent demand that is kept: a rise of the demand is covered until its estimate
/// follows.
const HORIZON: Duration = Duration::from_secs(2);

/// Rate below which a priority isn't expected any more: one operation, six seconds ago.
const NEGLIGIBLE_RATE: f64 = 0.01;

/// Smallest part of a limit's rate that is assumed to be left for the less urgent operations
/// when the time until one is available is estimated.
const MIN_RATE_LEFT: f64 = 0.1;

/// Limiter of one account's share.
#[derive(Debug, Clone, PartialEq)]
pub struct Limiter {
    bucket: Bucket,
    /// Requested operations by priority; zero is the most urgent.
    demand: BTreeMap<u8, Demand>,
}

impl Limiter {
    /// Creates a limiter that has the operations of `bucket`.
    pub fn new(bucket: Bucket) -> Self {
        Self {
            bucket,
            demand: BTreeMap::new(),
        }
    }

    /// Continues at `since`, when the share was regained, with at most `tokens` operations.
    ///
    /// ```
    /// use admit::{bucket::{Bucket, Limit}, limiter::Limiter};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let limit = Limit { rate: 10.0, burst: 6.0, reserve: 2.0 };
    /// let mut limiter = Limiter::new(Bucket::new(6.0, at(0)));
    /// limiter.resume(3.0, at(2_000));
    /// assert_eq!(limiter.grant(limit, 0, 9, at(2_000)), Ok(3));
    /// limiter.resume(3.0, at(2_000));
    /// assert_eq!(limiter.grant(limit, 0, 9, at(2_100)), Ok(1));
    /// ```
    pub fn resume(&mut self, tokens: f64, since: Instant) {
        self.bucket.resume(tokens, since);
    }

    /// Grants up to `count` operations of `priority`, where zero is the most urgent.
    ///
    /// # Errors
    ///
    /// None is available; the error is the time until one can be expected.
    ///
    /// ```
    /// use admit::{bucket::{Bucket, Limit}, limiter::Limiter};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let limit = Limit { rate: 10.0, burst: 6.0, reserve: 2.0 };
    /// let mut limiter = Limiter::new(Bucket::new(6.0, at(0)));
    /// assert_eq!(limiter.grant(limit, 0, 1, at(0)), Ok(1));
    /// assert_eq!(limiter.grant(limit, 2, 9, at(0)), Ok(3), "the others are kept");
    /// assert!(limiter.grant(limit, 2, 1, at(0)).is_err());
    /// assert_eq!(limiter.grant(limit, 0, 9, at(0)), Ok(2));
    /// ```
    pub fn grant(
        &mut self,
        limit: Limit,
        priority: u8,
        count: u32,
        now: Instant,
    ) -> Result<u32, Duration> {
        let demand = self.demand.entry(priority);
        let demand = demand.or_insert_with(|| Demand::new(now));
        demand.add(count, now);
        self.demand
            .retain(|_, demand| demand.rate(now) > NEGLIGIBLE_RATE);
        let more_urgent = self.demand.range(..priority);
        let urgent: f64 = more_urgent.map(|(_, demand)| demand.rate(now)).sum();
        let kept = match urgent > 0.0 {
            true => (urgent * HORIZON.as_secs_f64()).max(1.0).min(limit.reserve),
            false => 0.0,
        };
        let mut granted = 0;
        while granted < count {
            match self.bucket.take_above(kept, limit, now, Duration::ZERO) {
                Ok(_) => granted += 1,
                Err(wait) if granted == 0 => return Err(stretch(wait, limit.rate, urgent)),
                Err(_) => break,
            }
        }
        Ok(granted)
    }
}

/// Stretches a wait by the part of `rate` that more urgent operations use meanwhile.
fn stretch(wait: Duration, rate: f64, urgent: f64) -> Duration {
    let left = (rate - urgent).max(rate * MIN_RATE_LEFT);
    match left > 0.0 {
        true => {
            Duration::try_from_secs_f64(wait.as_secs_f64() * rate / left).unwrap_or(Duration::MAX)
        }
        false => Duration::MAX,
    }
}
