//! The callers' duty: connections of applications and their sessions.

mod answer;
mod auth;
mod batch;
mod change;
mod greet;
mod local;
mod serve;
#[cfg(test)]
mod tests;
mod view;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use catalog::layout::Snapshot;
use clock::Clock;
use ntex::{
    SharedCfg,
    io::{Io, Sealed},
};
use session::Keys;
use tokio::sync::mpsc;

use crate::{
    duty::{self, Phase, Watch},
    introspect::{self, Requests},
    job::{self, Caller, Command, Part, Reply},
    meter::Meters,
    ring,
    tls::Tls,
};

use self::view::Activity;

/// Pause after a failed accept, for example when the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of queued parts for one caller: the window of the upstreams'
/// duty, and the end of the answer.
const MAX_PARTS: usize = job::WINDOW + 2;

/// Configuration of the callers' duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Listener for callers.
    pub(crate) listener: TcpListener,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// Keys that sign session tokens.
    pub(crate) keys: Keys,
    /// Commands to the upstreams' duty.
    pub(crate) commands: ring::Sender<Command>,
    /// Answers of the upstreams' duty.
    pub(crate) replies: ring::Receiver<Reply>,
    /// New catalogues, from the peers' duty.
    pub(crate) catalogs: ring::Receiver<Arc<Snapshot>>,
    /// Metrics of the entries.
    pub(crate) meters: Meters,
    /// Set to whether a catalogue is in force for callers.
    pub(crate) serving: Arc<AtomicBool>,
    /// Requests of the operators' port.
    pub(crate) inquiries: Requests<introspect::Callers>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
    /// Maximum number of connected callers.
    pub(crate) limit: usize,
    /// Secret for the verifiers of unknown users.
    pub(crate) mock: [u8; 32],
    /// TLS for callers, if configured.
    pub(crate) tls: Option<Tls>,
}

/// Connection of a caller, plain or encrypted.
type Stream = Io<Sealed>;

/// Connected caller in the duty's table.
struct Entry {
    secret: i32,
    seq: u64,
    parts: mpsc::Sender<(u64, Part)>,
    activity: Rc<Activity>,
}

/// State shared by the tasks of the duty.
struct Shared {
    clock: Clock,
    keys: Keys,
    commands: ring::Shared<Command>,
    catalog: RefCell<Arc<Snapshot>>,
    callers: RefCell<HashMap<Caller, Entry>>,
    last_caller: RefCell<u64>,
    meters: Meters,
    serving: Arc<AtomicBool>,
    watch: Watch,
    limit: usize,
    mock: [u8; 32],
    tls: Option<Tls>,
    /// Number of connections that are logging in.
    logins: Cell<usize>,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    let shared = Rc::new(Shared {
        clock: conf.clock,
        keys: conf.keys,
        commands: ring::Shared::new(conf.commands),
        catalog: RefCell::default(),
        callers: RefCell::default(),
        last_caller: RefCell::new(0),
        meters: conf.meters,
        serving: conf.serving,
        watch: conf.watch.clone(),
        limit: conf.limit,
        mock: conf.mock,
        tls: conf.tls,
        logins: Cell::new(0),
    });
    ntex::rt::spawn(deliver(Rc::clone(&shared), conf.replies));
    ntex::rt::spawn(view::serve(Rc::clone(&shared), conf.inquiries));
    ntex::rt::spawn(follow(Rc::clone(&shared), conf.catalogs));
    let mut watch = conf.watch;
    tokio::select! {
        () = accept(&shared, conf.listener) => {}
        () = duty::wait_for(&mut watch, Phase::Drain) => {}
    }
    tokio::select! {
        () = empty(&shared) => {}
        () = duty::wait_for(&mut watch, Phase::Stop) => {}
    }
}

/// Waits until no caller is connected.
async fn empty(shared: &Shared) {
    while !shared.callers.borrow().is_empty() {
        ntex::time::sleep(ACCEPT_PAUSE).await;
    }
}

async fn accept(shared: &Rc<Shared>, listener: TcpListener) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            ntex::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let io = stream
            .into_std()
            .and_then(|it| ntex::rt::from_tcp_stream(it, SharedCfg::default()));
        if let Ok(io) = io {
            ntex::rt::spawn(greet::serve(io, client, Rc::clone(shared)));
        }
    }
}

/// Delivers replies to the waiting callers.
///
/// A reply to a request that was already given up has an old number and is
/// dropped, because it would otherwise be taken for the answer to the next
/// request.
async fn deliver(shared: Rc<Shared>, mut replies: ring::Receiver<Reply>) {
    while let Some(reply) = replies.recv().await {
        let parts = {
            let callers = shared.callers.borrow();
            let entry = callers.get(&reply.caller).filter(|it| it.seq == reply.seq);
            entry.map(|it| it.parts.clone())
        };
        let Some(parts) = parts else { continue };
        // The upstreams' duty sends at most a window of parts ahead of the
        // caller, so a full channel is a fault of that duty.
        if parts.try_send((reply.seq, reply.part)).is_err() {
            shared.callers.borrow_mut().remove(&reply.caller);
        }
    }
}

async fn follow(shared: Rc<Shared>, mut catalogs: ring::Receiver<Arc<Snapshot>>) {
    while let Some(snapshot) = catalogs.recv().await {
        *shared.catalog.borrow_mut() = Arc::clone(&snapshot);
        let serves = snapshot.head.is_some();
        shared.commands.send(Command::Catalog(snapshot)).await;
        shared.serving.store(serves, Ordering::Release);
    }
}
