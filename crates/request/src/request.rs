//! One request from its arrival to its single outcome.

use std::time::Duration;

use clock::Instant;
use model::{Cause, Outcome, Position, Repeat};
use pool::{Budget, Handle};

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Any upstream that the router finds fit.
    Any,
    /// The primary only.
    Primary,
}

/// What an upstream answered, read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It ran and left no log that must be confirmed.
    Read,
    /// It ran and its effects are in the log up to there.
    Wrote(Position),
    /// The server refused it with this SQLSTATE and rolled it back.
    Rejected([u8; 5]),
}

/// What happens to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It arrived.
    Start,
    /// A pool gives it a connection.
    Admitted(Handle),
    /// A pool will not run it.
    Refused(Cause, Duration),
    /// Nothing of what [`Action::Send`] asked for left this process.
    Unsent(Handle),
    /// The whole answer to the statement was read.
    Answered(Handle, Answer),
    /// The connection broke.
    Lost(Handle),
    /// A majority holds the position under its term.
    Confirmed(Position),
    /// The primary was replaced, so the position can't be confirmed.
    Replaced,
    /// This instance stops, and its time for running requests is over.
    Stopping,
    /// The deadline came.
    Deadline,
}

/// What the request wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Find an upstream and submit to its pool.
    Acquire(Target),
    /// Write the statement; from here on its bytes may have left.
    Send(Handle),
    /// Wait until a majority holds this position.
    Confirm(Position),
    /// Leave the pool: it cancels what runs and discards the connection.
    Withdraw,
    /// Give the caller this end, and when to come back if it was refused.
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

/// The state machine of one request in a transaction of its own.
#[derive(Debug)]
pub struct Request {
    state: State,
    repeat: Repeat,
    target: Target,
    deadline: Instant,
    /// Why an earlier attempt may have run, if one may.
    may_have_run: Option<Cause>,
}

impl Request {
    /// A request that must end by `deadline`. One that carries a request id
    /// is [`Repeat::Idempotent`]: its repeat finds the first outcome.
    pub fn new(repeat: Repeat, target: Target, deadline: Instant) -> Self {
        Self {
            state: State::New,
            repeat,
            target,
            deadline,
            may_have_run: None,
        }
    }

    /// Decides what to do about `event`; retries come out of `budget`.
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
            // A late or crossed answer, or one that came after the end.
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
            // The replica proved that it writes: it has not run.
            Answer::Rejected(state) if &state == b"25006" && self.target == Target::Any => {
                self.target = Target::Primary;
                self.acquire()
            }
            // Serialization failure and deadlock are rolled back by the server.
            Answer::Rejected(state) if matches!(&state, b"40001" | b"40P01") => {
                self.retry(now, budget, Outcome::Done)
            }
            // The server's own error is the caller's whole answer. So is a
            // cancel (57014) here: by the server's statement timeout or the
            // caller. The deadline's own cancel goes out with the request's
            // end, and its answer comes after that.
            Answer::Rejected(_) => self.end(Outcome::Done, None),
        }
    }

    /// Its bytes may have left and nothing proves what became of them.
    fn outcome_unknown(&mut self, now: Instant, budget: &mut Budget, cause: Cause) -> Vec<Action> {
        self.may_have_run = Some(cause);
        match self.repeat {
            // Sent again it could run twice.
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
        // The last attempt did not run, but an earlier one may have: told "not
        // run", the caller would send again what is already in the database.
        let outcome = match (outcome, self.may_have_run) {
            (Outcome::NotRun(_), Some(cause)) => Outcome::Unknown(cause),
            _ => outcome,
        };
        vec![Action::End(outcome, after)]
    }
}
