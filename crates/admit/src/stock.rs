//! Operations that limiters granted to an instance in advance, and what the instance knows of
//! their exhaustion.
//!
//! Load pattern: an account of hundreds of operations a second requests several at once, for
//! all its callers. An operation that was granted to a request of some priority passed the
//! limiter's reserve for more urgent ones, so it may serve these as well, but none that is less
//! urgent. Refusals are remembered in the same way: what is exhausted for a priority is
//! exhausted for the less urgent ones, and the more urgent ones still ask.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;

use crate::{bucket::Demand, service::Priority};

/// Period for which operations are requested in advance: an account with many operations per
/// second gets several with one request, an account with few is counted exactly.
const PREFETCH: Duration = Duration::from_millis(40);

/// Time after which granted operations expire.
pub const GRANT_TTL: Duration = Duration::from_millis(500);

/// Operations of an account that one instance has been granted, by priority.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Stock {
    levels: BTreeMap<Priority, Level>,
}

/// Requests of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Level {
    /// Operations that were granted and aren't used yet, and the time of the grant.
    granted: (u32, Instant),
    /// Time until which limiters aren't asked.
    exhausted_until: Instant,
    /// Time at which an operation can be expected again.
    available_at: Instant,
    demand: Demand,
}

impl Level {
    fn new(now: Instant) -> Self {
        Self {
            granted: (0, now),
            exhausted_until: Instant::ZERO,
            available_at: Instant::ZERO,
            demand: Demand::new(now),
        }
    }

    fn has_granted(&self, now: Instant) -> bool {
        let (count, at) = self.granted;
        count > 0 && at + GRANT_TTL > now
    }
}

/// Source of a requested operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An operation was in stock, granted to a request of this priority.
    Granted(Priority),
    /// A limiter has to be asked.
    Limiter,
    /// All limiters have run out; an operation can be expected after this time.
    Exhausted(Duration),
}

impl Stock {
    /// Counts a requested operation and takes it from the stock if there is one.
    ///
    /// ```
    /// use admit::stock::{Source, Stock};
    /// use clock::Instant;
    ///
    /// let now = Instant::from_millis(0);
    /// let mut stock = Stock::default();
    /// stock.add(1, 1, now);
    /// assert_eq!(stock.take(2, now), Source::Limiter);
    /// assert_eq!(stock.take(0, now), Source::Granted(1));
    /// assert_eq!(stock.take(0, now), Source::Limiter);
    /// ```
    pub fn take(&mut self, priority: Priority, now: Instant) -> Source {
        self.level(priority, now).demand.add(1, now);
        // What was granted to less urgent requests serves more of them, so it is used last.
        let mut usable = self.levels.range_mut(priority..);
        if let Some((granted_to, level)) = usable.find(|(_, level)| level.has_granted(now)) {
            level.granted.0 -= 1;
            return Source::Granted(*granted_to);
        }
        let exhausted = self.levels.range(..=priority);
        let exhausted = exhausted.filter(|(_, level)| level.exhausted_until > now);
        match exhausted.map(|(_, level)| level.available_at).max() {
            Some(available_at) => Source::Exhausted(available_at.since(now)),
            None => Source::Limiter,
        }
    }

    /// Number of operations of `priority` to request at once.
    pub fn batch_size(&self, priority: Priority, now: Instant) -> u32 {
        let level = self.levels.get(&priority);
        let rate = level.map_or(0.0, |level| level.demand.rate(now));
        1 + (rate * PREFETCH.as_secs_f64()) as u32
    }

    /// Stores operations that were granted to a request of `priority`.
    pub fn add(&mut self, priority: Priority, count: u32, now: Instant) {
        self.level(priority, now).granted = (count, now);
    }

    /// Returns an operation that wasn't run and had been granted to a request of `priority`.
    pub fn refund(&mut self, priority: Priority, now: Instant) {
        let level = self.level(priority, now);
        level.granted = match level.granted {
            (count, at) if at + GRANT_TTL > now => (count + 1, at),
            _ => (1, now),
        };
    }

    /// Remembers that no limiter has an operation of `priority` left: none is asked before
    /// `until`, and one can be expected at `available_at`.
    pub fn exhaust(
        &mut self,
        priority: Priority,
        until: Instant,
        available_at: Instant,
        now: Instant,
    ) {
        let level = self.level(priority, now);
        (level.exhausted_until, level.available_at) = (until, available_at);
    }

    /// Operations per second that are requested.
    pub fn demand(&self, now: Instant) -> f64 {
        let rates = self.levels.values().map(|level| level.demand.rate(now));
        rates.sum()
    }

    fn level(&mut self, priority: Priority, now: Instant) -> &mut Level {
        let level = self.levels.entry(priority);
        level.or_insert_with(|| Level::new(now))
    }
}
