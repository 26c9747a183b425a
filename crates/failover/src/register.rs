//! The compare-and-swap register in the store that holds the record of a
//! database.
//!
//! The answer to a swap can be lost after the swap took effect, and a swap can
//! take effect long after its time-out. A swap is therefore repeated with the
//! same expected revision and the same attempt id: it takes effect at most
//! once, and a read recognises it by the id.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Phase, Record, name};
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::{
    event::{ABSENT_REVISION, Action, Call, Entry, StoreFault},
    timing::Timing,
};

/// Number of times that the time-out of a store call doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Maximum number of timed-out calls whose late answers are still accepted.
const MAX_OPEN_CALLS: usize = 32;

/// Result of a step of the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The swap of this instance took effect.
    Won,
    /// The record was written by another instance.
    Other,
    /// No record exists.
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

/// The known record, and the one call in progress.
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

    /// The record as last read, watched or written.
    pub(crate) fn known(&self) -> Option<&Entry> {
        self.known.as_ref()
    }

    /// Returns a new number for a call to the store or to an upstream.
    pub(crate) fn next_call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    /// Returns an id that no other attempt of any instance has.
    pub(crate) fn next_attempt(&mut self) -> u128 {
        self.attempts += 1;
        let text = format!("{}#{}", self.instance, self.attempts);
        xxh3_128_with_seed(text.as_bytes(), self.seed)
    }

    /// Reads the record and drops a swap whose outcome no longer matters.
    pub(crate) fn read(&mut self, now: Instant, timing: &Timing) -> Action {
        self.swap = None;
        self.read_requested = true;
        self.failures = 0;
        self.send_read(now, timing)
    }

    /// Replaces the known record by `record`.
    pub(crate) fn swap(&mut self, now: Instant, timing: &Timing, record: Record) -> Action {
        let expected = self.known.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        self.swap = Some(Swap { expected, record });
        self.read_requested = false;
        self.failures = 0;
        self.send_swap(now, timing)
    }

    /// Time at which to call [`Register::expire`].
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.pending.as_ref().map(|p| p.until)
    }

    /// Times out a call without an answer and makes the next one.
    pub(crate) fn expire(&mut self, now: Instant, timing: &Timing) -> Option<Action> {
        let pending = self.pending.take_if(|p| p.until <= now)?;
        if pending.waiting != Waiting::Backoff {
            self.failures += 1;
        }
        Some(self.send_read(now, timing))
    }

    /// Handles the answer to a read.
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
            // A watch or a swap was faster than this read, which shows nothing
            // new.
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
            // A late answer with nothing new must not look like a change by
            // another instance.
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

    /// Handles the answer to a swap.
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
            // The conflict may be with an earlier, unanswered swap of this
            // instance.
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

    /// Reads again if a dropped swap took effect after all and no watch has
    /// delivered it.
    fn catch_up(&mut self, now: Instant, timing: &Timing, revision: u64) -> Option<Action> {
        let known = self.known.as_ref().map_or(ABSENT_REVISION, |e| e.revision);
        if known >= revision {
            return None;
        }
        self.read_requested = true;
        Some(self.send_read(now, timing))
    }

    /// Handles a record delivered by a watch; `None` if it was known.
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

    /// Returns true if the known record is a claim without a primary.
    pub(crate) fn is_claim(&self) -> bool {
        let claim = |e: &Entry| matches!(e.record.phase, Phase::Claimed { .. });
        self.known.as_ref().is_some_and(claim)
    }

    /// Removes a call from the open calls; `Some` with the attempt that it
    /// wrote, if any.
    ///
    /// The answer to a timed-out call counts as well: while the store is slower
    /// than every time-out, all answers are late, and dropping them would leave
    /// this instance without a record for as long.
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

    /// Stops the timer once nothing is outstanding; otherwise a slow store
    /// would be read again and again.
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
