//! A replicated group of upstreams with terms, lag and faults.

use std::{
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use model::{Position, Report, Role, Term};

use crate::{
    serve::Listener,
    server,
    table::{Log, RowKey, Write},
};

/// What can be wrong with an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing is wrong.
    #[default]
    None,
    /// The process is gone: its connections break and new ones are refused.
    Crashed,
    /// The network to callers and to the group is cut; packets vanish.
    CutOff,
    /// Connections are taken and nothing is answered.
    Hang,
    /// It serves callers, but the rest of the group can't reach it.
    ReplicationCut,
}

/// The settings of one upstream.
#[derive(Debug, Clone)]
pub struct Conf {
    /// Statements that run at once.
    pub slots: usize,
    /// Connections that it takes.
    pub connections: usize,
    /// How long a new connection takes.
    pub connect_time: Duration,
    /// How long a statement holds a slot.
    pub statement_time: Duration,
}

impl Default for Conf {
    /// The sizes of the brief, and statements that take no time of their own.
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 16,
            connect_time: Duration::from_millis(10),
            statement_time: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) fault: Fault,
    /// How much later than received a replica shows an entry.
    pub(crate) lag: Duration,
    /// How much later answers leave.
    pub(crate) answer_delay: Duration,
    pub(crate) role: Role,
    /// The highest term it was ordered to.
    pub(crate) fenced: Term,
    /// Which session raised the term last: only that one's orders are taken.
    pub(crate) fenced_by: u64,
    /// The term it writes in when it is primary.
    pub(crate) term: Term,
    pub(crate) read_only: bool,
    pub(crate) follows: Option<SocketAddr>,
    pub(crate) log: Log,
    /// When each entry not yet shown arrived.
    pub(crate) arrivals: Vec<Instant>,
    /// Rows that an open transaction has written, and by which session.
    pub(crate) locks: HashMap<RowKey, u64>,
    /// Counts up when the process crashes, so that old connections break.
    pub(crate) generation: u64,
    pub(crate) connections: usize,
    /// The most connections that were ever open at once.
    pub(crate) peak_connections: usize,
    /// Statements run, for tests that count work.
    pub(crate) statements: u64,
    /// Those of them that read a table.
    pub(crate) selects: u64,
    /// How often a statement began to wait for a row.
    pub(crate) lock_waits: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) nodes: Vec<Node>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) sessions: u64,
    /// Sessions that a cancel request has named and that have not seen it yet.
    pub(crate) cancels: HashSet<u64>,
}

/// What the group's servers share.
pub(crate) type Shared = Arc<Mutex<State>>;

pub(crate) fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Moves the log from primaries to the replicas that follow them.
    pub(crate) fn replicate(&mut self) {
        let now = Instant::now();
        for index in 0..self.nodes.len() {
            self.receive_log(index, now);
            self.nodes[index].replay_due(now);
        }
    }

    fn receive_log(&mut self, index: usize, now: Instant) {
        let node = &self.nodes[index];
        if node.role != Role::Replica || node.is_isolated() {
            return;
        }
        let leader = node
            .follows
            .and_then(|it| self.addresses.iter().position(|&a| a == it));
        let Some(leader) = leader.filter(|&it| it != index) else {
            return;
        };
        let other = &self.nodes[leader];
        if other.is_isolated()
            || other.role != Role::Primary
            || other.term < node.log.received().term
        {
            return;
        }
        let held = node.log.entries.len();
        let is_prefix = held == 0 || other.log.entries.get(held - 1) == node.log.entries.last();
        if !is_prefix {
            let leader_log = other.log.clone();
            self.nodes[index].rewind(&leader_log);
        }
        let held = self.nodes[index].log.entries.len();
        let new_entries = self.nodes[leader].log.entries[held..].to_vec();
        let node = &mut self.nodes[index];
        node.arrivals
            .resize(node.arrivals.len() + new_entries.len(), now);
        node.log.entries.extend(new_entries);
    }
}

impl Node {
    /// Whether the rest of the group can't reach it.
    fn is_isolated(&self) -> bool {
        matches!(
            self.fault,
            Fault::Crashed | Fault::CutOff | Fault::ReplicationCut
        )
    }

    /// Drops what it holds beyond the log that it now follows.
    ///
    /// A server that is rewound restarts, which breaks its connections.
    fn rewind(&mut self, leader: &Log) {
        self.generation += 1;
        self.log.rewind(leader);
        self.arrivals
            .truncate(self.log.entries.len() - self.log.replayed);
    }

    fn replay_due(&mut self, now: Instant) {
        if self.role != Role::Replica || self.fault == Fault::Crashed {
            return;
        }
        let due = self
            .arrivals
            .iter()
            .take_while(|&&at| at + self.lag <= now)
            .count();
        self.arrivals.drain(..due);
        self.log.replay(self.log.replayed + due);
    }

    /// What it tells of itself.
    pub(crate) fn report(&self) -> Report {
        Report {
            role: self.role,
            fenced: self.fenced,
            received: self.log.received(),
            replayed: self.log.replayed_position().lsn,
        }
    }

    /// Commits a transaction's writes and gives the log's end.
    pub(crate) fn commit(&mut self, writes: Vec<Write>) -> Position {
        if !writes.is_empty() {
            self.log.append(self.term, writes);
        }
        self.log.received()
    }
}

/// A running group; dropping it stops its servers.
#[derive(Debug)]
pub struct Group {
    shared: Shared,
    servers: Vec<Listener>,
}

impl Group {
    /// Starts `size` upstreams, the first of them primary in term 1.
    ///
    /// # Errors
    ///
    /// Fails when a loopback port can't be bound.
    pub fn spawn(size: usize, conf: &Conf) -> io::Result<Self> {
        let state = State {
            nodes: Vec::new(),
            addresses: Vec::new(),
            sessions: 0,
            cancels: HashSet::new(),
        };
        let shared = Arc::new(Mutex::new(state));
        let mut servers = Vec::new();
        for index in 0..size {
            let slots = Arc::new(tokio::sync::Semaphore::new(conf.slots));
            let (shared, conf) = (Arc::clone(&shared), conf.clone());
            let name = format!("upstream-{index}");
            servers.push(Listener::spawn(&name, move |io| {
                server::serve(
                    io,
                    index,
                    Arc::clone(&shared),
                    conf.clone(),
                    Arc::clone(&slots),
                )
            })?);
        }
        let addresses: Vec<_> = servers.iter().map(|it| it.address).collect();
        {
            let mut state = lock(&shared);
            state.nodes = (0..size).map(|index| node(index, addresses[0])).collect();
            state.addresses = addresses;
            state.replicate();
        }
        Ok(Self { shared, servers })
    }

    /// Where each upstream listens.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|it| it.address).collect()
    }

    /// Sets what is wrong with an upstream.
    pub fn set_fault(&self, index: usize, fault: Fault) {
        let mut state = lock(&self.shared);
        let node = &mut state.nodes[index];
        if fault == Fault::Crashed && node.fault != Fault::Crashed {
            node.generation += 1;
            node.locks.clear();
        }
        node.fault = fault;
    }

    /// Sets how much later than received a replica shows what it received.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        lock(&self.shared).nodes[index].lag = lag;
    }

    /// Sets how much later than made the answers of an upstream leave.
    pub fn set_answer_delay(&self, index: usize, delay: Duration) {
        lock(&self.shared).nodes[index].answer_delay = delay;
    }

    /// What an upstream would tell of itself.
    pub fn report(&self, index: usize) -> Report {
        let mut state = lock(&self.shared);
        state.replicate();
        state.nodes[index].report()
    }

    /// Reads a row of `kv` as an upstream shows it.
    pub fn value(&self, index: usize, key: &str) -> Option<String> {
        let mut state = lock(&self.shared);
        state.replicate();
        state.nodes[index]
            .log
            .rows
            .get(&(0, key.to_owned()))
            .cloned()
    }

    /// How many statements an upstream has run.
    pub fn statements(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].statements
    }

    /// How often a statement of an upstream began to wait for a row.
    pub fn lock_waits(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].lock_waits
    }

    /// How many statements that read a table an upstream has run.
    pub fn selects(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].selects
    }

    /// The most connections that an upstream ever had at once.
    pub fn peak_connections(&self, index: usize) -> usize {
        lock(&self.shared).nodes[index].peak_connections
    }

    /// How many connections an upstream has now.
    pub fn connections(&self, index: usize) -> usize {
        lock(&self.shared).nodes[index].connections
    }

    /// The last position that an upstream holds.
    pub fn received(&self, index: usize) -> Position {
        self.report(index).received
    }
}

fn node(index: usize, first: SocketAddr) -> Node {
    let role = if index == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let mut log = Log::default();
    if index == 0 {
        log.append(Term(1), Vec::new());
    }
    Node {
        fault: Fault::None,
        lag: Duration::ZERO,
        answer_delay: Duration::ZERO,
        role,
        fenced: Term(1),
        fenced_by: 0,
        term: Term(1),
        read_only: false,
        follows: (index > 0).then_some(first),
        log,
        arrivals: Vec::new(),
        locks: HashMap::new(),
        generation: 0,
        connections: 0,
        peak_connections: 0,
        statements: 0,
        selects: 0,
        lock_waits: 0,
    }
}
