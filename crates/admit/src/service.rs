//! Expected service times of the statements at one upstream, and the statements in flight there.
//!
//! Load pattern: statements of one upstream differ by a factor of ten in their service times, and
//! an upstream slows down or stalls as a whole. A mean of all statements predicts neither.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;

/// Expected service time without any measurement.
const INITIAL: Duration = Duration::from_millis(5);

/// Divisors of a new measurement's weight in the mean and in the deviation, as in RFC 6298.
const WEIGHT_DIVISORS: (u32, u32) = (8, 4);

/// Deviations that [`Service::high`] allows for beyond the mean.
const DEVIATIONS: u32 = 2;

/// Time after which the mean of all statements replaces that of a class without measurements.
///
/// A class that is refused because of its estimate is not measured, so the estimate would stay.
const STALE_AFTER: Duration = Duration::from_millis(2_000);

/// Period over which the lowest mean of a class is looked up; it covers the last one or two.
const BASE_PERIOD: Duration = Duration::from_millis(2_000);

/// Ratio of a mean to its lowest value from which the upstream counts as queueing statements.
const QUEUEING_RATIO: f64 = 1.5;

/// Priority of a request; zero is the highest.
pub type Priority = u64;

/// What a statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A read.
    Read,
    /// A write.
    Write,
    /// The start of a transaction.
    Begin,
}

/// Class of statements with similar service times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority of the statements.
    pub priority: Priority,
    /// What the statements do.
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
    measured_at: Instant,
    /// Lowest means of the period before and of the current one.
    lowest: [Duration; 2],
    period_began: Instant,
}

impl Estimate {
    fn new(now: Instant, time: Duration) -> Self {
        Self {
            mean: time,
            deviation: time / 2,
            measured_at: now,
            lowest: [time, time],
            period_began: now,
        }
    }

    fn record(&mut self, now: Instant, time: Duration) {
        let (mean, deviation) = WEIGHT_DIVISORS;
        let error = self.mean.abs_diff(time);
        self.deviation = (self.deviation * (deviation - 1) + error) / deviation;
        self.mean = (self.mean * (mean - 1) + time) / mean;
        self.measured_at = now;
        let [before, current] = self.lowest;
        self.lowest = match self.period_began + BASE_PERIOD < now {
            true => {
                self.period_began = now;
                [current, self.mean]
            }
            false => [before, current.min(self.mean)],
        };
    }

    fn lowest(&self) -> Duration {
        let [before, current] = self.lowest;
        before.min(current)
    }
}

/// Handle of a statement in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Flight {
    ticket: Ticket,
    class: Class,
    since: Instant,
}

/// Service times and statements in flight at one upstream.
///
/// ```
/// use std::time::Duration;
/// use admit::service::{Class, Kind, Service};
/// use clock::Instant;
///
/// let at = Instant::from_millis;
/// let class = Class { priority: 1, kind: Kind::Read };
/// let mut service = Service::default();
/// let ticket = service.start(at(10), class);
/// assert_eq!(service.finish(at(40), ticket), Some(Duration::from_millis(30)));
/// assert_eq!(service.mean(at(40), class), Duration::from_millis(30));
/// ```
#[derive(Debug)]
pub struct Service {
    overall: Estimate,
    classes: BTreeMap<Class, Estimate>,
    flights: Vec<Flight>,
    next: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            overall: Estimate::new(Instant::ZERO, INITIAL),
            classes: BTreeMap::new(),
            flights: Vec::new(),
            next: 0,
        }
    }
}

impl Service {
    /// Records that a statement was sent.
    pub fn start(&mut self, now: Instant, class: Class) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.flights.push(Flight {
            ticket,
            class,
            since: now,
        });
        ticket
    }

    /// Records that a statement ended, and returns its service time.
    pub fn finish(&mut self, now: Instant, ticket: Ticket) -> Option<Duration> {
        let at = self.flights.iter().position(|it| it.ticket == ticket)?;
        let flight = self.flights.swap_remove(at);
        let time = now.since(flight.since);
        self.overall.record(now, time);
        self.classes
            .entry(flight.class)
            .and_modify(|estimate| estimate.record(now, time))
            .or_insert_with(|| Estimate::new(now, time));
        Some(time)
    }

    /// Expected service time of a statement.
    pub fn mean(&self, now: Instant, class: Class) -> Duration {
        self.estimate(now, class).mean
    }

    /// Service time that most statements of the class don't exceed.
    pub fn high(&self, now: Instant, class: Class) -> Duration {
        let estimate = self.estimate(now, class);
        estimate.mean + estimate.deviation * DEVIATIONS
    }

    /// Returns true if statements of the class take longer than they did with less load, so that
    /// fewer of them in flight cost no throughput.
    pub fn is_queueing(&self, now: Instant, class: Class) -> bool {
        self.fresh(now, class)
            .is_some_and(|known| known.mean > known.lowest().mul_f64(QUEUEING_RATIO))
    }

    /// Expected service time at the lowest load of the last seconds; zero if it is unknown.
    pub fn lowest(&self, now: Instant, class: Class) -> Duration {
        let known = self.fresh(now, class);
        known.map_or(Duration::ZERO, Estimate::lowest)
    }

    /// Work that the statements in flight still need.
    ///
    /// A statement that exceeds its expected time is expected to take as long again: nothing else
    /// is known of an upstream that has stalled.
    pub fn remaining(&self, now: Instant) -> Duration {
        let remaining = |flight: &Flight| {
            let elapsed = now.since(flight.since);
            match self.mean(now, flight.class).checked_sub(elapsed) {
                Some(left) => left,
                None => elapsed,
            }
        };
        self.flights.iter().map(remaining).sum()
    }

    fn estimate(&self, now: Instant, class: Class) -> &Estimate {
        self.fresh(now, class).unwrap_or(&self.overall)
    }

    fn fresh(&self, now: Instant, class: Class) -> Option<&Estimate> {
        let known = self.classes.get(&class)?;
        (known.measured_at + STALE_AFTER > now).then_some(known)
    }
}
