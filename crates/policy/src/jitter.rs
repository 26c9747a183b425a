//! Ordinary days: changes of primary that nothing called for.

use std::time::Duration;

use clock::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    net::exponential,
    site::Site,
    world::{Fault, Load, World},
};

/// The mean time between two stalls of one upstream.
const STALL_INTERVAL_S: f64 = 20.0;
/// The longest stall: a checkpoint or a neighbour on the host.
const MAX_STALL: Duration = Duration::from_millis(200);
/// The mean time between two pauses of one instance.
const PAUSE_INTERVAL_S: f64 = 30.0;
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// The mean time between two restarts of an instance.
const RESTART_INTERVAL_S: f64 = 600.0;
/// The mean time between two slow spells of the store.
const SLOW_STORE_INTERVAL_S: f64 = 300.0;

/// What an ordinary time showed.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Changes of primary.
    pub promotions: usize,
    /// Acknowledged writes that are gone.
    pub lost: usize,
    /// Promises broken.
    pub violations: usize,
    /// Calls to the store, over all instances, by the failover of one group.
    pub store_calls: u64,
    /// Requests that were done, and all requests.
    pub done: u64,
    /// Requests that were refused or ended unknown.
    pub failed: u64,
}

/// Runs `span` of ordinary time.
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
