//! Violations of invariants.

use std::time::Duration;

use model::{Cause, Position, Term, name};

use crate::{Connection, Holder, Operation, Request, Session, Transaction};

/// An invariant that a history violates.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A session read a state older than its own writes or earlier reads.
    #[error("{request:?} of {session:?} saw {seen}, which lacks {token}")]
    OwnWriteUnseen {
        /// The session.
        session: Session,
        /// The read.
        request: Request,
        /// Position of the state that was read.
        seen: Position,
        /// Position that the session had written or read before.
        token: Position,
    },
    /// A current read missed an acknowledged write.
    #[error("current read {request:?} saw {seen}, which lacks {acknowledged}")]
    NotCurrent {
        /// The read.
        request: Request,
        /// Position of the state that was read.
        seen: Position,
        /// Position acknowledged before the read began.
        acknowledged: Position,
    },
    /// A read exceeded the maximum age of its class.
    #[error("{request:?} saw a state {age:?} old, over its limit of {limit:?}")]
    TooOld {
        /// The read.
        request: Request,
        /// Age of the state that was read.
        age: Duration,
        /// Maximum age of the class.
        limit: Duration,
    },
    /// A replaced primary's write was acknowledged.
    #[error("{request:?} at {at} was acknowledged after term {term} had begun")]
    AcknowledgedByReplaced {
        /// The write.
        request: Request,
        /// Position of the write.
        at: Position,
        /// Term of the primary that replaced the write's primary.
        term: Term,
    },
    /// A connection executed a statement during another transaction.
    #[error("{request:?} ran on {connection:?} during {open:?}")]
    Mixed {
        /// Request of the statement.
        request: Request,
        /// The connection.
        connection: Connection,
        /// Transaction that was open on the connection.
        open: Transaction,
    },
    /// A transaction continued on a second connection.
    #[error("{transaction:?} began on {first:?} and continued on {second:?}")]
    Split {
        /// The transaction.
        transaction: Transaction,
        /// Connection on which the transaction began.
        first: Connection,
        /// Connection on which the transaction continued.
        second: Connection,
    },
    /// An answer reached a session that had not sent the request.
    #[error("the answer of {request:?} reached {session:?}")]
    WrongCaller {
        /// The request.
        request: Request,
        /// Session that received the answer.
        session: Session,
    },
    /// A caller received the answer of another request.
    #[error("{request:?} received the answer of {of:?}")]
    WrongAnswer {
        /// The request.
        request: Request,
        /// Request that the answer belongs to.
        of: Option<Request>,
    },
    /// A caller received a truncated answer as a complete one.
    #[error("{request:?} received {rows} of {whole} rows")]
    Partial {
        /// The request.
        request: Request,
        /// Number of rows received.
        rows: u32,
        /// Number of rows that the upstream sent.
        whole: u32,
    },
    /// A request was answered more than once.
    #[error("{request:?} was answered twice")]
    AnsweredTwice {
        /// The request.
        request: Request,
    },
    /// A request that was executed was answered as not run.
    #[error("{request:?} ran but was answered as not run")]
    RanAfterAll {
        /// The request.
        request: Request,
    },
    /// A non-idempotent operation took effect twice.
    #[error("{operation:?} took effect at {first} and at {second}")]
    Twice {
        /// The operation.
        operation: Operation,
        /// Position of the first execution.
        first: Position,
        /// Position of the second execution.
        second: Position,
    },
    /// A leaving upstream got new work.
    #[error("{upstream} got {request:?} {after:?} after beginning to leave")]
    WorkWhileLeaving {
        /// The upstream.
        upstream: name::Upstream,
        /// The request.
        request: Request,
        /// Time since the upstream began to leave.
        after: Duration,
    },
    /// A planned stop aborted a request in progress.
    #[error("{instance} stopped during {request:?}: {cause:?}")]
    Cut {
        /// The instance.
        instance: name::Instance,
        /// The request.
        request: Request,
        /// Cause in the caller's answer, if any.
        cause: Option<Cause>,
    },
    /// An instance went back to an older revision of the catalogue.
    #[error("{instance} went back from revision {from} to {to}")]
    Reverted {
        /// The instance.
        instance: name::Instance,
        /// Revision that had been in force.
        from: u64,
        /// Revision put in force.
        to: u64,
    },
    /// An instance put a revision in force that the store never accepted.
    #[error("{instance} put revision {revision} in force, which was never accepted")]
    NeverAccepted {
        /// The instance.
        instance: name::Instance,
        /// The revision.
        revision: u64,
    },
    /// An acknowledged write is missing from the log.
    #[error("{operation:?} was acknowledged at {at} but is lost")]
    Lost {
        /// Operation of the write.
        operation: Operation,
        /// Position of the write.
        at: Position,
    },
    /// More connections were open than the catalogue allows.
    #[error("{holder:?} holds {open} connections, over its limit of {limit}")]
    LimitExceeded {
        /// Subject of the limit.
        holder: Holder,
        /// Number of open connections.
        open: u32,
        /// Maximum number of connections.
        limit: u32,
    },
}
