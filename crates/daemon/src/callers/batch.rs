//! Collects a caller's messages into batches for one upstream.

use std::sync::Arc;

use pg::Frontend;
use pgwire::messages::extendedquery::Bind;
use route::statement::{Kind, classify, fingerprint, split};

use super::{change, local, serve::Session};
use crate::job::{Batch, Change, Closes, Leaves, Need, Portal, Statement, Step};

/// Maximum number of messages in one batch.
const MAX_STEPS: usize = 10_000;

/// Maximum size of the messages in one batch, in bytes: two frames of the
/// largest size.
const MAX_BYTES: usize = 2 * pg::MAX_FRAME;

/// Reason to refuse a batch before it leaves the instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    /// `COPY` requires messages that the proxy does not support.
    #[error("COPY is not served; use INSERT")]
    Copy,
    /// A commit that starts the next transaction at once.
    #[error("AND CHAIN is not served; use BEGIN")]
    Chain,
    /// A statement for the proxy together with others for an upstream.
    #[error("settings of dandelionlink are set and shown by themselves, not with other statements")]
    Mixed,
    /// No prepared statement has this name.
    #[error("prepared statement \"{0}\" does not exist")]
    NoStatement(String),
    /// The session holds too many prepared statements.
    #[error("too many prepared statements, or too long ones; close some")]
    TooManyStatements,
    /// The session holds too many settings, or too long ones.
    #[error("too many session settings, or too long ones")]
    TooManySettings,
    /// The request id can't ensure a single execution.
    #[error("{0}")]
    Request(request::ledger::Error),
    /// Too many messages before the end of the batch.
    #[error("too many messages before Sync")]
    TooLong,
}

impl Fault {
    /// SQLSTATE for the caller; each of them proves that nothing ran.
    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Copy | Self::Chain | Self::Mixed => "0A000",
            Self::NoStatement(_) => "26000",
            Self::Request(_) => "DL003",
            Self::TooManyStatements | Self::TooManySettings | Self::TooLong => "54000",
        }
    }
}

/// First words of statements that change no state beyond their transaction.
const TRANSIENT: [&str; 9] = [
    "savepoint",
    "release",
    "rollback",
    "abort",
    "lock",
    "fetch",
    "move",
    "close",
    "explain",
];

/// Returns the requirement of a statement on its upstream.
fn need(sql: &str) -> Result<Need, Fault> {
    match classify(sql) {
        Kind::Read | Kind::Show { .. } | Kind::Empty => Ok(Need::Read),
        Kind::Set { .. } => Ok(Need::Setting),
        Kind::Begin(_) => Ok(Need::Begin),
        Kind::Write | Kind::Commit | Kind::Rollback => Ok(Need::Write),
        Kind::Other => need_of_other(sql),
        Kind::Copy => Err(Fault::Copy),
    }
}

fn need_of_other(sql: &str) -> Result<Need, Fault> {
    if split(sql).any(is_chained) {
        return Err(Fault::Chain);
    }
    if split(sql).any(|part| classify(part) == Kind::Copy) {
        return Err(Fault::Copy);
    }
    if change::only_changes(sql) {
        return Ok(Need::Setting);
    }
    let rest = |part| match classify(part) {
        Kind::Other => is_transient(part),
        _ => true,
    };
    if split(sql).all(rest) {
        return Ok(Need::Write);
    }
    Ok(Need::Alone)
}

/// Returns true if a statement ends a transaction and starts the next at once.
/// Such a commit would be acknowledged before a majority holds it.
fn is_chained(sql: &str) -> bool {
    let text = change::uncommented(sql).to_ascii_lowercase();
    let words: Vec<&str> = text.split_whitespace().collect();
    let ends = matches!(
        words.first(),
        Some(&("commit" | "end" | "rollback" | "abort"))
    );
    ends && words.ends_with(&["and", "chain"])
}

fn is_transient(sql: &str) -> bool {
    let text = change::uncommented(sql).to_ascii_lowercase();
    let mut words = text.split_whitespace();
    match words.next() {
        Some("set") => matches!(words.next(), Some("local" | "transaction" | "constraints")),
        Some(word) => TRANSIENT.contains(&word),
        None => true,
    }
}

/// Returns whether any statement of a text ends a transaction.
fn closes(sql: &str) -> Closes {
    let ends = |part| matches!(classify(part), Kind::Commit | Kind::Rollback);
    if split(sql).any(ends) {
        Closes::Transaction
    } else {
        Closes::Nothing
    }
}

/// Returns the state that a text leaves on its connection, besides the state
/// that [`Need::Alone`] covers.
fn leaves(sql: &str, changes: &[Change]) -> Leaves {
    const FUNCTION: &[u8] = b"set_config";
    let mut windows = sql.as_bytes().windows(FUNCTION.len());
    let calls = windows.any(|it| it.eq_ignore_ascii_case(FUNCTION));
    if calls || !changes.is_empty() {
        Leaves::Settings
    } else {
        Leaves::Nothing
    }
}

impl Batch {
    /// Creates the batch of a simple query.
    pub(super) fn simple(sql: String) -> Result<Self, Fault> {
        let need = need(&sql)?;
        if split(&sql).any(local::is_own) {
            return Err(Fault::Mixed);
        }
        let fingerprint = fingerprint(&sql);
        let changes = change::changes(&sql);
        let closes = closes(&sql);
        Ok(Self {
            leaves: leaves(&sql, &changes),
            steps: vec![Step::Query(sql)],
            need,
            closes,
            fingerprint,
            changes,
        })
    }

    /// Creates a batch that aborts the open transaction on the server, by an
    /// invalid statement.
    pub(super) fn abort() -> Self {
        Self {
            steps: vec![Step::Query("REFUSED".to_owned())],
            need: Need::Write,
            closes: Closes::Nothing,
            fingerprint: 0,
            changes: Vec::new(),
            leaves: Leaves::Nothing,
        }
    }

    /// Creates the end of a batch that a `Flush` has left open.
    pub(super) fn sync() -> Self {
        Self {
            steps: vec![Step::Sync],
            ..Self::abort()
        }
    }

    /// Returns true if the batch continues after its answers so far.
    pub(crate) fn flushes(&self) -> bool {
        matches!(self.steps.last(), Some(Step::Flush))
    }
}

/// A batch of the extended protocol whose messages are still arriving.
#[derive(Default)]
pub(super) struct Draft {
    steps: Vec<Step>,
    need: Option<Need>,
    closes: Option<Closes>,
    fingerprint: u64,
    changes: Vec<Change>,
    leaves: Option<Leaves>,
    /// Size of the messages, in bytes.
    bytes: usize,
    /// True if the last message, accepted or skipped, is a `Flush`.
    flushes: bool,
    fault: Option<Fault>,
}

/// Party that answers a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Responder {
    /// The proxy, because all statements concern the proxy itself or there is
    /// none.
    Proxy,
    /// An upstream.
    Upstream,
}

/// A complete batch.
pub(super) enum Completed {
    /// Messages that the proxy answers.
    Local(Vec<Step>),
    /// A batch for an upstream.
    Batch(Batch),
}

impl Draft {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.fault.is_none()
    }

    /// Returns true if the batch continues after its answers so far.
    pub(super) fn flushes(&self) -> bool {
        self.flushes
    }

    /// Adds a message. After a fault all messages up to the end are skipped, as
    /// the protocol requires.
    pub(super) fn add(&mut self, session: &mut Session, message: Frontend, bytes: usize) {
        self.flushes = matches!(message, Frontend::Flush);
        if self.fault.is_some() {
            return;
        }
        self.bytes += bytes;
        if self.steps.len() >= MAX_STEPS || self.bytes > MAX_BYTES {
            self.fault = Some(Fault::TooLong);
            return;
        }
        match self.step(session, message) {
            Ok(step) => self.steps.push(step),
            Err(fault) => self.fault = Some(fault),
        }
    }

    fn step(&mut self, session: &mut Session, message: Frontend) -> Result<Step, Fault> {
        match message {
            Frontend::Parse(parse) => {
                need(&parse.query)?;
                let statement = Arc::new(Statement::new(parse.query, parse.type_oids));
                session.prepare(&parse.name.unwrap_or_default(), &statement)?;
                Ok(Step::Parse(statement))
            }
            Frontend::Bind(bind) => self.bind(session, bind),
            Frontend::Describe(it) if it.target_type == b'S' => {
                let statement = statement(session, it.name.as_deref())?;
                Ok(Step::DescribeStatement(statement))
            }
            Frontend::Describe(it) => Ok(Step::DescribePortal(it.name)),
            Frontend::Execute(it) => Ok(Step::Execute {
                portal: it.name,
                rows: it.max_rows,
            }),
            Frontend::Close(it) if it.target_type == b'S' => {
                session.deallocate(it.name.as_deref().unwrap_or_default());
                Ok(Step::CloseStatement)
            }
            Frontend::Close(it) => Ok(Step::ClosePortal(it.name)),
            Frontend::Flush => Ok(Step::Flush),
            _ => Ok(Step::Sync),
        }
    }

    fn bind(&mut self, session: &Session, bind: Bind) -> Result<Step, Fault> {
        let statement = statement(session, bind.statement_name.as_deref())?;
        let needs = need(&statement.sql)?;
        self.need = Some(self.need.map_or(needs, |before| before.max(needs)));
        self.closes = self.closes.max(Some(closes(&statement.sql)));
        self.fingerprint = fingerprint(&statement.sql);
        let changes = change::changes(&statement.sql);
        self.leaves = self.leaves.max(Some(leaves(&statement.sql, &changes)));
        self.changes.extend(changes);
        session.check_changes(&self.changes)?;
        let portal = Portal {
            name: bind.portal_name,
            formats: bind.parameter_format_codes,
            parameters: bind.parameters,
            results: bind.result_column_format_codes,
        };
        Ok(Step::Bind(statement, portal))
    }

    /// Returns the party that answers. Only statements determine it, and all of
    /// them must agree.
    fn responder(&self, session: &Session) -> Result<Responder, Fault> {
        let mut found = None;
        for step in &self.steps {
            let (Step::Parse(it) | Step::Bind(it, _) | Step::DescribeStatement(it)) = step else {
                continue;
            };
            let local = local::read(&it.sql);
            let here = local.is_some_and(|it| it.is_always_local() || session.is_idle());
            let one = if here {
                Responder::Proxy
            } else {
                Responder::Upstream
            };
            if found.is_some_and(|before| before != one) {
                return Err(Fault::Mixed);
            }
            found = Some(one);
        }
        let names_portal = |step: &Step| {
            matches!(
                step,
                Step::Execute { .. } | Step::DescribePortal(_) | Step::ClosePortal(_)
            )
        };
        let default = if self.steps.iter().any(names_portal) {
            Responder::Upstream
        } else {
            Responder::Proxy
        };
        Ok(found.unwrap_or(default))
    }

    /// Returns the requirement of statements that are only prepared here,
    /// before a `Flush`.
    ///
    /// Messages after a `Flush` must run on the same upstream as those before
    /// it. If a driver prepares a write, flushes and executes the write
    /// afterwards, a replica would refuse the write with an error that the
    /// caller takes for the database's own.
    fn need_before_flush(&self) -> Need {
        let writes = |step: &Step| match step {
            Step::Parse(it) | Step::DescribeStatement(it) => need(&it.sql) == Ok(Need::Write),
            _ => false,
        };
        match self.flushes && self.steps.iter().any(writes) {
            true => Need::Write,
            false => Need::Read,
        }
    }

    /// Completes the batch and determines the party that answers it.
    pub(super) fn finish(self, session: &Session) -> Result<Completed, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        // A batch that a `Flush` left open on an upstream must end there.
        if self.responder(session)? == Responder::Proxy && !session.is_open() {
            return Ok(Completed::Local(self.steps));
        }
        let need = self
            .need
            .unwrap_or(Need::Read)
            .max(self.need_before_flush());
        Ok(Completed::Batch(Batch {
            steps: self.steps,
            need,
            closes: self.closes.unwrap_or(Closes::Nothing),
            fingerprint: self.fingerprint,
            changes: self.changes,
            leaves: self.leaves.unwrap_or(Leaves::Nothing),
        }))
    }
}

fn statement(session: &Session, name: Option<&str>) -> Result<Arc<Statement>, Fault> {
    let name = name.unwrap_or_default();
    let found = session.prepared.get(name);
    found
        .cloned()
        .ok_or_else(|| Fault::NoStatement(name.to_owned()))
}
