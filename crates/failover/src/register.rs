//! The store's record: reading it, and swapping it until the outcome is known.
//!
//! An answer of the store can be lost after the swap took effect, or the swap
//! can take effect long after it was given up. A swap is therefore repeated
//! with the same expected revision and the same attempt id, so that it takes
//! effect at most once, and is recognised by that id when it is read back.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Phase, Record, name};
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::{
    event::{ABSENT_REVISION, Action, Call, Entry, StoreFault},
    timing::Timing,
};

/// How often the wait for the store doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Calls that were given up and whose answers are still of use.
const MAX_OPEN_CALLS: usize = 32;

/// What a step of the ledger showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Our swap took effect.
    Won,
    /// The record is another's.
    Other,
    /// There is no record.
    Absent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    Read,
    Swap,
    Backoff,
}

#[derive(Debug)]
struct Pending {
    call: Option<Call>,
    waiting: Waiting,
    until: Instant,
}

#[derive(Debug)]
struct Swap {
    expected: u64,
    record: Record,
}

/// What is known of the store's record, and the one call under way.
#[derive(Debug)]
pub(crate) struct Register {
    known: Option<Entry>,
    swap: Option<Swap>,
    pending: Option<Pending>,
    open_calls: BTreeMap<Call, Option<u128>>,
    read_requested: bool,
    failures: u32,
    calls: u64,
    attempts: u64,
    instance: name::Instance,
    seed: u64,
}

impl Register {
    pub(crate) fn open(instance: name::Instance, seed: u64) -> Self {
        Self {
            known: None,
            swap: None,
            pending: None,
            open_calls: BTreeMap::new(),
            read_requested: false,
            failures: 0,
            calls: 0,
            attempts: 0,
            instance,
            seed,
        }
    }

    /// The record as last read, seen or written.
    pub(crate) fn known(&self) -> Option<&Entry> {
        self.known.as_ref()
    }

    /// A fresh number for a call to the store or to an upstream.
    pub(crate) fn next_call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    /// An id that no other attempt of any instance has.
    pub(crate) fn next_attempt(&mut self) -> u128 {
        self.attempts += 1;
        let text = format!("{}#{}", self.instance, self.attempts);
        xxh3_128_with_seed(text.as_bytes(), self.seed)
    }

    /// Reads the record, dropping a swap whose outcome no longer matters.
    pub(crate) fn read(&mut self, now: Instant, timing: &Timing) -> Action {
        self.swap = None;
        self.read_requested = true;
        self.failures = 0;
        self.send_read(now, timing)
    }

    /// Swaps the known record for `record`.
    pub(crate) fn swap(&mut self, now: Instant, timing: &Timing, record: Record) -> Action {
        let expected = self.known.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        self.swap = Some(Swap { expected, record });
        self.read_requested = false;
        self.failures = 0;
        self.send_swap(now, timing)
    }

    /// When to call [`Register::expire`].
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.pending.as_ref().map(|p| p.until)
    }

    /// Gives up a call that was not answered, and makes the next one.
    pub(crate) fn expire(&mut self, now: Instant, timing: &Timing) -> Option<Action> {
        let pending = self.pending.take_if(|p| p.until <= now)?;
        if pending.waiting != Waiting::Backoff {
            self.failures += 1;
        }
        Some(self.send_read(now, timing))
    }

    /// Takes the answer to a read.
    pub(crate) fn on_read(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<Option<Entry>, StoreFault>,
    ) -> (Option<Outcome>, Option<Action>) {
        let step = self.take_read(now, timing, call, result);
        self.stop_if_idle();
        step
    }

    fn take_read(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<Option<Entry>, StoreFault>,
    ) -> (Option<Outcome>, Option<Action>) {
        if self.close_call(call).is_none() {
            return (None, None);
        }
        let Ok(entry) = result else {
            self.back_off(now, timing);
            return (None, None);
        };
        let revision = entry.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        let known = self.known.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        if let Some(entry) = entry
            && revision >= known
        {
            return self.apply_entry(now, timing, entry);
        }
        match &self.swap {
            Some(swap) if swap.expected == revision => (None, Some(self.send_swap(now, timing))),
            _ if revision == ABSENT_REVISION => {
                self.known = None;
                self.swap = None;
                self.read_requested = false;
                (Some(Outcome::Absent), None)
            }
            // The read was overtaken by a watch or a swap; it shows nothing.
            _ => (None, None),
        }
    }

    fn apply_entry(
        &mut self,
        now: Instant,
        timing: &Timing,
        entry: Entry,
    ) -> (Option<Outcome>, Option<Action>) {
        let revision = entry.revision;
        let attempt = entry.record.attempt;
        let old = self.known.replace(entry).map(|e| e.revision);
        let asked = std::mem::take(&mut self.read_requested);
        let Some(swap) = &self.swap else {
            // An answer that came late and shows nothing new must not look as
            // if another had changed the record.
            let changed = asked || old != Some(revision);
            return (changed.then_some(Outcome::Other), None);
        };
        if swap.record.attempt == attempt {
            self.swap = None;
            return (Some(Outcome::Won), None);
        }
        if swap.expected == revision {
            return (None, Some(self.send_swap(now, timing)));
        }
        self.swap = None;
        (Some(Outcome::Other), None)
    }

    /// Takes the answer to a swap.
    pub(crate) fn on_swapped(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<u64, StoreFault>,
    ) -> (Option<Outcome>, Option<Action>) {
        let step = self.take_swapped(now, timing, call, result);
        self.stop_if_idle();
        step
    }

    fn take_swapped(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<u64, StoreFault>,
    ) -> (Option<Outcome>, Option<Action>) {
        let Some(attempt) = self.close_call(call) else {
            return (None, None);
        };
        match result {
            Ok(revision) => {
                let ours = |s: &mut Swap| Some(s.record.attempt) == attempt;
                let Some(swap) = self.swap.take_if(ours) else {
                    return (None, self.catch_up(now, timing, revision));
                };
                let record = swap.record;
                self.known = Some(Entry { revision, record });
                (Some(Outcome::Won), None)
            }
            // The conflict may be with our own earlier, unanswered swap.
            Err(StoreFault::Conflict) if self.swap.is_some() => {
                (None, Some(self.send_read(now, timing)))
            }
            Err(StoreFault::Conflict) => (None, None),
            Err(StoreFault::Unanswered) => {
                self.back_off(now, timing);
                (None, None)
            }
        }
    }

    /// Reads again if a swap that was dropped has taken effect after all, and
    /// no watch has shown it.
    fn catch_up(&mut self, now: Instant, timing: &Timing, revision: u64) -> Option<Action> {
        let known = self.known.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        if known >= revision {
            return None;
        }
        self.read_requested = true;
        Some(self.send_read(now, timing))
    }

    /// Takes what a watch showed; `None` if it was known.
    pub(crate) fn on_watched(&mut self, entry: Entry) -> Option<Outcome> {
        if self
            .known
            .as_ref()
            .is_some_and(|k| k.revision >= entry.revision)
        {
            return None;
        }
        let ours = self.swap.as_ref().map(|s| s.record.attempt) == Some(entry.record.attempt);
        self.known = Some(entry);
        self.swap = None;
        self.read_requested = false;
        self.pending = None;
        Some(if ours { Outcome::Won } else { Outcome::Other })
    }

    /// Whether the known record is a claim without a primary.
    pub(crate) fn is_claim(&self) -> bool {
        let claim = |e: &Entry| matches!(e.record.phase, Phase::Claimed { .. });
        self.known.as_ref().is_some_and(claim)
    }

    /// Takes a call off the open ones: `Some` with the attempt that it swapped
    /// in, if any.
    ///
    /// An answer counts although its call was given up: while the store takes
    /// longer than any wait, all answers come late, and dropping them would
    /// leave this instance without a record for as long as that lasts.
    fn close_call(&mut self, call: Call) -> Option<Option<u128>> {
        let attempt = self.open_calls.remove(&call)?;
        self.pending.take_if(|p| p.call == Some(call));
        Some(attempt)
    }

    fn wait_time(&self, timing: &Timing) -> Duration {
        timing.store_timeout * (1 << self.failures.min(MAX_DOUBLINGS))
    }

    fn back_off(&mut self, now: Instant, timing: &Timing) {
        self.failures += 1;
        self.set_pending(None, Waiting::Backoff, now + self.wait_time(timing));
    }

    fn set_pending(&mut self, call: Option<Call>, waiting: Waiting, until: Instant) {
        self.pending = Some(Pending {
            call,
            waiting,
            until,
        });
    }

    /// Stops waiting once there is nothing to learn, or a slow store would be
    /// asked again and again.
    fn stop_if_idle(&mut self) {
        if self.swap.is_none() && !self.read_requested {
            self.pending = None;
        }
    }

    fn open_call(&mut self, attempt: Option<u128>) -> Call {
        let call = self.next_call();
        self.open_calls.insert(call, attempt);
        if self.open_calls.len() > MAX_OPEN_CALLS {
            self.open_calls.pop_first();
        }
        call
    }

    fn send_read(&mut self, now: Instant, timing: &Timing) -> Action {
        let call = self.open_call(None);
        self.set_pending(Some(call), Waiting::Read, now + self.wait_time(timing));
        Action::Read { call }
    }

    fn send_swap(&mut self, now: Instant, timing: &Timing) -> Action {
        let Some(swap) = &self.swap else {
            return self.send_read(now, timing);
        };
        let (expected, record) = (swap.expected, swap.record.clone());
        let call = self.open_call(Some(record.attempt));
        self.set_pending(Some(call), Waiting::Swap, now + self.wait_time(timing));
        Action::Swap {
            call,
            expected,
            record,
        }
    }
}
