//! Statements that were classified as reads and proved to write.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use clock::Instant;

/// SQLSTATE with which a replica refuses a write. The refused statement has not run.
pub const READ_ONLY: &str = "25006";

/// A bounded set of fingerprints of statements that go to the primary.
///
/// A missing entry costs one refused attempt on a replica. Entries expire so that a
/// statement can run on replicas again after a function that it calls was changed.
#[derive(Debug, Clone)]
pub struct KnownWrites {
    capacity: usize,
    ttl: Duration,
    expires_at: HashMap<u64, Instant>,
    order: VecDeque<u64>,
}

impl KnownWrites {
    /// Creates a set of up to `capacity` fingerprints that expire after `ttl`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use route::{KnownWrites, statement::fingerprint};
    ///
    /// let mut known_writes = KnownWrites::new(64, Duration::from_secs(600));
    /// let text = fingerprint("select next_ticket()");
    /// known_writes.insert(Instant::ZERO, text);
    /// assert!(known_writes.contains(Instant::from_millis(5), text));
    /// ```
    pub fn new(capacity: usize, ttl: Duration) -> Self {
        Self {
            capacity,
            ttl,
            expires_at: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds a statement that a replica refused with [`READ_ONLY`].
    pub fn insert(&mut self, now: Instant, fingerprint: u64) {
        let previous = self.expires_at.insert(fingerprint, now + self.ttl);
        if previous.is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.expires_at.remove(&oldest);
        }
    }

    /// Returns true if the statement is known to write.
    pub fn contains(&self, now: Instant, fingerprint: u64) -> bool {
        self.expires_at
            .get(&fingerprint)
            .is_some_and(|&expires_at| now < expires_at)
    }
}
