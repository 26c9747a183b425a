//! What a history is made of.

use model::{Freshness, Lsn, Outcome, Position, Repeat, Term, name};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

ids! {
    /// One request, as sent by a caller once.
    Request;
    /// What a request is about: a caller's repeats of it share one operation.
    Operation;
    /// A caller's session, which keeps its number when it roams.
    Session;
    /// A transaction of several statements.
    Transaction;
    /// One connection to an upstream; a new one gets a new number.
    Connection;
}

/// One thing that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An instance took a request from a caller.
    Asked {
        /// The request.
        request: Request,
        /// What it is about.
        operation: Operation,
        /// Whose it is.
        session: Session,
        /// Where it arrived.
        instance: name::Instance,
        /// The database it is for.
        database: name::Database,
        /// How fresh its reads must be.
        freshness: Freshness,
        /// Whether it may run twice.
        repeat: Repeat,
    },
    /// Its bytes left for an upstream.
    Sent {
        /// The request.
        request: Request,
        /// Where it was sent.
        upstream: name::Upstream,
        /// The transaction it is part of.
        transaction: Option<Transaction>,
    },
    /// An upstream ran and committed it.
    Ran {
        /// The request.
        request: Request,
        /// The connection it came by.
        connection: Connection,
        /// The transaction it is part of.
        transaction: Option<Transaction>,
        /// What running it did.
        effect: Effect,
    },
    /// A transaction ended on its upstream.
    Ended {
        /// The transaction.
        transaction: Transaction,
    },
    /// An answer reached a caller.
    Answered {
        /// The request that the caller takes it as the answer of.
        request: Request,
        /// The session that it reached.
        session: Session,
        /// What it says.
        answer: Answer,
    },
    /// An upstream began to take writes under a new term.
    Promoted {
        /// The database.
        database: name::Database,
        /// The new term.
        term: Term,
        /// The last place of the log before it.
        fork: Lsn,
    },
    /// A write is in the primary's log at the end of the history.
    Persisted {
        /// What it was about.
        operation: Operation,
    },
    /// Every write that is kept has been told.
    LogComplete,
    /// The platform's list shows an upstream as leaving.
    Leaving {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// The platform's list shows an upstream as live again.
    Returned {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// An instance began a planned stop.
    Stopping {
        /// The instance.
        instance: name::Instance,
    },
    /// An instance ended its planned stop.
    Stopped {
        /// The instance.
        instance: name::Instance,
    },
    /// An instance died or was started anew: it kept nothing.
    Crashed {
        /// The instance.
        instance: name::Instance,
    },
    /// The store accepted a revision of the catalogue.
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
    /// The catalogue limits connections.
    Limited {
        /// What is limited.
        holder: Holder,
        /// How many it may hold.
        connections: u32,
    },
    /// A connection to an upstream was opened.
    Opened {
        /// The connection.
        connection: Connection,
        /// Where it leads.
        upstream: name::Upstream,
        /// The entry that it works for, if it works for one.
        entry: Option<name::Entry>,
    },
    /// A connection was closed, as the upstream sees it.
    Closed {
        /// The connection.
        connection: Connection,
    },
}

/// What running a request did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It read.
    Read {
        /// The position that it saw.
        seen: Position,
        /// How long before the read the primary had gone past that position.
        age: std::time::Duration,
    },
    /// It wrote.
    Write {
        /// Where the log stood after it.
        at: Position,
    },
    /// It found that its operation had been run before, and did nothing.
    AlreadyRun {
        /// Where the first run had left the log.
        at: Position,
    },
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The request whose running made the answer, where it ran.
    pub of: Option<Request>,
    /// How many rows reached the caller.
    pub rows: u32,
    /// How many rows the upstream sent.
    pub total: u32,
}

impl Answer {
    /// An answer of one row, made by the request itself.
    pub fn done(request: Request) -> Self {
        Self {
            outcome: Outcome::Done,
            of: Some(request),
            rows: 1,
            total: 1,
        }
    }

    /// An answer that says only how the request ended.
    pub fn without_rows(outcome: Outcome) -> Self {
        Self {
            outcome,
            of: None,
            rows: 0,
            total: 0,
        }
    }
}

/// What the catalogue limits in its connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Holder {
    /// All connections to one upstream.
    Upstream(name::Upstream),
    /// All connections that work for one entry.
    Entry(name::Entry),
}
