//! Start-time fair queueing among client accounts.
//!
//! Load pattern: one account sends many times its usual, and all accounts' requests wait for the
//! same slots. In order of arrival the others would get the slots in proportion to what they send.
//! Here each request starts at a virtual time: the later of the clock's own and its account's last
//! virtual end. The earliest start goes first, so an account that asks for more than its share
//! delays only itself, and what the others leave is its own.

use std::{collections::HashMap, hash::Hash, time::Duration};

/// Accounts that are kept beyond twice those that are ahead of the clock.
const SPARE_ACCOUNTS: usize = 64;

/// Virtual time, in microseconds of service.
pub type Tag = u64;

/// Virtual clock of the accounts that share one resource.
///
/// ```
/// use std::time::Duration;
/// use admit::fair::Clock;
///
/// let mut clock = Clock::default();
/// let cost = Duration::from_millis(1);
/// let flood: Vec<_> = (0..3).map(|_| clock.charge(&"flood", cost)).collect();
/// assert_eq!(flood, [0, 1_000, 2_000]);
/// assert_eq!(clock.charge(&"other", cost), 0);
/// ```
#[derive(Debug)]
pub struct Clock<K> {
    now: Tag,
    ends: HashMap<K, Tag>,
    /// Number of accounts from which those that have caught up are dropped.
    limit: usize,
}

impl<K> Default for Clock<K> {
    fn default() -> Self {
        Self {
            now: 0,
            ends: HashMap::new(),
            limit: SPARE_ACCOUNTS,
        }
    }
}

impl<K: Clone + Eq + Hash> Clock<K> {
    /// Virtual start of the request that ran last.
    pub fn now(&self) -> Tag {
        self.now
    }

    /// Accounts whose next request would start at `start` or later because of what they were
    /// charged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::fair::Clock;
    ///
    /// let mut clock = Clock::default();
    /// clock.charge(&"north", Duration::from_millis(1));
    /// assert_eq!(clock.behind(500).collect::<Vec<_>>(), [&"north"]);
    /// assert_eq!(clock.behind(1_500).count(), 0);
    /// ```
    pub fn behind(&self, start: Tag) -> impl Iterator<Item = &K> {
        let behind = self.ends.iter().filter(move |(_, end)| **end >= start);
        behind.map(|(account, _)| account)
    }

    /// Virtual start of the next request of `account`.
    pub fn start(&self, account: &K) -> Tag {
        let end = self.ends.get(account).copied().unwrap_or(0);
        end.max(self.now)
    }

    /// Charges a request that is expected to take `cost`, and returns its virtual start.
    pub fn charge(&mut self, account: &K, cost: Duration) -> Tag {
        let start = self.start(account);
        let end = start.saturating_add(micros(cost));
        self.ends.insert(account.clone(), end);
        start
    }

    /// Advances the clock to the start of a request that begins to run.
    pub fn advance(&mut self, start: Tag) {
        self.now = self.now.max(start);
        if self.ends.len() > self.limit {
            // An account whose last end has passed would start at the clock's time anyway.
            let now = self.now;
            self.ends.retain(|_, end| *end > now);
            self.limit = self.ends.len() * 2 + SPARE_ACCOUNTS;
        }
    }

    /// Takes back the charge of a request that does not run. Otherwise refusals would count as
    /// service and starve the account.
    pub fn refund(&mut self, account: &K, cost: Duration) {
        if let Some(end) = self.ends.get_mut(account) {
            *end = end.saturating_sub(micros(cost));
        }
    }
}

fn micros(cost: Duration) -> u64 {
    u64::try_from(cost.as_micros()).unwrap_or(u64::MAX)
}
