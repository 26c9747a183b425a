//! The platform's store: one record, compare-and-swap, watches, bad days.

use std::time::Duration;

use failover::event::{Call, Entry, Event as Decision, StoreFault};
use model::Record;

use crate::net::{Place, Transport};

use super::{Occurrence, World, instance::Arrival};

/// How long the store takes over a call.
const SERVICE_TIME: Duration = Duration::from_millis(1);

/// How often a watch that broke off is tried again.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What the store is asked.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// The record.
    Read,
    /// The record as a watch begins with it.
    Watch,
    /// To replace the record if it is still at this revision.
    Swap(u64, Record),
}

/// The store, as far as one group sees it.
#[derive(Debug)]
pub struct Store {
    /// Whether it takes no calls.
    pub down: bool,
    /// How much longer than usual each call takes.
    pub extra_latency: Duration,
    /// How many of the next answers are lost.
    pub answers_to_lose: u32,
    /// How many calls it took.
    pub calls: u64,
    entry: Entry,
}

impl Store {
    /// Opens the store with a first record.
    pub fn open(record: Record) -> Self {
        Self {
            down: false,
            extra_latency: Duration::ZERO,
            answers_to_lose: 0,
            calls: 0,
            entry: Entry {
                revision: 1,
                record,
            },
        }
    }

    /// Ends all that ails it.
    pub fn recover(&mut self) {
        self.down = false;
        self.extra_latency = Duration::ZERO;
        self.answers_to_lose = 0;
    }

    /// The record.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    fn swap(&mut self, expected: u64, record: Record) -> Result<u64, StoreFault> {
        if self.entry.revision != expected {
            return Err(StoreFault::Conflict);
        }
        self.entry.revision += 1;
        self.entry.record = record;
        Ok(self.entry.revision)
    }
}

impl World {
    pub(super) fn ask_store(&mut self, from: usize, call: Call, message: Message) {
        let place = self.instance_place(from);
        let occurrence = Occurrence::AtStore {
            from,
            call,
            message,
        };
        self.send(place, Place::Platform, Transport::Stream, occurrence);
    }

    pub(super) fn at_store(&mut self, from: usize, call: Call, message: Message) {
        if self.store.down {
            return;
        }
        self.store.calls += 1;
        let decision = match message {
            Message::Read => {
                let result = Ok(Some(self.store.entry.clone()));
                Decision::Read { call, result }
            }
            Message::Watch => Decision::Watched(self.store.entry.clone()),
            Message::Swap(expected, record) => {
                let result = self.store.swap(expected, record);
                if result.is_ok() {
                    self.notify();
                }
                Decision::Swapped { call, result }
            }
        };
        if self.store.answers_to_lose > 0 {
            self.store.answers_to_lose -= 1;
            return;
        }
        let span = SERVICE_TIME + self.store.extra_latency;
        self.answer_from_store(from, span, Arrival::Group(decision));
    }

    /// Watches go on where they broke off, as soon as the store is reached
    /// again: what changed meanwhile is shown then.
    pub(super) fn resume_watches(&mut self) {
        self.schedule_after(WATCH_RETRY_INTERVAL, Occurrence::Resume);
        if !self.store.down {
            self.notify();
        }
    }

    /// Tells the watchers: one instance of each zone, which tells the others.
    fn notify(&mut self) {
        let entry = self.store.entry.clone();
        let span = SERVICE_TIME + self.store.extra_latency;
        for zone in 0..self.site.zones {
            let is_in_zone = |i: &usize| self.instances[*i].zone == zone && self.instances[*i].up;
            let Some(relay) = (0..self.instances.len()).find(is_in_zone) else {
                continue;
            };
            self.answer_from_store(relay, span, Arrival::Watched(entry.clone()));
        }
    }

    fn answer_from_store(&mut self, to: usize, span: Duration, arrival: Arrival) {
        let place = self.instance_place(to);
        let Some(travel) = self.net.send(Place::Platform, place, Transport::Stream) else {
            return;
        };
        let incarnation = self.instances[to].incarnation;
        let occurrence = Occurrence::AtInstance {
            instance: to,
            incarnation,
            arrival,
        };
        self.schedule_after(span + travel, occurrence);
    }
}
