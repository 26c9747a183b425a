//! Non-idempotent operations take effect at most once.

use std::collections::{HashMap, hash_map::Entry};

use model::{Lsn, Position, Repeat, Term, name};

use crate::{Effect, Event, Operation, Request, Violation};

/// Checks that no operation marked as [`Repeat::Once`] is in the log twice.
///
/// An execution whose position is not part of a later term's log has no effect
/// and does not count.
#[derive(Debug, Default)]
pub struct AtMostOnce {
    asked: HashMap<Request, (Operation, name::Database)>,
    ran: HashMap<Operation, Position>,
    terms: HashMap<name::Database, Vec<(Term, Lsn)>>,
}

impl AtMostOnce {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request,
                operation,
                database,
                repeat: Repeat::Once,
                ..
            } => {
                self.asked.insert(*request, (*operation, database.clone()));
                None
            }
            Event::Ran {
                request,
                effect: Effect::Write { at },
                ..
            } => self.ran(*request, *at),
            Event::Promoted {
                database,
                term,
                fork,
            } => {
                let terms = self.terms.entry(database.clone()).or_default();
                terms.push((*term, *fork));
                None
            }
            _ => None,
        }
    }

    fn ran(&mut self, request: Request, at: Position) -> Option<Violation> {
        let (operation, database) = self.asked.get(&request)?;
        let terms = self.terms.get(database).map_or(&[][..], Vec::as_slice);
        let is_discarded =
            |at: Position| terms.iter().any(|&(t, fork)| t > at.term && fork < at.lsn);
        if is_discarded(at) {
            return None;
        }
        let mut ran = match self.ran.entry(*operation) {
            Entry::Vacant(entry) => {
                entry.insert(at);
                return None;
            }
            Entry::Occupied(entry) => entry,
        };
        let first = ran.insert(at);
        if is_discarded(first) {
            return None;
        }
        Some(Violation::Twice {
            operation: *operation,
            first,
            second: at,
        })
    }
}
