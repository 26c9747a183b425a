//! The callers' duty: connections from applications, and their sessions.

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

/// How long an accept that failed waits, as when file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Parts of an answer that may wait for one caller's connection: the window
/// of the upstreams' duty, and the end.
const MAX_PARTS: usize = job::WINDOW + 2;

/// What the callers' duty is given.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Where callers connect.
    pub(crate) listener: TcpListener,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// What session tokens are signed with.
    pub(crate) keys: Keys,
    /// To the upstreams' duty.
    pub(crate) commands: ring::Sender<Command>,
    /// From the upstreams' duty.
    pub(crate) replies: ring::Receiver<Reply>,
    /// Changes of the catalogue.
    pub(crate) catalogs: ring::Receiver<Arc<Snapshot>>,
    /// Where requests are counted.
    pub(crate) meters: Meters,
    /// Told once callers find a catalogue in force.
    pub(crate) serving: Arc<AtomicBool>,
    /// What operators ask.
    pub(crate) inquiries: Requests<introspect::Callers>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
    /// How many callers may be connected at once.
    pub(crate) limit: usize,
    /// What the verifiers of unknown users are made from.
    pub(crate) mock: [u8; 32],
    /// What callers are served TLS with, if they are.
    pub(crate) tls: Option<Tls>,
}

/// A caller's connection, plain or encrypted.
type Stream = Io<Sealed>;

/// A caller's end in the duty's table.
struct Entry {
    secret: i32,
    seq: u64,
    parts: mpsc::Sender<(u64, Part)>,
    activity: Rc<Activity>,
}

/// What the tasks of the duty share.
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
    /// How many connections are logging in.
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

/// Hands replies to the callers that wait for them.
///
/// A reply that comes after its request was given up finds another number and
/// is dropped: it would otherwise be taken for the answer to the next request.
async fn deliver(shared: Rc<Shared>, mut replies: ring::Receiver<Reply>) {
    while let Some(reply) = replies.recv().await {
        let parts = {
            let callers = shared.callers.borrow();
            let entry = callers.get(&reply.caller).filter(|it| it.seq == reply.seq);
            entry.map(|it| it.parts.clone())
        };
        let Some(parts) = parts else { continue };
        // The upstreams' duty sends no more than a window of parts ahead of
        // what the caller took, so only a fault there finds this full.
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
