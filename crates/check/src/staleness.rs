//! Reads are as fresh as their class requires.

use std::collections::HashMap;

use model::{Freshness, Outcome, Position, name};

use crate::{Effect, Event, Request, Violation};

/// Checks that current reads see all writes acknowledged before, and that other
/// reads don't exceed their maximum age.
#[derive(Debug, Default)]
pub struct Staleness {
    acknowledged: HashMap<name::Database, Position>,
    asked: HashMap<Request, Asked>,
}

#[derive(Debug)]
struct Asked {
    database: name::Database,
    freshness: Freshness,
    acknowledged: Position,
    effect: Option<Effect>,
}

impl Staleness {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request,
                database,
                freshness,
                ..
            } => {
                let acknowledged = self.acknowledged.get(database).copied();
                let asked = Asked {
                    database: database.clone(),
                    freshness: *freshness,
                    acknowledged: acknowledged.unwrap_or_default(),
                    effect: None,
                };
                self.asked.insert(*request, asked);
                None
            }
            Event::Ran {
                request, effect, ..
            } => {
                self.asked.get_mut(request)?.effect = Some(*effect);
                None
            }
            Event::Answered {
                request, answer, ..
            } => {
                let asked = self.asked.remove(request)?;
                if answer.outcome != Outcome::Done {
                    return None;
                }
                self.answered(*request, asked)
            }
            _ => None,
        }
    }

    fn answered(&mut self, request: Request, asked: Asked) -> Option<Violation> {
        match (asked.effect?, asked.freshness) {
            (Effect::Write { at } | Effect::AlreadyRun { at }, _) => {
                let acknowledged = self.acknowledged.entry(asked.database).or_default();
                *acknowledged = (*acknowledged).max(at);
                None
            }
            (Effect::Read { seen, .. }, Freshness::Current) => {
                let acknowledged = asked.acknowledged;
                (!seen.covers(acknowledged)).then_some(Violation::NotCurrent {
                    request,
                    seen,
                    acknowledged,
                })
            }
            (Effect::Read { age, .. }, Freshness::Age(limit)) => {
                (age > limit).then_some(Violation::TooOld {
                    request,
                    age,
                    limit,
                })
            }
            (Effect::Read { .. }, Freshness::Session) => None,
        }
    }
}
