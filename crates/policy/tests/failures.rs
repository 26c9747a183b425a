//! What fails, one test for each line and for pairs that come together.

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

/// When the faults come.
const FAULT_TIME: Instant = Instant::from_millis(2_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Dense enough that a death always finds requests under way.
const DENSE: Load = Load {
    callers: 10,
    ..LOAD
};

/// A world whose callers are at work when the faults come.
fn world(site: Site, seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::open(site, seed);
    world.start_load(Instant::from_millis(1_000), LOAD);
    for &(after, fault) in faults {
        world.schedule(FAULT_TIME + ms(after), fault);
    }
    world
}

/// Heals all at `after`, lets the callers go on, and checks that service is
/// back, that no promise was broken and that nothing is lost.
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

/// The first acknowledgement of a write that was asked after the fault, of a
/// term after `term`, from the fault on.
fn gap(world: &World, term: u64) -> Option<Duration> {
    let after = world
        .acknowledgements()
        .iter()
        .filter(|l| l.asked >= FAULT_TIME);
    let after = after.filter(|l| l.term > Term(term));
    after.map(|l| l.at.since(FAULT_TIME)).min()
}

/// Symptom: two riders in one arena. Events: a partition cuts the primary off
/// with its zone, where callers and instances go on asking it; it believes that
/// it leads and runs their bookings. Cause to rule out: an acknowledgement that
/// rests on the primary's own word.
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

/// Symptom: the group stands still, or an old state leads. Events: one replica
/// stands far behind when the primary's host goes silent. Cause to rule out:
/// promoting whichever replica answers first.
#[test]
fn replica_far_behind() {
    let mut world = world(STALGENOOT, 2, &[(0, Fault::Silence(0))]);
    world.schedule(FAULT_TIME - ms(700), Fault::Stall(2, ms(650)));
    assert_recovers(&mut world, 2_000);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Symptom: an order is lost or doubled. Events: instances die with requests
/// under way; their callers repeat the unknown ones at other instances. Cause
/// to rule out: an outcome that lived in the instance only.
#[test]
fn instance_dies_amid_requests() {
    let deaths = [
        (0, Fault::Kill(0)),
        (0, Fault::Kill(4)),
        (300, Fault::Kill(1)),
    ];
    let mut world = world(UMURAGE, 3, &deaths);
    world.start_load(Instant::from_millis(1_000), DENSE);
    assert_recovers(&mut world, 1_000);
    assert_eq!(world.leader(), Some(0));
    assert!(world.tally().unknown > 0);
}

/// Symptom: bookings stop although every upstream runs. Events: the store is
/// down for ten seconds, nothing else fails. Cause to rule out: a primary that
/// counts only while the store says so.
#[test]
fn store_down() {
    let mut world = world(STALGENOOT, 4, &[(0, Fault::StoreDown)]);
    world.run(FAULT_TIME + ms(10_000));
    assert_eq!(world.tally().not_run, 0);
    assert_eq!(world.tally().unknown, 0);
    assert_recovers(&mut world, 10_000);
}

/// Symptom: two primaries, or none. Events: the primary crashes while the store
/// answers each call half a second late, far over the call's timeout. Cause to
/// rule out: a swap that was given up and took effect all the same.
#[test]
fn store_slow_and_crash() {
    let slow = Fault::StoreSlow(ms(500));
    let mut world = world(UMURAGE, 5, &[(0, slow), (0, Fault::Crash(0))]);
    assert_recovers(&mut world, 4_000);
    assert!(gap(&world, 1).unwrap() < ms(3_000));
}

/// Symptom: bookings stop until somebody comes. Events: the primary crashes
/// while the store is down; three seconds later the store is back. Cause to
/// rule out: a claimant that gave up for good.
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

/// Symptom: the claimant waits for a claim that it has. Events: the primary
/// crashes and the store's answer to the claim is lost after the claim took
/// effect; the next answer, to the look whether it did, is lost as well.
/// Cause to rule out: an own claim taken for a stranger's.
#[test]
fn store_answer_lost() {
    let faults = [(0, Fault::LoseAnswers(2)), (0, Fault::Crash(0))];
    let mut world = world(UMURAGE, 7, &faults);
    assert_recovers(&mut world, 2_000);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Symptom: a stale order undoes a change of primary. Events: the primary
/// crashes; the promoter is paused for two seconds as soon as its claim has
/// left, is overtaken, and goes on as if nothing were. Cause to rule out: a
/// holder that trusts what it held before its pause.
#[test]
fn promoter_paused_past_its_claim() {
    for step in [Step::Claim, Step::Fence, Step::Promote, Step::Record] {
        let pause = Fault::PauseOn(step, ms(2_000));
        let mut world = world(UMURAGE, 8, &[(0, pause), (0, Fault::Crash(0))]);
        assert_recovers(&mut world, 4_000);
        assert!(gap(&world, 1).unwrap() < ms(1_500), "{step:?}");
    }
}

/// Symptom: the group stays without a primary. Events: the primary crashes and
/// the promoter dies, at each of its steps in turn. Cause to rule out: a claim
/// that nobody overtakes.
#[test]
fn promoter_dies_at_each_step() {
    for step in [Step::Claim, Step::Fence, Step::Promote, Step::Record] {
        let faults = [(0, Fault::KillOn(step)), (0, Fault::Crash(0))];
        let mut world = world(STALGENOOT, 9, &faults);
        assert_recovers(&mut world, 3_000);
        assert!(gap(&world, 1).unwrap() < ms(1_500), "{step:?}");
    }
}

/// Symptom: bookings made in the last moment before a pause are doubled or
/// lost. Events: the primary stands still for three seconds; when it wakes, it
/// runs what waited at its door. Cause to rule out: as for the cut off primary.
#[test]
fn primary_paused_and_unaware() {
    let mut world = world(STALGENOOT, 10, &[(0, Fault::Stall(0, ms(3_000)))]);
    assert_recovers(&mut world, 3_500);
    assert!(gap(&world, 1).unwrap() < ms(1_000));
}

/// Symptom: the first change of primary works, the second does not. Events: the
/// zone of the primary is cut off, heals, and then the zone of its successor is
/// cut off. Cause to rule out: state left over from the first time.
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

/// Symptom: a primary without a majority. Events: the primary crashes and the
/// zone of one replica is cut off, so that no majority is left. Nobody may be
/// promoted; when the zone is back, the change of primary must come at once.
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

/// Symptom: a cut off zone stops serving reads that it could serve, or serves
/// them stale. Events: a zone with a replica is cut off; its callers read and
/// write on. What it can't do it must refuse in time; nothing may be stale.
#[test]
fn replica_zone_cut_off() {
    let mut world = world(STALGENOOT, 13, &[(0, Fault::Isolate(1))]);
    world.run(FAULT_TIME + ms(2_000));
    assert_eq!(world.leader(), Some(0));
    assert_recovers(&mut world, 2_500);
}

/// Symptom: none may show. Events: every zone is parted from every other and
/// from the store for two seconds. No write can have a majority then; none may
/// be acknowledged, and none lost.
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

/// Symptom: two primaries in one term. Events: the primary is cut off, and the
/// promoter's answer about its claim is lost, and it dies on fencing.
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

/// Symptom: a session's entry comes and goes: a current read shows it, the next
/// read does not. Events: while replication stands still, the primary answers a
/// current read with more than the round that confirms its term; the next read
/// goes to a replica that has reached the round, but not the answer. Cause: the
/// session noted the round and forgot what the read had shown. Found by seed 7
/// of the bench, once in 3,000 failures at each deployment.
#[test]
fn confirmed_read_shows_more_than_its_round() {
    let stalled = gap::trial(STALGENOOT, Kind::Stall, 7_000_030);
    assert_eq!(stalled.violations, 0);
    let dying = gap::trial(UMURAGE, Kind::PromoterDies, 7_000_167);
    assert_eq!(dying.violations, 0);
}
