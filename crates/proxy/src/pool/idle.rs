//! Idle connections of a pool.

use std::{rc::Rc, time::Duration};

use clock::Instant;

use super::Pool;
use crate::connection::{Connection, Values};

impl Pool {
    /// Takes an idle connection of `account`, with exactly these values if there is one.
    pub fn take_idle(&self, account: Option<&Rc<str>>, values: &Values) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let same = |connection: &Connection| {
                connection.belongs_to(account) && connection.has_values(values)
            };
            let same = idle.iter().rposition(same);
            let at = same.or_else(|| {
                idle.iter()
                    .rposition(|connection| connection.belongs_to(account))
            })?;
            let connection = idle.remove(at);
            if connection.is_open() {
                return Some(connection);
            }
        }
    }

    /// Takes an idle connection of any account, for a request of this process itself.
    pub fn take_any_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns true if an idle connection belongs to `account`.
    pub(super) fn has_idle(&self, account: Option<&Rc<str>>) -> bool {
        self.idle
            .borrow()
            .iter()
            .any(|connection| connection.belongs_to(account))
    }

    /// Closes the connection that has been idle longest if this instance has its share.
    ///
    /// The connection belongs to another account than the waiting requests. If it were kept, each
    /// instance would open more connections until the upstream refuses all of them.
    pub(super) fn make_room(&self) {
        let share = self.share.get();
        if share > 0 && self.open.get() >= share {
            let mut idle = self.idle.borrow_mut();
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
    }

    /// Closes connections beyond `share` that have been idle for `idle_limit`.
    pub fn close_excess(&self, now: Instant, share: usize, idle_limit: Duration) {
        let mut idle = self.idle.borrow_mut();
        let mut excess = self.open.get().saturating_sub(share);
        idle.retain(|connection| {
            let close = excess > 0 && connection.last_answer() + idle_limit < now;
            excess -= usize::from(close);
            !close
        });
    }
}
