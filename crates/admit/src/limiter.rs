//! Grants operations from an account's share by priority.
//!
//! Load pattern: an account sends several times its quota, most of it operations of low
//! priority. Granted in order of arrival, those take the quota from the few urgent ones. So a
//! limiter keeps some operations for the more urgent requests that it expects, by their
//! measured rate. What it keeps comes from the part of the burst beyond the quota's own, so an
//! account within its quota loses nothing. Only the level is kept, not a part of the rate: what
//! urgent callers don't use goes to the others as it accrues.
//!
//! Hundreds of callers are refused in a second. Told the time until the next operation, they
//! would all come back for it, so each is told a time behind the one before.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;

use crate::{
    bucket::{Bucket, Demand, Limit},
    service::Priority,
};

/// Time of urgent demand that is kept: a rise of the demand is covered until its estimate
/// follows.
const HORIZON: Duration = Duration::from_secs(2);

/// Rate below which a priority isn't expected any more: one operation, six seconds ago.
const NEGLIGIBLE_RATE: f64 = 0.01;

/// Smallest part of a limit's rate that is assumed to be left for the less urgent operations
/// when the time until one is available is estimated.
const MIN_RATE_LEFT: f64 = 0.1;

/// Longest time to come back that callers are told: the demand is another one by then.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Times at which operations are available again after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Time until an operation can be expected.
    pub wait: Duration,
    /// Time until one can be expected for this caller, behind those that were refused before: at
    /// least `wait`, but no longer than five seconds.
    pub retry: Duration,
}

impl Shortage {
    /// Creates a shortage with `retry` within its bounds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::limiter::Shortage;
    ///
    /// let wait = Duration::from_millis(10);
    /// assert_eq!(Shortage::new(wait, Duration::ZERO).retry, wait);
    /// assert!(Shortage::new(wait, Duration::MAX).retry < Duration::from_secs(10));
    /// ```
    pub fn new(wait: Duration, retry: Duration) -> Self {
        Self {
            wait,
            retry: retry.max(wait).min(MAX_RETRY),
        }
    }

    /// Joins the refusals of two limiters of an account: operations accrue at both.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::limiter::Shortage;
    ///
    /// let millis = Duration::from_millis;
    /// let [one, two] = [10, 30].map(|wait| Shortage::new(millis(wait), millis(200)));
    /// assert_eq!(one.and(two), Shortage::new(millis(10), millis(100)));
    /// ```
    pub fn and(self, other: Self) -> Self {
        let [one, two] = [self.retry, other.retry].map(|retry| retry.as_secs_f64());
        let joined = Duration::try_from_secs_f64(one * two / (one + two));
        Self::new(self.wait.min(other.wait), joined.unwrap_or_default())
    }
}

/// Limiter of one account's share.
#[derive(Debug, Clone, PartialEq)]
pub struct Limiter {
    bucket: Bucket,
    /// Requested operations by priority; zero is the most urgent.
    demand: BTreeMap<Priority, Demand>,
    /// Latest time to come back that a caller was told, by priority.
    returns: BTreeMap<Priority, Instant>,
}

impl Limiter {
    /// Creates a limiter that has the operations of `bucket`.
    pub fn new(bucket: Bucket) -> Self {
        Self {
            bucket,
            demand: BTreeMap::new(),
            returns: BTreeMap::new(),
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
    /// None is available; the error tells when one can be expected.
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
        priority: Priority,
        count: u32,
        now: Instant,
    ) -> Result<u32, Shortage> {
        let demand = self.demand.entry(priority);
        let demand = demand.or_insert_with(|| Demand::new(now));
        demand.add(count, now);
        self.demand
            .retain(|_, demand| demand.rate(now) > NEGLIGIBLE_RATE);
        let more_urgent = self.demand.range(..priority);
        let urgent: f64 = more_urgent.map(|(_, demand)| demand.rate(now)).sum();
        let kept = match urgent > 0.0 {
            true => {
                // A full bucket has one operation for each priority.
                let most = limit.reserve.min(limit.burst - 1.0).max(0.0);
                (urgent * HORIZON.as_secs_f64()).max(1.0).min(most)
            }
            false => 0.0,
        };
        let mut granted = 0;
        while granted < count {
            match self.bucket.take_above(kept, limit, now, Duration::ZERO) {
                Ok(_) => granted += 1,
                Err(wait) if granted == 0 => {
                    let left = (limit.rate - urgent).max(limit.rate * MIN_RATE_LEFT);
                    let wait = accrual(wait.as_secs_f64() * limit.rate, left);
                    let retry = self.schedule_return(priority, wait, accrual(1.0, left), now);
                    return Err(Shortage::new(wait, retry));
                }
                Err(_) => break,
            }
        }
        Ok(granted)
    }

    /// Returns the time after which a refused caller of `priority` may come back, if the next
    /// operation is available after `wait` and the others follow at intervals of `gap`.
    fn schedule_return(
        &mut self,
        priority: Priority,
        wait: Duration,
        gap: Duration,
        now: Instant,
    ) -> Duration {
        self.returns.retain(|_, latest| *latest > now);
        let mut at = now + wait.min(MAX_RETRY);
        if let Some(latest) = self.returns.get(&priority) {
            at = at.max(*latest + gap.min(MAX_RETRY));
        }
        at = at.min(now + MAX_RETRY);
        self.returns.insert(priority, at);
        at.since(now)
    }
}

/// Returns the time in which `operations` accrue at `rate` per second.
fn accrual(operations: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(operations / rate).unwrap_or(Duration::MAX)
}
