//! How often the upstreams of a database are probed.

use std::time::Duration;

use failover::{CANDIDATES, Timing};

/// The upstreams of a usual database.
const UPSTREAMS_PER_DATABASE: usize = 3;

/// The candidates of a database in a large fleet: enough to outvote one.
const LARGE_FLEET_CANDIDATES: usize = 3;

/// The bytes of a probe and its answer, at all instances that they pass: 280
/// at the candidate, at the holder, and from there to the upstream and back,
/// as `docs/CAPACITY.md` reckons them.
const PROBE_BYTES: usize = 840;

/// What an instance may send and receive for probes, in bytes a second: the
/// 9 KB/s for control, less what the fleet's own messages take.
const BUDGET_BYTES_PER_S: usize = 7_700;

/// The fleets up to which probes are as often as failover is fastest with.
const SMALL_FLEET: usize = 90;

/// The probes of large fleets are a whole multiple of this apart.
const INTERVAL_STEP: Duration = Duration::from_millis(100);

/// How many candidates a database has in a fleet of `instances`.
pub(super) fn candidates(instances: usize) -> usize {
    if instances <= SMALL_FLEET {
        CANDIDATES
    } else {
        LARGE_FLEET_CANDIDATES
    }
}

/// The waits of the failover machines for a catalogue of `databases` in a
/// fleet of `instances`.
///
/// Probes cost as many bytes as there are databases for each instance. Today's
/// fleets can afford the default; at its pace 4,000 instances before 6,600
/// databases would spend 249 KB/s each, with three candidates.
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
