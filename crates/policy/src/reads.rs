//! The share of reads that replicas serve.
//!
//! The real router and sessions run against replicas whose replay follows a
//! [`Lag`] trace. For each read it is also asked where a naive router and an
//! oracle would have sent it.

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

/// What is measured of one class of reads.
#[derive(Debug, Default)]
pub struct Class {
    /// All reads.
    pub reads: u64,
    /// Served by replicas.
    pub replica: u64,
    /// Served by replicas under the naive router.
    pub naive: u64,
    /// Served by replicas under the oracle.
    pub oracle: u64,
    /// Served by nobody in time.
    pub unserved: u64,
    took: Spans,
}

/// What the reads of one database showed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Calendar views, which may lag.
    pub calendar: Class,
    /// Reads of what the session wrote.
    pub own: Class,
    /// Answers that were discarded because they proved too old.
    pub discarded: u64,
    /// Promises broken.
    pub violations: usize,
}

/// What the reads of all databases showed, each share out of all reads.
#[derive(Debug, Clone, Serialize)]
pub struct Share {
    /// All reads of the class.
    pub reads: u64,
    /// Served by replicas.
    pub replica: f64,
    /// Served by replicas under the naive router.
    pub naive: f64,
    /// Served by replicas under an oracle that knows every position.
    pub oracle: f64,
    /// Served by nobody in time.
    pub unserved: u64,
    /// How long the reads took, without the way to the caller.
    pub took: Quantiles,
}

/// What the reads of all databases showed.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Calendar views, which may lag.
    pub calendar: Share,
    /// Reads of what the session wrote.
    pub own: Share,
    /// Answers that were discarded because they proved too old.
    pub discarded: u64,
    /// Promises broken, stale answers among them.
    pub violations: usize,
}

/// Runs one database's reads for `span`.
pub fn run(site: Site, span: Duration, seed: u64) -> Outcome {
    let mut simulation = Simulation::open(site, span, seed);
    simulation.run();
    simulation.outcome()
}

/// Runs the reads of all databases, `rounds` times each.
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
