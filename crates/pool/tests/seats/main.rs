//! At most one holder uses a seat, whatever fails.
//!
//! Seeded interleavings of expired leases, store outages, lost answers, pauses
//! past the lease, holders cut off from the store, false reports of death,
//! deaths and restarts. `DANDELIONLINK_HUNT=n` runs n more seeds.

mod fakes;
mod world;

use fakes::{LIMIT, Violation};
use world::{Report, Variant, run};

const SECONDS: u64 = 120;
const SEEDS: u64 = 12;

fn reports(variant: Variant) -> Vec<Report> {
    let more = std::env::var("DANDELIONLINK_HUNT").ok();
    let more: u64 = more.and_then(|it| it.parse().ok()).unwrap_or(0);
    (0..SEEDS + more)
        .map(|seed| run(variant, SECONDS, seed))
        .collect()
}

/// Number of runs of a broken variant in which two holders were detected.
fn runs_with_two_holders(variant: Variant) -> usize {
    let two = |it: &Violation| matches!(it, Violation::Two { .. });
    let reports = reports(variant);
    let count = reports
        .iter()
        .filter(|it| it.upstream.violations.iter().any(two));
    let count = count.count();
    println!(
        "{variant:?}: two holders in {count} of {} runs",
        reports.len()
    );
    count
}

/// Statements of two holders must never reach an upstream through one seat, and
/// the connections in use must not exceed their limit.
#[test]
fn one_holder_at_a_time_within_its_share() {
    let mut refused = 0;
    for (seed, report) in reports(Variant::Real).iter().enumerate() {
        let upstream = &report.upstream;
        assert_eq!(upstream.violations, [], "seed {seed}");
        assert!(upstream.most <= LIMIT, "seed {seed}");
        // The faults caused changes of holders, and the seats work afterwards.
        assert!(upstream.changes > 4, "seed {seed}: {}", upstream.changes);
        assert!(upstream.statements.iter().all(|&it| it > 1_000));
        assert!(
            report.quiet_statements.iter().all(|&it| it > 1_000),
            "seed {seed}"
        );
        refused += upstream.refused;
    }
    println!("connections that the upstream had to refuse: {refused}");
}

/// The check must detect a new holder that starts while connections of its
/// predecessor are open.
#[test]
fn check_finds_a_missing_fence() {
    assert!(runs_with_two_holders(Variant::NoFence) > 0);
}

/// The check must detect a login that was in progress during a fence and was
/// used without reading the other holders' epochs.
#[test]
fn check_finds_a_missing_connection_check() {
    assert!(runs_with_two_holders(Variant::NoCheck) > 0);
}

/// The check must detect a holder that resumes after a pause longer than its
/// lease and continues without checking the time.
#[test]
fn check_finds_use_after_a_pause() {
    assert!(runs_with_two_holders(Variant::IgnoresPauses) > 0);
}
