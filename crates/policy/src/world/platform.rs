//! Fake platform store: one record with compare-and-swap, watches and faults.

use std::time::Duration;

use failover::event::{Call, Entry, Event as Decision, StoreFault};
use model::Record;

use crate::net::{Place, Transport};

use super::{Occurrence, World, instance::Arrival};

/// Time that the store takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(1);

/// Interval at which broken watches are resumed.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Message to the store.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// Reads the record.
    Read,
    /// Reads the record at the start of a watch.
    Watch,
    /// Replaces the record if its revision is still this one.
    Swap(u64, Record),
}

/// The store, reduced to the record of one group.
#[derive(Debug)]
pub struct Store {
    /// True while the store answers no calls.
    pub down: bool,
    /// Additional latency of each call.
    pub extra_latency: Duration,
    /// Number of answers that are still to be lost.
    pub answers_to_lose: u32,
    /// Number of calls received.
    pub calls: u64,
    entry: Entry,
}

impl Store {
    /// Opens the store with an initial record.
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

    /// Clears all faults.
    pub fn recover(&mut self) {
        self.down = false;
        self.extra_latency = Duration::ZERO;
        self.answers_to_lose = 0;
    }

    /// Returns the record with its revision.
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

    /// Resumes the watches once the store is reachable again; they deliver the
    /// changes made meanwhile.
    pub(super) fn resume_watches(&mut self) {
        self.schedule_after(WATCH_RETRY_INTERVAL, Occurrence::Resume);
        if !self.store.down {
            self.notify();
        }
    }

    /// Notifies one instance per zone, which relays the record to the others.
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
