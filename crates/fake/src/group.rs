//! A replicated group of fake upstreams with terms, replication lag and faults.

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

/// A fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The process has crashed: its connections break and new ones are refused.
    Crashed,
    /// The network to callers and to the group is cut; packets are dropped.
    CutOff,
    /// Connections are accepted and no request is answered.
    Hang,
    /// Callers are served, but the rest of the group can't reach the upstream.
    ReplicationCut,
}

/// The settings of one upstream.
#[derive(Debug, Clone)]
pub struct Conf {
    /// Maximum number of statements that run concurrently.
    pub slots: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Time that a new connection takes.
    pub connect_time: Duration,
    /// Time that a statement holds a slot.
    pub statement_time: Duration,
}

impl Default for Conf {
    /// Two slots, 16 connections, and statements that take no time.
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
    /// Replication lag: the time from the receipt of an entry to its replay.
    pub(crate) lag: Duration,
    /// Delay of each answer.
    pub(crate) answer_delay: Duration,
    pub(crate) role: Role,
    /// The highest term that an order has set; orders with a lower term are refused.
    pub(crate) fenced: Term,
    /// Session that set `fenced` last; orders of other sessions are refused.
    pub(crate) fenced_by: u64,
    /// Term of the entries that the upstream writes as primary.
    pub(crate) term: Term,
    pub(crate) read_only: bool,
    pub(crate) follows: Option<SocketAddr>,
    pub(crate) log: Log,
    /// Arrival time of each entry that is not yet replayed.
    pub(crate) arrivals: Vec<Instant>,
    /// Row locks: each row that an open transaction has locked, with its session.
    pub(crate) locks: HashMap<RowKey, u64>,
    /// Incremented when the process crashes or is rewound, so that old connections
    /// break.
    pub(crate) generation: u64,
    pub(crate) connections: usize,
    /// The highest number of connections that were open at one time.
    pub(crate) peak_connections: usize,
    /// Number of statements run.
    pub(crate) statements: u64,
    /// Number of statements run that read a table.
    pub(crate) selects: u64,
    /// Number of waits for a row lock.
    pub(crate) lock_waits: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) nodes: Vec<Node>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) sessions: u64,
    /// Sessions with a cancel request that is not yet handled.
    pub(crate) cancels: HashSet<u64>,
}

/// The state that the servers of a group share.
pub(crate) type Shared = Arc<Mutex<State>>;

pub(crate) fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Copies log entries from primaries to their replicas and replays the entries
    /// whose lag is over.
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
    /// Returns true if the rest of the group can't reach this upstream.
    fn is_isolated(&self) -> bool {
        matches!(
            self.fault,
            Fault::Crashed | Fault::CutOff | Fault::ReplicationCut
        )
    }

    /// Drops the entries that are not in the log of the new primary.
    ///
    /// A server restarts for a rewind, which breaks its connections.
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

    /// Returns the report that a health check reads.
    pub(crate) fn report(&self) -> Report {
        Report {
            role: self.role,
            fenced: self.fenced,
            received: self.log.received(),
            replayed: self.log.replayed_position().lsn,
        }
    }

    /// Commits the writes of a transaction and returns the end of the log.
    pub(crate) fn commit(&mut self, writes: Vec<Write>) -> Position {
        if !writes.is_empty() {
            self.log.append(self.term, writes);
        }
        self.log.received()
    }
}

/// A running group of upstreams; dropping the group stops its servers.
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

    /// Listen addresses of the upstreams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|it| it.address).collect()
    }

    /// Sets the fault of an upstream.
    pub fn set_fault(&self, index: usize, fault: Fault) {
        let mut state = lock(&self.shared);
        let node = &mut state.nodes[index];
        if fault == Fault::Crashed && node.fault != Fault::Crashed {
            node.generation += 1;
            node.locks.clear();
        }
        node.fault = fault;
    }

    /// Sets the replication lag of a replica.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        lock(&self.shared).nodes[index].lag = lag;
    }

    /// Sets the delay of an upstream's answers.
    pub fn set_answer_delay(&self, index: usize, delay: Duration) {
        lock(&self.shared).nodes[index].answer_delay = delay;
    }

    /// Returns the report that a health check of an upstream would read.
    pub fn report(&self, index: usize) -> Report {
        let mut state = lock(&self.shared);
        state.replicate();
        state.nodes[index].report()
    }

    /// Reads a row of the table `kv` at an upstream.
    pub fn value(&self, index: usize, key: &str) -> Option<String> {
        let mut state = lock(&self.shared);
        state.replicate();
        state.nodes[index]
            .log
            .rows
            .get(&(0, key.to_owned()))
            .cloned()
    }

    /// Number of statements that an upstream has run.
    pub fn statements(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].statements
    }

    /// Number of waits for a row lock at an upstream.
    pub fn lock_waits(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].lock_waits
    }

    /// Number of statements at an upstream that read a table.
    pub fn selects(&self, index: usize) -> u64 {
        lock(&self.shared).nodes[index].selects
    }

    /// The highest number of connections that an upstream had at one time.
    pub fn peak_connections(&self, index: usize) -> usize {
        lock(&self.shared).nodes[index].peak_connections
    }

    /// Number of connections that an upstream has now.
    pub fn connections(&self, index: usize) -> usize {
        lock(&self.shared).nodes[index].connections
    }

    /// Position of the last log entry that an upstream has received.
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
