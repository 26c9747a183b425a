//! Fake upstream with a log, a term and a fence.

use std::collections::HashMap;

use check::Operation;
use clock::Instant;
use model::{Lsn, Position, Report, Role, Term};

/// Entry of the log; its LSN is its index, counted from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Term of the primary that wrote the entry.
    pub term: Term,
    /// Operation that was written; `None` for the entry that opens a term.
    pub operation: Option<Operation>,
}

/// Replication source of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Follow {
    /// Index of the primary in the group.
    pub leader: usize,
    /// Term of the primary.
    pub term: Term,
}

/// Condition of an upstream's process and host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The process runs.
    Up,
    /// The process is gone; its host refuses connections.
    Crashed,
    /// The host is gone; nothing answers.
    Silent,
}

/// Reason why an upstream refused a write or an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream is a replica and takes no writes.
    Replica,
    /// The upstream is fenced to a higher term.
    Fenced(Term),
}

/// Effect of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The write was appended to the log.
    Added(Position),
    /// The ledger of request ids already had the operation.
    Found(Position),
}

/// Fake upstream.
#[derive(Debug, Clone)]
pub struct Server {
    /// Availability zone of the upstream.
    pub zone: usize,
    /// Condition of the process and its host.
    pub condition: Condition,
    /// Time until which the upstream does nothing.
    pub stalled_until: Instant,
    /// Replication source, if any.
    pub follow: Option<Follow>,
    role: Role,
    fenced: Term,
    log: Vec<Entry>,
    ledger: HashMap<Operation, u64>,
}

impl Server {
    /// Starts an upstream with an empty log, as a replica of `follow` or as
    /// primary.
    pub fn open(zone: usize, term: Term, follow: Option<Follow>) -> Self {
        let mut server = Self {
            zone,
            condition: Condition::Up,
            stalled_until: Instant::ZERO,
            follow,
            role: Role::Replica,
            fenced: term,
            log: Vec::new(),
            ledger: HashMap::new(),
        };
        if follow.is_none() {
            server.role = Role::Primary;
        }
        server.log.push(Entry {
            term,
            operation: None,
        });
        server
    }

    /// Returns the position of the end of the log.
    pub fn position(&self) -> Position {
        let term = self.log.last().map(|entry| entry.term);
        Position {
            term: term.unwrap_or_default(),
            lsn: Lsn(self.log.len() as u64),
        }
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the term that the upstream is fenced to.
    pub fn fenced(&self) -> Term {
        self.fenced
    }

    /// Returns the report that the upstream gives of itself.
    pub fn report(&self) -> Report {
        let received = self.position();
        Report {
            role: self.role,
            fenced: self.fenced,
            received,
            replayed: received.lsn,
        }
    }

    /// Returns the log.
    pub fn log(&self) -> &[Entry] {
        &self.log
    }

    /// Returns true if a read on this upstream shows the operation.
    pub fn contains(&self, operation: Operation) -> bool {
        self.ledger.contains_key(&operation)
    }

    /// Removes an operation from the ledger of request ids but not from the
    /// log.
    pub fn remove_from_ledger(&mut self, operation: Operation) {
        self.ledger.remove(&operation);
    }

    /// Runs a write and records its request id in the ledger, in one
    /// transaction.
    pub fn write(&mut self, operation: Operation) -> Result<Written, Refusal> {
        if self.role != Role::Primary {
            return Err(Refusal::Replica);
        }
        if let Some(&lsn) = self.ledger.get(&operation) {
            let term = self.log[lsn as usize - 1].term;
            let lsn = Lsn(lsn);
            return Ok(Written::Found(Position { term, lsn }));
        }
        let term = self.position().term;
        self.push(Entry {
            term,
            operation: Some(operation),
        });
        Ok(Written::Added(self.position()))
    }

    /// Fences the upstream: it no longer leads or follows in any lower term.
    pub fn fence(&mut self, term: Term) -> Result<Report, Refusal> {
        if self.fenced > term {
            return Err(Refusal::Fenced(self.fenced));
        }
        if self.position().term < term {
            self.role = Role::Replica;
            self.follow = None;
        }
        self.fenced = term;
        Ok(self.report())
    }

    /// Promotes the upstream in `term`; returns the fork, the end of its log
    /// before.
    pub fn promote(&mut self, term: Term) -> Result<Lsn, Refusal> {
        if self.fenced > term {
            return Err(Refusal::Fenced(self.fenced));
        }
        let fork = self.position().lsn;
        if self.role == Role::Primary && self.position().term == term {
            return Ok(fork);
        }
        self.fenced = term;
        self.role = Role::Primary;
        self.follow = None;
        self.push(Entry {
            term,
            operation: None,
        });
        Ok(fork)
    }

    /// Follows a primary from now on.
    pub fn follow(&mut self, follow: Follow) -> Result<(), Refusal> {
        if self.fenced > follow.term {
            return Err(Refusal::Fenced(self.fenced));
        }
        self.fenced = follow.term;
        self.role = Role::Replica;
        self.follow = Some(follow);
        Ok(())
    }

    /// Drops the entries of the log that diverge from the followed primary's
    /// log.
    pub fn rewind(&mut self, leader: &[Entry]) {
        let agrees = |(ours, theirs): &(&Entry, &Entry)| ours == theirs;
        let common = self.log.iter().zip(leader).take_while(agrees).count();
        for entry in self.log.drain(common..) {
            if let Some(operation) = entry.operation {
                self.ledger.remove(&operation);
            }
        }
    }

    /// Appends the next entries of the followed primary's log.
    pub fn receive(&mut self, entries: &[Entry]) {
        for &entry in entries {
            self.push(entry);
        }
    }

    /// Returns true if the process runs and takes writes in `term`.
    pub fn is_primary_in(&self, term: Term) -> bool {
        let is_up = self.condition == Condition::Up;
        is_up && self.role == Role::Primary && self.position().term == term
    }

    fn push(&mut self, entry: Entry) {
        self.log.push(entry);
        if let Some(operation) = entry.operation {
            self.ledger.insert(operation, self.log.len() as u64);
        }
    }
}
