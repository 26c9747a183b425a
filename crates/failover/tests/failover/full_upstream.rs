//! Upstreams that have no room for another connection.

use std::time::Duration;

use crate::world::{Setup, World};

const SECOND: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Symptom: a rolling restart of more instances than an upstream has seats
/// replaces a healthy primary. Events: connections of former and of new holders
/// fill it for a while, and each status probe is refused for want of room.
/// Cause: a refusal by an upstream that lives was taken for no answer, and
/// silence is what replaces a primary.
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

/// A primary that lets nobody in for longer than that may as well hang behind
/// its full list of connections, and can't be told its orders: it is replaced.
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
