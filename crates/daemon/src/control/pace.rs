//! Number of candidates and probe interval by the size of the fleet.

use std::time::Duration;

use failover::{CANDIDATES, Timing};

/// Typical number of upstreams of a database.
const UPSTREAMS_PER_DATABASE: usize = 3;

/// Candidates of a database in a large fleet: the smallest number of which two
/// outvote one.
const LARGE_FLEET_CANDIDATES: usize = 3;

/// Bytes of a probe and its answer at all instances on the way (see
/// `docs/CAPACITY.md`): 280 each at the candidate, at the holder, and between
/// the holder and the upstream.
const PROBE_BYTES: usize = 840;

/// Bytes a second that an instance may send and receive for probes: the 9 KB/s
/// for control traffic, less the share of membership messages.
const BUDGET_BYTES_PER_S: usize = 7_700;

/// Largest fleet, in instances, that probes at the fastest interval.
const SMALL_FLEET: usize = 90;

/// Granularity of the probe interval in large fleets.
const INTERVAL_STEP: Duration = Duration::from_millis(100);

/// Number of candidates of a database in a fleet of `instances`.
pub(super) fn candidates(instances: usize) -> usize {
    if instances <= SMALL_FLEET {
        CANDIDATES
    } else {
        LARGE_FLEET_CANDIDATES
    }
}

/// Timing of failover for a catalogue of `databases` in a fleet of `instances`.
///
/// The traffic of probes grows with the number of databases for each instance.
/// Small fleets can afford the default interval; with three candidates, 4,000
/// instances with 6,600 databases would spend 249 KB/s each at that interval.
pub(super) fn timing(databases: usize, instances: usize) -> Timing {
    if instances <= SMALL_FLEET {
        return Timing::default();
    }
    let each =
        databases * LARGE_FLEET_CANDIDATES * UPSTREAMS_PER_DATABASE * PROBE_BYTES / instances;
    let micros = each as u64 * 1_000_000 / BUDGET_BYTES_PER_S as u64;
    let steps = u128::from(micros).div_ceil(INTERVAL_STEP.as_micros());
    Timing::with_probe_interval(INTERVAL_STEP * u32::try_from(steps.max(1)).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
