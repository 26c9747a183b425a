//! Connections of one upstream and the statement in flight on each of them.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// Id of a connection, never reused within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// Id of one statement on one connection.
///
/// Each answer carries its handle. An answer whose handle is not the one in
/// flight belongs to a cancelled statement or to a closed connection;
/// delivering it would give a caller the rows of another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Handle {
    /// Connection of the statement.
    pub generation: Generation,
    /// Number of the statement on its connection, starting at one.
    pub sequence: u64,
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The connection is being opened.
    Opening,
    /// The connection is open, without a statement in flight or a transaction.
    Idle {
        /// Time at which this state began.
        since: Instant,
    },
    /// A statement is in flight.
    Busy {
        /// Request that sent the statement.
        ticket: Ticket,
        /// Time at which the statement was dispatched.
        since: Instant,
        /// Whether the statement starts work or continues an open transaction.
        stage: Stage,
    },
    /// A transaction is open without a statement in flight.
    IdleInTransaction {
        /// Request that owns the transaction.
        ticket: Ticket,
        /// Time at which this state began.
        since: Instant,
    },
}

/// Position of a statement in the work of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The statement starts the work of the connection and occupies a slot.
    First,
    /// The statement continues an open transaction and needs no slot.
    Transaction,
}

/// Connection of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Conn {
    /// Current state.
    pub state: State,
    /// Number of the last statement dispatched on the connection.
    pub sequence: u64,
}

impl Conn {
    /// Request that occupies the connection.
    pub fn ticket(&self) -> Option<Ticket> {
        match self.state {
            State::Opening | State::Idle { .. } => None,
            State::Busy { ticket, .. } | State::IdleInTransaction { ticket, .. } => Some(ticket),
        }
    }
}

/// Time for which a connection closed under a running statement counts against
/// the limit, unless the upstream is known to have ended it earlier.
///
/// A server notices the closed connection only when the statement ends or the
/// cancel request arrives. If such connections did not count, each would be
/// replaced at once: after a few time-outs the upstream would exceed its
/// connection limit, refuse new connections, and thereby open the breaker.
pub const LINGER: Duration = Duration::from_millis(500);

/// Connections of one pool by generation.
#[derive(Debug)]
pub struct Table {
    conns: BTreeMap<Generation, Conn>,
    /// Connections closed under a statement, with the time of the close.
    ending: BTreeMap<Generation, Instant>,
    last_generation: u64,
}

impl Table {
    /// Creates a table whose generations follow `epoch`, so that they differ
    /// from those of earlier holders of the seat.
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

    /// Removes a connection.
    pub fn remove(&mut self, generation: Generation) -> Option<Conn> {
        self.conns.remove(&generation)
    }

    /// Removes a connection that was closed under a statement. The connection
    /// counts against the limit until [`Table::ended`] or until [`LINGER`] has
    /// passed.
    pub fn abandon(&mut self, now: Instant, generation: Generation) {
        self.conns.remove(&generation);
        self.ending.insert(generation, now);
    }

    /// Records that the upstream has ended an abandoned connection.
    pub fn ended(&mut self, generation: Generation) {
        self.ending.remove(&generation);
    }

    /// Stops counting abandoned connections after [`LINGER`].
    pub fn expire(&mut self, now: Instant) {
        self.ending.retain(|_, since| now < *since + LINGER);
    }

    /// Time at which the next abandoned connection stops counting.
    pub fn expires(&self) -> Option<Instant> {
        self.ending.values().map(|since| *since + LINGER).min()
    }

    /// Returns the connection if it exists.
    pub fn find(&self, generation: Generation) -> Option<&Conn> {
        self.conns.get(&generation)
    }

    /// Returns the connection if it exists.
    pub fn find_mut(&mut self, generation: Generation) -> Option<&mut Conn> {
        self.conns.get_mut(&generation)
    }

    /// Dispatches the next statement on a connection.
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

    /// Returns true if the statement is the one in flight on its connection.
    pub fn in_flight(&self, handle: Handle) -> bool {
        self.conns.get(&handle.generation).is_some_and(|conn| {
            conn.sequence == handle.sequence && matches!(conn.state, State::Busy { .. })
        })
    }

    /// Most recently used idle connection, so that the others can expire.
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

    /// Iterates over all connections.
    pub fn iter(&self) -> impl Iterator<Item = (Generation, &Conn)> {
        self.conns
            .iter()
            .map(|(&generation, conn)| (generation, conn))
    }

    /// Number of connections that count against the limit.
    pub fn counted(&self) -> usize {
        self.conns.len() + self.ending.len()
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Returns true if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Number of connections whose state passes a test.
    pub fn count(&self, test: impl Fn(&State) -> bool) -> usize {
        self.conns.values().filter(|conn| test(&conn.state)).count()
    }
}
