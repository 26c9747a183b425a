//! Brings a planned change into the store exactly once.
//!
//! The answer to a transaction can be lost after it took effect, and another
//! operator can be faster. [`Apply`] sends, and wherever the answer leaves a
//! doubt reads back what the store holds before it decides:
//!
//! - the record under the change's number has the change's mark: it took
//!   effect, whoever changed the catalogue since;
//! - the head is still the one planned from: it did not take effect, and can
//!   be sent again, since its condition lets it through at most once;
//! - otherwise another change took its place, and it never will.

use std::time::Duration;

use crate::{
    change::{self, Change},
    head::Head,
    history::{self, Record},
    layout::Snapshot,
    plan::{Plan, Txn},
};

/// How often a transaction is sent before its outcome is given up on.
pub const MAX_SENDS: u32 = 4;

/// How often the store is read in vain, in a row, before that.
pub const MAX_READS: u32 = 4;

/// The wait before the second attempt; it doubles with each further one.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// What came back from the store.
#[derive(Debug)]
pub enum Event {
    /// The transaction took effect, at this revision.
    Committed(u64),
    /// The transaction's condition did not hold.
    Refused,
    /// The store refused the transaction itself: it did not take effect.
    Rejected,
    /// The transaction never left.
    NotSent,
    /// Whether the transaction took effect is not known.
    Unknown,
    /// What the store holds.
    Read(Box<Evidence>),
    /// The store could not be read.
    ReadFailed,
}

/// What the store holds after an attempt.
#[derive(Debug)]
pub struct Evidence {
    /// The catalogue.
    pub now: Snapshot,
    /// The record under the plan's number with its revision, *read after the
    /// catalogue*: were it read before, a change could take effect between
    /// the two, be followed by another, and be taken for lost.
    pub record: Option<(Record, u64)>,
}

/// What to do next.
#[derive(Debug)]
pub enum Action {
    /// Send the transaction after a wait; tell how it ended.
    Send(Duration, Txn),
    /// Read the catalogue and then the record of this number, after a wait.
    Read(Duration, u64),
    /// It is over.
    Done(Outcome),
}

/// How a change ended.
#[derive(Debug)]
pub enum Outcome {
    /// It took effect, at this revision.
    Applied(u64),
    /// Another change was faster; nothing of this one took effect.
    Conflict(Box<Conflict>),
    /// The store refused it or could not be reached; it did not take effect.
    NotRun,
    /// The store gave no answer that tells; the mark is in the plan's head.
    Unknown,
}

/// What was changed in the place of a change that lost a race.
#[derive(Debug)]
pub struct Conflict {
    /// The last change in force; none if the catalogue was removed.
    pub head: Option<Head>,
    /// The revision now in force.
    pub revision: u64,
    /// All that changed since the lost change was planned.
    pub changes: Vec<Change>,
}

/// A planned change on its way.
#[derive(Debug)]
pub struct Apply {
    plan: Plan,
    sends: u32,
    reads: u32,
    certainty: Certainty,
}

/// Whether a transaction that was sent may take effect unseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Certainty {
    /// None was sent whose end is not known.
    Known,
    /// An answer was lost.
    Unknown,
}

impl Apply {
    /// Starts with the plan; the first action sends it.
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

    /// The plan on its way.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The plan, for use after the end.
    pub fn into_plan(self) -> Plan {
        self.plan
    }

    /// Takes what came back and tells what to do next.
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

    /// Asks for what the store holds, unless that was asked in vain too often.
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
        // The record that would tell is among those removed since.
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

    /// Ends without the store's word. Even a change that was not found may
    /// still take effect, where a request of it was lost on its way.
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
