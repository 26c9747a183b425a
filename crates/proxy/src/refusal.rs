//! Counts of what an upstream refuses this instance, logged at intervals.

use std::{cell::Cell, time::Duration};

use clock::Instant;

use crate::member::Member;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// The kind of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A connection was refused: the upstream has reached its limit.
    Connection,
    /// A statement was refused: the upstream's queue is full.
    Statement,
}

/// A counter, and its value at the last log line.
#[derive(Debug, Default)]
struct Counter {
    total: Cell<u64>,
    reported: Cell<u64>,
}

impl Counter {
    fn add(&self) {
        self.total.set(self.total.get() + 1);
    }

    /// Returns the increase since the last call.
    fn take_increase(&self) -> u64 {
        let total = self.total.get();
        total - self.reported.replace(total)
    }
}

/// Counts of opened connections and of refusals at an upstream.
#[derive(Debug, Default)]
pub struct Counts {
    opened: Counter,
    connections: Counter,
    statements: Counter,
    reported: Cell<Instant>,
}

impl Counts {
    /// Counts an opened connection.
    pub fn opened(&self) {
        self.opened.add();
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_total(&self) -> u64 {
        self.opened.total.get()
    }

    /// Returns the number of statements since the start that the upstream refused for lack of
    /// capacity.
    pub fn shed_total(&self) -> u64 {
        self.statements.total.get()
    }
}

/// Counts a refusal by `member`, and logs the counts and the state of this instance's pool there.
pub fn record(member: &Member, refusal: Refusal, now: Instant) {
    let refusals = &member.refusals;
    let message = match refusal {
        Refusal::Connection => {
            refusals.connections.add();
            "upstream full"
        }
        Refusal::Statement => {
            refusals.statements.add();
            "upstream busy"
        }
    };
    if refusals.reported.get() + LOG_INTERVAL > now {
        return;
    }
    refusals.reported.set(now);
    let pool = &member.pool;
    log::info!(
        service = &*member.upstream.service, upstream = &*member.upstream.id,
        refused = refusals.connections.take_increase(), shed = refusals.statements.take_increase(),
        opened = refusals.opened.take_increase(),
        open = pool.open.get(), idle = pool.idle_count(), waiting = pool.waiting(),
        running = member.running.get(), starved = pool.is_locked_out(now);
        "{message}"
    );
}
