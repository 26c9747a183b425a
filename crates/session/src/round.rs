//! Shares one confirmation round between all sessions that wait for one.
//!
//! A round for each session without a token would cost a query on the primary per
//! session. A round is valid for every session that began before the round did, so
//! one round serves them all.

use std::time::Duration;

use clock::Instant;

/// Tells if the caller has to start a confirmation round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Send the position query to every upstream of the group.
    Now,
    /// A valid round is running, or will start when the running one ends.
    Later,
}

/// Limits the confirmation rounds of a database to one at a time.
#[derive(Debug, Clone)]
pub struct Round {
    timeout: Duration,
    started: Option<Instant>,
    requested: Option<Instant>,
}

impl Round {
    /// Creates the state for the rounds of a database. A round that has not ended
    /// after `timeout` is considered lost.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            started: None,
            requested: None,
        }
    }

    /// Requests a round for a session that began at `since`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use session::{Round, Start};
    ///
    /// let mut round = Round::new(Duration::from_millis(50));
    /// let at = Instant::from_millis;
    /// assert_eq!(round.request(at(1), at(1)), Start::Now);
    /// // This session began before the round did, so the round is valid for it.
    /// assert_eq!(round.request(at(2), at(0)), Start::Later);
    /// assert_eq!(round.end(at(4)), Start::Later);
    /// ```
    pub fn request(&mut self, now: Instant, since: Instant) -> Start {
        let Some(began) = self
            .started
            .filter(|&began| now.since(began) < self.timeout)
        else {
            return self.start(now);
        };
        if since > began {
            self.requested = Some(since);
        }
        Start::Later
    }

    /// Ends a round, confirmed or not; starts the next one if one was requested.
    pub fn end(&mut self, now: Instant) -> Start {
        self.started = None;
        match self.requested {
            Some(_) => self.start(now),
            None => Start::Later,
        }
    }

    fn start(&mut self, now: Instant) -> Start {
        self.started = Some(now);
        self.requested = None;
        Start::Now
    }
}
