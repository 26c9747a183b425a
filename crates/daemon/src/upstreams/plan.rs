//! Encoding of a batch for one connection, with the answers to expect.

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

use super::connection::{Connection, Disposition, MAX_PREPARED};
use crate::job::{Batch, Leaves, Need, Settings, Statement, Step};

/// `ParseComplete`, sent for a statement that is already prepared.
const PARSE_COMPLETE: &[u8] = &[b'1', 0, 0, 0, 4];

/// `CloseComplete`, sent for a statement that stays prepared.
const CLOSE_COMPLETE: &[u8] = &[b'3', 0, 0, 0, 4];

/// Recipient of an answer: the caller, or the proxy alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Audience {
    /// The answer is passed on.
    Caller,
    /// The answer is for the proxy only.
    Proxy,
}

/// An expected part of the answer.
#[derive(Debug)]
pub(super) enum Item {
    /// The answer to one of the proxy's own statements.
    Internal,
    /// The status report queried before the batch.
    StatusBefore,
    /// The status report queried after the batch.
    StatusBehind,
    /// The answer to a simple query.
    Query,
    /// The confirmation of a Parse, with the statement's hash.
    Parsed(u128, Audience),
    /// An answer of one message.
    Single,
    /// The parameters and columns of a statement.
    Described,
    /// Rows up to the end of a portal's execution.
    Executed,
    /// An answer that the proxy gives itself.
    Synthetic(&'static [u8]),
    /// The answer to a Sync.
    Synced,
}

/// Which status probes are sent with a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Probes {
    /// True if the status is queried before the batch.
    pub(super) before: bool,
    /// True if the status is queried after the batch.
    pub(super) behind: bool,
}

/// A batch encoded for one connection.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// The bytes to send.
    pub(super) bytes: BytesMut,
    /// The expected answers, in order.
    pub(super) items: VecDeque<Item>,
    sent: HashSet<u128>,
}

impl Plan {
    /// Encodes `batch` for a connection that is not in a transaction.
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

    /// Encodes `batch` for a connection with an open transaction.
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

    /// Applies the caller's session settings to the connection.
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

    /// Queries the status after the batch, unless the batch ends with a Flush:
    /// the query would then commit what the caller has not ended.
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
        // Encoding can't fail: the caller's message was within the frame limit
        // and grows by a statement name at most; the library's limits are
        // higher.
        let _ = message.encode(&mut self.bytes);
    }

    fn steps(&mut self, connection: &mut Connection, batch: &Batch) {
        // Noted before the batch runs, since its success is not always known. A
        // superfluous reset is cheaper than a leaked session setting.
        connection.leaves = connection.leaves.max(batch.leaves);
        if batch.need == Need::Alone {
            connection.disposition = Disposition::Close;
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

    /// Prepares a statement unless the connection already has it. Returns true
    /// if a Parse was added.
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

/// The name of a statement on upstream connections.
fn statement_name(statement: &Statement) -> String {
    format!("dl_{:032x}", statement.hash)
}

/// The answer to a batch that ends a transaction which has already rolled back.
pub(super) fn rolled_back(batch: &Batch) -> Bytes {
    repeated(batch, "ROLLBACK")
}

/// Splits an answer into messages of a tag and a body.
fn messages(mut bytes: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    std::iter::from_fn(move || {
        let (head, rest) = bytes.split_first_chunk::<5>()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let (body, rest) = rest.split_at_checked(length.checked_sub(4)?)?;
        bytes = rest;
        Some((head[0], body))
    })
}

/// The SQLSTATE of the first error in an answer.
pub(super) fn refusal(bytes: &[u8]) -> Option<[u8; 5]> {
    let error = messages(bytes).find(|(tag, _)| *tag == b'E')?;
    pg::error_state(error.1)?.as_bytes().try_into().ok()
}

/// The last command tag in an answer.
pub(super) fn command_tag(bytes: &[u8]) -> Option<String> {
    let last = messages(bytes).filter(|(tag, _)| *tag == b'C').last()?;
    let text = last.1.strip_suffix(&[0])?;
    std::str::from_utf8(text).ok().map(str::to_owned)
}

/// The first column of an answer's first row, as text.
pub(super) fn first_cell(bytes: &[u8]) -> Option<String> {
    let (_, row) = messages(bytes).find(|(tag, _)| *tag == b'D')?;
    let (_, rest) = row.split_first_chunk::<2>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    std::str::from_utf8(rest.get(..length)?)
        .ok()
        .map(str::to_owned)
}

/// Builds the answer to a batch that is not run; each statement in it completes
/// with the command tag `tag`.
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
