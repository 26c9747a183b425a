//! A caller's session: its messages in, its answers out.

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

/// How many statements a caller may have prepared at once.
const MAX_PREPARED: usize = 1_024;

/// How many bytes of prepared statements a caller may have at once.
const MAX_PREPARED_BYTES: usize = pg::MAX_FRAME;

/// How many session settings a caller may have changed.
const MAX_SETTINGS: usize = 64;

/// The longest name or value of a session setting, in bytes.
const MAX_SETTING: usize = 4_096;

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
    pub(super) activity: Rc<Activity>,
    pub(super) parts: Option<mpsc::Receiver<(u64, Part)>>,
    /// After a fault the messages up to the next Sync are skipped.
    skipping: bool,
    /// Whether a Flush has left a batch open upstream.
    batch_state: BatchState,
    /// Whether the batch that runs ends with a Flush.
    flushing: bool,
    /// Changes of settings in the open transaction, kept when it commits.
    pending: Vec<Change>,
    /// The catalogue that the scope was read from.
    catalog: Arc<Snapshot>,
    /// The token that the caller was told last.
    token: Option<String>,
}

/// What a Flush has left of a batch at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchState {
    /// Nothing: each batch so far has ended.
    Closed,
    /// A batch whose Sync is to come.
    Open,
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

    /// Gives the session its number and the way its answers come.
    pub(super) fn register(&mut self, caller: Caller, parts: mpsc::Receiver<(u64, Part)>) {
        self.caller = caller;
        self.parts = Some(parts);
    }

    /// Takes the token that the caller brings from another instance.
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

    /// Keeps a startup parameter as a session setting, if it is one.
    pub(super) fn start_setting(&mut self, key: &str, value: &str) {
        if !NOT_SETTINGS.contains(&key) && !key.starts_with("dandelionlink.") {
            self.set(key, value);
        }
    }

    /// Keeps a session setting; the bound on a startup message bounds it.
    fn set(&mut self, key: &str, value: &str) {
        self.change(vec![Change::Set(key.to_owned(), value.to_owned())]);
    }

    /// Changes the session's settings.
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

    /// Refuses changes that would make the session too large to keep.
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

    /// Whether a Flush has left a batch open upstream.
    pub(super) fn is_open(&self) -> bool {
        self.batch_state == BatchState::Open
    }

    /// Whether neither a transaction nor a batch is open.
    pub(super) fn is_idle(&self) -> bool {
        self.status == b'I' && !self.is_open()
    }

    /// Takes in how a batch ended and tells the status for the caller, if its
    /// answer has one: a batch that ended with a Flush has none.
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
            // The batch was refused as a whole. The ready message belongs to
            // the Sync that is to come; a second one would put the caller's
            // answers out of step.
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

    /// Keeps changes of settings, once their transaction has committed.
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

    /// Takes in that a batch never left; tells the status as [`Self::note_batch_end`].
    pub(super) fn note_refused(&mut self) -> Option<u8> {
        if self.flushing {
            self.skipping = true;
            return None;
        }
        Some(self.status)
    }

    /// Forgets a prepared statement; `false` when there is none of the name.
    pub(super) fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Forgets all prepared statements.
    pub(super) fn forget_prepared(&mut self) {
        self.prepared.clear();
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

    /// Answers the Sync behind a fault.
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

    /// Runs a simple query, behind what came before it without a Sync.
    async fn query(&mut self, io: &Stream, sql: String, draft: &mut Draft) -> Result<(), End> {
        if !draft.is_empty() {
            draft.add(self, Frontend::Flush, 0);
            self.run_draft(io, std::mem::take(draft)).await?;
            if self.skipping {
                return Ok(());
            }
        }
        if let Some(plan) = local::read(&sql)
            && !self.is_open()
            && (self.is_idle() || plan.is_always_local())
        {
            let mut buf = BytesMut::new();
            local::answer(self, &plan, &mut buf);
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
        // A planned stop cuts nothing: a session with an open transaction or a
        // half-sent batch goes on until it is idle or the stop's bound is over.
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

    /// Remembers a prepared statement.
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

/// Sends bytes to the caller, and waits while too much is unsent.
pub(super) async fn send(io: &Stream, bytes: &[u8]) -> Result<(), End> {
    io.encode_slice(bytes)?;
    io.send_buf()?;
    io.flush(false).await?;
    Ok(())
}
