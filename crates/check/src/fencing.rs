//! A replaced primary acknowledges no writes.

use std::collections::HashMap;

use model::{Lsn, Outcome, Position, Term, name};

use crate::{Effect, Event, Request, Violation};

/// Checks that no write is acknowledged that is missing from a new primary's
/// log or was executed by a primary after its replacement.
///
/// A write that a majority confirmed before the change of primary is part of
/// the new primary's log, and its answer may arrive after the change.
#[derive(Debug, Default)]
pub struct Fencing {
    terms: HashMap<name::Database, Vec<(Term, Lsn)>>,
    asked: HashMap<Request, (name::Database, Option<Write>)>,
}

#[derive(Debug, Clone, Copy)]
struct Write {
    at: Position,
    leading: Term,
}

impl Fencing {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request, database, ..
            } => {
                self.asked.insert(*request, (database.clone(), None));
                None
            }
            Event::Ran {
                request,
                effect: Effect::Write { at },
                ..
            } => {
                let (database, write) = self.asked.get_mut(request)?;
                let terms = self.terms.get(database);
                let leading = terms.and_then(|terms| terms.last());
                *write = Some(Write {
                    at: *at,
                    leading: leading.map_or(at.term, |&(term, _)| term),
                });
                None
            }
            Event::Promoted {
                database,
                term,
                fork,
            } => {
                let terms = self.terms.entry(database.clone()).or_default();
                terms.push((*term, *fork));
                None
            }
            Event::Answered {
                request, answer, ..
            } => {
                let (database, write) = self.asked.remove(request)?;
                if answer.outcome != Outcome::Done {
                    return None;
                }
                self.answered(*request, &database, write?)
            }
            _ => None,
        }
    }

    fn answered(
        &self,
        request: Request,
        database: &name::Database,
        write: Write,
    ) -> Option<Violation> {
        let at = write.at;
        if write.leading > at.term {
            let term = write.leading;
            return Some(Violation::AcknowledgedByReplaced { request, at, term });
        }
        let terms = self.terms.get(database)?;
        let is_discarded = |&&(term, fork): &&(Term, Lsn)| term > at.term && fork < at.lsn;
        let &(term, _) = terms.iter().find(is_discarded)?;
        Some(Violation::AcknowledgedByReplaced { request, at, term })
    }
}
