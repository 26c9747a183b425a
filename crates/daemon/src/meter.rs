//! Metrics of each tenant's entries.
//!
//! The handles are created once for each entry and shared by its sessions, so a
//! statement costs a few additions and no formatting.

use std::{
    array,
    collections::HashMap,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clock::Instant;
use metrics::{Counter, Histogram, counter, histogram};
use model::{Cause, Outcome, name};

/// Maximum number of entries with metrics of their own; further entries share
/// those of [`OTHER`] until the instance restarts.
///
/// Entries come and go with the catalogue, but a registered metric stays for
/// the life of the process. Without a limit each change of the catalogue would
/// enlarge every scrape and the memory of the metrics store.
pub(crate) const MAX_ENTRIES: usize = 500;

/// Label of tenant and entry for entries that are counted together.
pub(crate) const OTHER: &str = "other";

/// Minimum interval between log lines about unknown outcomes of one entry.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of different outcomes: done, and for each cause not run or unknown.
const OUTCOMES: usize = 1 + 2 * CAUSES.len();

/// Causes and their labels.
const CAUSES: [(Cause, &str); 9] = [
    (Cause::Overload, "overload"),
    (Cause::Deadline, "deadline"),
    (Cause::NoUpstream, "no_upstream"),
    (Cause::ConnectionLost, "connection_lost"),
    (Cause::Replaced, "replaced"),
    (Cause::Stopping, "stopping"),
    (Cause::RetryBudget, "retry_budget"),
    (Cause::Catalogue, "catalogue"),
    (Cause::RingFull, "ring_full"),
];

/// Server of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Server {
    /// A replica, with the age of its data if known.
    Replica(Option<Duration>),
    /// The primary.
    Primary,
}

/// Metrics of one entry.
#[derive(Debug)]
pub(crate) struct Meter {
    tenant: String,
    entry: String,
    latency: Histogram,
    queue: Histogram,
    lag: Histogram,
    replica_reads: Counter,
    primary_reads: Counter,
    discarded: Counter,
    retries: Counter,
    /// Created on first use, because most outcomes never occur.
    outcomes: [OnceLock<Counter>; OUTCOMES],
    next_log_us: AtomicU64,
}

impl Meter {
    fn open(tenant: &str, entry: &str) -> Self {
        let (tenant, entry) = (tenant.to_owned(), entry.to_owned());
        let labels = [("tenant", tenant.clone()), ("entry", entry.clone())];
        let reads = |served: &'static str| {
            counter!(
                "dandelionlink_reads_total",
                "tenant" => tenant.clone(), "entry" => entry.clone(), "served" => served
            )
        };
        Self {
            latency: histogram!("dandelionlink_request_seconds", &labels),
            queue: histogram!("dandelionlink_queue_seconds", &labels),
            lag: histogram!("dandelionlink_replica_lag_seconds", &labels),
            replica_reads: reads("replica"),
            primary_reads: reads("primary"),
            discarded: counter!("dandelionlink_answers_discarded_total", &labels),
            retries: counter!("dandelionlink_retries_total", &labels),
            outcomes: array::from_fn(|_| OnceLock::new()),
            next_log_us: AtomicU64::new(0),
            tenant,
            entry,
        }
    }

    /// Counts a request that ended after `took`.
    pub(crate) fn note_ended(&self, outcome: Outcome, took: Duration) {
        self.latency.record(took.as_secs_f64());
        let counter = &self.outcomes[outcome_index(outcome)];
        counter
            .get_or_init(|| self.outcome_counter(outcome))
            .increment(1);
    }

    fn outcome_counter(&self, outcome: Outcome) -> Counter {
        let (outcome, cause) = match outcome {
            Outcome::Done => ("done", ""),
            Outcome::NotRun(cause) => ("not_run", label(cause)),
            Outcome::Unknown(cause) => ("unknown", label(cause)),
        };
        counter!(
            "dandelionlink_requests_total",
            "tenant" => self.tenant.clone(),
            "entry" => self.entry.clone(),
            "outcome" => outcome,
            "cause" => cause
        )
    }

    /// Records the time that a request waited for a connection.
    pub(crate) fn note_queued(&self, waited: Duration) {
        self.queue.record(waited.as_secs_f64());
    }

    /// Counts an answered read.
    pub(crate) fn note_read(&self, server: Server) {
        match server {
            Server::Replica(lag) => {
                self.replica_reads.increment(1);
                if let Some(lag) = lag {
                    self.lag.record(lag.as_secs_f64());
                }
            }
            Server::Primary => self.primary_reads.increment(1),
        }
    }

    /// Counts an answer that was discarded because its data was too old.
    pub(crate) fn note_discarded(&self) {
        self.discarded.increment(1);
    }

    /// Counts a retry.
    pub(crate) fn note_retried(&self) {
        self.retries.increment(1);
    }

    /// Returns true if an unknown outcome may be logged now. During an outage
    /// one line for each statement would bury all other lines.
    pub(crate) fn may_log(&self, now: Instant) -> bool {
        let next = now.as_micros() + LOG_INTERVAL.as_micros() as u64;
        let update = |due: u64| (due <= now.as_micros()).then_some(next);
        let order = Ordering::Relaxed;
        self.next_log_us.fetch_update(order, order, update).is_ok()
    }
}

/// Index of an outcome's counter.
fn outcome_index(outcome: Outcome) -> usize {
    let at = |cause| CAUSES.iter().position(|(it, _)| *it == cause).unwrap_or(0);
    match outcome {
        Outcome::Done => 0,
        Outcome::NotRun(cause) => 1 + at(cause),
        Outcome::Unknown(cause) => 1 + CAUSES.len() + at(cause),
    }
}

fn label(cause: Cause) -> &'static str {
    let found = CAUSES.iter().find(|(it, _)| *it == cause);
    found.map_or(OTHER, |(_, label)| label)
}

/// Metrics of all entries with requests on this instance, shared by the duties.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meters(Arc<Mutex<Entries>>);

#[derive(Debug, Default)]
struct Entries {
    entries: HashMap<(name::Tenant, name::Entry), Arc<Meter>>,
    other: Option<Arc<Meter>>,
}

impl Meters {
    /// Metrics of a catalogue entry.
    pub(crate) fn of(&self, tenant: &name::Tenant, entry: &name::Entry) -> Arc<Meter> {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (tenant.clone(), entry.clone());
        if let Some(meter) = known.entries.get(&key) {
            return Arc::clone(meter);
        }
        if known.entries.len() >= MAX_ENTRIES {
            let other = || Arc::new(Meter::open(OTHER, OTHER));
            return Arc::clone(known.other.get_or_insert_with(other));
        }
        let meter = Arc::new(Meter::open(tenant.as_str(), entry.as_str()));
        known.entries.insert(key, Arc::clone(&meter));
        meter
    }
}

#[cfg(test)]
mod tests;
