//! What a checker found.

use std::time::Duration;

use model::{Cause, Position, Term, name};

use crate::{Connection, Holder, Operation, Request, Session, Transaction};

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A session read a state older than its own writes or former reads.
    #[error("{request:?} of {session:?} saw {seen}, which lacks {token}")]
    OwnWriteUnseen {
        /// The session.
        session: Session,
        /// The read.
        request: Request,
        /// What it saw.
        seen: Position,
        /// What the session had written or seen before.
        token: Position,
    },
    /// A read that had to be current missed an acknowledged write.
    #[error("current read {request:?} saw {seen}, which lacks {acknowledged}")]
    NotCurrent {
        /// The read.
        request: Request,
        /// What it saw.
        seen: Position,
        /// What had been acknowledged before it began.
        acknowledged: Position,
    },
    /// A read was older than its class allows.
    #[error("{request:?} saw a state {age:?} old, over its limit of {limit:?}")]
    TooOld {
        /// The read.
        request: Request,
        /// How old its state was.
        age: Duration,
        /// How old it might have been.
        limit: Duration,
    },
    /// A write was acknowledged by a primary that had been replaced.
    #[error("{request:?} at {at} was acknowledged after term {term} had begun")]
    AcknowledgedByReplaced {
        /// The write.
        request: Request,
        /// Its place.
        at: Position,
        /// The term that had replaced its primary.
        term: Term,
    },
    /// A connection ran a statement amid another transaction.
    #[error("{request:?} ran on {connection:?} amid {open:?}")]
    Mixed {
        /// The statement that does not belong.
        request: Request,
        /// The connection.
        connection: Connection,
        /// The transaction that was open on it.
        open: Transaction,
    },
    /// A transaction went on over a second connection.
    #[error("{transaction:?} began on {first:?} and went on over {second:?}")]
    Split {
        /// The transaction.
        transaction: Transaction,
        /// Where it began.
        first: Connection,
        /// Where it went on.
        second: Connection,
    },
    /// An answer reached a session that did not ask.
    #[error("the answer of {request:?} reached {session:?}")]
    WrongCaller {
        /// The request.
        request: Request,
        /// Who got the answer.
        session: Session,
    },
    /// A caller got the answer of another request.
    #[error("{request:?} was given the answer of {of:?}")]
    WrongAnswer {
        /// The request.
        request: Request,
        /// The request whose answer it was.
        of: Option<Request>,
    },
    /// A caller got a part of an answer as if it were the whole.
    #[error("{request:?} got {rows} rows of {whole}")]
    Partial {
        /// The request.
        request: Request,
        /// How many rows came.
        rows: u32,
        /// How many there were.
        whole: u32,
    },
    /// A request was answered more than once.
    #[error("{request:?} was answered twice")]
    AnsweredTwice {
        /// The request.
        request: Request,
    },
    /// A request that ran was refused as not run.
    #[error("{request:?} ran but was answered as not run")]
    RanAfterAll {
        /// The request.
        request: Request,
    },
    /// An operation that is not idempotent took effect twice.
    #[error("{operation:?} took effect at {first} and at {second}")]
    Twice {
        /// The operation.
        operation: Operation,
        /// The first place.
        first: Position,
        /// The second place.
        second: Position,
    },
    /// An upstream got new work although it was leaving.
    #[error("{upstream} got {request:?} {after:?} after it began to leave")]
    WorkWhileLeaving {
        /// The upstream.
        upstream: name::Upstream,
        /// The request.
        request: Request,
        /// How long the upstream had been leaving.
        after: Duration,
    },
    /// A planned stop cut a request in progress.
    #[error("{instance} stopped amid {request:?}: {cause:?}")]
    Cut {
        /// The instance.
        instance: name::Instance,
        /// The request.
        request: Request,
        /// What the caller was told, if anything.
        cause: Option<Cause>,
    },
    /// An instance went back to an older revision of the catalogue.
    #[error("{instance} went back from revision {from} to {to}")]
    Reverted {
        /// The instance.
        instance: name::Instance,
        /// The revision it had in force.
        from: u64,
        /// The revision it put in force.
        to: u64,
    },
    /// An instance put a revision in force that was never accepted.
    #[error("{instance} put revision {revision} in force, which was never accepted")]
    NeverAccepted {
        /// The instance.
        instance: name::Instance,
        /// The revision.
        revision: u64,
    },
    /// An acknowledged write is not in the log any more.
    #[error("{operation:?} was acknowledged at {at} and is lost")]
    Lost {
        /// What was written.
        operation: Operation,
        /// Its place.
        at: Position,
    },
    /// More connections were open than the catalogue allows.
    #[error("{holder:?} holds {open} connections, over its limit of {limit}")]
    LimitExceeded {
        /// What is limited.
        holder: Holder,
        /// How many were open.
        open: u32,
        /// How many might have been.
        limit: u32,
    },
}
