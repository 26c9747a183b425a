//! Acknowledged writes are never lost.

use std::collections::{BTreeMap, HashMap};

use model::{Outcome, Position};

use crate::{Effect, Event, Operation, Request, Violation};

/// Checks that every acknowledged operation is in the log at the end.
///
/// A retry that found its operation already executed and is answered as done
/// acknowledges the first execution. A read acknowledges nothing.
#[derive(Debug, Default)]
pub struct Durability {
    asked: HashMap<Request, Operation>,
    written: HashMap<Request, Position>,
    acknowledged: BTreeMap<Operation, Position>,
}

impl Durability {
    /// Processes one event. Lost writes are reported at [`Event::LogComplete`].
    pub fn observe(&mut self, event: &Event) -> Vec<Violation> {
        match event {
            Event::Asked {
                request, operation, ..
            } => {
                self.asked.insert(*request, *operation);
            }
            Event::Ran {
                request,
                effect: Effect::Write { at } | Effect::AlreadyRun { at },
                ..
            } => {
                self.written.insert(*request, *at);
            }
            Event::Answered {
                request, answer, ..
            } => self.answered(*request, answer.outcome),
            Event::Persisted { operation } => {
                self.acknowledged.remove(operation);
            }
            Event::LogComplete => return self.lost_writes(),
            _ => {}
        }
        Vec::new()
    }

    fn answered(&mut self, request: Request, outcome: Outcome) {
        let operation = self.asked.remove(&request);
        let written = self.written.remove(&request);
        if let (Some(operation), Some(at), Outcome::Done) = (operation, written, outcome) {
            self.acknowledged.insert(operation, at);
        }
    }

    fn lost_writes(&mut self) -> Vec<Violation> {
        let missing = std::mem::take(&mut self.acknowledged).into_iter();
        let lost = missing.map(|(operation, at)| Violation::Lost { operation, at });
        lost.collect()
    }
}
