//! Load of a pool.

use std::{collections::HashSet, rc::Rc};

use admit::{load::Sample, service::Priority};

use super::Pool;

/// Priority of urgent requests.
const URGENT: Priority = 0;

impl Pool {
    /// Returns what runs and waits now.
    pub(crate) fn sample(&self) -> Sample {
        let (waiters, schedule) = (self.waiters.borrow(), self.schedule.borrow());
        let waiting = || waiters.iter().chain(schedule.iter());
        let accounts: HashSet<Option<&Rc<str>>> =
            waiting().map(|waiting| waiting.account.as_ref()).collect();
        let urgent = waiting().filter(|waiting| waiting.priority == URGENT);
        Sample {
            running: self.active() + self.running_pinned.get(),
            waiting: self.waiting(),
            urgent: urgent.count(),
            accounts: accounts.len(),
        }
    }
}
