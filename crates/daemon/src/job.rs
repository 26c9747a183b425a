//! Messages between the callers' duty and the upstreams' duty.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use model::{Class, Outcome, Position, name};
use serde::{Deserialize, Serialize};
use session::Floor;

use crate::meter::Meter;

/// Parts of an answer that are sent before the caller has received them.
///
/// Together with [`CHUNK`] it limits the memory that one caller's answer takes.
pub(crate) const WINDOW: usize = 8;

/// Size at which a part of an answer is sent, in bytes.
pub(crate) const CHUNK: usize = 16 << 10;

/// Number of a caller's connection, assigned by its instance.
pub(crate) type Caller = u64;

/// Session settings that a caller changed by `SET`.
pub(crate) type Settings = BTreeMap<String, String>;

/// A prepared statement.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Statement {
    /// SQL text.
    pub(crate) sql: String,
    /// Parameter types that the caller declared.
    pub(crate) types: Vec<u32>,
    /// Hash of text and types, which names the statement on upstream
    /// connections, whichever caller prepared it.
    pub(crate) hash: u128,
}

impl Statement {
    /// Creates a statement and hashes its text and types.
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

/// A bound portal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Portal {
    /// Name; `None` for the unnamed portal.
    pub(crate) name: Option<String>,
    /// Formats of the parameters, as numbered by the protocol.
    pub(crate) formats: Vec<i16>,
    /// Values of the parameters.
    pub(crate) parameters: Vec<Option<Bytes>>,
    /// Formats of the result columns.
    pub(crate) results: Vec<i16>,
}

/// One message of a batch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Step {
    /// A simple query, which is a batch of its own.
    Query(String),
    /// Prepare a statement and confirm it.
    Parse(Arc<Statement>),
    /// Bind a portal to a statement.
    Bind(Arc<Statement>, Portal),
    /// Describe a statement.
    DescribeStatement(Arc<Statement>),
    /// Describe a portal.
    DescribePortal(Option<String>),
    /// Run a portal.
    Execute {
        /// Name; `None` for the unnamed portal.
        portal: Option<String>,
        /// Maximum number of rows; 0 for all.
        rows: i32,
    },
    /// Close a statement. The proxy answers, because upstreams keep their
    /// prepared statements.
    CloseStatement,
    /// Close a portal.
    ClosePortal(Option<String>),
    /// Request the answers so far and keep the batch open.
    Flush,
    /// End the batch.
    Sync,
}

/// Requirement of a batch on the upstream that runs it, weakest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Need {
    /// Only reads, so a replica suffices.
    Read,
    /// Changes a session setting, which any upstream can check.
    Setting,
    /// Opens a transaction.
    Begin,
    /// Writes or ends a transaction.
    Write,
    /// May change connection state that can't be reset, so the connection is
    /// closed after the batch.
    Alone,
}

impl Batch {
    /// Returns true if the batch executes a write, so that a request id applies
    /// to it.
    ///
    /// Drivers prepare and describe a statement in earlier batches, which must
    /// not consume the id.
    pub(crate) fn takes_request(&self) -> bool {
        let runs = |step: &Step| matches!(step, Step::Query(_) | Step::Execute { .. });
        self.need == Need::Write && self.closes == Closes::Nothing && self.steps.iter().any(runs)
    }

    /// Hash of the statements and their parameters.
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

/// Effect of a batch on an open transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Closes {
    /// Its text shows no end of a transaction.
    Nothing,
    /// It contains a `COMMIT` or a `ROLLBACK`.
    Transaction,
}

/// Messages that run together on one upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// The messages.
    pub(crate) steps: Vec<Step>,
    /// Requirement on the upstream.
    pub(crate) need: Need,
    /// Effect on the transaction that the batch runs in.
    pub(crate) closes: Closes,
    /// Fingerprint by which routing recognises the statement.
    pub(crate) fingerprint: u64,
    /// Changes of session settings, applied if the batch succeeds.
    pub(crate) changes: Vec<Change>,
    /// State that the batch leaves on its connection.
    pub(crate) leaves: Leaves,
}

/// A change of session settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// Set a setting to a value.
    Set(String, String),
    /// Set a setting to its default.
    Reset(String),
    /// Set all settings to their defaults.
    ResetAll,
}

/// State that a batch leaves on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Leaves {
    /// No state.
    Nothing,
    /// Changed settings, which are reset before another request gets the
    /// connection.
    Settings,
}

/// Owner of a request, its class and its limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Scope {
    /// Tenant that owns the entry.
    pub(crate) tenant: name::Tenant,
    /// Entry of the catalogue.
    pub(crate) entry: name::Entry,
    /// The database.
    pub(crate) database: name::Database,
    /// Class of the entry.
    pub(crate) class: Class,
    /// Maximum number of upstream connections of the entry.
    pub(crate) connections: u16,
    /// Maximum number of waiting requests of the entry.
    pub(crate) queue: u32,
    /// Time limit of a request.
    pub(crate) deadline: Duration,
}

impl Scope {
    /// Scope of the catalogue entry `entry`, which is called `name`.
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

/// Request id with the hash of its batch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tagged {
    /// Id from the caller.
    pub(crate) id: request::ledger::Id,
    /// Hash of the batch.
    pub(crate) digest: request::ledger::Digest,
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    /// Metrics of the entry.
    pub(crate) meter: Arc<Meter>,
    /// Caller, which has one request at a time.
    pub(crate) caller: Caller,
    /// Number of the request at its caller, so that a late answer is not taken
    /// for the next one.
    pub(crate) seq: u64,
    /// Owner, class and limits.
    pub(crate) scope: Arc<Scope>,
    /// Batch to run.
    pub(crate) batch: Batch,
    /// Settings of the session.
    pub(crate) settings: Arc<Settings>,
    /// Position that reads of this session must have reached.
    pub(crate) floor: Floor,
    /// Position that the session has seen and that is not known to be
    /// acknowledged by a majority.
    pub(crate) seen: Option<Position>,
    /// Arrival time.
    pub(crate) began: Instant,
    /// Time after which the request is given up.
    pub(crate) deadline: Instant,
    /// Request id by which a repeated request finds its first run.
    pub(crate) request: Option<Tagged>,
}

/// Command from the callers' duty.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run a request.
    Run(Box<Job>),
    /// The caller has disconnected: end its transaction, if any.
    Leave(Caller),
    /// The caller received a part of the answer to its request `seq`.
    Taken {
        /// The caller.
        caller: Caller,
        /// Number of the request.
        seq: u64,
    },
    /// Cancel the caller's request `seq`.
    Cancel {
        /// The caller.
        caller: Caller,
        /// Number of the request.
        seq: u64,
    },
    /// The catalogue has changed.
    Catalog(Arc<catalog::layout::Snapshot>),
}

/// Result of a request.
#[derive(Debug)]
pub(crate) struct End {
    /// Outcome: done, not run, or unknown.
    pub(crate) outcome: Outcome,
    /// Bytes for the caller, without the `ReadyForQuery` message.
    pub(crate) bytes: Bytes,
    /// Transaction state for `ReadyForQuery`; `None` after a `Flush`, which has
    /// no such message.
    pub(crate) status: Option<u8>,
    /// Events for the session's state.
    pub(crate) events: Vec<session::Event>,
    /// Changes of session settings.
    pub(crate) changes: Vec<Change>,
    /// Time after which a refused request may be sent again.
    pub(crate) retry_after: Option<Duration>,
}

/// Part of an answer, from the upstreams' duty.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The caller.
    pub(crate) caller: Caller,
    /// Number of the request.
    pub(crate) seq: u64,
    /// Part of the answer.
    pub(crate) part: Part,
}

/// A part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes for the caller; more parts follow.
    Chunk(Bytes),
    /// End of the answer.
    End(Box<End>),
}
