//! Executes statements: transactions, row locks, and orders such as promotion.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Position, Role, Term};
use ntex::time::sleep;
use pgwire::messages::startup::SecretKey;
use tokio::sync::Semaphore;

use super::{Cell, Outcome};
use crate::{
    group::{Fault, Node, Shared, lock},
    sql::{self, Column, Conflict, Literal, Plan, Refusal},
    table::{RowKey, Write},
};

/// Maximum time that a statement waits for a row lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a waiting statement checks the row lock again.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The session of one connection at an upstream.
pub(super) struct Session {
    node: usize,
    pub(super) id: u64,
    shared: Shared,
    slots: Arc<Semaphore>,
    statement_time: Duration,
    /// True in a transaction that `BEGIN` opened, false in the implicit
    /// transaction of a batch.
    explicit: bool,
    failed: bool,
    admitted: bool,
    writes: BTreeMap<RowKey, Option<String>>,
    settings: BTreeMap<String, String>,
}

impl Session {
    pub(super) fn new(
        node: usize,
        id: u64,
        shared: Shared,
        slots: Arc<Semaphore>,
        statement_time: Duration,
    ) -> Self {
        Self {
            node,
            id,
            shared,
            slots,
            statement_time,
            explicit: false,
            failed: false,
            admitted: false,
            writes: BTreeMap::new(),
            settings: BTreeMap::new(),
        }
    }

    /// Counts the connection and returns true, unless the limit is reached.
    pub(super) fn admit(&mut self, limit: usize) -> bool {
        let mut state = lock(&self.shared);
        let node = &mut state.nodes[self.node];
        if node.connections >= limit {
            return false;
        }
        node.connections += 1;
        node.peak_connections = node.peak_connections.max(node.connections);
        self.admitted = true;
        true
    }

    /// Releases the connection's place under the limit.
    pub(super) fn leave(&mut self) {
        if self.admitted {
            lock(&self.shared).nodes[self.node].connections -= 1;
            self.admitted = false;
        }
    }

    pub(super) fn fault(&self) -> (Fault, u64, Duration) {
        let state = lock(&self.shared);
        let node = &state.nodes[self.node];
        (node.fault, node.generation, node.answer_delay)
    }

    /// The transaction status byte of `ReadyForQuery`.
    pub(super) fn status(&self) -> u8 {
        match (self.explicit, self.failed) {
            (false, _) => b'I',
            (true, false) => b'T',
            (true, true) => b'E',
        }
    }

    /// Marks the transaction as failed.
    pub(super) fn fail(&mut self) {
        self.failed = true;
    }

    /// Ends the implicit transaction of a batch: commits, or rolls back after an
    /// error.
    pub(super) fn end_batch(&mut self) {
        if self.explicit {
            return;
        }
        if self.failed {
            self.rollback();
        } else {
            self.commit();
        }
        self.failed = false;
    }

    /// Discards the writes of the transaction and releases its row locks.
    pub(super) fn rollback(&mut self) {
        self.writes.clear();
        self.unlock();
    }

    fn unlock(&self) {
        let mut state = lock(&self.shared);
        state.nodes[self.node]
            .locks
            .retain(|_, holder| *holder != self.id);
    }

    fn commit(&mut self) -> Position {
        let writes: Vec<Write> = std::mem::take(&mut self.writes).into_iter().collect();
        let position = {
            let mut state = lock(&self.shared);
            let position = state.nodes[self.node].commit(writes);
            state.replicate();
            position
        };
        self.unlock();
        position
    }

    /// Waits for a slot and runs one statement in it.
    pub(super) async fn run(
        &mut self,
        plan: &Plan,
        parameters: &[Option<String>],
    ) -> Result<Outcome, Refusal> {
        let slots = Arc::clone(&self.slots);
        let slot = slots.acquire().await;
        // A cancel request that arrived between two statements has no effect.
        self.take_cancel();
        if self.statement_time > Duration::ZERO && !matches!(plan, Plan::Probe) {
            sleep(self.statement_time).await;
        }
        let result = self.run_in_slot(plan, parameters).await;
        drop(slot);
        result
    }

    async fn run_in_slot(
        &mut self,
        plan: &Plan,
        parameters: &[Option<String>],
    ) -> Result<Outcome, Refusal> {
        let ends_transaction = matches!(plan, Plan::Commit | Plan::Rollback);
        if self.explicit && self.failed && !ends_transaction {
            return Err(("25P02", "current transaction is aborted".to_owned()));
        }
        {
            let mut state = lock(&self.shared);
            state.nodes[self.node].statements += 1;
            if matches!(plan, Plan::Select { table: Some(_), .. }) {
                state.nodes[self.node].selects += 1;
            }
            state.replicate();
        }
        match plan {
            Plan::Empty => Ok(Outcome::default()),
            Plan::Begin => {
                self.explicit = true;
                Ok(tagged("BEGIN"))
            }
            Plan::Commit => Ok(self.end_transaction(End::Commit)),
            Plan::Rollback => Ok(self.end_transaction(End::Rollback)),
            Plan::Probe => Ok(self.probe()),
            Plan::Alter { name, value } => self.alter(name, value),
            Plan::Reload => Ok(single_row("SELECT 1", "t")),
            Plan::Promote => self.promote(),
            Plan::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
                Ok(tagged("SET"))
            }
            Plan::Show { name } => Ok(single_row("SHOW", self.setting(name))),
            Plan::Reset { name: Some(name) } => {
                self.settings.remove(name);
                Ok(tagged("RESET"))
            }
            Plan::Reset { name: None } => {
                self.settings.clear();
                Ok(tagged("RESET"))
            }
            Plan::Deallocate => Ok(tagged("DEALLOCATE ALL")),
            Plan::Select {
                table,
                columns,
                key,
                lock,
            } => {
                self.select(*table, columns, key.as_ref(), *lock, parameters)
                    .await
            }
            Plan::Insert {
                table,
                rows,
                conflict,
            } => self.insert(*table, rows, conflict, parameters).await,
            Plan::Update { table, key, value } => {
                let value = Some(bind_value(value, parameters)?);
                let count = self
                    .write_rows(*table, key.as_ref(), &value, parameters)
                    .await?;
                Ok(tagged(&format!("UPDATE {count}")))
            }
            Plan::Clean { below, limit } => self.clean(below, *limit).await,
            Plan::Delete { table, key } => {
                let count = self
                    .write_rows(*table, key.as_ref(), &None, parameters)
                    .await?;
                Ok(tagged(&format!("DELETE {count}")))
            }
        }
    }

    /// Returns the value of a setting, or its default.
    fn setting(&self, name: &str) -> &str {
        let default = match name {
            "transaction isolation level" | "default_transaction_isolation" => "read committed",
            "standard_conforming_strings" => "on",
            "timezone" => "UTC",
            _ => "",
        };
        self.settings.get(name).map_or(default, String::as_str)
    }

    /// Accepts a cancel request from another connection; the secret key is the
    /// process id.
    pub(super) fn cancel(&self, pid: i32, key: &SecretKey) {
        let id = u64::try_from(pid).unwrap_or(0);
        if key.as_i32() == Some(pid) {
            lock(&self.shared).cancels.insert(id);
        }
    }

    /// Consumes a pending cancel request of this session; returns true if there
    /// was one.
    fn take_cancel(&self) -> bool {
        lock(&self.shared).cancels.remove(&self.id)
    }

    async fn clean(&mut self, below: &str, limit: usize) -> Result<Outcome, Refusal> {
        /// Index of `dandelionlink_request` in `TABLES`.
        const REQUEST_TABLE: usize = 1;
        let old = self
            .keys(REQUEST_TABLE)
            .into_iter()
            .filter(|id| id.as_str() < below);
        let old: Vec<_> = old.take(limit).collect();
        for id in &old {
            let key = sql::Operand::Text(id.clone());
            self.write_rows(REQUEST_TABLE, Some(&key), &None, &[])
                .await?;
        }
        Ok(tagged(&format!("DELETE {}", old.len())))
    }

    fn end_transaction(&mut self, end: End) -> Outcome {
        let commits = end == End::Commit && !self.failed;
        if commits {
            self.commit();
        } else {
            self.rollback();
        }
        self.explicit = false;
        self.failed = false;
        tagged(if commits { "COMMIT" } else { "ROLLBACK" })
    }

    fn probe(&self) -> Outcome {
        let state = lock(&self.shared);
        let report = state.nodes[self.node].report();
        let role = if report.role == Role::Replica {
            "t"
        } else {
            "f"
        };
        let texts = [
            role.to_owned(),
            report.fenced.to_string(),
            report.received.term.to_string(),
            report.received.lsn.to_string(),
            report.replayed.to_string(),
        ];
        Outcome {
            rows: vec![texts.into_iter().map(Cell::Text).collect()],
            tag: "SELECT 1".to_owned(),
        }
    }

    fn alter(&self, name: &str, value: &str) -> Result<Outcome, Refusal> {
        let mut state = lock(&self.shared);
        let addresses = state.addresses.clone();
        let node = &mut state.nodes[self.node];
        let malformed = || ("22023", format!("invalid value for {name}: {value}"));
        if name == "dandelionlink.term" {
            let term = value.parse().map(Term).map_err(|_| malformed())?;
            if term < node.fenced {
                return Err(("DL010", format!("the term is {} already", node.fenced)));
            }
            node.fenced = term;
            node.fenced_by = self.id;
            return Ok(tagged("ALTER SYSTEM"));
        }
        self.check_fencing(node)?;
        match name {
            "dandelionlink.log_term" => {
                node.term = value.parse().map(Term).map_err(|_| malformed())?
            }
            "default_transaction_read_only" => node.read_only = value == "on",
            "primary_conninfo" if value.is_empty() => node.follows = None,
            "primary_conninfo" => {
                let port = value
                    .rsplit_once("port=")
                    .and_then(|(_, port)| port.parse().ok());
                let leader = addresses.iter().find(|it| Some(it.port()) == port);
                node.follows = Some(*leader.ok_or_else(malformed)?);
                node.role = Role::Replica;
            }
            _ => return Err(malformed()),
        }
        state.replicate();
        Ok(tagged("ALTER SYSTEM"))
    }

    /// Refuses an order if another session has set the term since.
    fn check_fencing(&self, node: &Node) -> Result<(), Refusal> {
        if node.fenced_by == self.id {
            return Ok(());
        }
        Err(("DL010", format!("the term is {} already", node.fenced)))
    }

    fn promote(&self) -> Result<Outcome, Refusal> {
        let mut state = lock(&self.shared);
        let node = &mut state.nodes[self.node];
        self.check_fencing(node)?;
        let held = node.log.entries.len();
        node.arrivals.clear();
        node.log.replay(held);
        node.role = Role::Primary;
        node.follows = None;
        node.log.append(node.term, Vec::new());
        state.replicate();
        Ok(single_row("SELECT 1", "t"))
    }

    /// Refuses writes on a replica and on a fenced primary.
    fn check_writable(&self) -> Result<(), Refusal> {
        let state = lock(&self.shared);
        let node = &state.nodes[self.node];
        if node.role == Role::Replica || node.read_only {
            return Err((
                "25006",
                "cannot write in a read-only transaction".to_owned(),
            ));
        }
        Ok(())
    }

    /// Locks a row; waits while another transaction holds the lock, at most
    /// [`LOCK_TIMEOUT`].
    async fn lock_row(&self, row_key: &RowKey) -> Result<(), Refusal> {
        let mut waited = Duration::ZERO;
        loop {
            {
                let mut state = lock(&self.shared);
                let node = &mut state.nodes[self.node];
                let holder = node.locks.entry(row_key.clone()).or_insert(self.id);
                if *holder == self.id {
                    return Ok(());
                }
                node.lock_waits += u64::from(waited.is_zero());
            }
            if self.take_cancel() {
                let text = "canceling statement due to user request";
                return Err(("57014", text.to_owned()));
            }
            if waited >= LOCK_TIMEOUT {
                return Err(("55P03", "the row is locked".to_owned()));
            }
            sleep(LOCK_POLL_INTERVAL).await;
            waited += LOCK_POLL_INTERVAL;
        }
    }

    fn row(&self, row_key: &RowKey) -> Option<String> {
        if let Some(value) = self.writes.get(row_key) {
            return value.clone();
        }
        lock(&self.shared).nodes[self.node]
            .log
            .rows
            .get(row_key)
            .cloned()
    }

    fn keys(&self, table: usize) -> Vec<String> {
        let state = lock(&self.shared);
        let rows = state.nodes[self.node].log.rows.keys();
        let mut keys: Vec<_> = rows
            .chain(self.writes.keys())
            .filter(|it| it.0 == table)
            .collect();
        keys.sort();
        keys.dedup();
        keys.into_iter().map(|it| it.1.clone()).collect()
    }

    async fn select(
        &mut self,
        table: Option<usize>,
        columns: &[(String, Column)],
        key: Option<&sql::Operand>,
        lock: bool,
        parameters: &[Option<String>],
    ) -> Result<Outcome, Refusal> {
        if lock {
            self.check_writable()?;
        }
        let Some(table) = table else {
            let row = self.cells(columns, "", "", 0, parameters)?;
            return Ok(Outcome {
                rows: vec![row],
                tag: "SELECT 1".to_owned(),
            });
        };
        let keys = match key {
            Some(key) => vec![bind_value(key, parameters)?],
            None => self.keys(table),
        };
        let mut found = Vec::new();
        for key in keys {
            let row_key = (table, key);
            if lock {
                self.lock_row(&row_key).await?;
            }
            if let Some(value) = self.row(&row_key) {
                found.push((row_key.1, value));
            }
        }
        let count = found.len();
        if columns.iter().any(|(_, column)| *column == Column::Count) {
            let row = self.cells(columns, "", "", count, parameters)?;
            return Ok(Outcome {
                rows: vec![row],
                tag: "SELECT 1".to_owned(),
            });
        }
        let rows = found
            .iter()
            .map(|(key, value)| self.cells(columns, key, value, count, parameters));
        Ok(Outcome {
            rows: rows.collect::<Result<_, _>>()?,
            tag: format!("SELECT {count}"),
        })
    }

    fn cells(
        &self,
        columns: &[(String, Column)],
        key: &str,
        value: &str,
        count: usize,
        parameters: &[Option<String>],
    ) -> Result<Vec<Cell>, Refusal> {
        let cell = |(_, column): &(String, Column)| match column {
            Column::Key => Ok(Cell::Text(key.to_owned())),
            Column::Value => Ok(Cell::Text(value.to_owned())),
            Column::Count => Ok(Cell::Long(count as i64)),
            Column::Constant(Literal::Int(number)) => Ok(Cell::Int(*number)),
            Column::Constant(Literal::Text(text)) => Ok(Cell::Text(text.clone())),
            Column::Constant(Literal::Parameter(index)) => {
                bind_value(&sql::Operand::Parameter(*index), parameters).map(Cell::Text)
            }
        };
        columns.iter().map(cell).collect()
    }

    async fn insert(
        &mut self,
        table: usize,
        rows: &[(sql::Operand, sql::Operand)],
        conflict: &Conflict,
        parameters: &[Option<String>],
    ) -> Result<Outcome, Refusal> {
        self.check_writable()?;
        let mut count = 0;
        for (key, value) in rows {
            let row_key = (table, bind_value(key, parameters)?);
            let value = bind_value(value, parameters)?;
            self.lock_row(&row_key).await?;
            let value = match (self.row(&row_key), conflict) {
                (None, _) => value,
                (Some(_), Conflict::Nothing) => continue,
                (Some(_), Conflict::Update(sql::Operand::Excluded)) => value,
                (Some(_), Conflict::Update(term)) => bind_value(term, parameters)?,
                (Some(_), Conflict::Refuse) => {
                    let text = "duplicate key value violates unique constraint".to_owned();
                    return Err(("23505", text));
                }
            };
            self.writes.insert(row_key, Some(value));
            count += 1;
        }
        Ok(tagged(&format!("INSERT 0 {count}")))
    }

    /// Updates the existing rows, or deletes them if `value` is `None`; returns
    /// their number.
    async fn write_rows(
        &mut self,
        table: usize,
        key: Option<&sql::Operand>,
        value: &Option<String>,
        parameters: &[Option<String>],
    ) -> Result<usize, Refusal> {
        self.check_writable()?;
        let keys = match key {
            Some(key) => vec![bind_value(key, parameters)?],
            None => self.keys(table),
        };
        let mut count = 0;
        for key in keys {
            let row_key = (table, key);
            self.lock_row(&row_key).await?;
            if self.row(&row_key).is_some() {
                self.writes.insert(row_key, value.clone());
                count += 1;
            }
        }
        Ok(count)
    }
}

#[derive(PartialEq)]
enum End {
    Commit,
    Rollback,
}

fn tagged(tag: &str) -> Outcome {
    Outcome {
        rows: Vec::new(),
        tag: tag.to_owned(),
    }
}

fn single_row(tag: &str, text: &str) -> Outcome {
    Outcome {
        rows: vec![vec![Cell::Text(text.to_owned())]],
        tag: tag.to_owned(),
    }
}

/// Resolves an operand with the parameters of the statement.
fn bind_value(term: &sql::Operand, parameters: &[Option<String>]) -> Result<String, Refusal> {
    match term {
        sql::Operand::Text(text) => Ok(text.clone()),
        sql::Operand::Parameter(index) => {
            let value = parameters.get(*index).cloned().flatten();
            value.ok_or(("23502", "a null value is not allowed".to_owned()))
        }
        sql::Operand::Excluded => Err(("42P01", "no row is being inserted".to_owned())),
    }
}
