//! Writes a planned change to the store exactly once.
//!
//! The answer to a transaction can be lost after the transaction took effect,
//! and another operator's change can be committed first. [`Apply`] sends the
//! transaction and, whenever the outcome is uncertain, reads the store's
//! contents back:
//!
//! - If the record under the change's number has the change's id, the change
//!   took effect, even if further changes followed.
//! - If the head is still the one that the change was planned from, the change
//!   did not take effect and can be sent again: the transaction's condition
//!   lets at most one attempt succeed.
//! - Otherwise another change was committed instead, and this one can never
//!   take effect.

use std::time::Duration;

use crate::{
    change::{self, Change},
    head::Head,
    history::{self, Record},
    layout::Snapshot,
    plan::{Plan, Txn},
};

/// Maximum number of times that a transaction is sent.
pub const MAX_SENDS: u32 = 4;

/// Maximum number of consecutive failed reads of the store.
pub const MAX_READS: u32 = 4;

/// Delay before the second attempt; the delay doubles with each further one.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Result of the last action.
#[derive(Debug)]
pub enum Event {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// The transaction's condition did not hold.
    Refused,
    /// The store rejected the request; this attempt did not take effect.
    Rejected,
    /// The request was not sent.
    NotSent,
    /// The request was sent, but its outcome is unknown.
    Unknown,
    /// The store's contents were read.
    Read(Box<Evidence>),
    /// Reading the store failed.
    ReadFailed,
}

/// Contents of the store after an attempt.
#[derive(Debug)]
pub struct Evidence {
    /// The catalogue in force.
    pub now: Snapshot,
    /// The record under the plan's number with its revision. The record must be
    /// *read after the catalogue*: otherwise the change could take effect between
    /// the two reads, be followed by another change, and be mistaken for a
    /// conflict.
    pub record: Option<(Record, u64)>,
}

/// Next step for the caller of [`Apply::step`].
#[derive(Debug)]
pub enum Action {
    /// Send the transaction after this delay.
    Send(Duration, Txn),
    /// After this delay, read the catalogue and then the record of this number.
    Read(Duration, u64),
    /// Stop: the change ended with this outcome.
    Done(Outcome),
}

/// Outcome of a change.
#[derive(Debug)]
pub enum Outcome {
    /// The change took effect at this revision.
    Applied(u64),
    /// Another change was committed first; nothing of this one took effect.
    Conflict(Box<Conflict>),
    /// The store rejected the change or was unreachable; the change did not take
    /// effect.
    NotRun,
    /// No answer of the store shows whether the change took effect.
    Unknown,
}

/// The changes that were committed instead of a conflicting one.
#[derive(Debug)]
pub struct Conflict {
    /// The head in force; none if the catalogue was removed.
    pub head: Option<Head>,
    /// The revision in force.
    pub revision: u64,
    /// All changes since the conflicting change was planned.
    pub changes: Vec<Change>,
}

/// State machine that applies one plan.
#[derive(Debug)]
pub struct Apply {
    plan: Plan,
    sends: u32,
    reads: u32,
    certainty: Certainty,
}

/// Whether the outcome of every attempt so far is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Certainty {
    /// No attempt can take effect unnoticed.
    Known,
    /// The answer to an attempt was lost, so that the attempt may still take
    /// effect.
    Unknown,
}

impl Apply {
    /// Starts to apply `plan`. The returned action sends the transaction.
    pub fn start(plan: Plan) -> (Self, Action) {
        let txn = plan.txn.clone();
        let apply = Self {
            plan,
            sends: 1,
            reads: 0,
            certainty: Certainty::Known,
        };
        (apply, Action::Send(Duration::ZERO, txn))
    }

    /// The plan that is being applied.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Consumes the state machine and returns its plan.
    pub fn into_plan(self) -> Plan {
        self.plan
    }

    /// Processes the result of the last action and returns the next action.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Committed(revision) => Action::Done(Outcome::Applied(revision)),
            Event::Refused => self.read(Duration::ZERO),
            Event::Rejected if self.certainty == Certainty::Known => Action::Done(Outcome::NotRun),
            Event::Rejected => self.read(Duration::ZERO),
            Event::NotSent => self.read(backoff(self.sends)),
            Event::Unknown => {
                self.certainty = Certainty::Unknown;
                self.read(backoff(self.sends))
            }
            Event::ReadFailed => self.read(backoff(self.reads)),
            Event::Read(evidence) => {
                self.reads = 0;
                self.evaluate(*evidence)
            }
        }
    }

    /// Requests a read, or gives up after [`MAX_READS`] consecutive failures.
    fn read(&mut self, wait: Duration) -> Action {
        if self.reads == MAX_READS {
            return self.give_up();
        }
        self.reads += 1;
        Action::Read(wait, self.plan.head.number)
    }

    fn evaluate(&mut self, evidence: Evidence) -> Action {
        let change_id = self.plan.head.change;
        let Evidence { now, record } = evidence;
        if let Some((record, revision)) = record
            && record.head.change == change_id
        {
            return Action::Done(Outcome::Applied(revision));
        }
        if now
            .head
            .as_ref()
            .is_some_and(|head| head.change == change_id)
        {
            return Action::Done(Outcome::Applied(now.revision));
        }
        if now.revision == self.plan.from.revision {
            return self.send_again();
        }
        // The change's record would have been removed by now, so that its absence
        // proves nothing.
        let number = now.head.as_ref().map_or(0, |head| head.number);
        if number >= self.plan.head.number + history::MAX_RECORDS {
            return Action::Done(Outcome::Unknown);
        }
        let conflict = Conflict {
            changes: change::diff(&self.plan.from.catalog, &now.catalog),
            head: now.head,
            revision: now.revision,
        };
        Action::Done(Outcome::Conflict(Box::new(conflict)))
    }

    /// Ends without proof from the store. If an answer was lost, its request may
    /// still be in transit and take effect later.
    fn give_up(&self) -> Action {
        Action::Done(match self.certainty {
            Certainty::Known => Outcome::NotRun,
            Certainty::Unknown => Outcome::Unknown,
        })
    }

    fn send_again(&mut self) -> Action {
        if self.sends == MAX_SENDS {
            return self.give_up();
        }
        let wait = backoff(self.sends);
        self.sends += 1;
        Action::Send(wait, self.plan.txn.clone())
    }
}

fn backoff(attempts: u32) -> Duration {
    INITIAL_BACKOFF * 2u32.pow(attempts.saturating_sub(1).min(MAX_SENDS))
}
