//! Upstreams without a free connection.

use std::time::Duration;

use crate::world::{Setup, World};

const SECOND: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A rolling restart fills an upstream with connections of former and new
/// holders, so status probes are refused for lack of a free connection. Taken
/// for silence, such refusals would replace a healthy primary.
#[test]
fn a_full_primary_counts_as_alive() {
    let mut world = World::running(Setup::stalgenoot(), 5);
    world.servers[0].full = true;
    world.run(millis(1_500));
    assert_eq!(world.check.promotions, []);
    world.servers[0].full = false;
    let since = world.now;
    world.run(SECOND);
    world.verify();
    assert!(
        world.gap(&[0, 1, 2], since).is_some(),
        "writes are acknowledged again"
    );
    assert_eq!(world.check.promotions, []);
}

/// A primary that has no free connection for longer may hang behind its
/// connections and cannot receive orders, so it must be replaced.
#[test]
fn a_primary_that_stays_full_is_replaced() {
    let mut world = World::running(Setup::stalgenoot(), 6);
    let fault = world.now;
    world.servers[0].full = true;
    world.run(SECOND * 5);
    world.verify();
    assert_eq!(world.check.promotions.len(), 1);
    let (at, _, _) = world.check.promotions[0];
    assert!(at.since(fault) > millis(2_000), "{:?}", at.since(fault));
}
