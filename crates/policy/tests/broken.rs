//! Tests of the checkers over the whole chain: each deliberately broken logic
//! must be detected under a suitable fault, and the real logic must pass under
//! the same fault.

use std::time::Duration;

use check::Violation;
use clock::Instant;
use policy::{
    site::STALGENOOT,
    world::{Fault, Load, Logic, Step, World},
};

/// Load dense enough that requests are always in flight when a fault occurs.
const LOAD: Load = Load {
    callers: 10,
    interval: Duration::from_millis(10),
    read_percent: 40,
    roam_percent: 20,
};

/// Runs a logic with faults at two seconds, which are healed at three seconds.
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
    assert!(found.iter().any(expected), "not detected: {found:?}");
}

/// Guards against a checker that misses a lost acknowledged write: the
/// primary's zone is partitioned off with callers in it, another primary takes
/// over, and the broken logic has acknowledged writes that only the old primary
/// has.
#[test]
fn unreplicated_acknowledgement_is_lost() {
    let cut = [Fault::Isolate(0)];
    let is_loss = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &cut, is_loss);
}

/// Like the test above, but the write must also be reported by the checker for
/// acknowledgements by a replaced primary.
#[test]
fn acknowledged_by_replaced() {
    let cut = [Fault::Isolate(0)];
    let is_violation = |v: &Violation| matches!(v, Violation::AcknowledgedByReplaced { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &cut, is_violation);
}

/// Guards against a checker that misses a read without the session's own write:
/// two replicas stall for almost a second and the broken logic ignores tokens.
#[test]
fn ignored_token() {
    let behind = [Fault::Stall(2, Duration::from_millis(900))];
    let slow = [Fault::Stall(1, Duration::from_millis(900)), behind[0]];
    let is_violation = |v: &Violation| matches!(v, Violation::OwnWriteUnseen { .. });
    assert_detected(Logic::IgnoreTokens, &slow, is_violation);
}

/// Guards against a checker that misses stale current reads: the primary's zone
/// is partitioned off and the broken logic trusts the answer of a replaced
/// primary without asking a majority.
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

/// Guards against a checker that misses a write reported as not run that did
/// run: the primary crashes with writes in flight and the broken logic takes a
/// lost connection for a request that did not run.
#[test]
fn false_not_run() {
    let crash = [Fault::Crash(0)];
    let is_violation = |v: &Violation| matches!(v, Violation::RanAfterAll { .. });
    assert_detected(Logic::ClaimNotRun, &crash, is_violation);
}

/// Guards against a checker that misses a write executed twice: instances die
/// with writes in flight, callers repeat them at other instances, and the
/// broken upstream keeps no ledger of request ids.
#[test]
fn no_ledger() {
    let kills = [Fault::Kill(0), Fault::Kill(1), Fault::Kill(2)];
    let is_violation = |v: &Violation| matches!(v, Violation::Twice { .. });
    assert_detected(Logic::NoLedger, &kills, is_violation);
}

/// Guards against a checker that misses a lost acknowledged write when, in
/// addition to the partition, the promoter dies on ordering the promotion.
#[test]
fn unreplicated_acknowledgement_with_dying_promoter() {
    let faults = [Fault::KillOn(Step::Promote), Fault::Isolate(0)];
    let is_loss = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert_detected(Logic::AcknowledgeUnreplicated, &faults, is_loss);
}
