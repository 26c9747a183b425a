use std::time::Duration;

use failover::Timing;

use super::{candidates, timing};

#[test]
fn small_fleets_probe_at_the_default_interval() {
    assert_eq!(
        timing(3, 9).probe_interval,
        Timing::default().probe_interval
    );
    assert_eq!(candidates(9), failover::CANDIDATES);
}

/// Guards against probe traffic that ignores the size of the fleet: at the
/// default interval of 50 ms, 6,600 databases with three candidates and three
/// upstreams each took 249 KB/s on each instance.
#[test]
fn the_largest_fleet_probes_within_its_budget() {
    assert_eq!(
        timing(6_600, 4_000).probe_interval,
        Duration::from_millis(1_700)
    );
}

#[test]
fn a_large_fleet_with_few_databases_probes_often() {
    assert_eq!(timing(40, 4_000).probe_interval, Duration::from_millis(100));
}
