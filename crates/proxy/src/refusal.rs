//! Counts of what an upstream refuses this instance, and of what is refused before it, logged at
//! intervals.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write,
    time::Duration,
};

use admit::service::Priority;
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

/// Reason for which this instance refuses a request for an upstream; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// On its arrival, no answer could be expected before its deadline.
    Arrival,
    /// While it waited, an answer before its deadline could no longer be expected.
    Waiting,
    /// No connection was free in time.
    Connection,
}

impl Reason {
    fn label(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::Waiting => "waiting",
            Self::Connection => "connection",
        }
    }
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
    denied: RefCell<BTreeMap<(Reason, Priority), Counter>>,
    denied_reported: Cell<Instant>,
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

    /// Returns the number of requests since the start that this instance refused, by reason and
    /// priority.
    pub fn denied_totals(&self) -> Vec<(&'static str, Priority, u64)> {
        let denied = self.denied.borrow();
        let totals = denied.iter();
        totals
            .map(|((reason, priority), counter)| (reason.label(), *priority, counter.total.get()))
            .collect()
    }

    /// Returns the text of the refusals by reason and priority since the last call.
    fn take_denied(&self) -> String {
        let mut text = String::new();
        for ((reason, priority), counter) in self.denied.borrow().iter() {
            let increase = counter.take_increase();
            if increase > 0 {
                let _ = write!(text, "{}.{priority}={increase} ", reason.label());
            }
        }
        text.truncate(text.trim_end().len());
        text
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

/// Counts a request for `member` that this instance refuses, and logs the counts and the state of
/// the pool.
pub fn deny(
    member: &Member,
    reason: Reason,
    priority: Priority,
    retry_after: Duration,
    now: Instant,
) {
    let refusals = &member.refusals;
    let mut denied = refusals.denied.borrow_mut();
    denied.entry((reason, priority)).or_default().add();
    drop(denied);
    if refusals.denied_reported.get() + LOG_INTERVAL > now {
        return;
    }
    refusals.denied_reported.set(now);
    let pool = &member.pool;
    log::info!(
        service = &*member.upstream.service, upstream = &*member.upstream.id,
        refused = refusals.take_denied(), retry_after_ms = retry_after.as_millis() as u64,
        window = member.window(), open = pool.open.get(), idle = pool.idle_count(),
        waiting = pool.waiting(), running = member.running.get(),
        latency_ms = member.latency().as_millis() as u64;
        "requests refused"
    );
}
