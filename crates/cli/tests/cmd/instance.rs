//! A minimal operators' port of an instance.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};

/// Answers by path, in order; the last one is repeated.
type Answers = BTreeMap<&'static str, Vec<String>>;

/// A listening port that is closed on drop.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Instance {
    /// Answers `path` with each of `answers` in turn and repeats the last one.
    pub(crate) fn spawn(path: &'static str, answers: Vec<Value>) -> Self {
        let texts = answers.iter().map(Value::to_string).collect();
        Self::spawn_text(path, texts)
    }

    pub(crate) fn spawn_text(path: &'static str, texts: Vec<String>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let mut answers = Answers::from([(path, texts)]);
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.and_then(|stream| answer(&stream, &mut answers));
            }
        });
        Self {
            address,
            stopping,
            thread: Some(thread),
        }
    }
}

fn answer(mut stream: &TcpStream, answers: &mut Answers) -> std::io::Result<()> {
    let mut rdr = BufReader::new(stream);
    let mut first = String::new();
    rdr.read_line(&mut first)?;
    let mut line = String::new();
    while rdr.read_line(&mut line)? > 2 {
        line.clear();
    }
    let path = first.split(' ').nth(1).unwrap_or_default();
    let (status, body) = match answers.get_mut(path) {
        Some(texts) if texts.len() > 1 => ("200 OK", texts.remove(0)),
        Some(texts) => ("200 OK", texts[0].clone()),
        None => ("404 Not Found", String::new()),
    };
    let len = body.len();
    write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    )
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A loopback address without a listener.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Status of instance `name` in `zone` with `revision` in force.
pub(crate) fn status(name: &str, zone: &str, revision: u64) -> Value {
    json!({
        "instance": name, "zone": zone, "version": "0.1.0", "revision": { "number": revision },
        "applied_ms_ago": 1200,
        "store": { "state": "answering", "answered_ms_ago": 7 },
        "primaries": [
            { "database": "core", "term": 3, "upstream": "a", "confirmed_ms_ago": 12 }
        ],
        "members": [],
        "doubts": [],
    })
}

/// An instance's report about another one.
pub(crate) fn member(name: &str, zone: &str, health: &str, revision: u64) -> Value {
    json!({
        "instance": name, "zone": zone, "address": "10.0.0.9:7400",
        "health": health, "revision": { "number": revision }, "heard_ms_ago": 80,
    })
}
