//! The connections of one upstream and the statement each of them carries.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// A connection: no two of one pool ever have the same generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// One statement on one connection.
///
/// Answers carry it back. An answer whose handle is not the one in flight
/// belongs to a statement that was given up or to a connection that is gone;
/// were it delivered, a caller would get rows that another had asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Handle {
    /// The connection.
    pub generation: Generation,
    /// The statement, counted on that connection from one.
    pub sequence: u64,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Being opened.
    Opening,
    /// Open with nothing in flight and no transaction.
    Idle {
        /// Since when.
        since: Instant,
    },
    /// A statement is in flight.
    Busy {
        /// Whose it is.
        ticket: Ticket,
        /// When it was handed out.
        since: Instant,
        /// Whether it is a later statement of an open transaction.
        stage: Stage,
    },
    /// A transaction is open and its owner has nothing in flight.
    IdleInTransaction {
        /// Whose transaction it is.
        ticket: Ticket,
        /// Since when.
        since: Instant,
    },
}

/// Where a statement stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It opens the connection's work: it took a slot.
    First,
    /// It goes on with an open transaction, which needs no slot.
    Transaction,
}

/// One connection.
#[derive(Debug, Clone, Copy)]
pub struct Conn {
    /// What it is doing.
    pub state: State,
    /// The last statement handed out on it.
    pub sequence: u64,
}

impl Conn {
    /// Whose request occupies it.
    pub fn ticket(&self) -> Option<Ticket> {
        match self.state {
            State::Opening | State::Idle { .. } => None,
            State::Busy { ticket, .. } | State::IdleInTransaction { ticket, .. } => Some(ticket),
        }
    }
}

/// How long a connection that was closed under a running statement counts
/// against the limit, unless the upstream is known to have ended it before.
///
/// A server notices that its client has gone when the statement ends or the
/// cancel arrives. Counted as gone at once, each would be replaced meanwhile:
/// after a few timeouts the upstream would have more connections than its
/// limit, refuse the next ones, and so open the breaker.
pub const LINGER: Duration = Duration::from_millis(500);

/// All connections of one pool, by generation.
#[derive(Debug)]
pub struct Table {
    conns: BTreeMap<Generation, Conn>,
    /// Closed under a statement, and when.
    ending: BTreeMap<Generation, Instant>,
    last_generation: u64,
}

impl Table {
    /// A table whose generations follow `epoch`, so that they never meet
    /// those of the seat's earlier holders.
    pub fn new(epoch: u32) -> Self {
        Self {
            conns: BTreeMap::new(),
            ending: BTreeMap::new(),
            last_generation: u64::from(epoch) << 32,
        }
    }

    /// Adds a connection that is being opened.
    pub fn open(&mut self) -> Generation {
        self.last_generation += 1;
        let generation = Generation(self.last_generation);
        self.conns.insert(
            generation,
            Conn {
                state: State::Opening,
                sequence: 0,
            },
        );
        generation
    }

    /// Forgets a connection.
    pub fn remove(&mut self, generation: Generation) -> Option<Conn> {
        self.conns.remove(&generation)
    }

    /// Forgets a connection that was closed under a statement; it counts
    /// against the limit until [`Table::ended`] or [`LINGER`] has passed.
    pub fn abandon(&mut self, now: Instant, generation: Generation) {
        self.conns.remove(&generation);
        self.ending.insert(generation, now);
    }

    /// The upstream has ended a connection that was abandoned.
    pub fn ended(&mut self, generation: Generation) {
        self.ending.remove(&generation);
    }

    /// Frees the places of abandoned connections that have lingered.
    pub fn expire(&mut self, now: Instant) {
        self.ending.retain(|_, since| now < *since + LINGER);
    }

    /// When the next place of an abandoned connection is free.
    pub fn expires(&self) -> Option<Instant> {
        self.ending.values().map(|since| *since + LINGER).min()
    }

    /// The connection, unless it is gone.
    pub fn find(&self, generation: Generation) -> Option<&Conn> {
        self.conns.get(&generation)
    }

    /// The connection, unless it is gone.
    pub fn find_mut(&mut self, generation: Generation) -> Option<&mut Conn> {
        self.conns.get_mut(&generation)
    }

    /// Hands out the next statement on a connection.
    pub fn start(
        &mut self,
        now: Instant,
        generation: Generation,
        ticket: Ticket,
        stage: Stage,
    ) -> Option<Handle> {
        let conn = self.conns.get_mut(&generation)?;
        conn.sequence += 1;
        conn.state = State::Busy {
            ticket,
            since: now,
            stage,
        };
        Some(Handle {
            generation,
            sequence: conn.sequence,
        })
    }

    /// Whether the statement is the one in flight on its connection.
    pub fn in_flight(&self, handle: Handle) -> bool {
        self.conns.get(&handle.generation).is_some_and(|conn| {
            conn.sequence == handle.sequence && matches!(conn.state, State::Busy { .. })
        })
    }

    /// The idle connection that was used last, so that the others can age.
    pub fn idle(&self) -> Option<Generation> {
        self.conns
            .iter()
            .filter_map(|(&generation, conn)| match conn.state {
                State::Idle { since } => Some((since, generation)),
                _ => None,
            })
            .max()
            .map(|(_, generation)| generation)
    }

    /// All connections.
    pub fn iter(&self) -> impl Iterator<Item = (Generation, &Conn)> {
        self.conns
            .iter()
            .map(|(&generation, conn)| (generation, conn))
    }

    /// How many connections count against the limit.
    pub fn counted(&self) -> usize {
        self.conns.len() + self.ending.len()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// How many connections are in a state.
    pub fn count(&self, test: impl Fn(&State) -> bool) -> usize {
        self.conns.values().filter(|conn| test(&conn.state)).count()
    }
}
