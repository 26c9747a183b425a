//! A proxy between the tool and the store that interferes with one transaction.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

/// Interference with the first transaction.
pub(crate) enum Injection {
    /// The transaction takes effect, and its answer is lost.
    AnswerLost,
    /// The function is called before the transaction reaches the store.
    ConcurrentChange(Box<dyn FnOnce() + Send>),
    /// The transaction is answered with this status and text and not forwarded.
    Answered(&'static str, &'static str),
}

/// A listening port that is closed on drop.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub(crate) fn spawn(store: SocketAddr, injection: Injection) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let mut injection = Some(injection);
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.and_then(|stream| forward(&stream, store, &mut injection));
            }
        });
        Self {
            address,
            stopping,
            thread: Some(thread),
        }
    }
}

fn forward(
    mut caller: &TcpStream,
    store: SocketAddr,
    injection: &mut Option<Injection>,
) -> std::io::Result<()> {
    let (path, body) = request(caller)?;
    let injection = if path.ends_with("/txn") {
        injection.take()
    } else {
        None
    };
    match injection {
        None => caller.write_all(&exchange(store, &path, &body)?)?,
        Some(Injection::AnswerLost) => drop(exchange(store, &path, &body)?),
        Some(Injection::ConcurrentChange(change)) => {
            change();
            caller.write_all(&exchange(store, &path, &body)?)?;
        }
        Some(Injection::Answered(status, text)) => {
            let len = text.len();
            write!(
                caller,
                "HTTP/1.1 {status}\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{text}"
            )?;
        }
    }
    caller.shutdown(Shutdown::Both)
}

fn request(caller: &TcpStream) -> std::io::Result<(String, Vec<u8>)> {
    let mut rdr = BufReader::new(caller);
    let mut first = String::new();
    rdr.read_line(&mut first)?;
    let mut len = 0;
    loop {
        let mut line = String::new();
        rdr.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("content-length:") {
            len = text.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; len];
    rdr.read_exact(&mut body)?;
    let path = first.split(' ').nth(1).unwrap_or_default();
    Ok((path.to_owned(), body))
}

fn exchange(store: SocketAddr, path: &str, body: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(store)?;
    let len = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: {store}\r\nContent-Type: application/json\r\n\
         Content-Length: {len}\r\nConnection: close\r\n\r\n"
    )?;
    stream.write_all(body)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(answer)
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
