//! Runs the simulations and prints their results as tables.

use std::time::Duration;

use route::Policy;

use crate::{
    setup::{Discovery, Knowledge, Setup, Tally, Verification},
    trace::Lag,
    world::run,
};

/// Lag traces of the two replicas, with their labels.
pub(crate) const TRACES: [(&str, [Lag; 2]); 6] = [
    ("steady, steady", [Lag::Steady, Lag::Steady]),
    ("steady, stalls", [Lag::Steady, Lag::Stalls]),
    ("stalls, stalls", [Lag::Stalls, Lag::Stalls]),
    ("sawtooth, far", [Lag::Sawtooth, Lag::Far]),
    ("edge, far", [Lag::Edge, Lag::Far]),
    ("edge, edge", [Lag::Edge, Lag::Edge]),
];

const POLICIES: [Policy; 4] = [
    Policy::Routed,
    Policy::Naive,
    Policy::AllPrimary,
    Policy::Oracle,
];

fn print_line(label: &str, tally: &Tally) {
    println!(
        "{label:<34} {:>8.4} {:>8.4} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8.1} {:>8.1}",
        tally.share(),
        tally.own_share(),
        tally.stale,
        tally.backward,
        tally.discarded,
        tally.refused,
        tally.rounds,
        tally.probes,
        tally.quantile(50).as_secs_f64() * 1e3,
        tally.quantile(99).as_secs_f64() * 1e3,
    );
}

fn print_head(title: &str) {
    println!("\n{title}");
    println!(
        "{:<34} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>8}",
        "",
        "calendar",
        "own",
        "stale",
        "backw",
        "disc",
        "refus",
        "rounds",
        "probes",
        "p50 ms",
        "p99 ms"
    );
}

/// Compares the policies on each pair of traces.
pub(crate) fn policies(seed: u64) {
    print_head("replica share by policy and lag of the two replicas");
    for (label, lags) in TRACES {
        for policy in POLICIES {
            let tally = run(&Setup {
                seed,
                policy,
                lags,
                ..Setup::default()
            });
            print_line(&format!("{label}: {policy:?}"), &tally);
        }
        let knowledge = Knowledge::Sessions;
        let policy = Policy::Oracle;
        let tally = run(&Setup {
            seed,
            policy,
            lags,
            knowledge,
            ..Setup::default()
        });
        print_line(&format!("{label}: Oracle of sessions"), &tally);
    }
}

/// Varies the interval of the background probes.
pub(crate) fn probes(seed: u64) {
    print_head("period of the background probes");
    for millis in [50, 100, 250, 500, 1_000] {
        let probe = Duration::from_millis(millis);
        let tally = run(&Setup {
            seed,
            probe,
            ..Setup::default()
        });
        print_line(&format!("steady, stalls: every {millis} ms"), &tally);
    }
}

/// Varies the longest wait of a read for a replica.
pub(crate) fn replica_waits(seed: u64) {
    print_head("longest wait for a replica before going to the primary");
    for (label, lags) in TRACES {
        for millis in [0, 10, 30, 100, 300] {
            let max_replica_wait = Duration::from_millis(millis);
            let tally = run(&Setup {
                seed,
                lags,
                max_replica_wait,
                ..Setup::default()
            });
            print_line(&format!("{label}: {millis} ms"), &tally);
        }
    }
}

/// Compares shared rounds with reads on the primary, for sessions without a token.
pub(crate) fn callers(seed: u64) {
    print_head("share of sessions without a token");
    for fresh in [0, 50, 100] {
        for discovery in [Discovery::Shared, Discovery::Primary] {
            let tally = run(&Setup {
                seed,
                fresh,
                discovery,
                ..Setup::default()
            });
            print_line(&format!("{fresh} of 100 fresh: {discovery:?}"), &tally);
        }
    }
}

/// Counts stale answers of routing without verification.
pub(crate) fn unverified(seed: u64) {
    print_head("without verification of answers");
    for (label, lags) in TRACES {
        let tally = run(&Setup {
            seed,
            lags,
            verification: Verification::Disabled,
            ..Setup::default()
        });
        print_line(label, &tally);
    }
}
