//! Read-your-writes: a session never reads a state older than its own writes.

use std::collections::HashMap;

use model::{Outcome, Position, name};

use crate::{Effect, Event, Request, Session, Violation};

/// Checks that a session sees its own writes and that its reads are monotonic.
///
/// A read is checked against the answers that the session had received *before*
/// sending the request: concurrent requests of one session are not ordered. A
/// state that a session has read may be lost with a primary if the state was
/// not acknowledged to any caller, so earlier reads constrain later ones only
/// within one term and at one instance.
#[derive(Debug, Default)]
pub struct ReadYourWrites {
    tokens: HashMap<Session, Token>,
    asked: HashMap<Request, Asked>,
}

#[derive(Debug, Clone, Default)]
struct Token {
    written: Position,
    seen: Position,
    instance: Option<name::Instance>,
    /// Number of the session's visits to instances. An instance keeps no state
    /// of an earlier visit, not even of requests that are still in progress.
    visit: u64,
}

#[derive(Debug)]
struct Asked {
    session: Session,
    token: Token,
    effect: Option<Effect>,
}

impl Token {
    /// Records a request at `instance`, which knows only the reads there.
    fn at(&mut self, instance: &name::Instance) {
        if self.instance.as_ref() != Some(instance) {
            self.seen = Position::default();
            self.instance = Some(instance.clone());
            self.visit += 1;
        }
    }

    fn missing(&self, reached: Position) -> Option<Position> {
        if !reached.covers(self.written) {
            return Some(self.written);
        }
        let lineage = reached.term <= self.seen.term;
        (lineage && !reached.covers(self.seen)).then_some(self.seen)
    }
}

impl ReadYourWrites {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request,
                session,
                instance,
                ..
            } => {
                let token = self.tokens.entry(*session).or_default();
                token.at(instance);
                let asked = Asked {
                    session: *session,
                    token: token.clone(),
                    effect: None,
                };
                self.asked.insert(*request, asked);
                None
            }
            Event::Crashed { instance } => {
                let visiting = |t: &&mut Token| t.instance.as_ref() == Some(instance);
                for token in self.tokens.values_mut().filter(visiting) {
                    token.seen = Position::default();
                    token.visit += 1;
                }
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
                self.answered(*request, &asked)
            }
            _ => None,
        }
    }

    fn answered(&mut self, request: Request, asked: &Asked) -> Option<Violation> {
        let token = self.tokens.entry(asked.session).or_default();
        let seen = match asked.effect? {
            Effect::Read { seen, .. } => seen,
            Effect::Write { at } | Effect::AlreadyRun { at } => {
                token.written.term = token.written.term.max(at.term);
                token.written.lsn = token.written.lsn.max(at.lsn);
                return None;
            }
        };
        if token.visit == asked.token.visit {
            token.seen = token.seen.max(seen);
        }
        let token = asked.token.missing(seen)?;
        Some(Violation::OwnWriteUnseen {
            session: asked.session,
            request,
            seen,
            token,
        })
    }
}
