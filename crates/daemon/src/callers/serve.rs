//! A caller's session: its messages in, its answers out.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::BytesMut;
use catalog::layout::Snapshot;
use model::{Cause, Outcome};
use ntex::{io::Io, util::Either};
use pg::{Codec, Front};
use session::{Keys, Token};
use tokio::sync::mpsc;

use super::{
    Shared, answer,
    batch::{Draft, Fault},
    local,
    view::Face,
};
use crate::{
    duty::{self, Phase},
    job::{Ask, Batch, Caller, Job, Part, Scope, Settings, Statement},
    meter::Meter,
    ring::Full,
};

/// How many statements a caller may have prepared at once.
const MAX_PREPARED: usize = 1_024;

/// How many session settings a caller may have changed.
const MAX_SETTINGS: usize = 64;

/// Startup parameters that are not session settings.
const NOT_SETTINGS: [&str; 5] = [
    "user",
    "database",
    "replication",
    "options",
    "client_encoding",
];

/// A caller's session after its login.
pub(super) struct Session {
    pub(super) shared: Rc<Shared>,
    pub(super) scope: Arc<Scope>,
    pub(super) user: String,
    pub(super) caller: Caller,
    pub(super) seq: u64,
    pub(super) status: u8,
    pub(super) state: session::Session,
    pub(super) settings: Arc<Settings>,
    pub(super) request: Option<String>,
    pub(super) prepared: HashMap<String, Arc<Statement>>,
    /// Where its requests are counted.
    meter: Arc<Meter>,
    /// What operators see of it.
    pub(super) face: Rc<Face>,
    pub(super) parts: Option<mpsc::Receiver<(u64, Part)>>,
    /// After a fault the messages up to the next Sync are skipped.
    skipping: bool,
    /// The catalogue that the scope was read from.
    catalog: Arc<Snapshot>,
    /// The token that the caller was told last.
    token: Option<String>,
}

/// Why a session ends.
pub(super) enum End {
    /// The caller is gone or said goodbye.
    Gone,
    /// The instance is stopping.
    Stopping,
    /// What the caller sent is not the protocol.
    Protocol(pg::Error),
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

impl Session {
    /// Opens the session of a caller that logged in as `user`.
    pub(super) fn open(
        shared: Rc<Shared>,
        scope: Arc<Scope>,
        user: &str,
        client: SocketAddr,
    ) -> Self {
        let now = shared.clock.now();
        let meter = shared.meters.of(&scope.tenant, &scope.entry);
        let face = Rc::new(Face::open(now, &scope, user, client));
        let catalog = Arc::clone(&shared.catalog.borrow());
        Self {
            shared,
            scope,
            user: user.to_owned(),
            caller: 0,
            seq: 0,
            status: b'I',
            state: session::Session::open(now),
            settings: Arc::default(),
            request: None,
            prepared: HashMap::new(),
            meter,
            face,
            parts: None,
            skipping: false,
            catalog,
            token: None,
        }
    }

    /// Gives the session its number and the way its answers come.
    pub(super) fn enter(&mut self, caller: Caller, parts: mpsc::Receiver<(u64, Part)>) {
        self.caller = caller;
        self.parts = Some(parts);
    }

    /// Takes the token that the caller brings from another instance.
    pub(super) fn present(&mut self, text: &str) -> Result<(), session::Error> {
        let token = Token::decode(text, self.keys(), &self.scope.database)?;
        let now = self.shared.clock.now();
        self.state
            .step(now, session::Event::Presented(token.position));
        Ok(())
    }

    fn keys(&self) -> &Keys {
        &self.shared.keys
    }

    /// Keeps a startup parameter as a session setting, if it is one.
    pub(super) fn start_setting(&mut self, key: &str, value: &str) {
        if !NOT_SETTINGS.contains(&key) && !key.starts_with("dandelionlink.") {
            self.set(key, value);
        }
    }

    /// Keeps a session setting, within the bound.
    pub(super) fn set(&mut self, key: &str, value: &str) {
        let settings = Arc::make_mut(&mut self.settings);
        if settings.len() < MAX_SETTINGS || settings.contains_key(key) {
            settings.insert(key.to_owned(), value.to_owned());
        }
    }

    /// The token for the caller, once the session has a position.
    pub(super) fn token(&self) -> Option<String> {
        let position = self.state.position()?;
        Some(Token::new(&self.scope.database, position).encode(self.keys()))
    }

    /// Tells the caller its token, if it has changed.
    pub(super) fn put_token(&mut self, buf: &mut BytesMut) {
        let token = self.token();
        if let Some(text) = &token
            && token != self.token
        {
            pg::parameter(buf, "dandelionlink.session", text);
            self.token = token;
        }
    }

    /// Serves the session to its end.
    pub(super) async fn run(mut self, io: Io) {
        let end = self.serve(&io).await;
        let mut buf = BytesMut::new();
        match end {
            Err(End::Stopping) => {
                pg::error(
                    &mut buf,
                    "57P01",
                    "this instance is stopping; connect again",
                    None,
                );
            }
            Err(End::Protocol(error)) => pg::error(&mut buf, "08P01", &error.to_string(), None),
            Ok(()) | Err(End::Gone) => {}
        }
        let _ = io.encode_slice(&buf);
        let _ = io.shutdown().await;
        self.shared.callers.borrow_mut().remove(&self.caller);
        self.shared.asks.send(Ask::Leave(self.caller)).await;
    }

    async fn serve(&mut self, io: &Io) -> Result<(), End> {
        let mut draft = Draft::default();
        loop {
            let front = self.recv(io, &draft).await?;
            let mut buf = BytesMut::new();
            match front {
                Front::Terminate => return Ok(()),
                Front::Query(sql) => {
                    if local::answer(self, &sql, &mut buf) {
                        pg::ready(&mut buf, self.status);
                        send(io, &buf).await?;
                        continue;
                    }
                    match Batch::simple(sql) {
                        Ok(batch) => self.run_batch(io, batch).await?,
                        Err(fault) => self.refuse(io, &fault).await?,
                    }
                }
                Front::Copy => {}
                Front::Sync if self.skipping => {
                    self.skipping = false;
                    pg::ready(&mut buf, self.status);
                    send(io, &buf).await?;
                }
                _ if self.skipping => {}
                front => {
                    let flushes = matches!(front, Front::Flush);
                    let ends = flushes || matches!(front, Front::Sync);
                    draft.add(self, front);
                    if let (true, Some(fault)) = (flushes, draft.fault()) {
                        // The ready message belongs to the Sync that is to come.
                        pg::error(&mut buf, fault.sqlstate(), &fault.to_string(), None);
                        send(io, &buf).await?;
                        self.skipping = true;
                        draft = Draft::default();
                    } else if ends {
                        self.run_draft(io, std::mem::take(&mut draft)).await?;
                    }
                }
            }
        }
    }

    /// Waits for the next message; an idle session ends when the daemon stops.
    async fn recv(&self, io: &Io, draft: &Draft) -> Result<Front, End> {
        let mut watch = self.shared.watch.clone();
        // A planned stop cuts nothing: a session with an open transaction or a
        // half-sent batch goes on until it is idle or the stop's bound is over.
        let idle = self.status == b'I' && draft.is_empty();
        let phase = if idle { Phase::Drain } else { Phase::Stop };
        let frame = tokio::select! {
            biased;
            frame = io.recv(&Codec) => frame,
            () = duty::reached(&mut watch, phase) => return Err(End::Stopping),
        };
        match frame {
            Ok(Some(frame)) => pg::decode(&frame).map_err(End::Protocol),
            Ok(None) | Err(Either::Right(_)) => Err(End::Gone),
            Err(Either::Left(error)) => Err(End::Protocol(error)),
        }
    }

    /// Remembers a prepared statement.
    pub(super) fn prepare(&mut self, name: &str, statement: &Arc<Statement>) -> Result<(), Fault> {
        if self.prepared.len() >= MAX_PREPARED && !self.prepared.contains_key(name) {
            return Err(Fault::TooManyStatements);
        }
        self.prepared.insert(name.to_owned(), Arc::clone(statement));
        Ok(())
    }

    async fn run_draft(&mut self, io: &Io, draft: Draft) -> Result<(), End> {
        match draft.finish() {
            Ok(Some(batch)) => self.run_batch(io, batch).await,
            Ok(None) => {
                let mut buf = BytesMut::new();
                pg::ready(&mut buf, self.status);
                send(io, &buf).await
            }
            Err(fault) => self.refuse(io, &fault).await,
        }
    }

    /// Answers a batch that never leaves the instance.
    async fn refuse(&mut self, io: &Io, fault: &Fault) -> Result<(), End> {
        let mut buf = BytesMut::new();
        pg::error(&mut buf, fault.sqlstate(), &fault.to_string(), None);
        if self.status == b'T' {
            // The server never saw the statement, but the caller's transaction
            // is not what it meant any more.
            return self.run_batch(io, Batch::fail(fault)).await;
        }
        pg::ready(&mut buf, self.status);
        send(io, &buf).await
    }

    /// Takes the entry's limits from the newest catalogue; `false` when the
    /// entry is gone or belongs to somebody else now.
    fn refresh(&mut self) -> bool {
        let newest = Arc::clone(&self.shared.catalog.borrow());
        if Arc::ptr_eq(&newest, &self.catalog) {
            return true;
        }
        let found = newest.catalog.entries.get(&self.scope.entry);
        let same =
            found.filter(|it| it.tenant == self.scope.tenant && it.database == self.scope.database);
        let Some(entry) = same else { return false };
        // The tenant and the entry are the same, and so is the meter.
        self.scope = Arc::new(Scope::new(&self.scope.entry, entry));
        self.catalog = newest;
        true
    }

    /// Refuses a request that never left the instance.
    async fn not_run(&mut self, io: &Io, cause: Cause) -> Result<(), End> {
        let outcome = Outcome::NotRun(cause);
        self.meter.ended(outcome, Duration::ZERO);
        answer::not_run(self, io, outcome).await
    }

    /// Has a batch run and passes its answer on.
    async fn run_batch(&mut self, io: &Io, batch: Batch) -> Result<(), End> {
        if !self.refresh() {
            return self.not_run(io, Cause::Catalogue).await;
        }
        self.seq += 1;
        if let Some(entry) = self.shared.callers.borrow_mut().get_mut(&self.caller) {
            entry.seq = self.seq;
        }
        let began = self.shared.clock.now();
        self.face.begin(began, &self.scope);
        let job = Job {
            meter: Arc::clone(&self.meter),
            caller: self.caller,
            seq: self.seq,
            scope: Arc::clone(&self.scope),
            batch,
            settings: Arc::clone(&self.settings),
            floor: self.state.floor(),
            seen: self.state.seen(),
            began,
            deadline: began + self.scope.deadline,
            request: self.request.take(),
        };
        let result = match self.shared.asks.push(Ask::Run(Box::new(job))) {
            Ok(()) => answer::pass(self, io).await,
            Err(Full(_)) => {
                metrics::counter!("dandelionlink_ring_full_total", "ring" => "asks").increment(1);
                self.not_run(io, Cause::RingFull).await
            }
        };
        let now = self.shared.clock.now();
        self.face.end(now, self.status, self.state.position());
        result
    }
}

/// Sends bytes to the caller, and waits while too much is unsent.
pub(super) async fn send(io: &Io, bytes: &[u8]) -> Result<(), End> {
    io.encode_slice(bytes)?;
    io.send_buf()?;
    io.flush(false).await?;
    Ok(())
}
