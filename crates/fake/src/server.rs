//! The server side of one connection to a fake upstream.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use ntex::{io::Io, time::sleep};
use pg::{Codec, Frontend, Startup};
use pgwire::messages::{
    Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{Bind, BindComplete, CloseComplete, ParseComplete, PortalSuspended},
    response::{CommandComplete, EmptyQueryResponse},
    startup::{Authentication, BackendKeyData, SecretKey},
};
use tokio::sync::Semaphore;

use crate::{
    group::{Conf, Fault, Shared, lock},
    sql::{self, Column, Literal, Plan, Refusal},
};

mod exec;

use exec::Session;

/// Type OIDs of PostgreSQL.
const INT4: u32 = 23;
const INT8: u32 = 20;
const TEXT: u32 = 25;

/// The format code of binary values; 0 is text.
const BINARY: i16 = 1;

/// One value of a result row.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Cell {
    Int(i32),
    Long(i64),
    Text(String),
}

/// The result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) rows: Vec<Vec<Cell>>,
    pub(crate) tag: String,
}

/// Reason for the end of a connection.
enum End {
    Closed,
}

impl<E> From<E> for End
where
    E: std::error::Error,
{
    fn from(_: E) -> Self {
        Self::Closed
    }
}

struct Prepared {
    plans: Vec<Plan>,
    types: Vec<u32>,
}

struct Portal {
    plans: Vec<Plan>,
    parameters: Vec<Option<String>>,
    formats: Vec<i16>,
    /// The rows that are left after an `Execute` with a row limit.
    rest: Option<Outcome>,
}

/// Serves one connection until the client or a fault closes it.
pub(crate) async fn serve(io: Io, index: usize, shared: Shared, conf: Conf, slots: Arc<Semaphore>) {
    let (session, generation) = {
        let mut state = lock(&shared);
        state.sessions += 1;
        let session = state.sessions;
        let node = &mut state.nodes[index];
        if node.fault == Fault::Crashed {
            io.close();
            return;
        }
        (session, node.generation)
    };
    let session = Session::new(index, session, shared, slots, conf.statement_time);
    let mut server = Server {
        io,
        session,
        generation,
        statements: HashMap::new(),
        portals: HashMap::new(),
    };
    let _ = server.run(&conf).await;
    server.session.rollback();
}

struct Server {
    io: Io,
    session: Session,
    generation: u64,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
}

impl Server {
    async fn run(&mut self, conf: &Conf) -> Result<(), End> {
        if !self.startup().await? {
            return Ok(());
        }
        sleep(conf.connect_time).await;
        if !self.session.admit(conf.connections) {
            let mut buf = BytesMut::new();
            pg::error(&mut buf, "53300", "sorry, too many clients already", None);
            self.send(buf).await?;
            // Shut down gracefully: an immediate close would lose the error.
            self.io.shutdown().await?;
            return Ok(());
        }
        let result = self.greet_and_loop().await;
        self.session.leave();
        result
    }

    async fn startup(&mut self) -> Result<bool, End> {
        let mut buf = BytesMut::new();
        loop {
            let chunk = self
                .io
                .with_read_buf(|src| Bytes::copy_from_slice(&src.split_to(src.len())));
            buf.extend_from_slice(&chunk);
            match pg::decode_startup(&mut buf)? {
                Some(Startup::Tls | Startup::Gss) => self.io.encode_slice(b"N")?,
                Some(Startup::Cancel(request)) => {
                    self.session.cancel(request.pid, &request.secret_key);
                    return Ok(false);
                }
                Some(Startup::Session(_)) => return Ok(true),
                Some(Startup::Version { .. }) => return Ok(false),
                None => {
                    if self.io.read_ready().await?.is_none() {
                        return Err(End::Closed);
                    }
                }
            }
        }
    }

    async fn greet_and_loop(&mut self) -> Result<(), End> {
        let mut buf = BytesMut::new();
        put(&mut buf, &Authentication::Ok);
        for (name, value) in [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
        ] {
            pg::parameter(&mut buf, name, value);
        }
        let pid = i32::try_from(self.session.id).unwrap_or(0);
        put(&mut buf, &BackendKeyData::new(pid, SecretKey::I32(pid)));
        pg::ready(&mut buf, b'I');
        self.send(buf).await?;
        self.serve_messages().await
    }

    async fn serve_messages(&mut self) -> Result<(), End> {
        let mut buf = BytesMut::new();
        let mut skipping = false;
        loop {
            let frame = match self.io.recv(&Codec).await {
                Ok(Some(frame)) => frame,
                _ => return Ok(()),
            };
            self.apply_fault().await?;
            let front = pg::decode(&frame)?;
            match front {
                Frontend::Terminate => return Ok(()),
                Frontend::Sync => {
                    skipping = false;
                    self.session.end_batch();
                    // Portals end with their transaction.
                    if self.session.status() == b'I' {
                        self.portals.clear();
                    }
                    pg::ready(&mut buf, self.session.status());
                    self.send(buf.split()).await?;
                }
                Frontend::Flush => self.send(buf.split()).await?,
                Frontend::Query(text) => {
                    self.simple_query(&text, &mut buf).await;
                    pg::ready(&mut buf, self.session.status());
                    self.send(buf.split()).await?;
                }
                _ if skipping => {}
                front => {
                    if let Err((state, text)) = self.extended_query(front, &mut buf).await {
                        self.session.fail();
                        pg::error(&mut buf, state, &text, None);
                        skipping = true;
                    }
                }
            }
        }
    }

    /// Applies the current fault: breaks the connection, waits until the fault is
    /// over, or delays the answer.
    async fn apply_fault(&self) -> Result<(), End> {
        loop {
            let (fault, generation, answer_delay) = self.session.fault();
            if generation != self.generation || fault == Fault::Crashed {
                self.io.terminate();
                return Err(End::Closed);
            }
            match fault {
                Fault::CutOff | Fault::Hang => sleep(Duration::from_millis(5)).await,
                _ if answer_delay > Duration::ZERO => {
                    sleep(answer_delay).await;
                    return Ok(());
                }
                _ => return Ok(()),
            }
        }
    }

    async fn send(&self, buf: BytesMut) -> Result<(), End> {
        self.hold_answer().await?;
        self.io.encode_slice(&buf)?;
        self.io.flush(false).await?;
        Ok(())
    }

    /// Holds an answer back while a fault is set, also if the answer was made
    /// before the fault began.
    async fn hold_answer(&self) -> Result<(), End> {
        let (fault, generation, _) = self.session.fault();
        if generation != self.generation || fault != Fault::None {
            return self.apply_fault().await;
        }
        Ok(())
    }

    async fn simple_query(&mut self, text: &str, buf: &mut BytesMut) {
        let plans = match sql::parse(text) {
            Ok(plans) => plans,
            Err((state, text)) => {
                self.session.fail();
                return pg::error(buf, state, &text, None);
            }
        };
        let is_multiple = plans.len() > 1;
        if plans.contains(&Plan::Deallocate) {
            self.statements.clear();
        }
        for plan in &plans {
            match self.session.run(plan, &[]).await {
                Ok(outcome) => {
                    if let Some(fields) = fields(plan, &[]) {
                        put(buf, &RowDescription::new(fields));
                    }
                    finish(buf, plan, &outcome, &[]);
                }
                Err((state, text)) => {
                    self.session.fail();
                    pg::error(buf, state, &text, None);
                    break;
                }
            }
        }
        if is_multiple {
            self.session.end_batch();
        }
        self.session.end_batch();
    }

    async fn extended_query(&mut self, front: Frontend, buf: &mut BytesMut) -> Result<(), Refusal> {
        match front {
            Frontend::Parse(it) => {
                let plans = sql::parse(&it.query)?;
                if plans.len() > 1 {
                    return Err(("42601", "cannot insert multiple commands".to_owned()));
                }
                let count = plans.iter().map(parameter_count).max().unwrap_or(0);
                let mut types = it.type_oids;
                types.resize(count.max(types.len()), TEXT);
                for oid in types.iter_mut().filter(|oid| **oid == 0) {
                    *oid = TEXT;
                }
                self.statements
                    .insert(it.name.unwrap_or_default(), Prepared { plans, types });
                put(buf, &ParseComplete::new());
            }
            Frontend::Bind(it) => self.bind(it, buf)?,
            Frontend::Describe(it) => {
                self.describe(it.target_type, &it.name.unwrap_or_default(), buf)?
            }
            Frontend::Execute(it) => {
                self.execute(&it.name.unwrap_or_default(), it.max_rows, buf)
                    .await?;
            }
            Frontend::Close(it) => {
                let name = it.name.unwrap_or_default();
                if it.target_type == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                put(buf, &CloseComplete::new());
            }
            _ => return Err(("0A000", "COPY is not supported".to_owned())),
        }
        Ok(())
    }

    fn bind(&mut self, bind: Bind, buf: &mut BytesMut) -> Result<(), Refusal> {
        let name = bind.statement_name.unwrap_or_default();
        let statement = self
            .statements
            .get(&name)
            .ok_or_else(|| not_found("26000", &name))?;
        if bind.parameters.len() != statement.types.len() {
            return Err(("08P01", "the number of parameters is wrong".to_owned()));
        }
        let formats = &bind.parameter_format_codes;
        let mut parameters = Vec::new();
        for (index, value) in bind.parameters.iter().enumerate() {
            let format = formats.get(index).or(formats.first()).copied().unwrap_or(0);
            let value = value
                .as_ref()
                .map(|it| decode_parameter(it, format, statement.types[index]));
            parameters.push(value.transpose()?);
        }
        let portal = Portal {
            plans: statement.plans.clone(),
            parameters,
            formats: bind.result_column_format_codes,
            rest: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        put(buf, &BindComplete::new());
        Ok(())
    }

    fn describe(&self, kind: u8, name: &str, buf: &mut BytesMut) -> Result<(), Refusal> {
        let described = if kind == b'S' {
            let statement = self
                .statements
                .get(name)
                .ok_or_else(|| not_found("26000", name))?;
            put(buf, &ParameterDescription::new(statement.types.clone()));
            statement.plans.first().and_then(|plan| fields(plan, &[]))
        } else {
            let portal = self
                .portals
                .get(name)
                .ok_or_else(|| not_found("34000", name))?;
            portal
                .plans
                .first()
                .and_then(|plan| fields(plan, &portal.formats))
        };
        match described {
            Some(fields) => put(buf, &RowDescription::new(fields)),
            None => put(buf, &NoData::new()),
        }
        Ok(())
    }

    async fn execute(&mut self, name: &str, max: i32, buf: &mut BytesMut) -> Result<(), Refusal> {
        let portal = self
            .portals
            .get_mut(name)
            .ok_or_else(|| not_found("34000", name))?;
        let Some(plan) = portal.plans.first().cloned() else {
            put(buf, &EmptyQueryResponse::new());
            return Ok(());
        };
        let mut outcome = match portal.rest.take() {
            Some(rest) => rest,
            None => self.session.run(&plan, &portal.parameters).await?,
        };
        let limit = usize::try_from(max).unwrap_or(0);
        if limit > 0 && outcome.rows.len() > limit {
            let rest = outcome.rows.split_off(limit);
            outcome
                .rows
                .iter()
                .for_each(|row| put_row(buf, row, &portal.formats));
            portal.rest = Some(Outcome {
                rows: rest,
                tag: outcome.tag,
            });
            put(buf, &PortalSuspended::new());
            return Ok(());
        }
        finish(buf, &plan, &outcome, &portal.formats);
        Ok(())
    }
}

fn not_found(state: &'static str, name: &str) -> Refusal {
    (state, format!("\"{name}\" does not exist"))
}

/// Appends `message` to `buf`; encoding does not fail, since all messages of the
/// fake are short enough.
fn put(buf: &mut BytesMut, message: &impl Message) {
    let _ = message.encode(buf);
}

fn finish(buf: &mut BytesMut, plan: &Plan, outcome: &Outcome, formats: &[i16]) {
    if *plan == Plan::Empty {
        return put(buf, &EmptyQueryResponse::new());
    }
    outcome
        .rows
        .iter()
        .for_each(|row| put_row(buf, row, formats));
    put(buf, &CommandComplete::new(outcome.tag.clone()));
}

fn put_row(buf: &mut BytesMut, row: &[Cell], formats: &[i16]) {
    let mut data = BytesMut::new();
    for (index, cell) in row.iter().enumerate() {
        let format = formats.get(index).or(formats.first()).copied().unwrap_or(0);
        let bytes = match cell {
            Cell::Int(number) if format == BINARY => number.to_be_bytes().to_vec(),
            Cell::Long(number) if format == BINARY => number.to_be_bytes().to_vec(),
            Cell::Int(number) => number.to_string().into_bytes(),
            Cell::Long(number) => number.to_string().into_bytes(),
            Cell::Text(text) => text.clone().into_bytes(),
        };
        data.put_i32(i32::try_from(bytes.len()).unwrap_or(0));
        data.put_slice(&bytes);
    }
    put(
        buf,
        &DataRow::new(data, i16::try_from(row.len()).unwrap_or(0)),
    );
}

/// Decodes a parameter in text or binary format.
fn decode_parameter(bytes: &Bytes, format: i16, oid: u32) -> Result<String, Refusal> {
    let malformed = || ("22P03", "a parameter is malformed".to_owned());
    let mut rest = bytes.clone();
    match (format, oid, rest.len()) {
        (BINARY, INT4, 4) => Ok(rest.get_i32().to_string()),
        (BINARY, INT8, 8) => Ok(rest.get_i64().to_string()),
        (BINARY, INT4 | INT8, _) => Err(malformed()),
        _ => String::from_utf8(rest.to_vec()).map_err(|_| malformed()),
    }
}

/// Number of parameters of a statement.
fn parameter_count(plan: &Plan) -> usize {
    let operand_count = |term: &sql::Operand| match term {
        sql::Operand::Parameter(index) => index + 1,
        _ => 0,
    };
    match plan {
        Plan::Select { columns, key, .. } => {
            let constants = columns.iter().map(|(_, column)| match column {
                Column::Constant(Literal::Parameter(index)) => index + 1,
                _ => 0,
            });
            constants
                .chain(key.iter().map(operand_count))
                .max()
                .unwrap_or(0)
        }
        Plan::Insert { rows, conflict, .. } => {
            let update = match conflict {
                sql::Conflict::Update(value) => operand_count(value),
                _ => 0,
            };
            rows.iter()
                .map(|(a, b)| operand_count(a).max(operand_count(b)))
                .max()
                .unwrap_or(0)
                .max(update)
        }
        Plan::Update { key, value, .. } => key
            .as_ref()
            .map_or(0, operand_count)
            .max(operand_count(value)),
        Plan::Delete { key, .. } => key.as_ref().map_or(0, operand_count),
        _ => 0,
    }
}

/// Describes the result columns of a statement; `None` if the statement returns
/// no rows.
fn fields(plan: &Plan, formats: &[i16]) -> Option<Vec<FieldDescription>> {
    let field = |(index, (name, oid)): (usize, (&str, u32))| {
        let format = formats.get(index).or(formats.first()).copied().unwrap_or(0);
        let size = match oid {
            INT4 => 4,
            INT8 => 8,
            _ => -1,
        };
        FieldDescription::new(name.to_owned(), 0, 0, oid, size, -1, format)
    };
    let texts = |names: &[&'static str]| names.iter().map(|it| (*it, TEXT)).collect::<Vec<_>>();
    let columns: Vec<(&str, u32)> = match plan {
        Plan::Select { columns, .. } => columns
            .iter()
            .map(|(name, column)| (name.as_str(), oid(column)))
            .collect(),
        Plan::Probe => texts(&["pg_is_in_recovery", "coalesce", "coalesce", "case", "case"]),
        Plan::Reload => texts(&["pg_reload_conf"]),
        Plan::Promote => texts(&["pg_promote"]),
        Plan::Show { name } => vec![(name.as_str(), TEXT)],
        _ => return None,
    };
    Some(columns.into_iter().enumerate().map(field).collect())
}

fn oid(column: &Column) -> u32 {
    match column {
        Column::Count => INT8,
        Column::Constant(Literal::Int(_)) => INT4,
        _ => TEXT,
    }
}
