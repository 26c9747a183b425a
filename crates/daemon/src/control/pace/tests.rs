use std::time::Duration;

use failover::Timing;

use super::{candidates, timing};

#[test]
fn todays_fleets_probe_as_often_as_failover_is_fastest_with() {
    assert_eq!(
        timing(3, 9).probe_interval,
        Timing::default().probe_interval
    );
    assert_eq!(candidates(9), failover::CANDIDATES);
}

/// Symptom: control takes 249 KB/s on each instance of the target's fleet.
/// Events: 6,600 databases, three candidates each, three upstreams, 50 ms.
/// Cause: a pace that does not look at the size of the fleet.
#[test]
fn the_targets_fleet_probes_within_its_budget() {
    assert_eq!(
        timing(6_600, 4_000).probe_interval,
        Duration::from_millis(1_700)
    );
}

#[test]
fn a_large_fleet_with_few_databases_probes_often() {
    assert_eq!(timing(40, 4_000).probe_interval, Duration::from_millis(100));
}
