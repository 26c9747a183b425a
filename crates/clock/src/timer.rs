//! A timer service: parts subscribe to moments and are told when they came.

use std::collections::{BTreeMap, HashMap};

use crate::Instant;

/// What a subscription is cancelled with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

/// Subscriptions to moments, each with what to tell when the moment comes.
///
/// Subscriptions that fall due at one moment are told in the order made.
///
/// ```
/// use clock::{Instant, Timer};
///
/// let mut timer = Timer::default();
/// timer.subscribe(Instant::from_millis(5), "probe");
/// let late = timer.subscribe(Instant::from_millis(9), "give up");
/// timer.cancel(late);
/// assert_eq!(timer.next(), Some(Instant::from_millis(5)));
/// assert_eq!(timer.expired(Instant::from_millis(10)), ["probe"]);
/// assert_eq!(timer.next(), None);
/// ```
#[derive(Debug)]
pub struct Timer<T> {
    due: BTreeMap<(Instant, Token), T>,
    due_times: HashMap<Token, Instant>,
    next_token: u64,
}

impl<T> Default for Timer<T> {
    fn default() -> Self {
        Self {
            due: BTreeMap::new(),
            due_times: HashMap::new(),
            next_token: 0,
        }
    }
}

impl<T> Timer<T> {
    /// Asks to be told `event` at `at`.
    pub fn subscribe(&mut self, at: Instant, event: T) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.due.insert((at, token), event);
        self.due_times.insert(token, at);
        token
    }

    /// Takes a subscription back; `None` if it was told or cancelled before.
    pub fn cancel(&mut self, token: Token) -> Option<T> {
        let at = self.due_times.remove(&token)?;
        self.due.remove(&(at, token))
    }

    /// The next moment that somebody waits for.
    pub fn next(&self) -> Option<Instant> {
        self.due.first_key_value().map(|(&(at, _), _)| at)
    }

    /// Takes out all that fell due up to `now`, earliest first.
    pub fn expired(&mut self, now: Instant) -> Vec<T> {
        let mut events = Vec::new();
        while let Some(entry) = self.due.first_entry() {
            let (at, token) = *entry.key();
            if at > now {
                break;
            }
            events.push(entry.remove());
            self.due_times.remove(&token);
        }
        events
    }
}
