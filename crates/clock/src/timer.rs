//! Timer service: events scheduled for a moment are returned once it has come.

use std::collections::{BTreeMap, HashMap};

use crate::Instant;

/// Handle for cancelling a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

/// Events, each scheduled for a moment.
///
/// Events of the same moment expire in the order of their subscription.
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
    /// Schedules `event` for `at`.
    pub fn subscribe(&mut self, at: Instant, event: T) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.due.insert((at, token), event);
        self.due_times.insert(token, at);
        token
    }

    /// Cancels a subscription and returns its event; `None` if it has expired or was cancelled
    /// before.
    pub fn cancel(&mut self, token: Token) -> Option<T> {
        let at = self.due_times.remove(&token)?;
        self.due.remove(&(at, token))
    }

    /// The earliest moment for which an event is scheduled.
    pub fn next(&self) -> Option<Instant> {
        self.due.first_key_value().map(|(&(at, _), _)| at)
    }

    /// Removes and returns all events due up to `now`, earliest first.
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
