//! Deliberately broken variants: each must violate the checked invariants,
//! which shows that the checks detect the fault.

use std::time::Duration;

use failover::State;

use crate::world::{Setup, World, check::Violation, net::Host, upstream::Down};

const SECOND: Duration = Duration::from_secs(1);

/// Cuts off the primary's zone, which has callers, and then heals the cut.
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

/// A write is acknowledged as soon as the primary alone holds it. The cut-off
/// primary then acknowledges writes after a new one was promoted, and these
/// writes are lost.
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

/// Upstreams report a term as soon as they are ordered to follow its primary:
/// u1, which lags, is ordered to follow u2 and reports term 2 without its log.
/// When u2 fails and u0 comes back with all writes of term 1, u1 is chosen over
/// u0.
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

/// Replicas fenced to a higher term are counted, and a fenced walreceiver still
/// takes in the old log for some time. u0 is cut off, u1 and u2 are fenced, u1
/// is chosen, and the link from u0 to u2 is restored: u0 and u2 look like a
/// majority.
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
