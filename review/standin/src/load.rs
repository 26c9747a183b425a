//! The platform's entry, and clients that write.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{client::Client, nodes::is_ready};

/// What a client sent, and what it was told.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Instant,
    pub answered: Instant,
    pub id: String,
    pub text: String,
    pub status: String,
    pub node: usize,
}

/// Forwards clients to the nodes that are ready, as the platform does.
#[derive(Clone)]
pub struct Entry {
    fronts: Vec<SocketAddr>,
    in_rotation: Arc<Vec<AtomicBool>>,
}

impl Entry {
    /// Asks each node once a second whether it is ready; two misses take it out.
    pub fn start(nodes: &[(SocketAddr, SocketAddr)]) -> Self {
        let entry = Self {
            fronts: nodes.iter().map(|(front, _)| *front).collect(),
            in_rotation: Arc::new(nodes.iter().map(|_| AtomicBool::new(true)).collect()),
        };
        for (index, (_, ready)) in nodes.iter().enumerate() {
            let (ready, in_rotation) = (*ready, Arc::clone(&entry.in_rotation));
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if is_ready(ready) { 0 } else { misses + 1 };
                    in_rotation[index].store(misses < 2, Ordering::Relaxed);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        entry
    }

    /// The node for a client's next connection: by a hash of the client and of its attempt.
    fn pick(&self, client: usize, attempt: usize) -> usize {
        let count = self.fronts.len();
        let first = (client * 7 + attempt * 5 + attempt / 3) % count;
        let in_turn = (0..count).map(|offset| (first + offset) % count);
        let mut ready = in_turn.filter(|node| self.in_rotation[*node].load(Ordering::Relaxed));
        ready.next().unwrap_or(first)
    }
}

/// Clients that write until the end; each goes on with a new connection after some writes.
pub struct Clients {
    is_over: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(entry: &Entry, count: usize, writes_per_session: usize) -> Self {
        Self::start_with(entry, count, writes_per_session, false)
    }

    /// Starts clients that read behind each write, if `reads`.
    pub fn start_with(entry: &Entry, count: usize, writes_per_session: usize, reads: bool) -> Self {
        let mut clients = Self {
            is_over: Arc::default(),
            asked: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..count {
            let (entry, is_over) = (entry.clone(), Arc::clone(&clients.is_over));
            let asked = Arc::clone(&clients.asked);
            clients.threads.push(thread::spawn(move || {
                write_on(
                    number,
                    &entry,
                    (writes_per_session, reads),
                    &is_over,
                    &asked,
                );
            }));
        }
        clients
    }

    /// Ends the clients; returns all that they asked.
    pub fn stop(self) -> Vec<Asked> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let asked = self.asked.lock().unwrap();
        asked.clone()
    }
}

fn write_on(
    number: usize,
    entry: &Entry,
    (writes_per_session, reads): (usize, bool),
    is_over: &AtomicBool,
    asked: &Mutex<Vec<Asked>>,
) {
    let (mut count, mut attempt) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        attempt += 1;
        let node = entry.pick(number, attempt);
        let Ok(mut client) = Client::start(entry.fronts[node], "lepu270") else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        for _ in 0..writes_per_session {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            count += 1;
            let id = format!("{number:02x}{count:06x}");
            let text = match reads && count % 2 == 0 {
                true => format!("READ b{number}"),
                false => format!("WRITE b{number} v{count}"),
            };
            let at = Instant::now();
            let answer = client.ask(&id, &text);
            let is_closed = answer.status == "CLOSED";
            asked.lock().unwrap().push(Asked {
                at,
                answered: Instant::now(),
                id,
                text,
                status: answer.status,
                node,
            });
            if is_closed {
                break;
            }
            // Clients that read as well pause for different times: else all write at once.
            let pause = if reads { 14 + number as u64 } else { 20 };
            thread::sleep(Duration::from_millis(pause));
        }
    }
}
