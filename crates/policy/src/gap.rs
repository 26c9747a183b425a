//! The failover gap: from a failure to the first write acknowledged after it.

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

/// When the callers begin; by then the views of the upstreams have settled.
const LOAD_START: Instant = Instant::from_millis(1_500);
/// The earliest moment of the failure; it comes within 500 ms of it.
const EARLIEST_FAILURE_US: u64 = 2_000_000;
/// How long it goes on once what was broken is back.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// The last requests' deadline and what the answers travel.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// A kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The primary's process dies; its host refuses connections.
    Crash,
    /// The primary's host goes silent.
    Silence,
    /// The primary's zone is cut off, with callers and instances beside it.
    Cut,
    /// The primary stands still for four seconds and does not know it.
    Stall,
    /// It crashes while each call to the store takes 50 to 400 ms longer.
    StoreSlow,
    /// It crashes and the store's next two answers are lost.
    StoreLost,
    /// It crashes two seconds into an outage of the store of five.
    StoreDown,
    /// It crashes, and the promoter dies at one of its steps.
    PromoterDies,
    /// It goes silent, and the promoter dies at one of its steps.
    PromoterDiesSilence,
    /// The primary crashes, and the next one as soon as it leads.
    CrashTwice,
}

impl Kind {
    /// How long a trial goes on before what was broken comes back.
    fn time_to_heal(self) -> Duration {
        match self {
            Self::Stall | Self::StoreDown => Duration::from_secs(5),
            _ => Duration::from_secs(3),
        }
    }

    /// All of them.
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

/// What one trial showed.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// From the failure to the first acknowledged write that was asked after it.
    pub gap: Option<Duration>,
    /// The same in the zone that came last, the cut off one left out.
    pub everywhere: Option<Duration>,
    /// Where the gap went: detect, claim, fence, promote, spread.
    pub phases: Option<[Duration; 5]>,
    /// Acknowledged writes that are gone.
    pub lost: usize,
    /// Promises broken.
    pub violations: usize,
    /// Changes of primary.
    pub promotions: usize,
}

/// The names of a gap's phases.
pub const PHASES: [&str; 5] = ["detect", "claim", "fence", "promote", "spread"];

/// Runs one trial to its end and gives the world, for tests that look closer.
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

/// Crashes the second primary once it leads, and brings back the first, so
/// that a majority is left.
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

/// Runs one trial and measures it.
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

/// What the trials of some kinds showed together.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// To the first acknowledged write.
    pub gap: Quantiles,
    /// To the first acknowledged write in the last zone.
    pub everywhere: Quantiles,
    /// The phases of the gap.
    pub detect: Quantiles,
    /// From the claim's sending to its grant.
    pub claim: Quantiles,
    /// From there to the order to lead.
    pub fence: Quantiles,
    /// From there until the upstream leads.
    pub promote: Quantiles,
    /// From there to the first acknowledged write.
    pub spread: Quantiles,
    /// Trials in which no write was acknowledged after the failure.
    pub never: u64,
    /// Acknowledged writes that are gone.
    pub lost: usize,
    /// Promises broken.
    pub violations: usize,
}

/// Adds up trials.
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
