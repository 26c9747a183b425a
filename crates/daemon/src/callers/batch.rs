//! Collecting a caller's messages into batches for one upstream.

use std::sync::Arc;

use pg::Frontend;
use pgwire::messages::extendedquery::Bind;
use route::statement::{Kind, classify, fingerprint, split};

use super::{change, local, serve::Session};
use crate::job::{Batch, Change, Closes, Leaves, Need, Portal, Statement, Step};

/// The most messages in one batch.
const MAX_STEPS: usize = 10_000;

/// The most bytes of messages in one batch: two of the largest frames.
const MAX_BYTES: usize = 2 * pg::MAX_FRAME;

/// Why a batch is refused before it leaves the instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    /// COPY needs messages of its own, which are not served.
    #[error("COPY is not served; use INSERT")]
    Copy,
    /// A commit that opens the next transaction at once.
    #[error("AND CHAIN is not served; use BEGIN")]
    Chain,
    /// A statement for the proxy among others for an upstream.
    #[error("settings of dandelionlink are set and shown by themselves, not with other statements")]
    Mixed,
    /// A name that no statement has.
    #[error("prepared statement \"{0}\" does not exist")]
    NoStatement(String),
    /// The caller prepares without closing.
    #[error("too many prepared statements, or too long ones; close some")]
    TooManyStatements,
    /// More settings than are kept for a session, or too long ones.
    #[error("too many session settings, or too long ones")]
    TooManySettings,
    /// The request id can't promise a single run.
    #[error("{0}")]
    Request(request::ledger::Error),
    /// The batch has too many messages before its end.
    #[error("too many messages before Sync")]
    TooLong,
}

impl Fault {
    /// The SQLSTATE that tells the caller; each proves that nothing ran.
    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Copy | Self::Chain | Self::Mixed => "0A000",
            Self::NoStatement(_) => "26000",
            Self::Request(_) => "DL003",
            Self::TooManyStatements | Self::TooManySettings | Self::TooLong => "54000",
        }
    }
}

/// First words of statements that leave nothing behind their transaction.
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

/// What a statement needs, and whether it only prepares.
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

/// Whether a statement ends a transaction and opens the next at once. Its
/// commit would be acknowledged before a majority holds it.
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

/// Whether any statement of a text ends a transaction.
fn closes(sql: &str) -> Closes {
    let ends = |part| matches!(classify(part), Kind::Commit | Kind::Rollback);
    if split(sql).any(ends) {
        Closes::Transaction
    } else {
        Closes::Nothing
    }
}

/// What a text leaves behind on its connection, besides what [`Need::Alone`]
/// says.
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
    /// The batch of a simple query.
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

    /// A batch that makes the open transaction fail on its server too: what is
    /// no statement aborts it.
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

    /// The end of a batch that a Flush has left open.
    pub(super) fn sync() -> Self {
        Self {
            steps: vec![Step::Sync],
            ..Self::abort()
        }
    }

    /// Whether it goes on behind its answers so far.
    pub(crate) fn flushes(&self) -> bool {
        matches!(self.steps.last(), Some(Step::Flush))
    }
}

/// A batch of the extended protocol while its messages come in.
#[derive(Default)]
pub(super) struct Draft {
    steps: Vec<Step>,
    need: Option<Need>,
    closes: Option<Closes>,
    fingerprint: u64,
    changes: Vec<Change>,
    leaves: Option<Leaves>,
    /// How many bytes its messages have.
    bytes: usize,
    /// Whether its last message, taken or skipped, is a Flush.
    flushes: bool,
    fault: Option<Fault>,
}

/// Who answers a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Responder {
    /// The proxy: its statements are the proxy's own, or it has none.
    Proxy,
    /// An upstream.
    Upstream,
}

/// A batch that is all there.
pub(super) enum Completed {
    /// For the proxy to answer.
    Local(Vec<Step>),
    /// For an upstream.
    Batch(Batch),
}

impl Draft {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.fault.is_none()
    }

    /// Whether it goes on behind its answers so far.
    pub(super) fn flushes(&self) -> bool {
        self.flushes
    }

    /// Takes a message in. After a fault all is skipped up to the end, as the
    /// protocol has it.
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

    /// Who answers; only the statements tell, and all must agree.
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

    /// What the statements need that are only prepared here, ahead of a Flush.
    ///
    /// What follows a Flush has to run where this part runs. A driver that prepares a
    /// write, flushes, and executes it afterwards would have it refused by a replica
    /// with an error that its caller takes for the database's own.
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

    /// The batch, and who answers it.
    pub(super) fn finish(self, session: &Session) -> Result<Completed, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        // What a Flush has left open upstream is ended there.
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
