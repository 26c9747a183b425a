//! What the callers' duty asks of the upstreams' duty, and what comes back.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use model::{Class, Outcome, Position, name};
use serde::{Deserialize, Serialize};
use session::Floor;

use crate::meter::Meter;

/// How many parts of an answer are sent ahead of what the caller has taken.
///
/// Together with [`CHUNK`] it bounds the memory that one caller's answer takes.
pub(crate) const WINDOW: usize = 8;

/// The size of a part at which it is sent off, in bytes.
pub(crate) const CHUNK: usize = 16 << 10;

/// A caller's connection, numbered by its instance.
pub(crate) type Caller = u64;

/// A caller's session settings, as `SET` has changed them.
pub(crate) type Settings = BTreeMap<String, String>;

/// A statement that a caller has prepared.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Statement {
    /// Its text.
    pub(crate) sql: String,
    /// The parameter types that the caller gave.
    pub(crate) types: Vec<u32>,
    /// Names it on upstream connections, whichever caller prepared it.
    pub(crate) hash: u128,
}

impl Statement {
    /// The statement with this text and these types.
    pub(crate) fn new(sql: String, types: Vec<u32>) -> Self {
        let mut bytes = sql.clone().into_bytes();
        bytes.push(0);
        bytes.extend(types.iter().flat_map(|it| it.to_be_bytes()));
        Self {
            sql,
            types,
            hash: xxhash_rust::xxh3::xxh3_128(&bytes),
        }
    }
}

/// A portal that a caller binds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Portal {
    /// Its name; `None` for the unnamed one.
    pub(crate) name: Option<String>,
    /// The formats of the parameters, as the protocol numbers them.
    pub(crate) formats: Vec<i16>,
    /// The parameters.
    pub(crate) parameters: Vec<Option<Bytes>>,
    /// The formats of the result's columns.
    pub(crate) results: Vec<i16>,
}

/// One message of a batch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Step {
    /// A simple query, which is a batch of its own.
    Query(String),
    /// Prepare a statement and say so.
    Parse(Arc<Statement>),
    /// Bind a portal to a statement.
    Bind(Arc<Statement>, Portal),
    /// Describe a statement.
    DescribeStatement(Arc<Statement>),
    /// Describe a portal.
    DescribePortal(Option<String>),
    /// Run a portal.
    Execute {
        /// Its name; `None` for the unnamed one.
        portal: Option<String>,
        /// How many rows at most; 0 for all.
        rows: i32,
    },
    /// Close a statement: upstreams keep theirs, so the proxy answers.
    CloseStatement,
    /// Close a portal.
    ClosePortal(Option<String>),
    /// Ask for the answers so far and keep the batch open.
    Flush,
    /// End the batch.
    Sync,
}

/// What a batch needs of the upstream that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Need {
    /// It only reads: a replica will do.
    Read,
    /// It changes a session setting: any upstream will do to check it.
    Setting,
    /// It opens a transaction.
    Begin,
    /// It writes or ends a transaction.
    Write,
    /// It may change state of the connection that can't be reset: the
    /// connection is closed behind it.
    Alone,
}

impl Batch {
    /// Whether it runs a statement that writes, so that a request id is for it.
    ///
    /// Drivers prepare and describe a statement in batches of their own, ahead
    /// of the one that runs it.
    pub(crate) fn takes_request(&self) -> bool {
        let runs = |step: &Step| matches!(step, Step::Query(_) | Step::Execute { .. });
        self.need == Need::Write && self.closes == Closes::Nothing && self.steps.iter().any(runs)
    }

    /// The fingerprint of its statements with their parameters.
    pub(crate) fn digest(&self) -> request::ledger::Digest {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for step in &self.steps {
            match step {
                Step::Query(sql) => hash.update(sql.as_bytes()),
                Step::Bind(statement, portal) => {
                    hash.update(statement.sql.as_bytes());
                    for parameter in &portal.parameters {
                        let length = parameter.as_ref().map_or(u64::MAX, |it| it.len() as u64);
                        hash.update(&length.to_be_bytes());
                        hash.update(parameter.as_deref().unwrap_or_default());
                    }
                }
                _ => {}
            }
        }
        request::ledger::Digest(hash.digest())
    }
}

/// Whether a batch ends an open transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Closes {
    /// It does not, as far as its text shows.
    Nothing,
    /// It holds a `COMMIT` or a `ROLLBACK`.
    Transaction,
}

/// Messages that go to one upstream together.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// The messages.
    pub(crate) steps: Vec<Step>,
    /// What they need.
    pub(crate) need: Need,
    /// Whether it ends the transaction that it runs in.
    pub(crate) closes: Closes,
    /// What the routing remembers the statement by.
    pub(crate) fingerprint: u64,
    /// What it changes of the session's settings, to be kept if it succeeds.
    pub(crate) changes: Vec<Change>,
    /// What it leaves behind on its connection.
    pub(crate) leaves: Leaves,
}

/// A change of a session's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// This setting gets this value.
    Set(String, String),
    /// This setting gets its default.
    Reset(String),
    /// All settings get their defaults.
    ResetAll,
}

/// What a batch leaves behind on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Leaves {
    /// Nothing.
    Nothing,
    /// Settings: they are reset before another request has the connection.
    Settings,
}

/// Whose request it is, and under which class and limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Scope {
    /// The owner.
    pub(crate) tenant: name::Tenant,
    /// The entry.
    pub(crate) entry: name::Entry,
    /// The database.
    pub(crate) database: name::Database,
    /// The entry's class.
    pub(crate) class: Class,
    /// How many upstream connections the entry may hold.
    pub(crate) connections: u16,
    /// How many of its requests may wait.
    pub(crate) queue: u32,
    /// How long a request may take.
    pub(crate) deadline: Duration,
}

impl Scope {
    /// The scope of the catalogue's `entry`, which is called `name`.
    pub(crate) fn new(name: &name::Entry, entry: &catalog::Entry) -> Self {
        Self {
            tenant: entry.tenant.clone(),
            entry: name.clone(),
            database: entry.database.clone(),
            class: entry.class(),
            connections: entry.connections,
            queue: entry.queue,
            deadline: entry.deadline(),
        }
    }
}

/// A request's id, with the fingerprint of what it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tagged {
    /// The id.
    pub(crate) id: request::ledger::Id,
    /// The fingerprint.
    pub(crate) digest: request::ledger::Digest,
}

/// One request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    /// Where it is counted.
    pub(crate) meter: Arc<Meter>,
    /// The caller; its requests come one by one.
    pub(crate) caller: Caller,
    /// Counts the caller's requests, so that a late answer finds no taker.
    pub(crate) seq: u64,
    /// Whose it is.
    pub(crate) scope: Arc<Scope>,
    /// What to run.
    pub(crate) batch: Batch,
    /// The session's settings.
    pub(crate) settings: Arc<Settings>,
    /// What its reads must have reached.
    pub(crate) floor: Floor,
    /// What it has seen that is not known to be acknowledged.
    pub(crate) seen: Option<Position>,
    /// When it came in.
    pub(crate) began: Instant,
    /// When it is given up.
    pub(crate) deadline: Instant,
    /// The id that makes a repeat find the first run.
    pub(crate) request: Option<Tagged>,
}

/// What the callers' duty sends.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run this.
    Run(Box<Job>),
    /// The caller is gone: end its transaction, if it has one.
    Leave(Caller),
    /// The caller took a part of the answer to its request `seq`.
    Taken {
        /// The caller.
        caller: Caller,
        /// The request.
        seq: u64,
    },
    /// Cancel what the caller's request `seq` runs.
    Cancel {
        /// The caller.
        caller: Caller,
        /// The request.
        seq: u64,
    },
    /// The catalogue has changed.
    Catalog(Arc<catalog::layout::Snapshot>),
}

/// How a request ended.
#[derive(Debug)]
pub(crate) struct End {
    /// Done, not run, or unknown.
    pub(crate) outcome: Outcome,
    /// What goes to the caller, up to and without the ready message.
    pub(crate) bytes: Bytes,
    /// The transaction's state, as the ready message tells it; `None` after a
    /// flush, which has no ready message.
    pub(crate) status: Option<u8>,
    /// What the session learns.
    pub(crate) events: Vec<session::Event>,
    /// What it changed of the session's settings.
    pub(crate) changes: Vec<Change>,
    /// How long until a refused request may be sent again.
    pub(crate) retry_after: Option<Duration>,
}

/// What the upstreams' duty sends back.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The caller.
    pub(crate) caller: Caller,
    /// The request.
    pub(crate) seq: u64,
    /// Part of the answer.
    pub(crate) part: Part,
}

/// A part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes for the caller; more follows.
    Chunk(Bytes),
    /// The end.
    End(Box<End>),
}
