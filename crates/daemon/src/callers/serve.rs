//! Session of a caller: receives messages and sends answers.

mod submit;

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};

use bytes::BytesMut;
use catalog::layout::Snapshot;
use ntex::util::Either;
use pg::{Codec, Frontend};
use session::{Keys, Token};
use tokio::sync::mpsc;

use super::{
    Shared, Stream,
    answer::Recipient,
    batch::{Draft, Fault},
    local,
    view::Activity,
};
use crate::{
    duty::{self, Phase},
    job::{Batch, Caller, Change, Command, Part, Scope, Settings, Statement},
    meter::Meter,
};

/// Maximum number of prepared statements of a session.
const MAX_PREPARED: usize = 1_024;

/// Maximum size of the prepared statements of a session, in bytes.
const MAX_PREPARED_BYTES: usize = pg::MAX_FRAME;

/// Maximum number of changed settings of a session.
const MAX_SETTINGS: usize = 64;

/// Maximum length of a setting's name or value, in bytes.
const MAX_SETTING: usize = 4_096;

/// Startup parameters that are not session settings.
const NOT_SETTINGS: [&str; 5] = [
    "user",
    "database",
    "replication",
    "options",
    "client_encoding",
];

/// Session of a caller after the login.
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
    /// Metrics of the entry.
    meter: Arc<Meter>,
    /// Activity for the operators' port.
    pub(super) activity: Rc<Activity>,
    pub(super) parts: Option<mpsc::Receiver<(u64, Part)>>,
    /// Set after a fault: messages up to the next `Sync` are skipped.
    skipping: bool,
    /// State of the last batch on its upstream.
    batch_state: BatchState,
    /// True if the running batch ends with a `Flush`.
    flushing: bool,
    /// Changes of settings in the open transaction, applied at its commit.
    pending: Vec<Change>,
    /// Catalogue that the scope was read from.
    catalog: Arc<Snapshot>,
    /// Token that was last sent to the caller.
    token: Option<String>,
}

/// State of a batch on its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchState {
    /// No batch is open.
    Closed,
    /// A batch is open after a `Flush`, and its `Sync` is still to come.
    Open,
}

/// Reason for the end of a session.
pub(super) enum End {
    /// The caller disconnected or sent `Terminate`.
    Gone,
    /// The instance is stopping.
    Stopping,
    /// The caller violated the protocol.
    Protocol(pg::Error),
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

impl Session {
    /// Creates the session of a caller that logged in as `user`.
    pub(super) fn open(
        shared: Rc<Shared>,
        scope: Arc<Scope>,
        user: &str,
        client: SocketAddr,
    ) -> Self {
        let now = shared.clock.now();
        let meter = shared.meters.of(&scope.tenant, &scope.entry);
        let activity = Rc::new(Activity::open(now, &scope, user, client));
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
            activity,
            parts: None,
            skipping: false,
            batch_state: BatchState::Closed,
            flushing: false,
            pending: Vec::new(),
            catalog,
            token: None,
        }
    }

    /// Sets the session's number and the channel of its answers.
    pub(super) fn register(&mut self, caller: Caller, parts: mpsc::Receiver<(u64, Part)>) {
        self.caller = caller;
        self.parts = Some(parts);
    }

    /// Applies a token that the caller got from another instance.
    pub(super) fn apply_token(&mut self, text: &str) -> Result<(), session::Error> {
        let token = Token::decode(text, self.keys(), &self.scope.database)?;
        let now = self.shared.clock.now();
        self.state
            .step(now, session::Event::Presented(token.position));
        Ok(())
    }

    fn keys(&self) -> &Keys {
        &self.shared.keys
    }

    /// Stores a startup parameter if it is a session setting.
    pub(super) fn start_setting(&mut self, key: &str, value: &str) {
        if !NOT_SETTINGS.contains(&key) && !key.starts_with("dandelionlink.") {
            self.set(key, value);
        }
    }

    /// Stores a session setting, whose size is limited by the maximum size of a
    /// startup message.
    fn set(&mut self, key: &str, value: &str) {
        self.change(vec![Change::Set(key.to_owned(), value.to_owned())]);
    }

    /// Applies changes to the session's settings.
    pub(super) fn change(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let settings = Arc::make_mut(&mut self.settings);
        for change in changes {
            match change {
                Change::Set(key, value) => drop(settings.insert(key, value)),
                Change::Reset(key) => drop(settings.remove(&key)),
                Change::ResetAll => settings.clear(),
            }
        }
    }

    /// Refuses changes that would exceed the limits of a session.
    pub(super) fn check_changes(&self, changes: &[Change]) -> Result<(), Fault> {
        let sets = changes.iter().filter_map(|change| match change {
            Change::Set(key, value) => Some((key, value)),
            _ => None,
        });
        let long = |(key, value): (&String, &String)| key.len().max(value.len()) > MAX_SETTING;
        let new = sets
            .clone()
            .filter(|(key, _)| !self.settings.contains_key(*key));
        let count = self.settings.len() + self.pending.len() + new.count();
        if count > MAX_SETTINGS || sets.into_iter().any(long) {
            return Err(Fault::TooManySettings);
        }
        Ok(())
    }

    /// Returns true if a `Flush` has left a batch open on an upstream.
    pub(super) fn is_open(&self) -> bool {
        self.batch_state == BatchState::Open
    }

    /// Returns true if no transaction and no batch is open.
    pub(super) fn is_idle(&self) -> bool {
        self.status == b'I' && !self.is_open()
    }

    /// Notes the end of a batch and returns the transaction state for
    /// `ReadyForQuery`; `None` after a `Flush`, which has no such message.
    pub(super) fn note_batch_end(
        &mut self,
        status: Option<u8>,
        changes: Vec<Change>,
        commit: bool,
    ) -> Option<u8> {
        let Some(status) = status else {
            self.batch_state = BatchState::Open;
            self.pending.extend(changes);
            return None;
        };
        let implicit = self.status == b'I';
        if self.flushing {
            // The batch was refused as a whole. `ReadyForQuery` belongs to the
            // `Sync` that is still to come; a second one would shift the
            // caller's answers.
            self.skipping = true;
            if status == b'I' || !implicit {
                self.batch_state = BatchState::Closed;
                self.status = status;
            }
            return None;
        }
        self.commit_settings(status, changes, commit);
        self.batch_state = BatchState::Closed;
        self.status = status;
        Some(status)
    }

    /// Applies changes of settings once their transaction has committed.
    fn commit_settings(&mut self, status: u8, changes: Vec<Change>, commit: bool) {
        self.pending.extend(changes);
        if status != b'I' {
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        if self.status == b'I' || commit {
            self.change(pending);
        }
    }

    /// Notes that a batch was not sent; returns the state as
    /// [`Self::note_batch_end`] does.
    pub(super) fn note_refused(&mut self) -> Option<u8> {
        if self.flushing {
            self.skipping = true;
            return None;
        }
        Some(self.status)
    }

    /// Removes a prepared statement; `false` if there is none of this name.
    pub(super) fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Removes all prepared statements.
    pub(super) fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Token for the caller, once the session has a position.
    pub(super) fn token(&self) -> Option<String> {
        let position = self.state.position()?;
        Some(Token::new(&self.scope.database, position).encode(self.keys()))
    }

    /// Sends the token to the caller if it has changed.
    pub(super) fn put_token(&mut self, buf: &mut BytesMut) {
        let token = self.token();
        if let Some(text) = &token
            && token != self.token
        {
            pg::parameter(buf, "dandelionlink.session", text);
            self.token = token;
        }
    }

    /// Serves the session until its end.
    pub(super) async fn run(mut self, io: Stream) {
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
        self.shared.commands.send(Command::Leave(self.caller)).await;
    }

    async fn serve(&mut self, io: &Stream) -> Result<(), End> {
        let mut draft = Draft::default();
        loop {
            let (message, bytes) = self.recv(io, &draft).await?;
            match message {
                Frontend::Terminate => return Ok(()),
                Frontend::Copy => {}
                Frontend::Sync if self.skipping => self.end_skipping(io).await?,
                _ if self.skipping => {}
                Frontend::Query(sql) => self.query(io, sql, &mut draft).await?,
                message => {
                    let ends = matches!(message, Frontend::Flush | Frontend::Sync);
                    draft.add(self, message, bytes);
                    if ends {
                        self.run_draft(io, std::mem::take(&mut draft)).await?;
                    }
                }
            }
        }
    }

    /// Answers the `Sync` after a fault.
    async fn end_skipping(&mut self, io: &Stream) -> Result<(), End> {
        self.skipping = false;
        if self.is_open() {
            return self
                .run_batch(io, Batch::sync(), None, Recipient::Caller)
                .await;
        }
        self.ready(io).await
    }

    async fn ready(&self, io: &Stream) -> Result<(), End> {
        let mut buf = BytesMut::new();
        pg::ready(&mut buf, self.status);
        send(io, &buf).await
    }

    /// Runs a simple query after the pending messages that no `Sync` has ended.
    async fn query(&mut self, io: &Stream, sql: String, draft: &mut Draft) -> Result<(), End> {
        if !draft.is_empty() {
            draft.add(self, Frontend::Flush, 0);
            self.run_draft(io, std::mem::take(draft)).await?;
            if self.skipping {
                return Ok(());
            }
        }
        if let Some(local) = local::read(&sql)
            && !self.is_open()
            && (self.is_idle() || local.is_always_local())
        {
            let mut buf = BytesMut::new();
            local::answer(self, &local, &mut buf);
            pg::ready(&mut buf, self.status);
            return send(io, &buf).await;
        }
        let batch = Batch::simple(sql);
        let checked = batch.and_then(|it| self.check_changes(&it.changes).map(|()| it));
        let tagged = checked.and_then(|batch| Ok((self.request_tag(&batch)?, batch)));
        match tagged {
            Ok((tagged, batch)) => self.run_batch(io, batch, tagged, Recipient::Caller).await,
            Err(fault) => {
                self.refuse(io, &fault).await?;
                self.ready(io).await
            }
        }
    }

    /// Waits for the next message; an idle session ends when the daemon stops.
    async fn recv(&self, io: &Stream, draft: &Draft) -> Result<(Frontend, usize), End> {
        let mut watch = self.shared.watch.clone();
        // A graceful stop interrupts nothing: a session with an open
        // transaction or an incomplete batch continues until it is idle or the
        // drain time is over.
        let idle = self.is_idle() && draft.is_empty();
        let phase = if idle { Phase::Drain } else { Phase::Stop };
        let frame = tokio::select! {
            biased;
            frame = io.recv(&Codec) => frame,
            () = duty::wait_for(&mut watch, phase) => return Err(End::Stopping),
        };
        match frame {
            Ok(Some(frame)) => {
                let message = pg::decode(&frame).map_err(End::Protocol)?;
                Ok((message, frame.bytes().len()))
            }
            Ok(None) | Err(Either::Right(_)) => Err(End::Gone),
            Err(Either::Left(error)) => Err(End::Protocol(error)),
        }
    }

    /// Stores a prepared statement.
    pub(super) fn prepare(&mut self, name: &str, statement: &Arc<Statement>) -> Result<(), Fault> {
        let others = self.prepared.iter().filter(|(other, _)| *other != name);
        let bytes: usize = others.clone().map(|(_, it)| it.sql.len()).sum();
        if others.count() >= MAX_PREPARED || bytes + statement.sql.len() > MAX_PREPARED_BYTES {
            return Err(Fault::TooManyStatements);
        }
        self.prepared.insert(name.to_owned(), Arc::clone(statement));
        Ok(())
    }
}

/// Sends bytes to the caller, and waits while the write buffer is full.
pub(super) async fn send(io: &Stream, bytes: &[u8]) -> Result<(), End> {
    io.encode_slice(bytes)?;
    io.send_buf()?;
    io.flush(false).await?;
    Ok(())
}
