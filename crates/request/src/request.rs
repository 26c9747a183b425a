//! The state machine of a request, from its arrival to its only outcome.

use std::time::Duration;

use clock::Instant;
use model::{Cause, Outcome, Position, Repeat};
use pool::{Budget, Handle};

/// The upstreams that a request may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Any upstream that the router chooses.
    Any,
    /// The primary only.
    Primary,
}

/// A complete answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The statement ran and wrote no log that must be confirmed.
    Read,
    /// The statement ran, and the log up to this position includes its effects.
    Wrote(Position),
    /// The server refused the statement with this SQLSTATE and rolled it back.
    Rejected([u8; 5]),
}

/// An event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request arrived.
    Start,
    /// A pool assigned a connection.
    Admitted(Handle),
    /// A pool refused the request; a retry makes sense after the time given.
    Refused(Cause, Duration),
    /// None of the bytes of [`Action::Send`] were sent.
    Unsent(Handle),
    /// The complete answer to the statement was read.
    Answered(Handle, Answer),
    /// The connection failed.
    Lost(Handle),
    /// A majority has the log up to this position.
    Confirmed(Position),
    /// The primary was replaced, so the position can't be confirmed.
    Replaced,
    /// This instance stops, and its time for draining requests is over.
    Stopping,
    /// The deadline of the request has passed.
    Deadline,
}

/// An action that the request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose an upstream and submit the request to its pool.
    Acquire(Target),
    /// Send the statement; from now on its bytes may have reached the upstream.
    Send(Handle),
    /// Wait until a majority has the log up to this position.
    Confirm(Position),
    /// Withdraw the request from the pool, which cancels its running statement and
    /// discards the connection.
    Withdraw,
    /// Return this outcome to the caller, with the time until a retry if the request
    /// was refused.
    End(Outcome, Option<Duration>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    New,
    Acquiring,
    Sent(Handle),
    Confirming(Position),
    Ended,
}

/// The state machine of a request that runs in a transaction of its own.
#[derive(Debug)]
pub struct Request {
    state: State,
    repeat: Repeat,
    target: Target,
    deadline: Instant,
    /// Why the result of an earlier attempt is unknown, if there was such an attempt.
    may_have_run: Option<Cause>,
}

impl Request {
    /// Creates a request that must end by `deadline`.
    ///
    /// A request with a request id is [`Repeat::Idempotent`], since its repeat gets
    /// the first outcome.
    pub fn new(repeat: Repeat, target: Target, deadline: Instant) -> Self {
        Self {
            state: State::New,
            repeat,
            target,
            deadline,
            may_have_run: None,
        }
    }

    /// Applies an event and returns the actions to take; `budget` limits the retries.
    pub fn step(&mut self, now: Instant, budget: &mut Budget, event: Event) -> Vec<Action> {
        match (self.state, event) {
            (State::New, Event::Start) => {
                budget.earn();
                self.acquire()
            }
            (State::Acquiring, Event::Admitted(handle)) => {
                self.state = State::Sent(handle);
                vec![Action::Send(handle)]
            }
            (State::Acquiring, Event::Refused(cause, after)) => {
                self.end(Outcome::NotRun(cause), Some(after))
            }
            (State::New | State::Acquiring, Event::Stopping) => {
                self.withdraw(Outcome::NotRun(Cause::Stopping))
            }
            (State::New | State::Acquiring, Event::Deadline) => {
                self.withdraw(Outcome::NotRun(Cause::Deadline))
            }
            (State::Sent(sent), Event::Unsent(handle)) if sent == handle => {
                let mut actions = vec![Action::Withdraw];
                actions.extend(self.retry(now, budget, Outcome::NotRun(Cause::ConnectionLost)));
                actions
            }
            (State::Sent(sent), Event::Answered(handle, answer)) if sent == handle => {
                self.answered(now, budget, answer)
            }
            (State::Sent(sent), Event::Lost(handle)) if sent == handle => {
                self.outcome_unknown(now, budget, Cause::ConnectionLost)
            }
            (State::Confirming(_), Event::Replaced) => {
                self.outcome_unknown(now, budget, Cause::Replaced)
            }
            (State::Confirming(wanted), Event::Confirmed(held)) if held.covers(wanted) => {
                self.end(Outcome::Done, None)
            }
            (State::Sent(_), Event::Stopping) => self.withdraw(Outcome::Unknown(Cause::Stopping)),
            (State::Sent(_), Event::Deadline) => self.withdraw(Outcome::Unknown(Cause::Deadline)),
            (State::Confirming(_), Event::Stopping) => {
                self.end(Outcome::Unknown(Cause::Stopping), None)
            }
            (State::Confirming(_), Event::Deadline) => {
                self.end(Outcome::Unknown(Cause::Deadline), None)
            }
            // A late answer, one for another statement, or one after the end.
            _ => Vec::new(),
        }
    }

    fn answered(&mut self, now: Instant, budget: &mut Budget, answer: Answer) -> Vec<Action> {
        match answer {
            Answer::Read => self.end(Outcome::Done, None),
            Answer::Wrote(position) => {
                self.state = State::Confirming(position);
                vec![Action::Confirm(position)]
            }
            // A replica refused a statement that writes, so the statement has not run.
            Answer::Rejected(state) if &state == b"25006" && self.target == Target::Any => {
                self.target = Target::Primary;
                self.acquire()
            }
            // The server has rolled back a serialization failure or a deadlock.
            Answer::Rejected(state) if matches!(&state, b"40001" | b"40P01") => {
                self.retry(now, budget, Outcome::Done)
            }
            // Any other error is the answer to the caller. A cancel (57014) comes
            // from the server's statement time-out or from the caller here: the
            // cancel at the deadline is sent when the request has already ended.
            Answer::Rejected(_) => self.end(Outcome::Done, None),
        }
    }

    /// Handles a statement that may or may not have run.
    fn outcome_unknown(&mut self, now: Instant, budget: &mut Budget, cause: Cause) -> Vec<Action> {
        self.may_have_run = Some(cause);
        match self.repeat {
            // The statement could run twice if it were sent again.
            Repeat::Once => self.end(Outcome::Unknown(cause), None),
            Repeat::Idempotent => self.retry(now, budget, Outcome::Unknown(cause)),
        }
    }

    fn retry(&mut self, now: Instant, budget: &mut Budget, or: Outcome) -> Vec<Action> {
        if now >= self.deadline || !budget.spend() {
            return self.end(or, None);
        }
        self.acquire()
    }

    fn acquire(&mut self) -> Vec<Action> {
        self.state = State::Acquiring;
        vec![Action::Acquire(self.target)]
    }

    fn withdraw(&mut self, outcome: Outcome) -> Vec<Action> {
        let mut actions = vec![Action::Withdraw];
        actions.extend(self.end(outcome, None));
        actions
    }

    fn end(&mut self, outcome: Outcome, after: Option<Duration>) -> Vec<Action> {
        self.state = State::Ended;
        // The last attempt did not run, but an earlier one may have. On `NotRun`,
        // the caller would send a statement again that may have taken effect.
        let outcome = match (outcome, self.may_have_run) {
            (Outcome::NotRun(_), Some(cause)) => Outcome::Unknown(cause),
            _ => outcome,
        };
        vec![Action::End(outcome, after)]
    }
}
