//! Upstreams with a log, a fence, and asynchronous replication.

use std::time::Duration;

use failover::{Call, Event, Fault, Order};
use model::{Lsn, Position, Report, Role, Term, name};

use super::{Host, Task, World};

/// Kind of outage of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Down {
    /// The process has ended, and the host refuses connections.
    Process,
    /// The host is down, and nothing answers.
    Host,
}

/// Interval between two pushes of the log while there are no writes.
const PUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a replica needs to connect to a new primary.
const CONNECT_TIME: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) down: Option<Down>,
    /// True if status probes and orders find no free connection.
    pub(crate) full: bool,
    pub(crate) role: Role,
    pub(crate) fenced: Term,
    /// Term of the last promotion of this upstream.
    pub(crate) leads: Term,
    pub(crate) follows: Option<(usize, Term)>,
    /// Term of the last order to follow a primary.
    ordered: Term,
    /// For each log position its term and the write at this position.
    pub(crate) log: Vec<(Term, u64)>,
    /// True if the log is known to be a prefix of the followed primary's log.
    synced: bool,
    pub(crate) lag: Duration,
}

pub(crate) fn index(name: &name::Upstream) -> usize {
    name.as_str()[1..].parse().unwrap()
}

impl Server {
    pub(crate) fn open(u: usize) -> Self {
        let primary = u == 0;
        Self {
            down: None,
            full: false,
            role: if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            fenced: Term(1),
            leads: if primary { Term(1) } else { Term(0) },
            follows: (!primary).then_some((0, Term(1))),
            ordered: Term(1),
            log: vec![(Term(1), 0)],
            synced: !primary,
            lag: Duration::ZERO,
        }
    }

    pub(crate) fn report(&self, reports_term_early: bool) -> Report {
        let mut term = self.log.last().map_or(Term(0), |(term, _)| *term);
        if reports_term_early {
            term = term.max(self.ordered);
        }
        let lsn = Lsn(self.log.len() as u64);
        Report {
            role: self.role,
            fenced: self.fenced,
            received: Position { term, lsn },
            replayed: lsn,
        }
    }

    pub(crate) fn holds(&self, write: u64) -> bool {
        self.log.iter().any(|(_, w)| *w == write)
    }

    fn accepts_writes(&self, term: Term) -> bool {
        self.role == Role::Primary && self.leads == term && self.fenced == term
    }
}

impl World {
    pub(crate) fn on_request(&mut self, i: usize, u: usize, call: Call, order: Option<Order>) {
        match self.servers[u].down {
            Some(Down::Process) => return self.reply(i, u, call, Err(Fault::Refused)),
            Some(Down::Host) => return,
            None => {}
        }
        if self.servers[u].full {
            return self.reply(i, u, call, Err(Fault::Full));
        }
        let term = match &order {
            None => Term(u64::MAX),
            Some(Order::Fence { term } | Order::Promote { term } | Order::Follow { term, .. }) => {
                *term
            }
        };
        let fenced = self.servers[u].fenced;
        if term < fenced {
            return self.reply(i, u, call, Err(Fault::Fenced(fenced)));
        }
        match order {
            None => {}
            Some(Order::Fence { .. }) => self.fence(u, term),
            Some(Order::Promote { .. }) => {
                let task = Task::Promoted(i, u, call, term);
                let took = self.setup.promotion_time;
                return self.schedule(took, task);
            }
            Some(Order::Follow { upstream, .. }) => self.follow(u, term, index(&upstream)),
        }
        let report = self.servers[u].report(self.setup.reports_term_early);
        self.reply(i, u, call, Ok(report));
    }

    fn reply(&mut self, i: usize, u: usize, call: Call, result: Result<Report, Fault>) {
        let event = Event::Answer {
            call,
            upstream: super::upstream_name(u),
            result,
        };
        self.send(Host::Server(u), Host::Instance(i), Task::Step(i, event));
    }

    fn fence(&mut self, u: usize, term: Term) {
        let fence_lingers = self.setup.fence_lingers;
        let server = &mut self.servers[u];
        if server.fenced < term {
            server.fenced = term;
            if !fence_lingers {
                server.follows = None;
            }
        }
    }

    pub(crate) fn promoted(&mut self, i: usize, u: usize, call: Call, term: Term) {
        let server = &mut self.servers[u];
        if server.down.is_some() {
            return;
        }
        if server.fenced > term {
            let fenced = server.fenced;
            return self.reply(i, u, call, Err(Fault::Fenced(fenced)));
        }
        if server.leads != term {
            server.fenced = term;
            server.role = Role::Primary;
            server.leads = term;
            server.follows = None;
            server.log.push((term, 0));
            self.check.promoted(self.now, term, u);
        }
        let report = self.servers[u].report(self.setup.reports_term_early);
        self.reply(i, u, call, Ok(report));
    }

    fn follow(&mut self, u: usize, term: Term, leader: usize) {
        let server = &mut self.servers[u];
        if server.follows == Some((leader, term)) || server.leads == term {
            return;
        }
        server.fenced = term;
        server.role = Role::Replica;
        server.follows = Some((leader, term));
        server.ordered = term;
        server.synced = false;
        let wait = CONNECT_TIME + server.lag;
        let len = self.servers[leader].log.len();
        let task = Task::ReceiveLog(leader, u, term, len);
        self.send_later(wait, Host::Server(leader), Host::Server(u), task);
    }

    pub(crate) fn write(&mut self, i: usize, u: usize, id: u64, term: Term) {
        let asked = self.now;
        match self.servers[u].down {
            Some(Down::Host) => return,
            Some(Down::Process) => return self.answer_write(i, u, id, asked, false),
            None => {}
        }
        let taken = self.servers[u].accepts_writes(term);
        if taken {
            self.servers[u].log.push((term, id));
            self.push(u);
        }
        self.answer_write(i, u, id, asked, taken);
    }

    fn answer_write(&mut self, i: usize, u: usize, id: u64, asked: clock::Instant, taken: bool) {
        let report = self.servers[u].report(self.setup.reports_term_early);
        let result = taken.then_some((report.received, report));
        let task = Task::Written(i, u, id, asked, result);
        self.send(Host::Server(u), Host::Instance(i), task);
    }

    /// Sends the log to every replica; a replica that follows another primary
    /// drops it.
    fn push(&mut self, u: usize) {
        let (term, len) = (self.servers[u].leads, self.servers[u].log.len());
        for to in (0..self.servers.len()).filter(|to| *to != u) {
            let lag = self.servers[to].lag;
            let task = Task::ReceiveLog(u, to, term, len);
            self.send_later(lag, Host::Server(u), Host::Server(to), task);
        }
    }

    pub(crate) fn push_periodically(&mut self, u: usize) {
        self.schedule(PUSH_INTERVAL, Task::PushLog(u));
        if self.servers[u].down.is_none() && self.servers[u].role == Role::Primary {
            self.push(u);
        }
    }

    pub(crate) fn receive_log(&mut self, from: usize, to: usize, term: Term, len: usize) {
        let current = self.servers[from].leads == term && self.servers[from].role == Role::Primary;
        let server = &self.servers[to];
        if server.down.is_some() || server.follows != Some((from, term)) || !current {
            return;
        }
        let mut target = std::mem::take(&mut self.servers[to].log);
        let source = &self.servers[from].log[..len];
        if !self.servers[to].synced {
            let same = target.iter().zip(source).take_while(|(a, b)| a == b);
            let common = same.count();
            target.truncate(common);
        }
        if target.len() < len {
            target.extend_from_slice(&source[target.len()..]);
        }
        self.servers[to].log = target;
        self.servers[to].synced = true;
    }

    pub(crate) fn poll(&mut self, i: usize, u: usize, asked: clock::Instant) {
        if self.servers[u].down.is_some() {
            return;
        }
        let report = self.servers[u].report(self.setup.reports_term_early);
        let task = Task::Polled(i, u, asked, report);
        self.send(Host::Server(u), Host::Instance(i), task);
    }
}
