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
const STANDING_DELAY: Duration = Duration::from_millis(30);

/// Somebody who waits, and for what.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Who goes first; zero is the highest.
    pub priority: u8,
    /// Since when it waits.
    pub since: Instant,
    /// When an answer is late.
    pub due: Instant,
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
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| keep(&waiter.reply));
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

    /// Takes out who is served next of those whom `fits` names.
    pub fn pop_where(
        &mut self,
        now: Instant,
        service: Duration,
        matches: impl Fn(&T) -> bool,
    ) -> Option<Waiter<T>> {
        let at = self.select(now, service, matches)?;
        Some(self.waiters.remove(at))
    }

    /// Who is served next of those whom `fits` names; it goes on waiting.
    pub fn peek_where(
        &self,
        now: Instant,
        service: Duration,
        matches: impl Fn(&T) -> bool,
    ) -> Option<&T> {
        let at = self.select(now, service, matches)?;
        Some(&self.waiters[at].reply)
    }

    /// Those who wait, in the order in which they came.
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
