//! Failures of the store and of its relays.

use std::time::Duration;

use fleet::{Action, Event, Notice, Reason, Scope, Watch};
use slopes::{Setup, Violation, World};
use wire::Revision;

const SECOND: Duration = Duration::from_secs(1);

/// Nine instances in three zones that know each other and have the first
/// revision.
fn nine_instances(seed: u64) -> World {
    let mut world = World::open(Setup::sized(9, seed));
    world.apply(&[("catalog/entry/a", Some(b"first"))]);
    world.warm_up(10 * SECOND);
    assert!(all_have(
        &world,
        Revision {
            epoch: 0,
            number: 1
        }
    ));
    world
}

fn all_have(world: &World, revision: Revision) -> bool {
    world
        .running()
        .all(|slot| world.applied(slot).0 == revision)
}

fn relays(world: &World) -> Vec<usize> {
    let watches = |slot: &usize| world.fleet(*slot).unwrap().watch() == Watch::On;
    world.running().filter(watches).collect()
}

fn assert_no_violations(world: &World) {
    assert_eq!(world.monitor.violations(), []);
}

#[test]
fn a_relay_dies_between_fetch_and_rumour() {
    // Guards against a zone that stays on the revision before, although a relay
    // had read the new one: the store is cut off from all but one relay, which
    // dies before any of its rumours arrives. If the watch were the only
    // source, no other instance would get the revision.
    let mut world = nine_instances(1);
    let lone = relays(&world)[0];
    world.store_partition = 9;
    let revision = world.apply(&[("catalog/entry/a", Some(b"second"))]);
    // Only this relay is on the store's side, and dies there with the new
    // revision.
    world.set_partition(lone, 9);
    world.run(20 * SECOND);
    assert_eq!(
        world.applied(lone).0,
        revision,
        "the relay has read the new revision"
    );
    world.kill(lone);
    world.run(5 * SECOND);
    assert!(world.running().all(|slot| world.applied(slot).0 < revision));
    // The store is reachable again: another relay reads the revision, and all
    // instances get it.
    world.store_partition = 0;
    let taken = world.run_until(30 * SECOND, |world| all_have(world, revision));
    assert!(taken.is_some());
    assert_no_violations(&world);
}

#[test]
fn rumours_reach_a_zone_whose_relays_are_dead() {
    // Guards against a zone that misses a change because all its relays die at
    // the moment of the change. Others become relays only once the dead ones
    // are suspected.
    let mut world = nine_instances(2);
    let dead: Vec<_> = relays(&world)
        .into_iter()
        .filter(|&slot| world.zone(slot) == 1)
        .collect();
    assert_eq!(dead.len(), 2);
    for slot in dead {
        world.kill(slot);
    }
    let revision = world.apply(&[("catalog/entry/a", Some(b"second"))]);
    let taken = world.run_until(10 * SECOND, |world| all_have(world, revision));
    assert!(taken.unwrap() < 3 * SECOND, "{taken:?}");
    world.run(30 * SECOND);
    let zone: Vec<_> = relays(&world)
        .into_iter()
        .filter(|&slot| world.zone(slot) == 1)
        .collect();
    assert_eq!(zone.len(), 1, "the remaining instance watches");
    assert_no_violations(&world);
}

#[test]
fn concurrent_revisions_converge_despite_loss() {
    // Guards against instances that keep the first of two concurrent changes:
    // two operators apply within a millisecond, the first one's answer is lost,
    // and datagrams are lost and reordered, so that rumours of the first change
    // arrive after those of the second.
    for seed in 0..20 {
        let mut world = nine_instances(seed);
        world.loss = 0.3;
        let first = world.apply(&[("catalog/entry/a", Some(b"one"))]);
        world.run(Duration::from_micros(700));
        let second = world.apply(&[("catalog/entry/a", Some(b"two"))]);
        assert!(first < second);
        let taken = world.run_until(20 * SECOND, |world| all_have(world, second));
        assert!(taken.is_some(), "seed {seed}");
        assert_no_violations(&world);
    }
}

#[test]
fn an_older_store_is_refused() {
    // Guards against a fallback of all instances to an old catalogue: the store
    // is restored from a backup and answers as before, and its revisions look
    // valid unless compared with the mirrored ones.
    let mut world = nine_instances(3);
    world.run(SECOND);
    let second = world.apply(&[("catalog/entry/a", Some(b"second"))]);
    world.run(5 * SECOND);
    assert!(all_have(&world, second));
    world.set_store_down(true);
    world.store.restore(1);
    world.run(5 * SECOND);
    world.set_store_down(false);
    world.run(40 * SECOND);
    assert!(all_have(&world, second));
    let refused = world.notices.iter().any(|(_, notice)| {
        *notice
            == Notice::StoreBehind {
                store: Revision {
                    epoch: 0,
                    number: 1,
                },
                held: second,
            }
    });
    assert!(refused, "the older store is refused with a notice");

    // A restarted instance asks its peers before it accepts the store's
    // answers.
    world.kill(4);
    world.start(4);
    world.run(5 * SECOND);
    assert!(all_have(&world, second));

    // Writes raise the store's revision past the mirrored one again. The store
    // is still refused, since keys are older there than in the mirrors.
    for _ in 0..4 {
        world.write(&[("primary/x", Some(b"other"))]);
    }
    world.run(40 * SECOND);
    assert!(all_have(&world, second));

    // Operators declare the store restored: the raised epoch takes precedence
    // over the number.
    let third = world.apply_as(1, 1, &[("catalog/entry/a", Some(b"third"))]);
    let taken = world.run_until(40 * SECOND, |world| all_have(world, third));
    assert!(taken.is_some());
    assert_no_violations(&world);
}

/// A faulty version that accepts the answers of an older store.
fn accept_older_store(_: usize, actions: &mut Vec<Action>) {
    for action in actions {
        if let Action::Notice(Notice::StoreBehind { store, .. }) = action {
            *action = Action::Catalog {
                revision: *store,
                scope: Scope::Delta,
                changes: Vec::new(),
            };
        }
    }
}

#[test]
fn the_monitor_detects_acceptance_of_an_older_store() {
    let mut world = nine_instances(3);
    world.apply(&[("catalog/entry/a", Some(b"second"))]);
    world.run(5 * SECOND);
    world.tamper = Some(accept_older_store);
    world.set_store_down(true);
    world.store.restore(1);
    world.set_store_down(false);
    world.run(20 * SECOND);
    let reverted = |violation: &Violation| matches!(violation, Violation::Reverted { .. });
    assert!(world.monitor.violations().iter().any(reverted));
}

/// A faulty version that puts half of a revision in force.
fn truncate_changes(_: usize, actions: &mut Vec<Action>) {
    for action in actions {
        if let Action::Catalog { changes, .. } = action {
            changes.truncate(1);
        }
    }
}

#[test]
fn the_monitor_detects_a_partial_revision() {
    let mut world = nine_instances(4);
    world.tamper = Some(truncate_changes);
    world.apply(&[
        ("catalog/entry/a", Some(b"x")),
        ("catalog/entry/b", Some(b"y")),
    ]);
    world.run(5 * SECOND);
    let half = |violation: &Violation| matches!(violation, Violation::Inconsistent { .. });
    assert!(world.monitor.violations().iter().any(half));
}

#[test]
fn the_monitor_detects_an_instance_that_starts_behind() {
    let mut world = nine_instances(5);
    world.apply(&[("catalog/entry/a", Some(b"second"))]);
    world.run(5 * SECOND);
    world.kill(0);
    // A faulty version that does not ask its peers and gets only the first
    // revision.
    world.tamper = Some(|slot, actions| {
        if slot == 0 {
            for action in actions {
                if let Action::Catalog { revision, .. } = action {
                    revision.number = 1;
                }
            }
        }
    });
    world.start(0);
    world.run(5 * SECOND);
    let behind = |violation: &Violation| matches!(violation, Violation::StartedBehind { .. });
    assert!(world.monitor.violations().iter().any(behind));
}

#[test]
fn a_zone_restarts_while_the_store_is_down() {
    // Guards against a whole zone that refuses all calls until the store is
    // back: the zone loses power and restarts while the store is down.
    // Instances have no disks, so only other zones still have the catalogue.
    let mut world = nine_instances(6);
    let second = world.apply(&[("catalog/entry/a", Some(b"second"))]);
    world.run(5 * SECOND);
    world.set_store_down(true);
    let zone: Vec<_> = (0..9).filter(|&slot| world.zone(slot) == 0).collect();
    for &slot in &zone {
        world.kill(slot);
    }
    world.run(15 * SECOND);
    for &slot in &zone {
        world.start(slot);
    }
    let taken = world.run_until(10 * SECOND, |world| all_have(world, second));
    assert!(taken.unwrap() < 3 * SECOND, "{taken:?}");
    assert_no_violations(&world);
}

#[test]
fn a_silent_watch_is_detected() {
    // Guards against changes that stop arriving without an error: the store's
    // answers to watches are lost, and a dead watch looks like a watch without
    // news.
    let mut world = nine_instances(7);
    world.store_partition = 9;
    let second = world.apply(&[("catalog/entry/a", Some(b"second"))]);
    world.run(SECOND);
    world.store_partition = 0;
    let taken = world.run_until(60 * SECOND, |world| all_have(world, second));
    assert!(taken.unwrap() < 15 * SECOND, "{taken:?}");
    assert_no_violations(&world);
}

#[test]
fn a_compacted_store_is_read_again() {
    // Guards against relays that request a refused watch in a loop: the relays
    // were cut off while the store compacted its history, so the revision to
    // watch from is gone.
    let mut world = nine_instances(8);
    world.set_store_down(true);
    world.apply(&[("catalog/entry/b", Some(b"b"))]);
    let third = world.apply(&[("catalog/entry/a", None)]);
    world.store.compact(third.number);
    world.run(5 * SECOND);
    world.set_store_down(false);
    let taken = world.run_until(60 * SECOND, |world| all_have(world, third));
    assert!(taken.is_some());
    assert_no_violations(&world);
}

#[test]
fn a_revision_in_a_newer_format_is_held() {
    // Guards against instances that drop limits they can't read: an operator
    // applies a catalogue in format 2 before all instances are upgraded, and
    // unknown parts of a value read as absent.
    let mut world = nine_instances(9);
    let mut upgraded = world.conf(0);
    world.kill(0);
    upgraded.format = 2;
    upgraded.started_ms += 60_000;
    world.start_with(0, upgraded);
    world.run(5 * SECOND);
    let newer = world.apply_as(2, 0, &[("catalog/entry/a", Some(b"new form"))]);
    world.run(10 * SECOND);
    assert_eq!(world.applied(0).0, newer);
    for slot in 1..9 {
        let fleet = world.fleet(slot).unwrap();
        assert_eq!(
            world.applied(slot).0.number,
            1,
            "the last valid revision is kept"
        );
        let held = fleet.status().held.unwrap();
        assert_eq!((held.revision, held.reason), (newer, Reason::Format(2)));
        assert_eq!(
            fleet.mirror().revision(),
            newer,
            "peers can pull the revision from here"
        );
    }
    // Records of primaries are mirrored even if the catalogue is held back.
    let number = world.write(&[("primary/x", Some(b"bc-2"))]);
    world.run(5 * SECOND);
    let found = |slot| {
        world
            .fleet(slot)
            .unwrap()
            .mirror()
            .find("primary/x")
            .unwrap()
            .0
    };
    assert!((0..9).all(|slot| found(slot) == number));
    // After a change in the old format, all instances proceed, with the changes
    // made in the meantime.
    let fourth = world.apply(&[("catalog/entry/a", Some(b"old form"))]);
    let taken = world.run_until(10 * SECOND, |world| all_have(world, fourth));
    assert!(taken.is_some());
    assert_no_violations(&world);
}

#[test]
fn a_refused_revision_leaves_the_last_one_applied() {
    let mut world = nine_instances(10);
    let second = world.apply(&[("catalog/entry/a", Some(b"bad"))]);
    world.run(5 * SECOND);
    world.deliver_event(3, Event::Refused(second));
    let fleet = world.fleet(3).unwrap();
    assert_eq!(fleet.applied().number, 1);
    assert_eq!(fleet.status().held.unwrap().reason, Reason::Refused);
    world.run(15 * SECOND);
    assert_eq!(
        world.fleet(3).unwrap().applied().number,
        1,
        "the refused revision is not tried again"
    );
}

#[test]
fn keys_without_their_head_are_not_applied() {
    // Guards against half of an operator's change in force: a tool writes keys
    // one by one, without the head or before it, and each write is a separate
    // revision of the store.
    let mut world = nine_instances(11);
    world.write(&[("catalog/entry/a", Some(b"half"))]);
    world.run(5 * SECOND);
    assert!(
        world
            .running()
            .all(|slot| world.applied(slot).0.number == 1)
    );
    let held = world.fleet(0).unwrap().status().held.unwrap();
    assert_eq!(held.reason, Reason::Incomplete);
    let third = world.apply(&[("catalog/entry/b", Some(b"rest"))]);
    world.run(5 * SECOND);
    assert!(all_have(&world, third));
    assert_no_violations(&world);
}

#[test]
fn nine_instances_stay_within_the_store_call_budget() {
    // The budget is a tenth of 2,000 reads a second, with every pending watch
    // as one call.
    let mut world = nine_instances(12);
    world.reset_counts();
    for number in 0..30 {
        world.apply(&[("catalog/entry/a", Some(&[number]))]);
        world.run(SECOND);
    }
    let calls = world.store.calls as f64 / 30.0 + world.watches() as f64;
    assert!(calls < 20.0, "{calls}");
    assert_no_violations(&world);
}

/// Guards against changes that come into force seconds late during a burst:
/// changes arrive faster than rounds may follow each other, and each change
/// postponed the next round by a tenth of a second, so that only heartbeats
/// spread the newest one.
#[test]
fn a_burst_of_changes_spreads_while_it_lasts() {
    for seed in 0..12 {
        let mut world = World::open(Setup::sized(90, seed));
        world.apply(&[("catalog/entry/a", Some(b"first"))]);
        world.warm_up(10 * SECOND);
        let mut last = world.applied(0).0;
        for number in 0..200 {
            let value = format!("{number}");
            last = world.apply(&[("catalog/entry/a", Some(value.as_bytes()))]);
            world.run(Duration::from_millis(10));
        }
        let taken = world.run_until(60 * SECOND, |world| {
            world.running().all(|slot| world.applied(slot).0 == last)
        });
        assert!(taken.unwrap() < SECOND / 2, "seed {seed}: {taken:?}");
    }
}
