//! A statement with a request id: it runs once, its repeats find its outcome.

use crate::ledger::{self, Digest, Error, Id};

/// Whose transaction the statement runs in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One of its own.
    Alone,
    /// The caller's, which goes on after it.
    Within,
}

/// What the upstream answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Send the first statement.
    Start,
    /// The ledger took the id, or with 0 rows had it already.
    Inserted(u64),
    /// The ledger refused the id because it has it.
    Repeated,
    /// The statement ran, with this command tag.
    Ran(String),
    /// The command tag is recorded, and committed with the statement if the
    /// transaction is its own.
    Recorded,
    /// The transaction is rolled back.
    RolledBack,
    /// The ledger's tag for the id was read.
    Found(Option<String>),
    /// The server refused the statement, or anything around it.
    Rejected([u8; 5]),
}

/// What to send next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// `BEGIN`, then this.
    Begin(String),
    /// This, in the caller's transaction.
    Insert(String),
    /// The caller's statement.
    Run,
    /// This, then `COMMIT`.
    Commit(String),
    /// This, in the caller's transaction.
    Record(String),
    /// `ROLLBACK`.
    Rollback,
    /// This query.
    Find(String),
    /// Nothing more.
    End(End),
}

/// How it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It ran now, with this command tag.
    Ran(String),
    /// It had run before, with this command tag.
    Repeat(String),
    /// The id can't promise a single run: the statement did not run.
    Refused(Error),
    /// The server's own error, with everything rolled back.
    Rejected([u8; 5]),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    New,
    Inserting,
    Running,
    Recording(String),
    /// Rolling back, to look for the first run or to pass an error on.
    RollingBack(Option<[u8; 5]>),
    Finding,
    Ended,
}

/// The order of the statements around one that carries a request id.
///
/// The row goes in before the statement and commits with it. So of two repeats
/// at once the second waits at the unique key until the first has ended, and
/// runs only if that one was rolled back. Lost connections are not its matter:
/// the caller repeats, and the repeat finds out.
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
    /// A statement with an id and the statement's fingerprint.
    pub fn new(scope: Scope, id: Id, digest: Digest) -> Self {
        Self {
            state: State::New,
            scope,
            id,
            digest,
        }
    }

    /// Decides what to send next; `None` for an answer that nothing waits for.
    pub fn step(&mut self, event: Event) -> Option<Action> {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::New, Event::Start) => self.insert(),
            (State::Inserting, Event::Inserted(0)) => self.find(),
            (State::Inserting, Event::Inserted(_)) => {
                self.state = State::Running;
                Some(Action::Run)
            }
            // A repeat: this transaction is aborted, the first run's stands.
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
            // It was there a moment ago: only the cleaning deletes ids. Run
            // now, the statement would run twice.
            Ok(None) => End::Refused(Error::Expired),
            Err(error) => End::Refused(error),
        })
    }

    /// The caller's transaction is the caller's to roll back.
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
