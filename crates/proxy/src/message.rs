//! Requests of callers, commands to upstreams, and their answers.

use bytes::Bytes;
use model::{Position, Term};
use serde::{Deserialize, Serialize};

use crate::account::Hello;

/// Access mode of a statement or transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// One line from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Starts the session.
    Start(Hello),
    /// A statement.
    Query(Query),
    /// Ends the session.
    Bye,
}

/// A statement with its id, as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's id of the statement.
    pub id: Bytes,
    /// The statement's text, which is forwarded unchanged.
    pub text: Bytes,
    /// The parsed text.
    pub statement: Statement,
}

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read.
    Read,
    /// A write.
    Write,
    /// Sets a value of the session: name and value.
    Set(Bytes, Bytes),
    /// Prepares a statement under a name.
    Prepare(Bytes, Prepared),
    /// Executes a prepared statement: name and the rest of the text.
    Execute(Bytes, Bytes),
    /// Removes a prepared statement.
    Deallocate(Bytes),
    /// Any other text.
    Malformed,
}

impl Statement {
    /// Returns true if the statement counts as an operation outside of a transaction; a statement
    /// that needs no upstream does not.
    pub fn is_operation(&self) -> bool {
        matches!(
            self,
            Self::Begin(_) | Self::Read | Self::Write | Self::Execute(..)
        )
    }

    /// Returns the name of the statement's kind.
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

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// Access mode of the statement.
    pub access: Access,
    /// The statement's text.
    pub text: Bytes,
}

/// A command to an upstream.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// Starts a connection.
    Start {
        /// Name of the service that the upstream has to belong to.
        service: &'a str,
        /// Account whose statements the connection carries; `None` for this process's own.
        account: Option<&'a str>,
        /// Id that the upstream has to have.
        id: &'a str,
    },
    /// Runs a caller's statement on a log that has reached `after`.
    Forward {
        /// The caller's id of the statement.
        id: &'a [u8],
        /// Position that the log must have reached.
        after: Option<Position>,
        /// The caller's text.
        text: &'a [u8],
    },
    /// Executes a caller's prepared statement under its name on this connection.
    Execute {
        /// The caller's id of the statement.
        id: &'a [u8],
        /// Position that the log must have reached.
        after: Option<Position>,
        /// Name of the prepared statement on this connection.
        name: &'a str,
        /// The text after the caller's name of the prepared statement.
        rest: &'a [u8],
    },
    /// Prepares a statement on this connection.
    Prepare(&'a str, &'a Prepared),
    /// Sets a value on this connection.
    Set(&'a [u8], &'a [u8]),
    /// Clears values and prepared statements of this connection.
    Reset,
    /// Rolls back the open transaction.
    Rollback,
    /// Asks for the upstream's status.
    Status,
    /// Tells a replica to stop replicating from terms below this one.
    Pause(Term),
    /// Ends a pause.
    Resume,
    /// Tells a primary of a lower term to become a replica.
    Demote(Term),
}

/// Transaction state of a session or connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed.
    Failed,
}

/// Status code of a statement that did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Code {
    /// Not run: no capacity, or no upstream that may run it.
    Busy,
    /// Not committed: the transaction was rolled back.
    Aborted,
    /// Not run: the log has not reached the required position.
    Lagging,
    /// Not run: the upstream is not the primary.
    ReadOnly,
    /// Not run: the upstream is not the addressed one.
    Misrouted,
    /// Not run: too many connections.
    TooMany,
    /// Unknown whether it was committed.
    InDoubt,
    /// Time limit exceeded; unknown whether it was committed.
    Timeout,
    /// It ran and failed.
    Failed,
    /// Not run: unknown prepared statement.
    NoStatement,
    /// No route has this database name.
    NoDatabase,
    /// No account holds the caller's key.
    NoAccount,
    /// The statement can't be parsed, or is not allowed in this state.
    Malformed,
    /// An unknown code.
    Other,
}

/// An upstream's answer to a command.
#[derive(Debug, Clone)]
pub struct Reply {
    /// All bytes of the answer, for the caller.
    pub raw: Bytes,
    /// Text of the first row, if any.
    pub row: Option<Bytes>,
    /// Success or failure.
    pub verdict: Result<(), Failure>,
    /// The connection's transaction state after the command.
    pub state: State,
    /// Position that the upstream's log has reached, if reported.
    pub position: Option<Position>,
}

/// An upstream's refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The status code.
    pub code: Code,
    /// The rest of the message.
    pub text: Bytes,
}

/// The status that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// True if the upstream considers itself the primary.
    pub leads: bool,
    /// The newest term that the upstream knows.
    pub term: Term,
    /// Position that the upstream's log has reached.
    pub received: Position,
    /// Term for which the upstream paused replication, zero for none.
    pub held: Term,
}
