//! What an instance that follows another one learns, whatever order it comes in.

use proptest::prelude::*;
use proxy::{
    edge::{Change, Item},
    mirror::{Mirror, Section},
};

fn put(key: u8, revision: u64) -> Change {
    Change::Put(Item {
        key: format!("k/{key}"),
        value: revision.to_string().into(),
        revision,
    })
}

fn gone(key: u8, revision: u64) -> Change {
    Change::Gone(format!("k/{key}"), revision)
}

/// The newest of each key, as all items and deletions tell it.
fn newest(mirror: &Mirror) -> Vec<Change> {
    let mut all = mirror.changes_since(0).unwrap();
    all.sort_by(|a, b| a.key().cmp(b.key()));
    all
}

#[test]
fn of_many_changes_of_a_key_only_the_newest_is_told() {
    let mut mirror = Mirror::default();
    for revision in 1..=25 {
        mirror.apply(&put(1, revision));
    }
    assert_eq!(mirror.changes_since(0), Some(vec![put(1, 25)]));
    assert_eq!(mirror.changes_since(24), Some(vec![put(1, 25)]));
}

/// An instance changes to a relay that is behind: it forgets nothing that it knows.
#[test]
fn what_a_relay_does_not_know_yet_is_not_missing() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 5));
    mirror.apply(&put(2, 9));
    assert_eq!(mirror.missing("k/", &[], 7), vec![gone(1, 7)]);
}

#[test]
fn a_key_that_was_deleted_stays_deleted_for_those_who_are_behind() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 5));
    mirror.apply(&gone(1, 8));
    assert!(!mirror.apply(&put(1, 5)));
    assert!(mirror.apply(&put(1, 9)));
}

#[test]
fn who_is_behind_what_was_forgotten_is_told_all() {
    let mut mirror = Mirror::default();
    for round in 0..2_000 {
        mirror.apply(&put(0, round * 2 + 1));
        mirror.apply(&Change::Gone(format!("k/{round}x"), round * 2 + 2));
    }
    assert_eq!(mirror.changes_since(1), None);
    assert!(mirror.changes_since(mirror.seq()).is_some());
    assert_eq!(
        mirror.changes_since(mirror.seq() + 1),
        None,
        "of another life"
    );
}

#[test]
fn what_is_known_is_known_of_the_section_that_lags() {
    let mut mirror = Mirror::default();
    mirror.advance(Section::Catalog, 9);
    mirror.advance(Section::Records, 7);
    assert_eq!(mirror.min_known(), 0);
    mirror.advance(Section::Upstreams, 8);
    mirror.advance(Section::Records, 3);
    assert_eq!(mirror.min_known(), 7);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whoever follows step by step knows the same as whoever was there all the time, and
    /// so does one to whom the changes came in another order.
    #[test]
    fn those_who_follow_know_the_same(
        keys in proptest::collection::vec((0_u8..6, any::<bool>()), 1..60),
        steps in proptest::collection::vec(1_usize..7, 1..20),
        order in any::<prop::sample::Index>(),
    ) {
        let change = |((key, is_put), revision): (&(u8, bool), u64)| match is_put {
            true => put(*key, revision),
            false => gone(*key, revision),
        };
        let changes: Vec<_> = keys.iter().zip(1..).map(change).collect();
        let (mut relay, mut follower, mut seq) = (Mirror::default(), Mirror::default(), 0);
        let mut left = changes.iter();
        for step in steps.iter().cycle().take(60) {
            for change in left.by_ref().take(*step) {
                relay.apply(change);
            }
            for change in relay.changes_since(seq).unwrap() {
                follower.apply(&change);
            }
            seq = relay.seq();
        }
        prop_assert_eq!(newest(&follower), newest(&relay));
        let mut crossed = changes.clone();
        crossed.rotate_left(order.index(changes.len()));
        let mut other = Mirror::default();
        for change in &crossed {
            other.apply(change);
        }
        prop_assert_eq!(newest(&other), newest(&relay));
    }
}

/// An instance that changes to another relay and is told everything anew costs that relay's
/// link as much as one that starts.
#[test]
fn another_relay_tells_only_what_changed_behind_the_revision_that_is_known() {
    let mut mirror = Mirror::default();
    for revision in 1..=1_000 {
        mirror.apply(&put((revision % 200) as u8, revision));
    }
    mirror.apply(&gone(1, 1_001));
    assert_eq!(
        mirror.changes_after(999, "list/"),
        Some(vec![put(0, 1_000), gone(1, 1_001)])
    );
    assert_eq!(mirror.changes_after(1_001, "list/"), Some(vec![]));
}

/// A deletion that is forgotten would leave an upstream that has left in use.
#[test]
fn who_is_behind_a_forgotten_deletion_is_told_everything() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 1));
    mirror.apply(&gone(1, 2));
    for revision in 3..2_000 {
        mirror.apply(&Change::Gone(format!("k/{revision}"), revision));
    }
    assert_eq!(mirror.changes_after(1, "list/"), None);
    assert!(mirror.changes_after(2_000, "list/").is_some());
}

/// An instance that changes its relay and does not learn of those that only the new one has
/// listed chooses other holders than they do, and refuses its callers.
#[test]
fn another_relay_tells_all_that_is_listed_whatever_its_revision() {
    let listed = |revision| {
        Change::Put(Item {
            key: "list/one".into(),
            value: "here".into(),
            revision,
        })
    };
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 900));
    mirror.apply(&listed(7));
    assert_eq!(mirror.changes_after(900, "list/"), Some(vec![listed(7)]));
}
