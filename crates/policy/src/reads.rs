//! Share of the reads that replicas serve.
//!
//! The real router and sessions run against replicas whose replay follows a
//! [`Lag`](crate::lag::Lag) trace. Each read is also evaluated for a naive router and for an
//! oracle.

mod baseline;
mod bench;
mod serve;

use std::time::Duration;

use serde::Serialize;

use crate::{
    site::Site,
    stat::{Quantiles, Spans, parallel},
};

use bench::Simulation;

/// Counts of one class of reads.
#[derive(Debug, Default)]
pub struct Class {
    /// All reads.
    pub reads: u64,
    /// Reads served by replicas.
    pub replica: u64,
    /// Reads that a naive router would send to replicas.
    pub naive: u64,
    /// Reads that an oracle would send to replicas.
    pub oracle: u64,
    /// Reads not served before their deadline.
    pub unserved: u64,
    took: Spans,
}

/// Result of the reads of one database.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Calendar views, which may be stale within a bound.
    pub calendar: Class,
    /// Reads of the session's own writes.
    pub own: Class,
    /// Answers discarded because they turned out too old.
    pub discarded: u64,
    /// Consistency violations found by the checkers.
    pub violations: usize,
}

/// Result of one class of reads over all databases; shares are relative to all
/// reads.
#[derive(Debug, Clone, Serialize)]
pub struct Share {
    /// All reads of the class.
    pub reads: u64,
    /// Share served by replicas.
    pub replica: f64,
    /// Share that a naive router would send to replicas.
    pub naive: f64,
    /// Share that an oracle, which knows every position, would send to
    /// replicas.
    pub oracle: f64,
    /// Number of reads not served before their deadline.
    pub unserved: u64,
    /// Duration of the reads, without the latency to the caller.
    pub took: Quantiles,
}

/// Result of the reads of all databases.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Calendar views, which may be stale within a bound.
    pub calendar: Share,
    /// Reads of the session's own writes.
    pub own: Share,
    /// Answers discarded because they turned out too old.
    pub discarded: u64,
    /// Consistency violations found by the checkers, including stale answers.
    pub violations: usize,
}

/// Simulates the reads of one database for `span`.
pub fn run(site: Site, span: Duration, seed: u64) -> Outcome {
    let mut simulation = Simulation::open(site, span, seed);
    simulation.run();
    simulation.outcome()
}

/// Simulates the reads of all databases, `rounds` times each.
pub fn measure(site: Site, span: Duration, rounds: u64, seed: u64) -> Summary {
    let count = site.databases as u64 * rounds;
    let seeds = |n: u64| seed.wrapping_mul(1_000).wrapping_add(n);
    let outcomes = parallel(count, |n| run(site, span, seeds(n)));
    Summary {
        calendar: share(outcomes.iter().map(|o| &o.calendar)),
        own: share(outcomes.iter().map(|o| &o.own)),
        discarded: outcomes.iter().map(|o| o.discarded).sum(),
        violations: outcomes.iter().map(|o| o.violations).sum(),
    }
}

fn share<'a>(classes: impl Iterator<Item = &'a Class> + Clone) -> Share {
    let sum = |count: fn(&Class) -> u64| classes.clone().map(count).sum::<u64>();
    let reads = sum(|c| c.reads);
    let part = |count: u64| count as f64 / reads.max(1) as f64;
    let mut took = Spans::default();
    for class in classes.clone() {
        took.merge(&class.took);
    }
    Share {
        reads,
        replica: part(sum(|c| c.replica)),
        naive: part(sum(|c| c.naive)),
        oracle: part(sum(|c| c.oracle)),
        unserved: sum(|c| c.unserved),
        took: took.quantiles(),
    }
}
