//! Contents of a mirror that follows another one, for any order of the changes.

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

fn deleted(key: u8, revision: u64) -> Change {
    Change::Gone(format!("k/{key}"), revision)
}

/// Returns the newest change of each key, deletions included.
fn newest(mirror: &Mirror) -> Vec<Change> {
    let mut all = mirror.changes_since(0).unwrap();
    all.sort_by(|a, b| a.key().cmp(b.key()));
    all
}

/// Bytes of all keys and values of a mirror.
fn size(mirror: &Mirror) -> usize {
    let changes = mirror.changes_since(0).unwrap();
    let size = |change: &Change| {
        let value = change.item().map_or(0, |item| item.value.len());
        change.key().len() + value
    };
    changes.iter().map(size).sum()
}

#[test]
fn only_the_newest_change_of_a_key_is_returned() {
    let mut mirror = Mirror::default();
    for revision in 1..=25 {
        mirror.apply(&put(1, revision));
    }
    assert_eq!(mirror.changes_since(0), Some(vec![put(1, 25)]));
    assert_eq!(mirror.changes_since(24), Some(vec![put(1, 25)]));
}

/// Guards against loss of known items: an instance that changes to a relay which lags behind must
/// not take newer items for deleted ones.
#[test]
fn item_newer_than_the_relay_is_not_missing() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 5));
    mirror.apply(&put(2, 9));
    assert_eq!(mirror.missing("k/", &[], 7), vec![deleted(1, 7)]);
}

#[test]
fn deleted_key_ignores_older_changes() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 5));
    mirror.apply(&deleted(1, 8));
    assert!(!mirror.apply(&put(1, 5)));
    assert!(mirror.apply(&put(1, 9)));
}

#[test]
fn follower_behind_the_history_gets_a_full_copy() {
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
        "of another incarnation"
    );
    assert_eq!(mirror.size(), size(&mirror));
}

#[test]
fn known_revision_is_that_of_the_slowest_section() {
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

    /// A mirror that follows another one step by step ends with the same contents, and so does one
    /// that gets the changes in another order.
    #[test]
    fn followers_converge_in_any_order(
        keys in proptest::collection::vec((0_u8..6, any::<bool>()), 1..60),
        steps in proptest::collection::vec(1_usize..7, 1..20),
        order in any::<prop::sample::Index>(),
    ) {
        let change = |((key, is_put), revision): (&(u8, bool), u64)| match is_put {
            true => put(*key, revision),
            false => deleted(*key, revision),
        };
        let changes: Vec<_> = keys.iter().zip(1..).map(change).collect();
        let (mut relay, mut follower, mut seq) = (Mirror::default(), Mirror::default(), 0);
        let mut remaining = changes.iter();
        for step in steps.iter().cycle().take(60) {
            for change in remaining.by_ref().take(*step) {
                relay.apply(change);
            }
            for change in relay.changes_since(seq).unwrap() {
                follower.apply(&change);
            }
            seq = relay.seq();
        }
        prop_assert_eq!(newest(&follower), newest(&relay));
        let mut reordered = changes.clone();
        reordered.rotate_left(order.index(changes.len()));
        let mut other = Mirror::default();
        for change in &reordered {
            other.apply(change);
        }
        prop_assert_eq!(newest(&other), newest(&relay));
        for mirror in [&relay, &follower, &other] {
            prop_assert_eq!(mirror.size(), size(mirror));
        }
    }
}

/// Guards against a full transfer to an instance that changes its relay, which costs the new
/// relay's link as much as an instance that starts.
#[test]
fn new_relay_returns_only_changes_after_the_known_revision() {
    let mut mirror = Mirror::default();
    for revision in 1..=1_000 {
        mirror.apply(&put((revision % 200) as u8, revision));
    }
    mirror.apply(&deleted(1, 1_001));
    assert_eq!(
        mirror.changes_after(999, "list/"),
        Some(vec![put(0, 1_000), deleted(1, 1_001)])
    );
    assert_eq!(mirror.changes_after(1_001, "list/"), Some(vec![]));
}

/// Guards against use of an upstream that has left: its deletion is no longer in the history when
/// an instance that lags behind asks for changes.
#[test]
fn follower_behind_a_forgotten_deletion_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 1));
    mirror.apply(&deleted(1, 2));
    for revision in 3..2_000 {
        mirror.apply(&Change::Gone(format!("k/{revision}"), revision));
    }
    assert_eq!(mirror.changes_after(1, "list/"), None);
    assert!(mirror.changes_after(2_000, "list/").is_some());
}

/// Guards against different choices of holders: an instance that changes its relay and does not
/// learn of the entries listed only there chooses other holders than its peers, and refuses its
/// callers.
#[test]
fn new_relay_returns_all_listed_items() {
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

/// Guards against the loss of a live instance for good: a follower forgets an instance that its new
/// relay does not list, and refuses the entry as older once the relay has read it.
#[test]
fn forgotten_item_is_accepted_again_at_the_same_revision() {
    let mut mirror = Mirror::default();
    mirror.apply(&put(1, 5));
    mirror.apply(&put(2, 6));
    let version = mirror.seq();
    assert_eq!(mirror.absent_keys("k/", &[]), ["k/1", "k/2"]);
    mirror.forget("k/1");
    assert_eq!(mirror.absent_keys("k/", &[]), ["k/2"]);
    assert_ne!(mirror.seq(), version);
    assert_eq!(mirror.changes_since(0), Some(vec![put(2, 6)]));
    assert!(mirror.apply(&put(1, 5)));
    assert_eq!(mirror.changes_since(0), Some(vec![put(2, 6), put(1, 5)]));
    assert_eq!(mirror.size(), size(&mirror));
}
