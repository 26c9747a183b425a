//! Tests of single failures and of pairs of failures that occur together.

use std::time::Duration;

use clock::Instant;
use model::{Role, Term};
use policy::{
    gap::{self, Kind},
    site::{STALGENOOT, Site, UMURAGE},
    world::{Fault, Load, Step, World},
};

const LOAD: Load = Load {
    callers: 1,
    interval: Duration::from_millis(10),
    read_percent: 40,
    roam_percent: 20,
};

const FAULT_TIME: Instant = Instant::from_millis(2_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Load dense enough that requests are always in flight when an instance dies.
const DENSE: Load = Load {
    callers: 10,
    ..LOAD
};

/// Opens a world under load with the given faults, in milliseconds after
/// [`FAULT_TIME`].
fn world(site: Site, seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::open(site, seed);
    world.start_load(Instant::from_millis(1_000), LOAD);
    for &(after, fault) in faults {
        world.schedule(FAULT_TIME + ms(after), fault);
    }
    world
}

/// Heals all faults `after` milliseconds past [`FAULT_TIME`], keeps the load
/// up, and asserts that service is back, consistency holds and no write is
/// lost.
fn assert_recovers(world: &mut World, after: u64) {
    let heal = FAULT_TIME + ms(after);
    world.run(heal);
    for fault in [Fault::Heal, Fault::StoreUp] {
        world.schedule(heal, fault);
    }
    for server in 0..world.servers.len() {
        world.schedule(heal, Fault::Restart(server));
    }
    let end = heal + ms(2_500);
    world.run(end);
    world.stop_load();
    world.run(end + ms(1_500));
    world.finish();
    assert_eq!(world.suite.violations(), []);
    let late = world
        .acknowledgements()
        .iter()
        .filter(|l| l.asked > end - ms(500));
    assert!(late.count() > 20, "service is not back");
}

/// Returns the time from the fault to the first acknowledgement, in a term
/// after `term`, of a write sent after the fault.
fn gap(world: &World, term: u64) -> Option<Duration> {
    let after = world
        .acknowledgements()
        .iter()
        .filter(|l| l.asked >= FAULT_TIME);
    let after = after.filter(|l| l.term > Term(term));
    after.map(|l| l.at.since(FAULT_TIME)).min()
}

/// Guards against split brain: the primary's zone is partitioned off with
/// callers and instances in it, and the old primary goes on running their
/// writes. Its word alone must not acknowledge them.
#[test]
fn primary_cut_off() {
    let mut world = world(UMURAGE, 1, &[(0, Fault::Isolate(0))]);
    world.run(FAULT_TIME + ms(2_000));
    assert!(gap(&world, 1).unwrap() < ms(2_000));
    let former = &world.servers[0];
    assert_eq!(
        (former.role(), former.position().term),
        (Role::Primary, Term(1))
    );
    let in_zone = world.acknowledgements().iter().filter(|l| l.zone == 0);
    assert!(in_zone.filter(|l| l.at > FAULT_TIME + ms(20)).count() == 0);
    assert_recovers(&mut world, 2_500);
    assert_eq!(world.servers[0].role(), Role::Replica);
}

/// Guards against promoting whichever replica answers first: one replica lags
/// far behind when the primary's host goes silent.
#[test]
fn replica_far_behind() {
    let mut world = world(STALGENOOT, 2, &[(0, Fault::Silence(0))]);
    world.schedule(FAULT_TIME - ms(700), Fault::Stall(2, ms(650)));
    assert_recovers(&mut world, 2_000);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Guards against lost or doubled writes: instances die with requests in flight
/// and callers repeat those with an unknown outcome at other instances.
#[test]
fn instance_dies_amid_requests() {
    let kills = [
        (0, Fault::Kill(0)),
        (0, Fault::Kill(4)),
        (300, Fault::Kill(1)),
    ];
    let mut world = world(UMURAGE, 3, &kills);
    world.start_load(Instant::from_millis(1_000), DENSE);
    assert_recovers(&mut world, 1_000);
    assert_eq!(world.leader(), Some(0));
    assert!(world.tally().unknown > 0);
}

/// Guards against writes that stop because of the store alone: the store is
/// down for ten seconds while every upstream runs. The known primary must stay
/// valid.
#[test]
fn store_down() {
    let mut world = world(STALGENOOT, 4, &[(0, Fault::StoreDown)]);
    world.run(FAULT_TIME + ms(10_000));
    assert_eq!(world.tally().not_run, 0);
    assert_eq!(world.tally().unknown, 0);
    assert_recovers(&mut world, 10_000);
}

/// Guards against two primaries, or none: the primary crashes while each call
/// to the store takes half a second longer, far beyond the call's timeout, so
/// that an abandoned swap may still take effect.
#[test]
fn store_slow_and_crash() {
    let slow = Fault::StoreSlow(ms(500));
    let mut world = world(UMURAGE, 5, &[(0, slow), (0, Fault::Crash(0))]);
    assert_recovers(&mut world, 4_000);
    assert!(gap(&world, 1).unwrap() < ms(3_000));
}

/// Guards against a claimant that gives up for good: the primary crashes while
/// the store is down, and the store is back three seconds later.
#[test]
fn store_down_and_crash() {
    let faults = [
        (0, Fault::StoreDown),
        (100, Fault::Crash(0)),
        (3_000, Fault::StoreUp),
    ];
    let mut world = world(UMURAGE, 6, &faults);
    assert_recovers(&mut world, 5_000);
    assert!(gap(&world, 1).unwrap() < ms(4_500));
}

/// Guards against a claimant that takes its own claim for another one's: the
/// primary crashes and the store's answer to the claim is lost after the claim
/// took effect, as is the answer to the read that follows.
#[test]
fn store_answer_lost() {
    let faults = [(0, Fault::LoseAnswers(2)), (0, Fault::Crash(0))];
    let mut world = world(UMURAGE, 7, &faults);
    assert_recovers(&mut world, 2_000);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Guards against a stale order that undoes a takeover: the primary crashes;
/// the promoter is paused for two seconds right after sending a step's message,
/// is overtaken, and then continues with the state from before its pause.
#[test]
fn promoter_paused_past_its_claim() {
    for step in [Step::Claim, Step::Fence, Step::Promote, Step::Record] {
        let pause = Fault::PauseOn(step, ms(2_000));
        let mut world = world(UMURAGE, 8, &[(0, pause), (0, Fault::Crash(0))]);
        assert_recovers(&mut world, 4_000);
        assert!(gap(&world, 1).unwrap() < ms(1_500), "{step:?}");
    }
}

/// Guards against a claim that no other instance overtakes: the primary crashes
/// and the promoter dies, at each step in turn.
#[test]
fn promoter_dies_at_each_step() {
    for step in [Step::Claim, Step::Fence, Step::Promote, Step::Record] {
        let faults = [(0, Fault::KillOn(step)), (0, Fault::Crash(0))];
        let mut world = world(STALGENOOT, 9, &faults);
        assert_recovers(&mut world, 3_000);
        assert!(gap(&world, 1).unwrap() < ms(1_500), "{step:?}");
    }
}

/// Guards against lost or doubled writes around a pause: the primary stalls for
/// three seconds, then runs the queued statements unaware of its successor. Its
/// word alone must not acknowledge them.
#[test]
fn primary_paused_and_unaware() {
    let mut world = world(STALGENOOT, 10, &[(0, Fault::Stall(0, ms(3_000)))]);
    assert_recovers(&mut world, 3_500);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Guards against state left over from the first takeover: the primary's zone
/// is partitioned off and heals, and then the successor's zone is partitioned
/// off.
#[test]
fn cut_off_twice() {
    let mut world = world(UMURAGE, 11, &[(0, Fault::Isolate(0)), (1_500, Fault::Heal)]);
    world.run(FAULT_TIME + ms(3_000));
    let second = world.leader().unwrap();
    assert_ne!(second, 0);
    world.schedule(
        FAULT_TIME + ms(3_000),
        Fault::Isolate(world.servers[second].zone),
    );
    world.run(FAULT_TIME + ms(5_500));
    assert!(gap(&world, 2).unwrap() < ms(5_500));
    assert_recovers(&mut world, 6_000);
}

/// Guards against a primary without a majority: the primary crashes and one
/// replica's zone is partitioned off. No promotion may happen until the zone is
/// back.
#[test]
fn crash_without_a_majority() {
    let mut world = world(UMURAGE, 12, &[(0, Fault::Crash(0)), (0, Fault::Isolate(1))]);
    world.run(FAULT_TIME + ms(2_500));
    assert_eq!(gap(&world, 1), None);
    assert!(
        world
            .milestones
            .values()
            .all(|milestones| milestones.promoted.is_none())
    );
    assert_recovers(&mut world, 2_500);
}

/// Guards against a partitioned zone that serves stale reads or stops serving
/// reads that it could serve: a replica's zone is cut off while its callers go
/// on. Requests that can't be served must be refused in time.
#[test]
fn replica_zone_cut_off() {
    let mut world = world(STALGENOOT, 13, &[(0, Fault::Isolate(1))]);
    world.run(FAULT_TIME + ms(2_000));
    assert_eq!(world.leader(), Some(0));
    assert_recovers(&mut world, 2_500);
}

/// Guards against acknowledgements without a majority: every zone is
/// partitioned from the others and from the store for two seconds. No write may
/// be acknowledged meanwhile, and none may be lost.
#[test]
fn all_zones_apart() {
    let faults = [0, 1, 2].map(|zone| (0, Fault::Isolate(zone)));
    let mut world = world(UMURAGE, 14, &faults);
    world.run(FAULT_TIME + ms(2_000));
    let during = world
        .acknowledgements()
        .iter()
        .filter(|l| l.asked > FAULT_TIME);
    assert_eq!(during.count(), 0);
    assert_recovers(&mut world, 2_000);
}

/// Guards against two primaries in one term: the primary is partitioned off,
/// the answer to the promoter's claim is lost, and the promoter dies on
/// fencing.
#[test]
fn cut_off_and_lost_answer_and_dying_promoter() {
    let faults = [
        (0, Fault::Isolate(0)),
        (0, Fault::LoseAnswers(1)),
        (0, Fault::KillOn(Step::Fence)),
    ];
    let mut world = world(UMURAGE, 15, &faults);
    assert_recovers(&mut world, 4_000);
    assert!(gap(&world, 1).unwrap() < ms(2_500));
}

/// Guards against a session that sees a write once and then not: a current read
/// shows more than its confirmation round, and the next read goes to a replica
/// stalled at the round. About one in 3,000 failures hits this, hence the
/// seeds.
#[test]
fn confirmed_read_shows_more_than_its_round() {
    let stalled = gap::trial(STALGENOOT, Kind::Stall, 7_000_030);
    assert_eq!(stalled.violations, 0);
    let dying = gap::trial(UMURAGE, Kind::PromoterDies, 7_000_167);
    assert_eq!(dying.violations, 0);
}
