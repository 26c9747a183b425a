//! What callers ask, what upstreams are told, and what both are answered.

use bytes::Bytes;
use model::{Position, Term};
use serde::{Deserialize, Serialize};

use crate::account::Hello;

/// Whether a statement or a transaction may write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// One line of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The session begins.
    Start(Hello),
    /// A statement.
    Query(Query),
    /// The session ends.
    Bye,
}

/// A statement with its id, as the caller wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's id of the statement.
    pub id: Bytes,
    /// The statement's text; it is passed on unchanged.
    pub text: Bytes,
    /// What the text says.
    pub statement: Statement,
}

/// What a statement's text says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A transaction begins.
    Begin(Access),
    /// The transaction is to be kept.
    Commit,
    /// The transaction is to be undone.
    Rollback,
    /// A read.
    Read,
    /// A write.
    Write,
    /// A value of the session: its name and text.
    Set(Bytes, Bytes),
    /// A prepared statement of the session.
    Prepare(Bytes, Prepared),
    /// A prepared statement is run: its name and what stands behind it.
    Execute(Bytes, Bytes),
    /// A prepared statement is forgotten.
    Deallocate(Bytes),
    /// The text is none of these.
    Malformed,
}

impl Statement {
    /// Whether it begins an operation, outside of a transaction: what needs no upstream is
    /// none.
    pub fn is_operation(&self) -> bool {
        matches!(
            self,
            Self::Begin(_) | Self::Read | Self::Write | Self::Execute(..)
        )
    }

    /// What kind of statement it is, without its texts.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Begin(_) => "begin",
            Self::Commit => "commit",
            Self::Rollback => "rollback",
            Self::Read => "read",
            Self::Write => "write",
            Self::Set(..) => "set",
            Self::Prepare(..) => "prepare",
            Self::Execute(..) => "execute",
            Self::Deallocate(_) => "forget",
            Self::Malformed => "malformed",
        }
    }
}

/// What a prepared statement does.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether it writes.
    pub access: Access,
    /// Its text.
    pub text: Bytes,
}

/// What an upstream is told.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// A connection begins.
    Start {
        /// The service that is meant.
        service: &'a str,
        /// Whose statements it is for; `None` for this process's own.
        account: Option<&'a str>,
        /// The upstream that is meant.
        id: &'a str,
    },
    /// A caller's statement; it may only run on a log that has reached `after`.
    Forward {
        /// The caller's id.
        id: &'a [u8],
        /// The floor.
        after: Option<Position>,
        /// The caller's text.
        text: &'a [u8],
    },
    /// A caller's prepared statement under the name it has on this connection.
    Execute {
        /// The caller's id.
        id: &'a [u8],
        /// The floor.
        after: Option<Position>,
        /// The name on this connection.
        name: &'a str,
        /// What stood behind the caller's name.
        rest: &'a [u8],
    },
    /// Prepares a statement on this connection.
    Prepare(&'a str, &'a Prepared),
    /// Sets a value on this connection.
    Set(&'a [u8], &'a [u8]),
    /// Clears values and prepared statements of this connection.
    Reset,
    /// Undoes the open transaction.
    Rollback,
    /// Asks what the upstream is.
    Status,
    /// Tells a replica to receive nothing from terms below this one.
    Pause(Term),
    /// Takes a pause back.
    Resume,
    /// Tells a primary of a lower term to become a replica.
    Demote(Term),
}

/// Where a session or connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Outside of a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

/// Why a statement did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Code {
    /// Not run: no room, or nobody to run it.
    Busy,
    /// Not kept: the transaction was undone.
    Aborted,
    /// Not run: the log lacks the floor.
    Lagging,
    /// Not run: only a primary may.
    ReadOnly,
    /// Not run: another upstream than the one meant.
    Misrouted,
    /// Not run: too many connections.
    TooMany,
    /// Unknown whether it was kept.
    InDoubt,
    /// It ran too long; unknown whether it was kept.
    Timeout,
    /// It ran and failed.
    Failed,
    /// Not run: there is no such prepared statement.
    NoStatement,
    /// No route has this name.
    NoDatabase,
    /// No account holds the caller's key.
    NoAccount,
    /// The statement is not understood, or not now.
    Malformed,
    /// A code that is not known here.
    Other,
}

/// An upstream's answer to one command.
#[derive(Debug, Clone)]
pub struct Reply {
    /// All of its bytes, for the caller.
    pub raw: Bytes,
    /// The text of its first row, if there was one.
    pub row: Option<Bytes>,
    /// Whether it succeeded.
    pub verdict: Result<(), Failure>,
    /// Where the connection stands behind it.
    pub state: State,
    /// How far the upstream's log goes, if it says so.
    pub position: Option<Position>,
}

/// An upstream's refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Its code.
    pub code: Code,
    /// What else it says.
    pub text: Bytes,
}

/// What an upstream says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether it believes that it leads.
    pub leads: bool,
    /// The newest term it knows of.
    pub term: Term,
    /// How far its log goes.
    pub received: Position,
    /// The term that it was told to hold for, zero for none.
    pub held: Term,
}
