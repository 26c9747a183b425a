//! Comparison of the mirror with a plain map, in any order of arrival.

use std::collections::BTreeMap;

use fleet::{Error, Mirror};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use wire::{Change, Revision};

type Write = (u8, Option<u8>);

fn revision(number: u64) -> Revision {
    Revision { epoch: 0, number }
}

fn change(revision: u64, (key, value): Write) -> Change {
    Change {
        key: format!("catalog/entry/{key}").as_str().into(),
        revision,
        value: value.map(|value| vec![value].into()),
    }
}

/// The mirror at each revision, as on a relay that receives every change.
fn history(writes: &[Write]) -> Vec<Mirror> {
    let mut mirror = Mirror::default();
    let mut mirrors = vec![mirror.clone()];
    for (number, &write) in (1..).zip(writes) {
        let from = mirror.revision();
        mirror
            .advance(from, revision(number), None, &[change(number, write)])
            .unwrap();
        mirrors.push(mirror.clone());
    }
    mirrors
}

fn expected_contents(writes: &[Write]) -> BTreeMap<String, u8> {
    let mut map = BTreeMap::new();
    for (key, value) in writes {
        let key = format!("catalog/entry/{key}");
        match value {
            Some(value) => map.insert(key, *value),
            None => map.remove(&key),
        };
    }
    map
}

fn contents(mirror: &Mirror) -> BTreeMap<String, u8> {
    let changes = mirror.all().into_iter();
    changes
        .map(|change| (change.key.to_string(), change.value.unwrap()[0]))
        .collect()
}

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

#[test]
fn any_mirror_catches_up_with_any_newer_one() {
    let writes = prop::collection::vec((0u8..6, prop::option::weighted(0.7, any::<u8>())), 1..30);
    let pairs = (
        writes,
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
    );
    runner()
        .run(&pairs, |(writes, a, b)| {
            let mirrors = history(&writes);
            let (a, b) = (a.index(mirrors.len()), b.index(mirrors.len()));
            let (old, new) = (a.min(b), a.max(b));
            let mut behind = mirrors[old].clone();
            let ahead = &mirrors[new];
            let (from, changes) = ahead.since(behind.revision());
            let digest = Some(ahead.digest());
            match from {
                Some(from) => {
                    let result = behind.advance(from, ahead.revision(), digest, &changes);
                    prop_assert_eq!(result.is_ok(), old < new);
                }
                None => {
                    behind.replace(ahead.revision(), digest, &changes).unwrap();
                }
            }
            prop_assert_eq!(contents(&behind), expected_contents(&writes[..new]));
            prop_assert_eq!(behind.digest(), ahead.digest());
            // The updated mirror sends others the same changes as its source.
            let (_, told) = behind.since(mirrors[0].revision());
            prop_assert_eq!(told, ahead.since(mirrors[0].revision()).1);
            Ok(())
        })
        .unwrap();
}

#[test]
fn invalid_changes_leave_the_mirror_unchanged() {
    let mut mirror = Mirror::default();
    let first = change(1, (1, Some(1)));
    mirror
        .advance(
            Revision::NONE,
            revision(1),
            None,
            std::slice::from_ref(&first),
        )
        .unwrap();
    let before = (mirror.digest(), contents(&mirror));
    let second = change(2, (2, Some(2)));
    let twice = [second.clone(), second.clone()];
    let errors = [
        mirror.advance(
            revision(1),
            revision(2),
            Some(7),
            std::slice::from_ref(&second),
        ),
        mirror.advance(revision(1), revision(2), None, &twice),
        mirror.advance(
            revision(0),
            revision(2),
            None,
            std::slice::from_ref(&second),
        ),
        mirror.advance(revision(1), revision(1), None, &[]),
        mirror.replace(revision(0), None, &[]).map(|_| ()),
        mirror.replace(revision(2), Some(7), &[first]).map(|_| ()),
    ];
    let held = revision(1);
    let expected = [
        Error::Digest,
        Error::Order,
        Error::Gap {
            held,
            from: revision(0),
        },
        Error::NotNewer { held, to: held },
        Error::NotNewer {
            held,
            to: revision(0),
        },
        Error::Digest,
    ];
    assert_eq!(errors, expected.map(Err));
    assert_eq!((mirror.digest(), contents(&mirror)), before);
}

#[test]
fn pruned_removals_require_a_full_answer() {
    // Guards against a removed database that is still served: more keys are
    // removed than are remembered while a peer is away, so a delta for the peer
    // would lack the pruned removals.
    let mut mirror = Mirror::default();
    let mut number = 0;
    let mut advance = |mirror: &mut Mirror, key: String, value: Option<u8>| {
        number += 1;
        let change = Change {
            key: key.as_str().into(),
            revision: number,
            value: value.map(|value| vec![value].into()),
        };
        let from = mirror.revision();
        mirror
            .advance(from, revision(number), None, &[change])
            .unwrap();
    };
    for key in 0..3_000 {
        advance(&mut mirror, format!("catalog/entry/{key:04}"), Some(1));
    }
    let mut behind = mirror.clone();
    for key in 0..2_999 {
        advance(&mut mirror, format!("catalog/entry/{key:04}"), None);
    }
    let (from, changes) = mirror.since(behind.revision());
    assert_eq!(from, None);
    let differences = behind
        .replace(mirror.revision(), Some(mirror.digest()), &changes)
        .unwrap();
    assert_eq!(differences.len(), 2_999);
    assert_eq!(contents(&behind), contents(&mirror));
    let recent = Revision {
        number: mirror.revision().number - 100,
        ..mirror.revision()
    };
    let (from, changes) = mirror.since(recent);
    assert_eq!((from, changes.len()), (Some(recent), 100));
}
