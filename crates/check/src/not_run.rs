//! A request answered as not run was never executed.

use std::collections::HashSet;

use model::Outcome;

use crate::{Event, Request, Violation};

/// Checks that a request answered as not run is never executed, before or after
/// the answer.
///
/// Execution on a primary whose log is later discarded counts: the instance
/// that answered could not have known that the log would be discarded.
#[derive(Debug, Default)]
pub struct NotRun {
    ran: HashSet<Request>,
    refused: HashSet<Request>,
}

impl NotRun {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Ran { request, .. } => {
                self.ran.insert(*request);
                let request = *request;
                let refused = self.refused.contains(&request);
                refused.then_some(Violation::RanAfterAll { request })
            }
            Event::Answered {
                request, answer, ..
            } => {
                let Outcome::NotRun(_) = answer.outcome else {
                    return None;
                };
                self.refused.insert(*request);
                let request = *request;
                let ran = self.ran.contains(&request);
                ran.then_some(Violation::RanAfterAll { request })
            }
            _ => None,
        }
    }
}
