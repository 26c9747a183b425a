//! Runs a statement with a request id once; its repeats get the first outcome.

use crate::ledger::{self, Digest, Error, Id};

/// The transaction that the statement runs in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// A transaction for this statement alone.
    Alone,
    /// The caller's open transaction, which continues after the statement.
    Within,
}

/// An answer of the upstream, or the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The first statement may be sent.
    Start,
    /// The insert of the id ended with this number of rows; 0 means that the ledger
    /// has the id.
    Inserted(u64),
    /// The insert violated the unique key: the ledger has the id.
    Repeated,
    /// The statement ran, with this command tag.
    Ran(String),
    /// The command tag is recorded; with [`Scope::Alone`], the transaction is also
    /// committed.
    Recorded,
    /// The transaction is rolled back.
    RolledBack,
    /// The query for the id returned this tag, or no row.
    Found(Option<String>),
    /// The server refused the statement, or one that goes with it.
    Rejected([u8; 5]),
}

/// The next statement to send, or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send `BEGIN`, then this statement.
    Begin(String),
    /// Send this insert in the caller's transaction.
    Insert(String),
    /// Send the caller's statement.
    Run,
    /// Send this statement, then `COMMIT`.
    Commit(String),
    /// Send this update in the caller's transaction.
    Record(String),
    /// Send `ROLLBACK`.
    Rollback,
    /// Send this query.
    Find(String),
    /// Send nothing more.
    End(End),
}

/// The outcome of a statement with a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The statement ran now, with this command tag.
    Ran(String),
    /// The statement had run before, with this command tag.
    Repeat(String),
    /// The id was refused, and the statement did not run.
    Refused(Error),
    /// The server refused with this SQLSTATE; nothing has taken effect.
    Rejected([u8; 5]),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    New,
    Inserting,
    Running,
    Recording(String),
    /// Rolling back before the query for the first run, or before the error in the
    /// field is returned.
    RollingBack(Option<[u8; 5]>),
    Finding,
    Ended,
}

/// The state machine of a statement with a request id.
///
/// The ledger's row is inserted before the statement runs and is committed with the
/// statement. Of two concurrent runs, the second waits at the unique key until the
/// first has ended, and runs only if the first was rolled back. A lost connection
/// needs no handling here: the caller repeats the statement and gets the outcome.
///
/// ```
/// use std::time::Duration;
///
/// use request::{Once, ledger::{Digest, Id}, once::{Action, End, Event, Scope}};
///
/// let id = Id::new(7 << 76, Duration::ZERO).unwrap();
/// let mut once = Once::new(Scope::Alone, id, Digest(1));
/// assert!(matches!(once.step(Event::Start), Some(Action::Begin(_))));
/// assert_eq!(once.step(Event::Inserted(1)), Some(Action::Run));
/// let commit = once.step(Event::Ran("INSERT 0 1".to_owned()));
/// assert!(matches!(commit, Some(Action::Commit(_))));
/// let end = once.step(Event::Recorded);
/// assert_eq!(end, Some(Action::End(End::Ran("INSERT 0 1".to_owned()))));
/// ```
#[derive(Debug)]
pub struct Once {
    state: State,
    scope: Scope,
    id: Id,
    digest: Digest,
}

impl Once {
    /// Creates the state machine for a statement with this id and fingerprint.
    pub fn new(scope: Scope, id: Id, digest: Digest) -> Self {
        Self {
            state: State::New,
            scope,
            id,
            digest,
        }
    }

    /// Returns what to send next, or `None` for an unexpected answer.
    pub fn step(&mut self, event: Event) -> Option<Action> {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::New, Event::Start) => self.insert(),
            (State::Inserting, Event::Inserted(0)) => self.find(),
            (State::Inserting, Event::Inserted(_)) => {
                self.state = State::Running;
                Some(Action::Run)
            }
            // The violation has aborted this transaction; the first run has committed.
            (State::Inserting, Event::Repeated) => self.roll_back(None),
            (State::Running, Event::Ran(tag)) => self.record(tag),
            (State::Recording(tag), Event::Recorded) => self.end(End::Ran(tag)),
            (State::RollingBack(None), Event::RolledBack) => self.find(),
            (State::RollingBack(Some(state)), Event::RolledBack) => self.end(End::Rejected(state)),
            (State::Finding, Event::Found(tag)) => self.found(tag.as_deref()),
            (
                State::Inserting | State::Running | State::Recording(_) | State::Finding,
                Event::Rejected(state),
            ) => self.rejected(state),
            (state, _) => {
                self.state = state;
                None
            }
        }
    }

    fn insert(&mut self) -> Option<Action> {
        self.state = State::Inserting;
        Some(match self.scope {
            Scope::Alone => Action::Begin(ledger::insert(self.id, self.digest)),
            Scope::Within => Action::Insert(ledger::insert_within(self.id, self.digest)),
        })
    }

    fn record(&mut self, tag: String) -> Option<Action> {
        let record = ledger::record(self.id, self.digest, &tag);
        self.state = State::Recording(tag);
        Some(match self.scope {
            Scope::Alone => Action::Commit(record),
            Scope::Within => Action::Record(record),
        })
    }

    fn find(&mut self) -> Option<Action> {
        self.state = State::Finding;
        Some(Action::Find(ledger::find(self.id)))
    }

    fn found(&mut self, tag: Option<&str>) -> Option<Action> {
        self.end(match ledger::parse_tag(self.digest, tag) {
            Ok(Some(first)) => End::Repeat(first.to_owned()),
            // The insert found the row and the cleaning has deleted it since. The
            // statement would run twice if it ran now.
            Ok(None) => End::Refused(Error::Expired),
            Err(error) => End::Refused(error),
        })
    }

    /// Rolls back a transaction of this statement alone; the caller has to roll back
    /// its own transaction.
    fn rejected(&mut self, state: [u8; 5]) -> Option<Action> {
        match self.scope {
            Scope::Alone => self.roll_back(Some(state)),
            Scope::Within => self.end(End::Rejected(state)),
        }
    }

    fn roll_back(&mut self, error: Option<[u8; 5]>) -> Option<Action> {
        self.state = State::RollingBack(error);
        Some(Action::Rollback)
    }

    fn end(&mut self, end: End) -> Option<Action> {
        Some(Action::End(end))
    }
}
