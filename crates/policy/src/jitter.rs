//! Ordinary jitter (stalls, pauses, restarts) that must not cause a failover.

use std::time::Duration;

use clock::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    net::exponential,
    site::Site,
    world::{Fault, Load, World},
};

/// Mean time between two stalls of an upstream.
const STALL_INTERVAL_S: f64 = 20.0;
/// Longest stall, as caused by a checkpoint or a noisy neighbour on the host.
const MAX_STALL: Duration = Duration::from_millis(200);
/// Mean time between two pauses of an instance.
const PAUSE_INTERVAL_S: f64 = 30.0;
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Mean time between two restarts of an instance.
const RESTART_INTERVAL_S: f64 = 600.0;
/// Mean time between two slow periods of the store.
const SLOW_STORE_INTERVAL_S: f64 = 300.0;

/// Result of a period of ordinary jitter.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Number of promotions.
    pub promotions: usize,
    /// Acknowledged writes that were lost.
    pub lost: usize,
    /// Consistency violations found by the checkers.
    pub violations: usize,
    /// Calls to the store by the failover of one group, over all instances.
    pub store_calls: u64,
    /// Requests that were done.
    pub done: u64,
    /// Requests that were refused or whose outcome is unknown.
    pub failed: u64,
}

/// Simulates `span` of ordinary jitter.
pub fn run(site: Site, span: Duration, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0071_7e12);
    let mut world = World::open(site, seed);
    let load = Load {
        callers: 1,
        interval: Duration::from_millis(500),
        read_percent: 50,
        roam_percent: 10,
    };
    world.start_load(Instant::from_millis(1_000), load);
    let end = Instant::from_millis(1_000) + span;
    for server in 0..site.upstreams {
        schedule_repeatedly(&mut rng, STALL_INTERVAL_S, end, |rng, at| {
            let stall = MAX_STALL.mul_f64(rng.random());
            world.schedule(at, Fault::Stall(server, stall));
        });
    }
    for instance in 0..site.instances {
        schedule_repeatedly(&mut rng, PAUSE_INTERVAL_S, end, |rng, at| {
            let pause = MAX_PAUSE.mul_f64(rng.random());
            world.schedule(at, Fault::Pause(instance, pause));
        });
        schedule_repeatedly(&mut rng, RESTART_INTERVAL_S, end, |_, at| {
            world.schedule(at, Fault::Kill(instance))
        });
    }
    schedule_repeatedly(&mut rng, SLOW_STORE_INTERVAL_S, end, |rng, at| {
        let extra = Duration::from_millis(rng.random_range(10..200));
        world.schedule(at, Fault::StoreSlow(extra));
        world.schedule(at + Duration::from_secs(5), Fault::StoreUp);
    });
    world.run(end);
    world.stop_load();
    world.run(end + Duration::from_secs(2));
    world.finish();
    let tally = world.tally();
    Outcome {
        promotions: world
            .milestones
            .values()
            .filter(|m| m.promoted.is_some())
            .count(),
        lost: world.suite.lost(),
        violations: world.suite.violations().len(),
        store_calls: world.store.calls,
        done: tally.done,
        failed: tally.not_run + tally.unknown,
    }
}

fn schedule_repeatedly(
    rng: &mut ChaCha8Rng,
    mean: f64,
    end: Instant,
    mut schedule: impl FnMut(&mut ChaCha8Rng, Instant),
) {
    let mut at = Instant::from_millis(1_500);
    loop {
        at = at + Duration::from_secs_f64(exponential(rng, mean));
        if at >= end {
            return;
        }
        schedule(rng, at);
    }
}
