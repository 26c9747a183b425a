//! Bounds on the replica share, by seeded simulations in virtual time.

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
use setup::{Setup, Tally, Verification};
use trace::Lag;
use world::run;

fn tally(policy: Policy, lags: [Lag; 2], verification: Verification) -> Tally {
    run(&Setup {
        policy,
        lags,
        verification,
        length: Duration::from_secs(12),
        ..Setup::default()
    })
}

#[test]
fn calendar_reads_reach_the_share_of_the_oracle_without_a_stale_answer() {
    let traces = [
        [Lag::Steady, Lag::Steady],
        [Lag::Steady, Lag::Stalls],
        [Lag::Stalls, Lag::Stalls],
        [Lag::Sawtooth, Lag::Far],
    ];
    for lags in traces {
        let routed = tally(Policy::Routed, lags, Verification::Enabled);
        let oracle = tally(Policy::Oracle, lags, Verification::Enabled);
        assert!(routed.calendar > 1_000);
        assert_eq!((routed.stale, routed.backward), (0, 0), "{lags:?}");
        let share = routed.share() / oracle.share();
        assert!(share >= 0.99, "{lags:?}: {share}");
    }
}

/// Checks that the simulation detects stale answers: without verification, answers are
/// returned by the position that a replica was expected to have reached.
#[test]
fn routing_without_verification_serves_stale_answers() {
    let broken = tally(
        Policy::Routed,
        [Lag::Sawtooth, Lag::Far],
        Verification::Disabled,
    );
    assert!(broken.stale > 0);
}
