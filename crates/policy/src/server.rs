//! A stand-in for one upstream: a log, a term, a fence.

use std::collections::HashMap;

use check::Operation;
use clock::Instant;
use model::{Lsn, Position, Report, Role, Term};

/// One entry of the log; its place is its number, counted from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The term whose primary wrote it.
    pub term: Term,
    /// What it is about; `None` for the entry that opens a term.
    pub operation: Option<Operation>,
}

/// Whom a replica follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Follow {
    /// The primary, by its number in the group.
    pub leader: usize,
    /// The term it leads in.
    pub term: Term,
}

/// Whether an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Up,
    /// Its process is gone; its host refuses connections.
    Crashed,
    /// Its host is gone; nothing answers.
    Silent,
}

/// Why an upstream did not do as it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It takes no writes.
    Replica,
    /// It is fenced to a higher term.
    Fenced(Term),
}

/// What a write did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It was added to the log.
    Added(Position),
    /// The ledger had it.
    Found(Position),
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its availability zone.
    pub zone: usize,
    /// Whether its process runs.
    pub condition: Condition,
    /// Until when it does nothing at all.
    pub stalled_until: Instant,
    /// Whom it follows.
    pub follow: Option<Follow>,
    role: Role,
    fenced: Term,
    log: Vec<Entry>,
    ledger: HashMap<Operation, u64>,
}

impl Server {
    /// Starts an upstream with an empty log, following `follow` if given.
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

    /// Where its log ends.
    pub fn position(&self) -> Position {
        let term = self.log.last().map(|entry| entry.term);
        Position {
            term: term.unwrap_or_default(),
            lsn: Lsn(self.log.len() as u64),
        }
    }

    /// Whether it takes writes.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term it is fenced to.
    pub fn fenced(&self) -> Term {
        self.fenced
    }

    /// What it tells of itself.
    pub fn report(&self) -> Report {
        let received = self.position();
        Report {
            role: self.role,
            fenced: self.fenced,
            received,
            replayed: received.lsn,
        }
    }

    /// Its log.
    pub fn log(&self) -> &[Entry] {
        &self.log
    }

    /// Whether a read here shows an operation.
    pub fn contains(&self, operation: Operation) -> bool {
        self.ledger.contains_key(&operation)
    }

    /// Drops an operation from the ledger, though not from the log.
    pub fn remove_from_ledger(&mut self, operation: Operation) {
        self.ledger.remove(&operation);
    }

    /// Runs a write, with the ledger's entry in the same transaction.
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

    /// Stops following or leading any lower term.
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

    /// Leads in `term` from its own log on; the fork is where that ended.
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

    /// Drops what its own log has beyond the followed primary's.
    pub fn rewind(&mut self, leader: &[Entry]) {
        let agrees = |(ours, theirs): &(&Entry, &Entry)| ours == theirs;
        let common = self.log.iter().zip(leader).take_while(agrees).count();
        for entry in self.log.drain(common..) {
            if let Some(operation) = entry.operation {
                self.ledger.remove(&operation);
            }
        }
    }

    /// Takes in what comes next in the followed primary's log.
    pub fn receive(&mut self, entries: &[Entry]) {
        for &entry in entries {
            self.push(entry);
        }
    }

    /// Whether it runs and takes writes in `term`.
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
