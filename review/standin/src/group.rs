//! A stand-in for the backends of one service: a primary and its replicas, each on an address of
//! its own. They speak the wire protocol of the pages, and replicate with a fixed lag.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::store::Store;

pub type Position = (u64, u64);

/// Time after which an old primary that reaches the new one steps down by itself.
const STEP_DOWN: Duration = Duration::from_secs(1);

/// Interval of the check-ins, and the number of missed ones after which an entry is removed.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const MISSED: u32 = 3;

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    pub writes: Vec<(String, String)>,
    at: Instant,
}

impl Entry {
    fn position(&self) -> Position {
        (self.term, self.number)
    }
}

/// A commit that wrote something, as its backend has seen it.
#[derive(Clone, Debug)]
pub struct Commit {
    pub id: String,
    pub member: usize,
    pub position: Position,
    pub at: Instant,
    /// The newest term that a promote had begun before.
    pub newest_term: u64,
}

/// A read, with the last number of each term in the log on which it ran.
#[derive(Clone, Debug)]
pub struct Read {
    pub id: String,
    pub member: usize,
    pub log: Vec<Position>,
}

impl Read {
    pub fn has(&self, (term, number): Position) -> bool {
        self.log
            .iter()
            .any(|(of, last)| *of == term && *last >= number)
    }
}

/// An order that the platform has received.
#[derive(Clone, Debug)]
pub struct Order {
    pub id: String,
    pub token: u64,
    pub holder: String,
    pub received: Instant,
}

#[derive(Clone, Debug)]
pub struct Promotion {
    pub member: usize,
    pub term: u64,
    pub at: Instant,
}

pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub up: bool,
    pub is_primary: bool,
    pub state: &'static str,
    pub zone: String,
    /// Receives nothing from the primary.
    pub is_deaf: bool,
    term: u64,
    held: u64,
    pub log: Vec<Entry>,
    synced_with: Option<(usize, u64)>,
    steps_down_at: Option<Instant>,
    life: u64,
    streams: HashMap<u64, TcpStream>,
    down_since: Option<Instant>,
    written: Option<String>,
    beats: u64,
}

impl Member {
    pub fn position(&self) -> Position {
        self.log.last().map_or((1, 0), Entry::position)
    }
}

pub struct Db {
    pub service: String,
    pub members: Vec<Member>,
    pub commits: Vec<Commit>,
    pub reads: Vec<Read>,
    pub runs: Vec<(Instant, usize, String, String)>,
    pub orders: Vec<Order>,
    pub promotions: Vec<Promotion>,
    due: Vec<(Instant, usize)>,
    pub lag: Duration,
    pub promote_time: Duration,
    pub work: Duration,
    next_stream: u64,
}

#[derive(Clone)]
pub struct Group(Arc<Mutex<Db>>);

impl Group {
    pub fn start(service: &str, members: &[(&str, &str)], store: &Store) -> Self {
        let db = Db {
            service: service.to_owned(),
            members: Vec::new(),
            commits: Vec::new(),
            reads: Vec::new(),
            runs: Vec::new(),
            orders: Vec::new(),
            promotions: Vec::new(),
            due: Vec::new(),
            lag: Duration::from_millis(8),
            promote_time: Duration::from_millis(300),
            work: Duration::from_millis(3),
            next_stream: 0,
        };
        let group = Self(Arc::new(Mutex::new(db)));
        for (index, (id, zone)) in members.iter().enumerate() {
            group.add(id, zone, &format!("127.0.2.{}", index + 1), index == 0);
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                replicating.lock().replicate(Instant::now());
            }
        });
        let (registering, store) = (group.clone(), store.clone());
        thread::spawn(move || {
            loop {
                registering.register(&store);
                thread::sleep(Duration::from_millis(20));
            }
        });
        group
    }

    /// Starts one more backend; a replica receives the whole log at once.
    pub fn add(&self, id: &str, zone: &str, ip: &str, is_primary: bool) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let base = Entry {
            term: 1,
            number: 1_000,
            id: "-".to_owned(),
            writes: Vec::new(),
            at: Instant::now(),
        };
        let mut db = self.lock();
        let index = db.members.len();
        db.members.push(Member {
            id: id.to_owned(),
            address,
            up: true,
            is_primary,
            state: "ready",
            zone: zone.to_owned(),
            is_deaf: false,
            term: 1,
            held: 0,
            log: vec![base],
            synced_with: None,
            steps_down_at: None,
            life: 0,
            streams: HashMap::new(),
            down_since: None,
            written: None,
            beats: 0,
        });
        drop(db);
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || group.accept(index, stream));
            }
        });
    }

    pub fn lock(&self) -> MutexGuard<'_, Db> {
        self.0.lock().unwrap()
    }

    /// Ends the backend's process: its connections are reset, and its port has no listener.
    pub fn crash(&self, index: usize) {
        let mut db = self.lock();
        let member = &mut db.members[index];
        member.up = false;
        member.life += 1;
        member.held = 0;
        member.down_since = Some(Instant::now());
        for (_, stream) in member.streams.drain() {
            reset(&stream);
        }
    }

    /// Starts the backend again with its log, as a replica if another one was promoted.
    pub fn restart(&self, index: usize) {
        let mut db = self.lock();
        let newest = db.promotions.last().map_or(0, |promotion| promotion.term);
        let member = &mut db.members[index];
        member.up = true;
        member.down_since = None;
        member.synced_with = None;
        member.is_primary &= newest <= member.term;
    }

    /// The backend ends as planned: it leaves the store's list.
    pub fn end(&self, index: usize) {
        self.crash(index);
        let mut db = self.lock();
        let member = &mut db.members[index];
        member.down_since = Some(Instant::now() - HEARTBEAT * (MISSED + 1));
    }

    /// The platform carries out an order; returns the status of its answer.
    pub fn promote(&self, service: &str, id: &str) -> u16 {
        let mut db = self.lock();
        if db.service != service {
            return 404;
        }
        let Some(index) = db.members.iter().position(|member| member.id == id) else {
            return 404;
        };
        if !db.members[index].up {
            return 409;
        }
        if db.leader() == Some(index) {
            return 200;
        }
        let effect = Instant::now() + db.promote_time;
        db.due.push((effect, index));
        200
    }

    fn register(&self, store: &Store) {
        let mut db = self.lock();
        let service = db.service.clone();
        let mut puts = Vec::new();
        let mut deletes = Vec::new();
        for member in &mut db.members {
            let key = format!("servers/{}", member.id);
            if !member.up {
                let expired = member
                    .down_since
                    .is_some_and(|since| since.elapsed() > HEARTBEAT * MISSED);
                if expired && member.written.take().is_some() {
                    deletes.push(key);
                }
                continue;
            }
            let role = if member.is_primary {
                "primary"
            } else {
                "replica"
            };
            let mut entry = json!({"service": service, "address": member.address.to_string(),
                "zone": member.zone, "version": "v1", "slots": 2, "state": member.state,
                "coldLeftMs": 0, "dbRole": role});
            let text = entry.to_string();
            if member.written.as_ref() != Some(&text) {
                member.beats += 1;
                entry["seq"] = json!(member.beats);
                member.written = Some(text);
                puts.push((key, entry));
            }
        }
        drop(db);
        puts.iter().for_each(|(key, value)| store.put(key, value));
        deletes.iter().for_each(|key| store.delete(key));
    }

    fn accept(&self, index: usize, stream: TcpStream) {
        let (key, life) = {
            let mut db = self.lock();
            db.next_stream += 1;
            let key = db.next_stream;
            let member = &mut db.members[index];
            if !member.up {
                reset(&stream);
                return;
            }
            let Ok(copy) = stream.try_clone() else {
                return;
            };
            member.streams.insert(key, copy);
            (key, member.life)
        };
        let _ = self.serve(index, life, stream);
        self.lock().members[index].streams.remove(&key);
    }

    fn serve(&self, index: usize, life: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let is_right = {
            let db = self.lock();
            let member = &db.members[index];
            let service = words.get(1) == Some(&&*db.service);
            service && words.get(3).is_none_or(|id| *id == member.id)
        };
        if !is_right {
            return out.write_all(b"ERR MISROUTED -\r\n");
        }
        thread::sleep(Duration::from_millis(12));
        let db = self.lock();
        let (term, number) = db.members[index].position();
        out.write_all(format!("READY I {term}.{number}\r\n").as_bytes())?;
        drop(db);
        let mut session = Session::default();
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 || line.trim_end() == "BYE" {
                return Ok(());
            }
            let text = line.trim_end_matches(['\r', '\n']);
            let mut words = text.splitn(3, ' ');
            let (id, text) = (
                words.nth(1).unwrap_or("-").to_owned(),
                words.next().unwrap_or("").to_owned(),
            );
            let verb = text.split(' ').next().unwrap_or_default();
            let work = self.lock().work;
            if matches!(verb, "READ" | "WRITE" | "EXECUTE" | "COMMIT" | "AFTER") {
                thread::sleep(work);
            }
            let mut db = self.lock();
            if !db.members[index].up || db.members[index].life != life {
                return Ok(());
            }
            let answer = db.run(index, &mut session, &id, &text);
            // Under the lock: answers leave in the order of the positions that they tell.
            out.write_all(answer.as_bytes())?;
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    // SAFETY: the descriptor is open, and the option's value is of the size that is told.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            (&raw const linger).cast(),
            size_of::<libc::linger>() as libc::socklen_t,
        );
    }
    let _ = stream.shutdown(Shutdown::Both);
}

#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    transaction: Option<Transaction>,
    failed: bool,
}

struct Transaction {
    only_reads: bool,
    writes: Vec<(String, String)>,
}

impl Session {
    fn state(&self) -> &'static str {
        match (self.failed, &self.transaction) {
            (true, _) => "E",
            (false, Some(_)) => "T",
            (false, None) => "I",
        }
    }
}

impl Db {
    /// The backend that leads the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = self.members.iter().enumerate();
        let leaders = leaders.filter(|(_, member)| member.up && member.is_primary);
        let newest = leaders.max_by_key(|(_, member)| member.term);
        newest.map(|(index, _)| index)
    }

    fn replicate(&mut self, now: Instant) {
        let due: Vec<usize> = self
            .due
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, index)| index)
            .collect();
        for index in due {
            self.take_effect(index, now);
        }
        for member in &mut self.members {
            if member.steps_down_at.is_some_and(|at| at <= now) {
                member.steps_down_at = None;
                member.is_primary = false;
                member.synced_with = None;
            }
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let term = self.members[leader].term;
        for index in 0..self.members.len() {
            let member = &self.members[index];
            if index == leader || !member.up || member.is_primary || member.held > 0 {
                continue;
            }
            if member.term > term || member.is_deaf {
                continue;
            }
            let is_synced = member.synced_with == Some((leader, term));
            if !is_synced {
                let same = member.log.iter().zip(&self.members[leader].log);
                let common = same
                    .take_while(|(a, b)| a.position() == b.position())
                    .count();
                let member = &mut self.members[index];
                member.log.truncate(common);
                member.synced_with = Some((leader, term));
                member.term = term;
            }
            let have = self.members[index].log.len();
            let newer: Vec<Entry> = self.members[leader].log[have..]
                .iter()
                .take_while(|entry| entry.at + self.lag <= now)
                .cloned()
                .collect();
            self.members[index].log.extend(newer);
        }
    }

    /// A backend begins to lead the next term.
    fn take_effect(&mut self, index: usize, now: Instant) {
        if !self.members[index].up || self.leader() == Some(index) {
            return;
        }
        let term = self
            .members
            .iter()
            .map(|member| member.term)
            .max()
            .unwrap_or(0)
            + 1;
        for (other, member) in self.members.iter_mut().enumerate() {
            member.held = 0;
            if other == index {
                member.is_primary = true;
                member.term = term;
                member.steps_down_at = None;
            } else if member.is_primary {
                member.steps_down_at = Some(now + STEP_DOWN);
            }
        }
        self.promotions.push(Promotion {
            member: index,
            term,
            at: now,
        });
    }

    fn run(&mut self, index: usize, session: &mut Session, id: &str, text: &str) -> String {
        if id != "-" {
            self.runs
                .push((Instant::now(), index, id.to_owned(), text.to_owned()));
        }
        let body = match self.execute(index, session, id, text) {
            Ok(rows) if id == "-" => format!("{rows}DONE -\r\n"),
            Ok(rows) => format!("{rows}DONE r.{id}\r\n"),
            Err(code) => {
                let did_run = !matches!(code, "BUSY" | "NOSTMT" | "LAGGING");
                if session.transaction.is_some() && did_run {
                    session.transaction = None;
                    session.failed = true;
                }
                format!("ERR {code} -\r\n")
            }
        };
        let (term, number) = self.members[index].position();
        format!("{body}READY {} {term}.{number}\r\n", session.state())
    }

    fn execute(
        &mut self,
        index: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<String, &'static str> {
        let words: Vec<&str> = text.split(' ').collect();
        if session.failed && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Err("MALFORMED");
        }
        if words[0] == "AFTER" {
            let floor = words.get(1).and_then(|floor| floor.split_once('.'));
            let floor = floor.and_then(|(term, number)| {
                Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
            });
            if floor.is_none_or(|floor| self.members[index].position() < floor) {
                return Err("LAGGING");
            }
            return self.execute(index, session, id, &words[2..].join(" "));
        }
        let leads = self.members[index].is_primary;
        match words[0] {
            "BEGIN" => {
                let only_reads = words.get(1) == Some(&"READ");
                if !only_reads && !leads {
                    return Err("READONLY");
                }
                session.transaction = Some(Transaction {
                    only_reads,
                    writes: Vec::new(),
                });
                Ok(String::new())
            }
            "ROLLBACK" => {
                session.transaction = None;
                session.failed = false;
                Ok(String::new())
            }
            "COMMIT" => {
                if std::mem::take(&mut session.failed) {
                    return Err("ABORTED");
                }
                let transaction = session.transaction.take().ok_or("MALFORMED")?;
                if transaction.writes.is_empty() {
                    return Ok(String::new());
                }
                if !leads {
                    return Err("READONLY");
                }
                self.commit(index, id, transaction.writes);
                Ok(String::new())
            }
            "READ" | "WRITE" | "EXECUTE" => {
                let prepared = match words[0] {
                    "EXECUTE" => Some(session.prepared.get(words[1]).ok_or("NOSTMT")?.clone()),
                    _ => None,
                };
                let writes = prepared.map_or(words[0] == "WRITE", |(writes, _)| writes);
                let lost = session
                    .transaction
                    .as_ref()
                    .is_some_and(|open| !open.only_reads)
                    && !leads;
                if lost || writes && !leads {
                    return Err("READONLY");
                }
                let at = if words[0] == "EXECUTE" { 2 } else { 1 };
                let item = words.get(at).copied().unwrap_or_default().to_owned();
                if !writes {
                    let log = &self.members[index].log;
                    let ends = (1..=log.last().map_or(0, |entry| entry.term)).filter_map(|term| {
                        let end = log.partition_point(|entry| entry.term <= term);
                        log[..end].last().filter(|entry| entry.term == term)
                    });
                    let ends = ends.map(Entry::position).collect();
                    self.reads.push(Read {
                        id: id.to_owned(),
                        member: index,
                        log: ends,
                    });
                    let found = log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
                    let found = found
                        .filter(|(name, _)| *name == item)
                        .map(|(_, data)| data);
                    let row = found.into_iter().next().cloned().unwrap_or_default();
                    return Ok(format!("ROW {row}\r\n"));
                }
                let data = words.get(at + 1).copied().unwrap_or_default().to_owned();
                match &mut session.transaction {
                    Some(open) => open.writes.push((item, data)),
                    None => self.commit(index, id, vec![(item, data)]),
                }
                Ok(String::new())
            }
            "SET" => {
                let value = words.get(2).copied().unwrap_or_default().to_owned();
                session.values.insert(words[1].to_owned(), value);
                Ok(String::new())
            }
            "PREPARE" => {
                let prepared = (words[2] == "WRITE", words[3..].join(" "));
                session.prepared.insert(words[1].to_owned(), prepared);
                Ok(String::new())
            }
            "DEALLOC" => {
                session.prepared.remove(words[1]).ok_or("NOSTMT")?;
                Ok(String::new())
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Ok(String::new())
            }
            order => {
                let term = words.get(1).and_then(|term| term.parse().ok());
                self.obey(index, order, term.unwrap_or(0))
            }
        }
    }

    /// `STATUS`, `PAUSE`, `RESUME` and `DEMOTE`.
    fn obey(&mut self, index: usize, order: &str, term: u64) -> Result<String, &'static str> {
        let connections = self.members[index].streams.len();
        let member = &mut self.members[index];
        match order {
            "STATUS" => {}
            "PAUSE" if !member.is_primary && term > member.term => member.held = term,
            "PAUSE" => return Err("MALFORMED"),
            "RESUME" => member.held = 0,
            "DEMOTE" if member.is_primary && member.term < term => {
                member.is_primary = false;
                member.steps_down_at = None;
                member.synced_with = None;
            }
            "DEMOTE" => {}
            _ => return Err("MALFORMED"),
        }
        let role = if member.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (log_term, number) = member.position();
        Ok(format!(
            "ROW {role} {} {log_term}.{number} {} 0 0 {connections}\r\n",
            member.term, member.held
        ))
    }

    fn commit(&mut self, index: usize, id: &str, writes: Vec<(String, String)>) {
        let now = Instant::now();
        let newest_term = self.promotions.last().map_or(0, |promotion| promotion.term);
        let member = &mut self.members[index];
        let number = member.position().1 + 1;
        let term = member.term;
        member.log.push(Entry {
            term,
            number,
            id: id.to_owned(),
            writes,
            at: now,
        });
        self.commits.push(Commit {
            id: id.to_owned(),
            member: index,
            position: (term, number),
            at: now,
            newest_term,
        });
    }
}
