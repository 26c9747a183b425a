//! Writing a batch for one connection, and what will come back for it.

use std::collections::{HashSet, VecDeque};

use bytes::{Bytes, BytesMut};
use pgwire::{
    error::PgWireResult,
    messages::{
        Message,
        data::{NoData, ParameterDescription},
        extendedquery::{
            Bind, BindComplete, Close, CloseComplete, Describe, Execute, Flush, Parse,
            ParseComplete, Sync,
        },
        response::CommandComplete,
        simplequery::Query,
    },
};

use super::connection::{Connection, Fate, MAX_PREPARED};
use crate::job::{Batch, Leaves, Need, Settings, Statement, Step};

/// `ParseComplete`, for a statement that the connection has already.
const PARSE_COMPLETE: &[u8] = &[b'1', 0, 0, 0, 4];

/// `CloseComplete`, for a statement that the connection keeps.
const CLOSE_COMPLETE: &[u8] = &[b'3', 0, 0, 0, 4];

/// Whether an answer is passed on to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Audience {
    /// It is.
    Caller,
    /// The proxy asked on its own account.
    Proxy,
}

/// What comes back, in order.
#[derive(Debug)]
pub(super) enum Item {
    /// The answer to a statement of the proxy's own.
    Internal,
    /// The status, asked ahead of the batch.
    StatusBefore,
    /// The status, asked behind the batch.
    StatusBehind,
    /// The answer to a simple query.
    Query,
    /// A statement was prepared.
    Parsed(u128, Audience),
    /// One message.
    Single,
    /// The parameters and the rows of a statement.
    Described,
    /// Rows up to the end of a portal's run.
    Executed,
    /// Nothing comes: the proxy answers itself.
    Synthetic(&'static [u8]),
    /// The end of the batch.
    Synced,
}

/// Whether the status is asked for on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Probes {
    /// Ahead of the batch.
    pub(super) before: bool,
    /// Behind it.
    pub(super) behind: bool,
}

/// A batch as it goes to one connection.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// The bytes to send.
    pub(super) bytes: BytesMut,
    /// What comes back.
    pub(super) items: VecDeque<Item>,
    sent: HashSet<u128>,
}

impl Plan {
    /// Writes `batch` for `line`, which is not in a transaction.
    pub(super) fn standalone(
        connection: &mut Connection,
        batch: &Batch,
        settings: &Settings,
        probes: Probes,
    ) -> Self {
        let mut plan = Self::default();
        plan.settings(connection, settings);
        if connection.prepared.len() >= MAX_PREPARED {
            plan.internal("DEALLOCATE ALL");
            connection.prepared.clear();
        }
        if probes.before {
            plan.query(upstream::PROBE, Item::StatusBefore);
        }
        plan.steps(connection, batch);
        plan.behind(batch, probes);
        plan
    }

    /// Writes `batch` for `line`, which goes on with a transaction.
    pub(super) fn in_transaction(
        connection: &mut Connection,
        batch: &Batch,
        probes: Probes,
    ) -> Self {
        let mut plan = Self::default();
        plan.steps(connection, batch);
        plan.behind(batch, probes);
        plan
    }

    /// Makes the connection's session settings those of the caller.
    fn settings(&mut self, connection: &mut Connection, settings: &Settings) {
        let left = connection.leaves == Leaves::Settings;
        if connection.applied == *settings && !left {
            return;
        }
        if left
            || connection
                .applied
                .keys()
                .any(|key| !settings.contains_key(key))
        {
            self.internal("RESET ALL");
            connection.applied.clear();
            connection.leaves = Leaves::Nothing;
        }
        for (key, value) in settings {
            if connection.applied.get(key) != Some(value) {
                let (key, value) = (key.replace('\'', "''"), value.replace('\'', "''"));
                self.internal(&format!("SELECT set_config('{key}', '{value}', false)"));
            }
        }
        connection.applied.clone_from(settings);
    }

    /// Asks for the status behind the batch, if it ends here. Behind a Flush
    /// the question would commit what its caller has not ended.
    fn behind(&mut self, batch: &Batch, probes: Probes) {
        if probes.behind && !batch.flushes() {
            self.query(upstream::PROBE, Item::StatusBehind);
        }
    }

    fn internal(&mut self, sql: &str) {
        self.query(sql, Item::Internal);
    }

    fn query(&mut self, sql: &str, item: Item) {
        self.put(&Query::new(sql.to_owned()));
        self.items.push_back(item);
    }

    fn put(&mut self, message: &impl Message) {
        // A caller's message came within the limit on frames, and grows by a
        // statement's name at most; the library's limits are higher.
        let _ = message.encode(&mut self.bytes);
    }

    fn steps(&mut self, connection: &mut Connection, batch: &Batch) {
        // Noted before it runs: whether it succeeds is not always known, and
        // an unneeded reset costs less than one caller's setting with another.
        connection.leaves = connection.leaves.max(batch.leaves);
        if batch.need == Need::Alone {
            connection.fate = Fate::Close;
        }
        for step in &batch.steps {
            if connection.skipping && !matches!(step, Step::Sync) {
                continue;
            }
            self.step(connection, step);
        }
    }

    fn step(&mut self, connection: &mut Connection, step: &Step) {
        match step {
            Step::Query(sql) => self.query(sql, Item::Query),
            Step::Parse(statement) => {
                if !self.prepare(connection, statement, Audience::Caller) {
                    self.items.push_back(Item::Synthetic(PARSE_COMPLETE));
                }
            }
            Step::Bind(statement, portal) => {
                self.prepare(connection, statement, Audience::Proxy);
                self.put(&Bind::new(
                    portal.name.clone(),
                    Some(statement_name(statement)),
                    portal.formats.clone(),
                    portal.parameters.clone(),
                    portal.results.clone(),
                ));
                self.items.push_back(Item::Single);
            }
            Step::DescribeStatement(statement) => {
                self.prepare(connection, statement, Audience::Proxy);
                self.put(&Describe::new(b'S', Some(statement_name(statement))));
                self.items.push_back(Item::Described);
            }
            Step::DescribePortal(name) => {
                self.put(&Describe::new(b'P', name.clone()));
                self.items.push_back(Item::Single);
            }
            Step::Execute { portal, rows } => {
                self.put(&Execute::new(portal.clone(), *rows));
                self.items.push_back(Item::Executed);
            }
            Step::CloseStatement => self.items.push_back(Item::Synthetic(CLOSE_COMPLETE)),
            Step::ClosePortal(name) => {
                self.put(&Close::new(b'P', name.clone()));
                self.items.push_back(Item::Single);
            }
            Step::Flush => self.put(&Flush::new()),
            Step::Sync => {
                self.put(&Sync::new());
                self.items.push_back(Item::Synced);
            }
        }
    }

    /// Prepares a statement if the connection does not have it; `true` if so.
    fn prepare(
        &mut self,
        connection: &Connection,
        statement: &Statement,
        audience: Audience,
    ) -> bool {
        let hash = statement.hash;
        if connection.prepared.contains(&hash) || !self.sent.insert(hash) {
            return false;
        }
        let (sql, types) = (statement.sql.clone(), statement.types.clone());
        self.put(&Parse::new(Some(statement_name(statement)), sql, types));
        self.items.push_back(Item::Parsed(hash, audience));
        true
    }
}

/// The name under which upstream connections know a statement.
fn statement_name(statement: &Statement) -> String {
    format!("dl_{:032x}", statement.hash)
}

/// The answer to a batch that ends a transaction which is already gone.
pub(super) fn rolled_back(batch: &Batch) -> Bytes {
    repeated(batch, "ROLLBACK")
}

/// The messages of an answer, one by one.
fn messages(mut bytes: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    std::iter::from_fn(move || {
        let (head, rest) = bytes.split_first_chunk::<5>()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let (body, rest) = rest.split_at_checked(length.checked_sub(4)?)?;
        bytes = rest;
        Some((head[0], body))
    })
}

/// The SQLSTATE of an answer's error, if it has one.
pub(super) fn refusal(bytes: &[u8]) -> Option<[u8; 5]> {
    let error = messages(bytes).find(|(tag, _)| *tag == b'E')?;
    pg::error_state(error.1)?.as_bytes().try_into().ok()
}

/// The last command tag of an answer.
pub(super) fn command_tag(bytes: &[u8]) -> Option<String> {
    let last = messages(bytes).filter(|(tag, _)| *tag == b'C').last()?;
    let text = last.1.strip_suffix(&[0])?;
    std::str::from_utf8(text).ok().map(str::to_owned)
}

/// The first cell of an answer's first row, as text.
pub(super) fn first_cell(bytes: &[u8]) -> Option<String> {
    let (_, row) = messages(bytes).find(|(tag, _)| *tag == b'D')?;
    let (_, rest) = row.split_first_chunk::<2>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    std::str::from_utf8(rest.get(..length)?)
        .ok()
        .map(str::to_owned)
}

/// The answer to a batch that is not run, in which each statement that the
/// caller runs ends with `tag`.
pub(super) fn repeated(batch: &Batch, tag: &str) -> Bytes {
    let mut buf = BytesMut::new();
    let mut put = |message: &dyn Fn(&mut BytesMut) -> PgWireResult<()>| {
        // These messages are far below the library's size limits.
        let _ = message(&mut buf);
    };
    for step in &batch.steps {
        match step {
            Step::Query(_) | Step::Execute { .. } => {
                put(&|buf| CommandComplete::new(tag.to_owned()).encode(buf));
            }
            Step::Parse(_) => put(&|buf| ParseComplete::new().encode(buf)),
            Step::Bind(..) => put(&|buf| BindComplete::new().encode(buf)),
            Step::DescribeStatement(_) => {
                put(&|buf| ParameterDescription::new(Vec::new()).encode(buf));
                put(&|buf| NoData::new().encode(buf));
            }
            Step::DescribePortal(_) => put(&|buf| NoData::new().encode(buf)),
            Step::CloseStatement | Step::ClosePortal(_) => {
                put(&|buf| CloseComplete::new().encode(buf));
            }
            Step::Flush | Step::Sync => {}
        }
    }
    buf.freeze()
}
