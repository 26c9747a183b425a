//! Which of those who wait for an upstream is served next.
//!
//! The load pattern: an upstream is asked for more than it can do, for seconds. Its
//! replicas were cut off and all reads come to the primary, many callers come at once,
//! or it turned slow. In the order of arrival everybody waits as long as anybody bears
//! it, and everybody is served too late. Since not all can be served in time, some are:
//! the newest, who have all of their time left.

use std::time::Duration;

use clock::Instant;

/// How long the first in line may wait before the queue counts as one that stands.
///
/// A queue that drains within this is a burst, and the order of arrival is fair and
/// serves everybody in time. It is a small part of the shortest aim in use (100 ms).
const STANDING: Duration = Duration::from_millis(30);

/// Somebody who waits, and for what.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Who goes first; zero is the highest.
    pub priority: u8,
    /// Since when it waits.
    pub since: Instant,
    /// When an answer is late.
    pub aim: Instant,
    /// How to reach it.
    pub reply: T,
}

/// Those who wait for one upstream.
#[derive(Debug)]
pub struct Queue<T> {
    waiters: Vec<Waiter<T>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Takes in one more, behind the others.
    pub fn push(&mut self, waiter: Waiter<T>) {
        self.waiters.push(waiter);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Keeps only those whom `stays` names: the others have given up.
    pub fn retain(&mut self, stays: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| stays(&waiter.reply));
    }

    /// Takes out who is served next, if an answer is expected to take `service`.
    ///
    /// Who can't be answered in time any more goes behind all who can, whatever the
    /// priorities: work for an answer that is late anyway makes others late as well.
    /// Then priorities count. Then the order of arrival, or while the queue stands the
    /// other way round.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::{Queue, Waiter};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let mut queue = Queue::default();
    /// for (since, name) in [(0, "first"), (10, "second"), (90, "third")] {
    ///     let aim = at(since + 100);
    ///     queue.push(Waiter { priority: 1, since: at(since), aim, reply: name });
    /// }
    /// let service = Duration::from_millis(5);
    /// assert_eq!(queue.next(at(98), service).unwrap().reply, "third");
    /// assert_eq!(queue.next(at(98), service).unwrap().reply, "second");
    /// ```
    pub fn next(&mut self, now: Instant, service: Duration) -> Option<Waiter<T>> {
        let is_late = |waiter: &Waiter<T>| waiter.aim < now + service;
        let stands = |waiter: &Waiter<T>| waiter.since + STANDING < now;
        let rank = |waiter: &Waiter<T>| (is_late(waiter), waiter.priority);
        let best = self.waiters.iter().map(rank).min()?;
        let fits = |waiter: &Waiter<T>| rank(waiter) == best;
        let first = self.waiters.iter().position(fits)?;
        let at = match stands(&self.waiters[first]) {
            true => self.waiters.iter().rposition(fits)?,
            false => first,
        };
        Some(self.waiters.remove(at))
    }
}
