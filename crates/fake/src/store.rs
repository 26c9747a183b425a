//! A fake of the platform's key-value store: the part of its JSON API that the
//! proxy uses.

mod db;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    task::{Context, Poll},
    thread::{self, JoinHandle},
    time::Duration,
};

use futures_util::Stream;
use ntex::{
    http::StatusCode,
    rt::System,
    server::Server,
    time::sleep,
    util::Bytes,
    web::{self, HttpResponse},
};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;

use db::Db;

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Connections break before a call takes effect.
    Down,
    /// Each call is delayed by this time.
    Slow(Duration),
    /// The next calls take effect and their answers are lost.
    LoseAnswers {
        /// Number of answers to lose.
        count: u32,
    },
}

#[derive(Debug, Default)]
struct State {
    db: Db,
    fault: Fault,
    calls: u64,
    writes: u64,
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running store; dropping the value stops the server.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Shared,
    server: Server,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts an empty store on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn spawn() -> io::Result<Self> {
        let shared = Shared::default();
        let (started, starting) = mpsc::channel();
        let state = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || {
                let system = System::new("store", ntex::rt::DefaultRuntime);
                system.block_on(run(state, started));
            })?;
        let lost = || io::Error::from(io::ErrorKind::BrokenPipe);
        let (address, server) = starting.recv().map_err(|_| lost())??;
        Ok(Self {
            address,
            shared,
            server,
            thread: Some(thread),
        })
    }

    /// Listen address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.shared).fault = fault;
    }

    /// Number of calls so far; an open watch counts as one.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Number of calls that changed a key.
    pub fn writes(&self) -> u64 {
        lock(&self.shared).writes
    }

    /// The current revision of the store.
    pub fn revision(&self) -> u64 {
        lock(&self.shared).db.revision()
    }

    /// Writes a key, as another client of the store would.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.shared).db.put(key.as_bytes(), value, 0);
    }

    /// Removes a key, as another client of the store would.
    pub fn remove(&self, key: &str) {
        lock(&self.shared).db.delete(key.as_bytes());
    }

    /// Reads a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared).db.value(key.as_bytes())
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        lock(&self.shared).db.compact();
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.server.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type Started = mpsc::Sender<io::Result<(SocketAddr, Server)>>;

async fn run(shared: Shared, started: Started) {
    let bound = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listener = match bound {
        Ok(listener) => listener,
        Err(error) => return drop(started.send(Err(error))),
    };
    let address = listener.local_addr();
    let server = web::server(async move || {
        let shared = Arc::clone(&shared);
        web::App::new()
            .state(shared)
            .default_service(web::to(handle))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .listen(listener)
        .map(web::HttpServer::run);
    let running = server.and_then(|server| Ok((address?, server)));
    let waiting = running.as_ref().ok().map(|(_, server)| server.clone());
    let _ = started.send(running);
    if let Some(server) = waiting {
        let _ = server.await;
    }
}

async fn handle(
    request: web::HttpRequest,
    body: Bytes,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let fault = {
        let mut state = lock(&shared);
        state.calls += 1;
        state.fault
    };
    match fault {
        Fault::Down => return broken_answer(),
        Fault::Slow(span) => sleep(span).await,
        Fault::None | Fault::LoseAnswers { .. } => {}
    }
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return bad_request(&json!({ "code": 3, "message": "invalid JSON" }));
    };
    if request.path() == "/v3/watch" {
        return watch(&shared, &call["create_request"]);
    }
    let answer = {
        let mut state = lock(&shared);
        let before = state.db.revision();
        let answer = state.db.call(request.path(), &call);
        if state.db.revision() > before {
            state.writes += 1;
        }
        answer
    };
    if take_lost_answer(&shared) {
        return broken_answer();
    }
    match answer {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(refusal) => bad_request(&refusal),
    }
}

/// Returns true if the current answer is to be lost, and counts it.
fn take_lost_answer(shared: &Shared) -> bool {
    let mut state = lock(shared);
    let Fault::LoseAnswers { count } = state.fault else {
        return false;
    };
    let left = count.saturating_sub(1);
    state.fault = if left == 0 {
        Fault::None
    } else {
        Fault::LoseAnswers { count: left }
    };
    true
}

fn bad_request(refusal: &Value) -> HttpResponse {
    HttpResponse::build(StatusCode::BAD_REQUEST).json(refusal)
}

/// An answer that breaks the connection within the body.
fn broken_answer() -> HttpResponse {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    let stream = futures_util::stream::once(std::future::ready(Err::<Bytes, _>(error)));
    HttpResponse::Ok().streaming(Box::pin(stream))
}

fn watch(shared: &Shared, request: &Value) -> HttpResponse {
    let stream = lock(shared).db.watch(request).map(|lines| Lines { lines });
    match stream {
        Ok(lines) => HttpResponse::Ok().streaming(lines),
        Err(refusal) => bad_request(&refusal),
    }
}

/// The lines of a watch as a byte stream.
struct Lines {
    lines: UnboundedReceiver<String>,
}

impl Stream for Lines {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.lines
            .poll_recv(context)
            .map(|line| line.map(|it| Ok(Bytes::from(it))))
    }
}
