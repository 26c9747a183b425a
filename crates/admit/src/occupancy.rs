//! Slots of an upstream that recently admitted requests use, by priority.
//!
//! Load pattern: a request waits while requests that go first keep arriving. The work ahead of it
//! at its arrival tells nothing of those.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;

use crate::service::{Class, Priority};

/// Time constant of the moving averages.
const TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Time after the last request of a class for which its next one is expected.
const EXPECTED_AFTER: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    slots: f64,
    at: Instant,
}

impl Average {
    fn value(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.slots * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, work: Duration) {
        self.slots = self.value(now) + work.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }
}

/// Moving averages of the work that arrives, in slots.
///
/// ```
/// use std::time::Duration;
/// use admit::occupancy::Occupancy;
/// use admit::service::{Class, Kind};
/// use clock::Instant;
///
/// let class = Class { priority: 1, kind: Kind::Read };
/// let (work, objective) = (Duration::from_millis(2), Duration::from_millis(100));
/// let mut occupancy = Occupancy::default();
/// for millis in 0..3_000 {
///     occupancy.add(Instant::from_millis(millis), class, work, objective);
/// }
/// let now = Instant::from_millis(3_000);
/// assert!((1.9..2.1).contains(&occupancy.above(now, 2)));
/// assert_eq!(occupancy.above(now, 1), 0.0);
/// ```
#[derive(Debug, Default)]
pub struct Occupancy {
    priorities: BTreeMap<Priority, Average>,
    transactions: Average,
    classes: BTreeMap<Class, (Instant, Duration)>,
}

/// A class whose requests go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgent {
    /// The class.
    pub class: Class,
    /// Time within which its last request had to be answered.
    pub objective: Duration,
}

impl Occupancy {
    /// Records a request that was admitted and has to be answered within `objective`.
    pub fn add(&mut self, now: Instant, class: Class, work: Duration, objective: Duration) {
        let average = self.priorities.entry(class.priority).or_default();
        average.add(now, work);
        self.classes.insert(class, (now, objective));
    }

    /// Classes of higher priorities of which requests have arrived lately.
    pub fn urgent(&self, now: Instant, priority: Priority) -> impl Iterator<Item = Urgent> {
        let is_urgent = move |class: &Class, at: Instant| {
            class.priority < priority && at + EXPECTED_AFTER > now
        };
        self.classes
            .iter()
            .filter(move |(class, (at, _))| is_urgent(class, *at))
            .map(|(class, (_, objective))| Urgent {
                class: *class,
                objective: *objective,
            })
    }

    /// Records a statement of a transaction; such statements wait for nobody.
    pub fn add_transaction(&mut self, now: Instant, work: Duration) {
        self.transactions.add(now, work);
    }

    /// Slots used by transactions and by requests of higher priorities.
    pub fn above(&self, now: Instant, priority: Priority) -> f64 {
        let higher = self.priorities.range(..priority);
        let slots: f64 = higher.map(|(_, average)| average.value(now)).sum();
        slots + self.transactions.value(now)
    }
}
