//! Answers reach the right caller, completely and once.

use std::collections::HashMap;

use model::Outcome;

use crate::{Answer, Event, Request, Session, Violation};

/// Checks that each answer is complete, belongs to its request, reaches the
/// session of the request and is given only once.
#[derive(Debug, Default)]
pub struct Delivery {
    asked: HashMap<Request, Asked>,
}

#[derive(Debug)]
struct Asked {
    session: Session,
    answered: u32,
}

impl Delivery {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Asked {
                request, session, ..
            } => {
                let asked = Asked {
                    session: *session,
                    answered: 0,
                };
                self.asked.insert(*request, asked);
                None
            }
            Event::Answered {
                request,
                session,
                answer,
            } => self.answered(*request, *session, answer),
            _ => None,
        }
    }

    fn answered(
        &mut self,
        request: Request,
        session: Session,
        answer: &Answer,
    ) -> Option<Violation> {
        let Some(asked) = self.asked.get_mut(&request) else {
            return Some(Violation::WrongCaller { request, session });
        };
        asked.answered += 1;
        if asked.session != session {
            return Some(Violation::WrongCaller { request, session });
        }
        if asked.answered > 1 {
            return Some(Violation::AnsweredTwice { request });
        }
        if answer.outcome != Outcome::Done {
            return None;
        }
        if answer.of != Some(request) {
            let of = answer.of;
            return Some(Violation::WrongAnswer { request, of });
        }
        (answer.rows != answer.total).then_some(Violation::Partial {
            request,
            rows: answer.rows,
            whole: answer.total,
        })
    }
}
