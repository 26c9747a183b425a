//! Deliberately broken variants: the checks must fire on each, or they would
//! prove nothing about the real one.

use std::time::Duration;

use failover::State;

use crate::world::{Setup, World, check::Violation, net::Host, upstream::Down};

const SECOND: Duration = Duration::from_secs(1);

/// A cut-off primary with callers beside it, and then a healed cut.
fn cut_off(setup: Setup) -> World {
    let mut world = World::running(setup, 3);
    let setup = world.setup.clone();
    world.net.cut_zone(&setup, 0);
    world.run(SECOND * 3);
    world.net.heal();
    world.store_watch();
    world.run(SECOND * 2);
    world.check.check_survival(&world.servers);
    world
}

/// Acknowledging as soon as one upstream holds a write, which is the primary
/// itself: the cut-off primary acknowledges after it was replaced, and what it
/// acknowledged is lost.
#[test]
fn acknowledging_without_a_majority() {
    let mut setup = Setup::umurage();
    setup.quorum_size = 1;
    let world = cut_off(setup);
    let lost = |v: &Violation| matches!(v, Violation::Lost { .. });
    let replaced = |v: &Violation| matches!(v, Violation::Replaced { .. });
    assert!(world.check.violations.iter().any(lost));
    assert!(world.check.violations.iter().any(replaced));
    let correct = cut_off(Setup::umurage());
    assert_eq!(correct.check.violations, []);
}

/// Upstreams that report a term as soon as they are ordered to follow it. A
/// replica far behind then outranks one that holds every acknowledged write.
///
/// u1 lags, u0 and u2 hold the writes. u0 fails, u2 is promoted, u1 is ordered
/// to follow it and claims term 2 before it has any of its log. u2 fails, u0
/// comes back with term 1 and all writes: u1 is chosen over it.
#[test]
fn reporting_a_term_before_holding_its_log() {
    let run = |reports_term_early| {
        let mut setup = Setup::umurage();
        setup.reports_term_early = reports_term_early;
        let mut world = World::running(setup, 4);
        world.servers[1].lag = SECOND * 30;
        world.run(SECOND);
        world.servers[0].down = Some(Down::Host);
        world.run(SECOND);
        world.servers[2].down = Some(Down::Host);
        world.run(SECOND);
        world.servers[0].down = None;
        world.run(SECOND * 3);
        world.servers[1].lag = Duration::ZERO;
        world.run(SECOND * 3);
        world.servers[2].down = None;
        world.run(SECOND * 3);
        world.check.check_survival(&world.servers);
        world
    };
    let broken = run(true);
    let lost = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert!(
        broken.check.violations.iter().any(lost),
        "{:?}",
        broken.check.promotions
    );
    let correct = run(false);
    assert_eq!(correct.check.violations, []);
    assert!(correct.check.promotions.len() >= 2);
}

/// Counting replicas that are fenced higher, where fencing does not stop the
/// log at once: a walreceiver ends only some time after the reload.
///
/// u0 is cut off; u1 and u2 are fenced and u1 is chosen. Before u1 is promoted
/// the way from u0 to u2 is whole again, and u2 still takes in u0's log. u0
/// and u2 look like a majority, but what they hold will not survive.
#[test]
fn counting_replicas_fenced_to_a_higher_term() {
    let run = |ignores_fences| {
        let mut setup = Setup::umurage();
        setup.fence_lingers = true;
        setup.ignores_fences = ignores_fences;
        setup.promotion_time = SECOND;
        let mut world = World::running(setup, 5);
        let setup = world.setup.clone();
        world.net.cut_server(&setup, 0);
        let cut = world.now;
        while world.entered(State::Promoting, cut).is_none() {
            world.run(Duration::from_millis(1));
        }
        world.net.restore(Host::Server(0), Host::Server(2));
        world.net.restore(Host::Instance(0), Host::Server(0));
        world.run(SECOND * 3);
        world.check.check_survival(&world.servers);
        world
    };
    let broken = run(true);
    let lost = |v: &Violation| matches!(v, Violation::Lost { .. });
    assert!(
        broken.check.violations.iter().any(lost),
        "{:?}",
        broken.check.promotions
    );
    let correct = run(false);
    assert_eq!(correct.check.violations, []);
    assert_eq!(correct.check.promotions.len(), 1);
}
