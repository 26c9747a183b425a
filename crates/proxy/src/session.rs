//! A caller's session: connection, values, prepared statements and position.

mod place;
mod statement;
mod trace;

use std::{io, rc::Rc, time::Duration};

use bytes::BytesMut;
use clock::{Boot, Instant};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep_until, timeout},
};

use crate::{
    access,
    account::Hello,
    connection,
    edge::{Edge, Protocol},
    message::{Code, Request, State},
    node::{Node, Stage},
    run,
    session_state::SessionState,
    transaction::Transaction,
};
use statement::Session;

/// Time limit for a caller to send the start of its session.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a caller waits for an instance's first catalogue.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bytes that are reserved for a read.
const READ_SIZE: usize = 4 * 1024;

/// Idle limit of transactions if the catalogue has none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Time for which the balancer still sends callers here after the instance has reported that it
/// can't serve: it checks every second, and needs two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(2_100);

/// Time for which idle sessions are kept after the order to stop: the balancer still sends callers
/// for a while, and a statement may be in transit.
const STOP_LINGER: Duration = Duration::from_millis(1_500);

/// Accepts callers until the process ends.
pub async fn listen<E: Edge>(node: Rc<Node<E>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                spawn_local(async move {
                    node.sessions.set(node.sessions.get() + 1);
                    if serve(&node, stream).await.is_err() {
                        node.lost_callers.set(node.lost_callers.get() + 1);
                    }
                    node.sessions.set(node.sessions.get() - 1);
                });
            }
            Err(error) => {
                log::warn!(error:%; "accepting a caller failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Events that wake a waiting session.
enum Wake {
    Read(usize),
    IdleLimit,
    HolderLost,
    Stopped,
}

async fn serve<E: Edge>(node: &Rc<Node<E>>, mut stream: TcpStream) -> io::Result<()> {
    let _ = connection::set_socket_options(&stream);
    let mut buf = BytesMut::new();
    let hello = timeout(START_TIMEOUT, read_start::<E>(&mut stream, &mut buf)).await;
    let Ok(Ok(Some(hello))) = hello else {
        return Ok(());
    };
    let mut out = BytesMut::new();
    if !node.wait_for_catalog(CATALOG_TIMEOUT).await {
        E::Protocol::rejection(
            Code::Busy,
            "no catalogue yet, come back in 500 ms",
            &mut out,
        );
        return stream.write_all(&out).await;
    }
    node.wait_for_peers().await;
    let caller = match access::authenticate(node, &hello, Boot.now()).await {
        Ok(caller) => caller,
        Err((code, cause)) => {
            E::Protocol::rejection(code, &cause.text(), &mut out);
            return stream.write_all(&out).await;
        }
    };
    let mut session = Session::open(node, hello.database, caller).await;
    E::Protocol::welcome(&mut out);
    stream.write_all(&out).await?;
    let result = run_session(node, &mut session, &mut stream, &mut buf).await;
    session.abandon::<E>();
    result
}

/// Serves a session that another instance forwards.
///
/// # Errors
///
/// The connection broke.
pub async fn serve_forwarded<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    state: SessionState,
) -> io::Result<()> {
    let _ = connection::set_socket_options(&stream);
    let mut out = BytesMut::new();
    if node.route(&state.database).is_none() {
        E::Protocol::rejection(Code::NoDatabase, "no such database", &mut out);
        return stream.write_all(&out).await;
    }
    E::Protocol::welcome(&mut out);
    stream.write_all(&out).await?;
    let mut session = Session::from_forwarded(node, state);
    // A stop waits for forwarded sessions as for those of its own callers.
    node.sessions.set(node.sessions.get() + 1);
    let result = run_session(node, &mut session, &mut stream, &mut BytesMut::new()).await;
    node.sessions.set(node.sessions.get() - 1);
    session.abandon::<E>();
    result
}

/// Reads the start of a session.
async fn read_start<E: Edge>(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> io::Result<Option<Hello>> {
    loop {
        match E::Protocol::request(buf) {
            Ok(Some(Request::Start(hello))) => return Ok(Some(hello)),
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => {
                let mut out = BytesMut::new();
                E::Protocol::rejection(Code::Malformed, "a session starts first", &mut out);
                stream.write_all(&out).await?;
                return Ok(None);
            }
        }
        buf.reserve(READ_SIZE);
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

async fn run_session<E: Edge>(
    node: &Rc<Node<E>>,
    session: &mut Session,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> io::Result<()> {
    let mut idle_since = Boot.now();
    loop {
        if session.is_over() {
            return Ok(());
        }
        match E::Protocol::request(buf) {
            Ok(Some(Request::Query(query))) => {
                let outcome = session.answer(node, &query).await;
                if let Err(error) = stream.write_all(&outcome.bytes).await {
                    session.log_lost_answer(&query, &error);
                    return Err(error);
                }
                idle_since = Boot.now();
                continue;
            }
            Ok(Some(Request::Bye)) => return Ok(()),
            Ok(Some(Request::Start(_))) | Err(_) => {
                let mut out = BytesMut::new();
                let state = session.state();
                E::Protocol::refusal(Code::Malformed, "not understood", state, &mut out);
                return stream.write_all(&out).await;
            }
            Ok(None) => {}
        }
        buf.reserve(READ_SIZE);
        match wake(node, session, stream, buf, idle_since).await? {
            Wake::Read(0) => return Ok(()),
            Wake::Read(_) => {}
            Wake::IdleLimit => session.expire_transaction::<E>(),
            Wake::HolderLost => session.mark_lost(),
            Wake::Stopped => return Ok(()),
        }
    }
}

/// Waits for the caller, for the idle limit of its transaction, or for the stop.
async fn wake<E: Edge>(
    node: &Rc<Node<E>>,
    session: &Session,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    idle_since: Instant,
) -> io::Result<Wake> {
    loop {
        let staged = node.stage_changed.notified();
        let stop = stop_at(node, session, buf);
        let idle_until = match &session.transaction {
            Transaction::Pinned(_) | Transaction::Begun(_) => {
                let limit = match node.catalog().transaction_idle_limit {
                    Duration::ZERO => DEFAULT_IDLE_LIMIT,
                    limit => limit,
                };
                Some(tokio::time::Instant::now() + run::remaining(limit, idle_since))
            }
            _ => None,
        };
        tokio::select! {
            biased;
            read = stream.read_buf(buf) => return Ok(Wake::Read(read?)),
            () = staged => {}
            () = session.holder_lost() => return Ok(Wake::HolderLost),
            () = sleep_until_some(idle_until) => return Ok(Wake::IdleLimit),
            () = sleep_until_some(stop) => return Ok(Wake::Stopped),
        }
    }
}

async fn sleep_until_some(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns the time at which a session is closed because the instance stops, or can't serve while
/// others may. Its caller reconnects through the balancer, which sends it to another zone by then.
///
/// A session without an open transaction is closed soon; an open transaction has the first half of
/// the time until the process is killed.
fn stop_at<E: Edge>(
    node: &Node<E>,
    session: &Session,
    buf: &BytesMut,
) -> Option<tokio::time::Instant> {
    let Stage::Stopping(since) = node.stage.get() else {
        let since = node.unable_since()?;
        let idle = session.state() == State::Idle && buf.is_empty();
        return idle.then(|| tokio::time::Instant::now() + run::remaining(BALANCER_DELAY, since));
    };
    let delay = match session.state() {
        State::Idle if buf.is_empty() => STOP_LINGER.min(node.settings.grace / 3),
        _ => node.settings.grace / 2,
    };
    Some(tokio::time::Instant::now() + run::remaining(delay, since))
}
