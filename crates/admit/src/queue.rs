//! Queue of the requests that wait for an upstream.
//!
//! Load pattern: an upstream is overloaded for seconds, because its replicas are partitioned
//! and all reads go to the primary, because many callers arrive at once, or because it slowed
//! down. In order of arrival every request would wait almost until its time-out and all
//! answers would be late. Since not all can be answered in time, the newest are served first:
//! these have most of their time left.

use std::time::Duration;

use clock::Instant;

use crate::service::Priority;

/// Wait of the first request from which the queue counts as a standing queue.
///
/// A queue that drains sooner is a burst, for which the order of arrival is fair and answers
/// all in time. The value is a small part of the shortest latency objective in use (100 ms).
const STANDING_DELAY: Duration = Duration::from_millis(30);

/// Request that waits for an upstream.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Priority; zero is the highest.
    pub priority: Priority,
    /// Start of the wait.
    pub since: Instant,
    /// Moment from which an answer misses its latency objective.
    pub due: Instant,
    /// Handle for answering the waiter.
    pub reply: T,
}

/// Requests that wait for one upstream.
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
    /// Appends a waiter.
    pub fn push(&mut self, waiter: Waiter<T>) {
        self.waiters.push(waiter);
    }

    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes the waiters for which `keep` returns false, because the callers gave up.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| keep(&waiter.reply));
    }

    /// Removes and returns the waiter to serve next, for an expected service time of `service`.
    ///
    /// Waiters that can't be answered in time any more come last whatever their priority, since
    /// work for an answer that is late anyway delays the others. The rest is ordered by
    /// priority, then by arrival, or newest first while the queue is standing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::{Queue, Waiter};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let mut queue = Queue::default();
    /// for (since, name) in [(0, "first"), (10, "second"), (90, "third")] {
    ///     let due = at(since + 100);
    ///     queue.push(Waiter { priority: 1, since: at(since), due, reply: name });
    /// }
    /// let service = Duration::from_millis(5);
    /// assert_eq!(queue.pop(at(98), service).unwrap().reply, "third");
    /// assert_eq!(queue.pop(at(98), service).unwrap().reply, "second");
    /// ```
    pub fn pop(&mut self, now: Instant, service: Duration) -> Option<Waiter<T>> {
        let at = self.select(now, service, |_| true)?;
        Some(self.waiters.remove(at))
    }

    /// Like [`Queue::pop`], restricted to the waiters for which `matches` returns true.
    pub fn pop_where(
        &mut self,
        now: Instant,
        service: Duration,
        matches: impl Fn(&T) -> bool,
    ) -> Option<Waiter<T>> {
        let at = self.select(now, service, matches)?;
        Some(self.waiters.remove(at))
    }

    /// The waiter that [`Queue::pop_where`] would return; the waiter stays in the queue.
    pub fn peek_where(
        &self,
        now: Instant,
        service: Duration,
        matches: impl Fn(&T) -> bool,
    ) -> Option<&T> {
        let at = self.select(now, service, matches)?;
        Some(&self.waiters[at].reply)
    }

    /// All waiters in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiters.iter().map(|waiter| &waiter.reply)
    }

    fn select(
        &self,
        now: Instant,
        service: Duration,
        matches: impl Fn(&T) -> bool,
    ) -> Option<usize> {
        let is_late = |waiter: &Waiter<T>| waiter.due < now + service;
        let is_standing = |waiter: &Waiter<T>| waiter.since + STANDING_DELAY < now;
        let rank = |waiter: &Waiter<T>| (is_late(waiter), waiter.priority);
        let matching = self.waiters.iter().filter(|waiter| matches(&waiter.reply));
        let best = matching.map(rank).min()?;
        let is_best = |waiter: &Waiter<T>| matches(&waiter.reply) && rank(waiter) == best;
        let first = self.waiters.iter().position(is_best)?;
        match is_standing(&self.waiters[first]) {
            true => self.waiters.iter().rposition(is_best),
            false => Some(first),
        }
    }
}
