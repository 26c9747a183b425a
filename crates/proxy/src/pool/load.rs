//! Load of a pool.

use std::{collections::HashSet, rc::Rc};

use admit::load::Sample;

use super::Pool;

impl Pool {
    /// Returns what runs and waits now.
    pub(crate) fn sample(&self) -> Sample {
        let waiters = self.waiters.borrow();
        let accounts: HashSet<Option<&Rc<str>>> = waiters
            .iter()
            .map(|waiting| waiting.account.as_ref())
            .collect();
        Sample {
            running: self.active(),
            waiting: self.waiting(),
            urgent: waiters.urgent_count(),
            accounts: accounts.len(),
        }
    }
}
