//! Events of a history.

use model::{Freshness, Lsn, Outcome, Position, Repeat, Term, name};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

ids! {
    /// One attempt of a caller to run an operation.
    Request;
    /// The operation of a request; a caller's retries share one operation.
    Operation;
    /// A caller's session; a session that migrates to another instance keeps
    /// its number.
    Session;
    /// A transaction of several statements.
    Transaction;
    /// One connection to an upstream; each connection has a new number.
    Connection;
}

/// An event of a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An instance received a request from a caller.
    Asked {
        /// The request.
        request: Request,
        /// Operation of the request.
        operation: Operation,
        /// Session of the caller.
        session: Session,
        /// Instance that received the request.
        instance: name::Instance,
        /// Database of the request.
        database: name::Database,
        /// Required freshness of reads.
        freshness: Freshness,
        /// Whether the request may be executed more than once.
        repeat: Repeat,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The request.
        request: Request,
        /// The upstream.
        upstream: name::Upstream,
        /// Transaction of the request, if any.
        transaction: Option<Transaction>,
    },
    /// An upstream executed and committed a request.
    Ran {
        /// The request.
        request: Request,
        /// Connection on which the request arrived.
        connection: Connection,
        /// Transaction of the request, if any.
        transaction: Option<Transaction>,
        /// Effect of the execution.
        effect: Effect,
    },
    /// A transaction ended on its upstream.
    Ended {
        /// The transaction.
        transaction: Transaction,
    },
    /// An answer reached a caller.
    Answered {
        /// Request to which the caller attributes the answer.
        request: Request,
        /// Session that received the answer.
        session: Session,
        /// Contents of the answer.
        answer: Answer,
    },
    /// An upstream began to accept writes in a new term.
    Promoted {
        /// The database.
        database: name::Database,
        /// The new term.
        term: Term,
        /// Last position of the previous terms' log that the new term contains.
        fork: Lsn,
    },
    /// A write is in the primary's log at the end of the history.
    Persisted {
        /// Operation of the write.
        operation: Operation,
    },
    /// All writes in the primary's log have been reported as `Persisted`.
    LogComplete,
    /// The platform's list marks an upstream as leaving.
    Leaving {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// The platform's list marks an upstream as active again.
    Returned {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An instance began a planned stop.
    Stopping {
        /// The instance.
        instance: name::Instance,
    },
    /// An instance completed its planned stop.
    Stopped {
        /// The instance.
        instance: name::Instance,
    },
    /// An instance crashed or was restarted and lost its state.
    Crashed {
        /// The instance.
        instance: name::Instance,
    },
    /// The store committed a revision of the catalogue.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// An instance put a revision in force.
    Applied {
        /// The instance.
        instance: name::Instance,
        /// The revision.
        revision: u64,
    },
    /// The catalogue set a connection limit.
    Limited {
        /// Subject of the limit.
        holder: Holder,
        /// Maximum number of connections.
        connections: u32,
    },
    /// A connection to an upstream was opened.
    Opened {
        /// The connection.
        connection: Connection,
        /// The upstream.
        upstream: name::Upstream,
        /// Entry that uses the connection, if any.
        entry: Option<name::Entry>,
    },
    /// A connection was closed at the upstream.
    Closed {
        /// The connection.
        connection: Connection,
    },
}

/// Effect of a request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The request read.
    Read {
        /// Position of the state that was read.
        seen: Position,
        /// Time between the primary's advance past `seen` and the read.
        age: std::time::Duration,
    },
    /// The request wrote.
    Write {
        /// Position of the log after the write.
        at: Position,
    },
    /// The operation had been executed before, so the request did nothing.
    AlreadyRun {
        /// Position of the log after the first execution.
        at: Position,
    },
}

/// Contents of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Request whose execution produced the answer, if executed.
    pub of: Option<Request>,
    /// Number of rows that the caller received.
    pub rows: u32,
    /// Number of rows that the upstream sent.
    pub total: u32,
}

impl Answer {
    /// An answer with one row, produced by the request itself.
    pub fn done(request: Request) -> Self {
        Self {
            outcome: Outcome::Done,
            of: Some(request),
            rows: 1,
            total: 1,
        }
    }

    /// An answer with an outcome only.
    pub fn without_rows(outcome: Outcome) -> Self {
        Self {
            outcome,
            of: None,
            rows: 0,
            total: 0,
        }
    }
}

/// Subject of a connection limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Holder {
    /// All connections to one upstream.
    Upstream(name::Upstream),
    /// All connections used by one entry.
    Entry(name::Entry),
}
