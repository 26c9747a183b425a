//! Collecting a caller's messages into batches for one upstream.

use std::sync::Arc;

use pg::Front;
use pgwire::messages::extendedquery::Bind;
use route::statement::{Kind, classify, fingerprint, split};

use super::serve::Session;
use crate::job::{Batch, Closes, Need, Portal, Statement, Step};

/// The most messages in one batch.
const MAX_STEPS: usize = 10_000;

/// Why a batch is refused before it leaves the instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    /// COPY needs messages of its own, which are not served.
    #[error("COPY is not served; use INSERT")]
    Copy,
    /// A name that no statement has.
    #[error("prepared statement \"{0}\" does not exist")]
    NoStatement(String),
    /// The caller prepares without closing.
    #[error("too many prepared statements; close some")]
    TooManyStatements,
    /// The batch has too many messages before its end.
    #[error("too many messages before Sync")]
    TooLong,
}

impl Fault {
    /// The SQLSTATE that tells the caller; each proves that nothing ran.
    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Copy => "0A000",
            Self::NoStatement(_) => "26000",
            Self::TooManyStatements | Self::TooLong => "54000",
        }
    }
}

/// What a statement needs, and whether it only prepares.
fn need(sql: &str) -> Result<Need, Fault> {
    match classify(sql) {
        Kind::Read | Kind::Show { .. } | Kind::Empty => Ok(Need::Read),
        Kind::Set { .. } => Ok(Need::Setting),
        Kind::Begin(_) => Ok(Need::Begin),
        Kind::Write | Kind::Commit | Kind::Rollback => Ok(Need::Write),
        Kind::Other => Ok(Need::Alone),
        Kind::Copy => Err(Fault::Copy),
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

fn setting(sql: &str) -> Option<(String, String)> {
    match classify(sql) {
        Kind::Set { name, value } => Some((name.to_ascii_lowercase(), value.to_owned())),
        _ => None,
    }
}

impl Batch {
    /// The batch of a simple query.
    pub(super) fn simple(sql: String) -> Result<Self, Fault> {
        let need = need(&sql)?;
        let fingerprint = fingerprint(&sql);
        let setting = setting(&sql);
        let closes = closes(&sql);
        Ok(Self {
            steps: vec![Step::Query(sql)],
            need,
            closes,
            fingerprint,
            setting,
        })
    }

    /// A batch that makes the open transaction fail on its server too.
    pub(super) fn fail(fault: &Fault) -> Self {
        let text = fault.to_string().replace('\'', "''");
        // A cast that can't succeed aborts the transaction and tells why.
        let sql = format!("SELECT CAST('{text}' AS integer)");
        let steps = vec![Step::Query(sql)];
        let closes = Closes::Nothing;
        Self {
            steps,
            need: Need::Write,
            closes,
            fingerprint: 0,
            setting: None,
        }
    }
}

/// A batch of the extended protocol while its messages come in.
#[derive(Default)]
pub(super) struct Draft {
    steps: Vec<Step>,
    need: Option<Need>,
    closes: Option<Closes>,
    fingerprint: u64,
    setting: Option<(String, String)>,
    fault: Option<Fault>,
}

impl Draft {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.fault.is_none()
    }

    /// What is wrong with the batch so far.
    pub(super) fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Takes a message in. After a fault all is skipped up to the end, as the
    /// protocol has it.
    pub(super) fn add(&mut self, session: &mut Session, front: Front) {
        if self.fault.is_some() {
            return;
        }
        if self.steps.len() >= MAX_STEPS {
            self.fault = Some(Fault::TooLong);
            return;
        }
        match self.step(session, front) {
            Ok(step) => self.steps.push(step),
            Err(fault) => self.fault = Some(fault),
        }
    }

    fn step(&mut self, session: &mut Session, front: Front) -> Result<Step, Fault> {
        match front {
            Front::Parse(parse) => {
                need(&parse.query)?;
                let statement = Arc::new(Statement::new(parse.query, parse.type_oids));
                session.prepare(&parse.name.unwrap_or_default(), &statement)?;
                Ok(Step::Parse(statement))
            }
            Front::Bind(bind) => self.bind(session, bind),
            Front::Describe(it) if it.target_type == b'S' => {
                let statement = statement(session, it.name.as_deref())?;
                Ok(Step::DescribeStatement(statement))
            }
            Front::Describe(it) => Ok(Step::DescribePortal(it.name)),
            Front::Execute(it) => Ok(Step::Execute {
                portal: it.name,
                rows: it.max_rows,
            }),
            Front::Close(it) if it.target_type == b'S' => {
                session
                    .prepared
                    .remove(it.name.as_deref().unwrap_or_default());
                Ok(Step::CloseStatement)
            }
            Front::Close(it) => Ok(Step::ClosePortal(it.name)),
            Front::Flush => Ok(Step::Flush),
            _ => Ok(Step::Sync),
        }
    }

    fn bind(&mut self, session: &Session, bind: Bind) -> Result<Step, Fault> {
        let statement = statement(session, bind.statement_name.as_deref())?;
        let needs = need(&statement.sql)?;
        self.need = Some(self.need.map_or(needs, |before| before.max(needs)));
        self.closes = self.closes.max(Some(closes(&statement.sql)));
        self.fingerprint = fingerprint(&statement.sql);
        self.setting = setting(&statement.sql).or(self.setting.take());
        let portal = Portal {
            name: bind.portal_name,
            formats: bind.parameter_format_codes,
            parameters: bind.parameters,
            results: bind.result_column_format_codes,
        };
        Ok(Step::Bind(statement, portal))
    }

    /// The batch; `None` when it is only its end.
    pub(super) fn finish(self) -> Result<Option<Batch>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if matches!(self.steps.as_slice(), [] | [Step::Sync]) {
            return Ok(None);
        }
        Ok(Some(Batch {
            steps: self.steps,
            need: self.need.unwrap_or(Need::Read),
            closes: self.closes.unwrap_or(Closes::Nothing),
            fingerprint: self.fingerprint,
            setting: self.setting,
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
