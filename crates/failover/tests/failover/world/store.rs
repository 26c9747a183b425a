//! The platform's store: one record, changed by compare-and-swap.

use std::time::Duration;

use failover::{ABSENT_REVISION, Call, Entry, Event, StoreFault};
use model::{Lsn, Phase, Record, Term};

use super::{Host, Task, World, upstream_name};

#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) entry: Option<Entry>,
    pub(crate) down: bool,
    pub(crate) slow: Duration,
    /// Number of following answers that are lost after the call took effect.
    pub(crate) answers_to_lose: u32,
    pub(crate) swaps: u32,
}

impl Store {
    pub(crate) fn open(has_record: bool) -> Self {
        let phase = Phase::Led {
            upstream: upstream_name(0),
        };
        let record = Record {
            term: Term(1),
            phase,
            fork: Lsn(0),
            attempt: 1,
        };
        let entry = Entry {
            revision: 1,
            record,
        };
        Self {
            entry: has_record.then_some(entry),
            down: false,
            slow: Duration::ZERO,
            answers_to_lose: 0,
            swaps: 0,
        }
    }
}

impl World {
    pub(crate) fn store_read(&mut self, i: usize, call: Call) {
        if self.store.down {
            return;
        }
        let result = Ok(self.store.entry.clone());
        self.store_answer(i, Event::Read { call, result });
    }

    pub(crate) fn store_swap(&mut self, i: usize, call: Call, expected: u64, record: Record) {
        if self.store.down {
            return;
        }
        let revision = self
            .store
            .entry
            .as_ref()
            .map_or(ABSENT_REVISION, |e| e.revision);
        if revision != expected {
            let result = Err(StoreFault::Conflict);
            return self.store_answer(i, Event::Swapped { call, result });
        }
        self.store.swaps += 1;
        let revision = revision + 1;
        self.store.entry = Some(Entry { revision, record });
        let result = Ok(revision);
        self.store_answer(i, Event::Swapped { call, result });
        self.store_watch();
    }

    fn store_answer(&mut self, i: usize, event: Event) {
        if self.store.answers_to_lose > 0 {
            self.store.answers_to_lose -= 1;
            return;
        }
        let slow = self.store.slow;
        self.send_later(slow, Host::Store, Host::Instance(i), Task::Step(i, event));
    }

    /// Delivers the record to all watches.
    pub(crate) fn store_watch(&mut self) {
        let Some(entry) = self.store.entry.clone() else {
            return;
        };
        let slow = self.store.slow;
        for j in 0..self.instances.len() {
            let event = Event::Watched(entry.clone());
            self.send_later(slow, Host::Store, Host::Instance(j), Task::Step(j, event));
        }
    }

    pub(crate) fn restore_store(&mut self) {
        self.store.down = false;
        self.store.slow = Duration::ZERO;
        self.store_watch();
    }
}
