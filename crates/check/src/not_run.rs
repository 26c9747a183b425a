//! "Not run" is the truth.

use std::collections::HashSet;

use model::Outcome;

use crate::{Event, Request, Violation};

/// Checks that a request answered as not run did not run, before or after.
///
/// Running on a primary whose log is thrown away later counts as running: the
/// caller was told something that nobody could have known.
#[derive(Debug, Default)]
pub struct NotRun {
    ran: HashSet<Request>,
    refused: HashSet<Request>,
}

impl NotRun {
    /// Takes one event.
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
