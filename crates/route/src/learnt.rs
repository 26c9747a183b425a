//! Statements that looked like reads and proved to write.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use clock::Instant;

/// The SQLSTATE with which a replica refuses a write, which proves that the
/// statement did not run there.
pub const READ_ONLY: &str = "25006";

/// A bounded memory of fingerprints that go straight to the primary.
///
/// Forgetting one costs a refused try on a replica; remembering one too long
/// would keep a statement off the replicas after its function was mended.
#[derive(Debug, Clone)]
pub struct Learnt {
    capacity: usize,
    keep: Duration,
    until: HashMap<u64, Instant>,
    order: VecDeque<u64>,
}

impl Learnt {
    /// Remembers up to `capacity` fingerprints, each for `keep`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use route::{Learnt, statement::fingerprint};
    ///
    /// let mut learnt = Learnt::new(64, Duration::from_secs(600));
    /// let text = fingerprint("select next_ticket()");
    /// learnt.remember(Instant::ZERO, text);
    /// assert!(learnt.knows(Instant::from_millis(5), text));
    /// ```
    pub fn new(capacity: usize, keep: Duration) -> Self {
        Self {
            capacity,
            keep,
            until: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Remembers a statement that a replica refused with [`READ_ONLY`].
    pub fn remember(&mut self, now: Instant, fingerprint: u64) {
        let known = self.until.insert(fingerprint, now + self.keep);
        if known.is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.until.remove(&oldest);
        }
    }

    /// Whether the statement is known to write.
    pub fn knows(&self, now: Instant, fingerprint: u64) -> bool {
        self.until
            .get(&fingerprint)
            .is_some_and(|&until| now < until)
    }
}
