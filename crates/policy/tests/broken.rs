//! The checkers over the whole chain: each deliberately broken logic is told,
//! under a fault that makes it show, and the real logic is silent there.

use std::time::Duration;

use check::Violation;
use clock::Instant;
use policy::{
    site::STALGENOOT,
    world::{Fault, Load, Logic, Step, World},
};

/// Dense enough that a fault always finds requests under way.
const LOAD: Load = Load {
    callers: 10,
    interval: Duration::from_millis(10),
    read_percent: 40,
    roam_percent: 20,
};

/// Runs a logic through faults at two seconds, and heals all at three.
fn violations(logic: Logic, faults: &[Fault]) -> Vec<Violation> {
    let mut world = World::open_with(STALGENOOT, 11, logic);
    world.start_load(Instant::from_millis(1_000), LOAD);
    for fault in faults {
        world.schedule(Instant::from_millis(2_000), *fault);
    }
    world.run(Instant::from_millis(3_000));
    world.schedule(Instant::from_millis(3_000), Fault::Heal);
    world.schedule(Instant::from_millis(3_000), Fault::Restart(0));
    world.run(Instant::from_millis(4_000));
    world.stop_load();
    world.run(Instant::from_millis(5_500));
    world.finish();
    world.suite.violations().to_vec()
}

fn assert_detected(broken: Logic, faults: &[Fault], expected: impl Fn(&Violation) -> bool) {
    assert_eq!(violations(Logic::Real, faults), []);
    let found = violations(broken, faults);
    assert!(found.iter().any(expected), "not told: {found:?}");
}

/// Symptom: a confirmed booking is gone. Events: the primary's zone is cut off
/// with callers beside it, who go on booking there; another primary takes over.
/// Cause: the broken logic acknowledges what the primary alone holds.
#[test]
fn unreplicated_acknowledgement_is_lost() {
    let cut = [Fault::Isolate(0)];
    let is_loss = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &cut, is_loss);
}

/// Symptom and events as above; the checker of replaced primaries tells it too.
#[test]
fn acknowledged_by_replaced() {
    let cut = [Fault::Isolate(0)];
    let is_violation = |v: &Violation| matches!(v, Violation::AcknowledgedByReplaced { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &cut, is_violation);
}

/// Symptom: a rider does not see the booking just made. Events: a replica
/// stands still for a second. Cause: the broken logic ignores tokens.
#[test]
fn ignored_token() {
    let behind = [Fault::Stall(2, Duration::from_millis(900))];
    let slow = [Fault::Stall(1, Duration::from_millis(900)), behind[0]];
    let is_violation = |v: &Violation| matches!(v, Violation::OwnWriteUnseen { .. });
    assert_detected(Logic::IgnoreTokens, &slow, is_violation);
}

/// Symptom: a current read misses what another caller was told is done. Events:
/// the primary's zone is cut off. Cause: the broken logic believes whoever
/// answers, also a primary that was replaced, and asks no majority.
#[test]
fn unverified_answer() {
    let cut = [Fault::Isolate(0)];
    let is_violation = |v: &Violation| {
        matches!(
            v,
            Violation::NotCurrent { .. } | Violation::OwnWriteUnseen { .. }
        )
    };
    assert_detected(Logic::Unverified, &cut, is_violation);
}

/// Symptom: a payment that was refused as not run is booked. Events: the
/// primary crashes with writes under way. Cause: the broken logic takes a
/// broken connection for a request that did not run.
#[test]
fn false_not_run() {
    let crash = [Fault::Crash(0)];
    let is_violation = |v: &Violation| matches!(v, Violation::RanAfterAll { .. });
    assert_detected(Logic::ClaimNotRun, &crash, is_violation);
}

/// Symptom: an order reaches the stacks staff twice. Events: an instance dies
/// with orders under way, whose callers repeat them elsewhere. Cause: the
/// broken upstream keeps no ledger of request ids.
#[test]
fn no_ledger() {
    let kills = [Fault::Kill(0), Fault::Kill(1), Fault::Kill(2)];
    let is_violation = |v: &Violation| matches!(v, Violation::Twice { .. });
    assert_detected(Logic::NoLedger, &kills, is_violation);
}

/// Symptom: as for the first. Events: the primary crashes and the promoter dies
/// on ordering the promotion. Cause: as for the first.
#[test]
fn unreplicated_acknowledgement_with_dying_promoter() {
    let faults = [Fault::KillOn(Step::Promote), Fault::Isolate(0)];
    let is_loss = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &faults, is_loss);
}
