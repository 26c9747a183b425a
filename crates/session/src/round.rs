//! One confirmation round for all the sessions that wait for one.
//!
//! Asking a majority for every session that presents nothing would cost each
//! one a read on the primary. A round that began after a session did is valid
//! for it whoever asked, so one round serves all who came before it began.

use std::time::Duration;

use clock::Instant;

/// Whether to ask the whole group for its positions now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Send the position query to every upstream of the group.
    Now,
    /// A round that will do is under way, or will start when it ends.
    Later,
}

/// Lets at most one confirmation round of a database be under way.
#[derive(Debug, Clone)]
pub struct Round {
    timeout: Duration,
    started: Option<Instant>,
    requested: Option<Instant>,
}

impl Round {
    /// Makes the rounds of a database; one without an end in `timeout` is given up.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            started: None,
            requested: None,
        }
    }

    /// A session that began at `since` waits for a round.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use session::{Round, Start};
    ///
    /// let mut round = Round::new(Duration::from_millis(50));
    /// let at = Instant::from_millis;
    /// assert_eq!(round.request(at(1), at(1)), Start::Now);
    /// // This session began before the round did, so the round serves it too.
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

    /// A round ended, confirmed or not; starts the next one if it is requested.
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
