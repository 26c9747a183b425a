//! Read-your-writes: a session never reads a state older than what it wrote.

use std::collections::HashMap;

use model::{Outcome, Position};

use crate::{Effect, Event, Request, Session, Violation};

/// Checks that a session sees its own writes, and never goes back in time.
///
/// A read is held against what the session had been *answered* before it asked:
/// requests that one session has under way together are not ordered.
#[derive(Debug, Default)]
pub struct ReadYourWrites {
    tokens: HashMap<Session, Position>,
    asked: HashMap<Request, Asked>,
}

#[derive(Debug)]
struct Asked {
    session: Session,
    token: Position,
    effect: Option<Effect>,
}

impl ReadYourWrites {
    /// Takes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request, session, ..
            } => {
                let token = self.tokens.get(session).copied().unwrap_or_default();
                let asked = Asked {
                    session: *session,
                    token,
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
                self.answered(*request, &asked)
            }
            _ => None,
        }
    }

    fn answered(&mut self, request: Request, asked: &Asked) -> Option<Violation> {
        let reached = match asked.effect? {
            Effect::Read { seen, .. } => seen,
            Effect::Write { at } => at,
            Effect::Nothing => return None,
        };
        let token = self.tokens.entry(asked.session).or_default();
        token.term = token.term.max(reached.term);
        token.lsn = token.lsn.max(reached.lsn);
        if reached.covers(asked.token) {
            return None;
        }
        Some(Violation::OwnWriteUnseen {
            session: asked.session,
            request,
            seen: reached,
            token: asked.token,
        })
    }
}
