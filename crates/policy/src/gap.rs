//! Failover gap: the time from a failure to the first write acknowledged after
//! it.

use std::time::Duration;

use clock::Instant;
use model::{Role, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    site::Site,
    stat::{Quantiles, Spans},
    world::{Fault, Load, Milestones, Step, World},
};

/// Start of the callers' load; the upstream monitors have settled by then.
const LOAD_START: Instant = Instant::from_millis(1_500);
/// Earliest time of the failure; up to 500 ms are added at random.
const EARLIEST_FAILURE_US: u64 = 2_000_000;
/// Simulated time after all faults are healed.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Time for the last requests to reach their deadline and for their answers to
/// arrive.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The primary's process crashes; its host refuses connections.
    Crash,
    /// The primary's host stops answering.
    Silence,
    /// The primary's zone is partitioned off, together with the callers and
    /// instances in it.
    Cut,
    /// The primary stalls for four seconds without noticing.
    Stall,
    /// The primary crashes while each call to the store takes 50 to 400 ms
    /// longer.
    StoreSlow,
    /// The primary crashes and the store's next two answers are lost.
    StoreLost,
    /// The primary crashes two seconds into a store outage of five seconds.
    StoreDown,
    /// The primary crashes and the promoter dies at a random step.
    PromoterDies,
    /// The primary's host stops answering and the promoter dies at a random
    /// step.
    PromoterDiesSilence,
    /// The primary crashes, and its successor one second after promotion.
    CrashTwice,
}

impl Kind {
    /// Time from the failure until all faults are healed.
    fn time_to_heal(self) -> Duration {
        match self {
            Self::Stall | Self::StoreDown => Duration::from_secs(5),
            _ => Duration::from_secs(3),
        }
    }

    /// All kinds of failure.
    pub const ALL: [Self; 10] = [
        Self::Crash,
        Self::Silence,
        Self::Cut,
        Self::Stall,
        Self::StoreSlow,
        Self::StoreLost,
        Self::StoreDown,
        Self::PromoterDies,
        Self::PromoterDiesSilence,
        Self::CrashTwice,
    ];
}

/// Result of one trial.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// Time from the failure to the first acknowledgement of a write sent after
    /// it.
    pub gap: Option<Duration>,
    /// The gap of the zone served last, without a partitioned zone.
    pub everywhere: Option<Duration>,
    /// Durations of the phases of the gap, in the order of [`PHASES`].
    pub phases: Option<[Duration; 5]>,
    /// Acknowledged writes that were lost.
    pub lost: usize,
    /// Consistency violations found by the checkers.
    pub violations: usize,
    /// Number of promotions.
    pub promotions: usize,
}

/// Phases of the gap.
pub const PHASES: [&str; 5] = ["detect", "claim", "fence", "promote", "spread"];

/// Runs one trial to its end and returns the world with the time of the
/// failure.
pub fn simulate(site: Site, kind: Kind, seed: u64) -> (World, Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0005_eedf_a117);
    let mut world = World::open(site, seed);
    let load = Load {
        callers: 1,
        interval: Duration::from_millis(10),
        read_percent: 30,
        roam_percent: 10,
    };
    world.start_load(LOAD_START, load);
    let fail = Instant::from_micros(EARLIEST_FAILURE_US + rng.random_range(0..500_000));
    schedule_faults(&mut world, &mut rng, kind, fail);
    if kind == Kind::CrashTwice {
        crash_second_primary(&mut world, fail);
    }
    let heal = fail + kind.time_to_heal();
    world.run(heal);
    world.schedule(heal, Fault::Heal);
    world.schedule(heal, Fault::StoreUp);
    for server in 0..site.upstreams {
        world.schedule(heal, Fault::Restart(server));
    }
    world.run(heal + RECOVERY_TIME);
    world.stop_load();
    world.run(heal + RECOVERY_TIME + DRAIN_TIME);
    world.finish();
    (world, fail)
}

fn schedule_faults(world: &mut World, rng: &mut ChaCha8Rng, kind: Kind, fail: Instant) {
    match kind {
        Kind::Crash | Kind::CrashTwice => world.schedule(fail, Fault::Crash(0)),
        Kind::Silence => world.schedule(fail, Fault::Silence(0)),
        Kind::Cut => world.schedule(fail, Fault::Isolate(world.servers[0].zone)),
        Kind::Stall => world.schedule(fail, Fault::Stall(0, Duration::from_secs(4))),
        Kind::StoreSlow => {
            let extra = Duration::from_millis(rng.random_range(50..400));
            world.schedule(fail, Fault::StoreSlow(extra));
            world.schedule(fail, Fault::Crash(0));
        }
        Kind::StoreLost => {
            world.schedule(fail, Fault::LoseAnswers(2));
            world.schedule(fail, Fault::Crash(0));
        }
        Kind::StoreDown => {
            world.schedule(fail - Duration::from_secs(2), Fault::StoreDown);
            world.schedule(fail, Fault::Crash(0));
            world.schedule(fail + Duration::from_secs(3), Fault::StoreUp);
        }
        Kind::PromoterDies | Kind::PromoterDiesSilence => {
            let steps = [Step::Claim, Step::Fence, Step::Promote, Step::Record];
            let step = steps[rng.random_range(0..steps.len())];
            world.schedule(fail, Fault::KillOn(step));
            let fault = match kind {
                Kind::PromoterDies => Fault::Crash(0),
                _ => Fault::Silence(0),
            };
            world.schedule(fail, fault);
        }
    }
}

/// Crashes the second primary after its promotion and restarts the first one,
/// so that a majority stays available.
fn crash_second_primary(world: &mut World, fail: Instant) {
    let mut at = fail;
    while at < fail + Duration::from_secs(2) {
        at = at + Duration::from_millis(1);
        world.run(at);
        let leads = |u: &usize| world.servers[*u].role() == Role::Primary;
        if let Some(second) = (1..world.servers.len()).find(leads) {
            world.schedule(at, Fault::Restart(0));
            let after = at + Duration::from_secs(1);
            world.schedule(after, Fault::Crash(second));
            world.run(after);
            return;
        }
    }
}

/// Runs one trial and returns its result.
pub fn trial(site: Site, kind: Kind, seed: u64) -> Trial {
    let (world, fail) = simulate(site, kind, seed);
    let cut = (kind == Kind::Cut).then(|| world.servers[0].zone);
    let acknowledgements = world.acknowledgements().iter();
    let after: Vec<_> = acknowledgements
        .filter(|l| l.asked >= fail && l.term > Term(1))
        .collect();
    let first = after.iter().min_by_key(|l| l.at);
    let zones = (0..site.zones).filter(|&zone| Some(zone) != cut);
    let firsts = zones.map(|zone| after.iter().filter(|l| l.zone == zone).map(|l| l.at).min());
    let firsts: Option<Vec<Instant>> = firsts.collect();
    let last = firsts.and_then(|firsts| firsts.into_iter().max());
    let milestones = first.and_then(|l| world.milestones.get(&l.term));
    Trial {
        gap: first.map(|l| l.at.since(fail)),
        everywhere: last.map(|at| at.since(fail)),
        phases: first
            .zip(milestones)
            .and_then(|(l, milestones)| phases(fail, milestones, l.at)),
        lost: world.suite.lost(),
        violations: world.suite.violations().len(),
        promotions: world
            .milestones
            .values()
            .filter(|m| m.promoted.is_some())
            .count(),
    }
}

fn phases(
    fail: Instant,
    milestones: &Milestones,
    acknowledged_at: Instant,
) -> Option<[Duration; 5]> {
    let moments = [
        fail,
        milestones.claim_sent?,
        milestones.claimed?,
        milestones.ordered?,
        milestones.promoted?,
        acknowledged_at,
    ];
    let mut spans = [Duration::ZERO; 5];
    for (span, pair) in spans.iter_mut().zip(moments.windows(2)) {
        *span = pair[1].since(pair[0]);
    }
    Some(spans)
}

/// Aggregated results of trials.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Time to the first acknowledged write.
    pub gap: Quantiles,
    /// Time to the first acknowledged write in the zone served last.
    pub everywhere: Quantiles,
    /// From the failure to the sending of the claim.
    pub detect: Quantiles,
    /// From the sending of the claim to its grant.
    pub claim: Quantiles,
    /// From the grant to the promotion order.
    pub fence: Quantiles,
    /// From the promotion order until the upstream is primary.
    pub promote: Quantiles,
    /// From the promotion to the first acknowledged write.
    pub spread: Quantiles,
    /// Trials in which no write was acknowledged after the failure.
    pub never: u64,
    /// Acknowledged writes that were lost.
    pub lost: usize,
    /// Consistency violations found by the checkers.
    pub violations: usize,
}

/// Aggregates trials.
pub fn summary<'a>(trials: impl Iterator<Item = &'a Trial>) -> Summary {
    let mut gap = Spans::default();
    let mut everywhere = Spans::default();
    let mut phases: [Spans; 5] = Default::default();
    let (mut never, mut lost, mut violations) = (0, 0, 0);
    for trial in trials {
        lost += trial.lost;
        violations += trial.violations;
        let (Some(first), Some(last)) = (trial.gap, trial.everywhere) else {
            never += 1;
            continue;
        };
        gap.add(first);
        everywhere.add(last);
        for (spans, span) in phases.iter_mut().zip(trial.phases.unwrap_or_default()) {
            spans.add(span);
        }
    }
    let [detect, claim, fence, promote, spread] = phases.map(|spans| spans.quantiles());
    Summary {
        gap: gap.quantiles(),
        everywhere: everywhere.quantiles(),
        detect,
        claim,
        fence,
        promote,
        spread,
        never,
        lost,
        violations,
    }
}
