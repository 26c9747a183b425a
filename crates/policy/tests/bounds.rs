//! Regression bounds on the simulations' results, which are deterministic for a
//! seed.
//!
//! The runs are small enough to end in seconds without optimisation; `cargo run
//! --release --bin policy` does a full run. The bounds allow for different
//! random draws but not for a change of policy.

use std::time::Duration;

use policy::{
    gap::{self, Kind, Summary},
    jitter, load, reads,
    site::{SITES, STALGENOOT, Site, UMURAGE},
    stat::parallel,
};

const TRIALS: u64 = 3;
const SEED: u64 = 1;

fn summary(site: Site, kind: Kind) -> Summary {
    let trials = parallel(TRIALS, |n| gap::trial(site, kind, SEED + n));
    gap::summary(trials.iter())
}

/// Asserts that no trial loses a write, violates consistency or stays without a
/// primary, and that the longest gap is within the bound.
fn assert_gap(site: Site, kind: Kind, longest_ms: f64) {
    let found = summary(site, kind);
    let broken = (found.lost, found.violations, found.never);
    assert_eq!(broken, (0, 0, 0), "{} {kind:?}", site.name);
    let max = found.gap.max_ms;
    assert!(max < longest_ms, "{} {kind:?}: {max} ms", site.name);
}

#[test]
fn gap_after_a_crash() {
    assert_gap(STALGENOOT, Kind::Crash, 250.0);
    assert_gap(UMURAGE, Kind::Crash, 250.0);
    assert_gap(UMURAGE, Kind::Silence, 500.0);
}

#[test]
fn gap_when_cut_off() {
    assert_gap(STALGENOOT, Kind::Cut, 600.0);
    assert_gap(UMURAGE, Kind::Cut, 600.0);
}

#[test]
fn gap_with_a_bad_store() {
    assert_gap(UMURAGE, Kind::StoreSlow, 1_000.0);
    assert_gap(UMURAGE, Kind::StoreLost, 500.0);
    // The store recovers after three seconds; no promotion may happen before.
    assert_gap(UMURAGE, Kind::StoreDown, 3_600.0);
}

#[test]
fn gap_with_a_second_failure() {
    assert_gap(UMURAGE, Kind::PromoterDies, 1_100.0);
    assert_gap(UMURAGE, Kind::CrashTwice, 400.0);
}

#[test]
fn jitter_causes_no_promotion() {
    for site in SITES {
        let outcome = jitter::run(site, Duration::from_secs(30), SEED);
        let broken = (outcome.promotions, outcome.lost, outcome.violations);
        assert_eq!(broken, (0, 0, 0), "{}", site.name);
    }
}

#[test]
fn replicas_serve_nearly_what_an_oracle_would() {
    for site in SITES {
        let found = reads::measure(site, Duration::from_secs(10), 1, SEED);
        assert_eq!(found.violations, 0);
        assert_eq!(found.calendar.unserved + found.own.unserved, 0);
        assert!(
            found.calendar.replica >= 0.99 * found.calendar.oracle,
            "{found:?}"
        );
        assert!(
            found.calendar.replica > found.calendar.naive + 0.1,
            "{found:?}"
        );
        assert!(found.own.replica >= 0.98 * found.own.oracle, "{found:?}");
    }
}

#[test]
fn overload_keeps_goodput_and_deadlines() {
    for site in SITES {
        let found = load::measure(site, Duration::from_secs(1), SEED);
        assert_eq!(found.violations, 0);
        assert!(found.goodput_5x >= 0.95, "{found:?}");
        assert!(found.high_deadline_met_5x >= 0.99, "{found:?}");
        assert!(
            found.naive_goodput_5x < 0.5,
            "the baseline keeps its goodput"
        );
    }
}
