//! What an upstream refuses this instance, told in the log once in a while.

use std::{cell::Cell, time::Duration};

use clock::Instant;

use crate::member::Member;

/// How often it is told.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// What an upstream refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A connection: it has as many as it takes.
    Connection,
    /// A statement: as many wait there as may.
    Statement,
}

/// A count since the start, and how far it was when it was told.
#[derive(Debug, Default)]
struct Counter {
    total: Cell<u64>,
    reported: Cell<u64>,
}

impl Counter {
    fn add(&self) {
        self.total.set(self.total.get() + 1);
    }

    /// How many there were since the last time.
    fn take_increase(&self) -> u64 {
        let total = self.total.get();
        total - self.reported.replace(total)
    }
}

/// What was opened at an upstream, and what it refused.
#[derive(Debug, Default)]
pub struct Counts {
    opened: Counter,
    connections: Counter,
    statements: Counter,
    reported: Cell<Instant>,
}

impl Counts {
    /// Counts a connection that was opened.
    pub fn opened(&self) {
        self.opened.add();
    }

    /// How many connections were opened since the start.
    pub fn opened_total(&self) -> u64 {
        self.opened.total.get()
    }

    /// How many statements the upstream refused for want of room since the start.
    pub fn shed_total(&self) -> u64 {
        self.statements.total.get()
    }
}

/// Counts what `member` refused, and tells how this instance stands there.
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
