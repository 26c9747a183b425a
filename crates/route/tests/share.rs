//! Bounds on the replica share, on exact seeded counts in virtual time.

#[path = "../examples/share/setup.rs"]
#[allow(dead_code)]
mod setup;
#[path = "../examples/share/trace.rs"]
#[allow(dead_code)]
mod trace;
#[path = "../examples/share/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use route::Policy;
use setup::{Judge, Setup, Tally};
use trace::Lag;
use world::run;

fn tally(policy: Policy, lags: [Lag; 2], judge: Judge) -> Tally {
    run(&Setup {
        policy,
        lags,
        judge,
        length: Duration::from_secs(12),
        ..Setup::default()
    })
}

#[test]
fn calendar_reads_reach_the_oracles_share_without_a_stale_answer() {
    let traces = [
        [Lag::Steady, Lag::Steady],
        [Lag::Steady, Lag::Stalls],
        [Lag::Stalls, Lag::Stalls],
        [Lag::Sawtooth, Lag::Far],
    ];
    for lags in traces {
        let routed = tally(Policy::Routed, lags, Judge::Every);
        let oracle = tally(Policy::Oracle, lags, Judge::Every);
        assert!(routed.calendar > 1_000);
        assert_eq!((routed.stale, routed.backward), (0, 0), "{lags:?}");
        let share = routed.share() / oracle.share();
        assert!(share >= 0.99, "{lags:?}: {share}");
    }
}

/// Symptom: sessions miss their own writes. Cause: the broken variant gives
/// answers out on what replicas were expected to have reached.
#[test]
fn routing_without_judging_answers_serves_stale_ones() {
    let broken = tally(Policy::Routed, [Lag::Sawtooth, Lag::Far], Judge::Rumour);
    assert!(broken.stale > 0);
}
