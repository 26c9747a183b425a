//! Keys and values in the store: encoding, decoding and rejection of invalid
//! values.

mod common;

use catalog::{
    Catalog,
    change::{self, Edit},
    history::{self, Record},
    layout::{self, Error, Key, Pair},
    plan::{self, MAX_OPS},
};

use common::{Store, proposal, small};

/// The pairs of a store with `small(8)`.
fn pairs() -> Vec<Pair> {
    let mut store = Store::default();
    let plan = plan::plan(&store.snapshot(), &small(8), proposal(1)).unwrap();
    store.run(&plan.txn).unwrap();
    store.pairs(layout::PREFIX)
}

/// `pairs()` with `old` replaced by `new` in the value under `key`.
fn altered(key: &str, old: &str, new: &str) -> Vec<Pair> {
    let mut pairs = pairs();
    let pair = pairs.iter_mut().find(|p| p.key.ends_with(key)).unwrap();
    let text = String::from_utf8(pair.value.clone()).unwrap();
    let altered = text.replace(old, new);
    assert_ne!(altered, text);
    pair.value = altered.into_bytes();
    pairs
}

#[test]
fn both_deployments_round_trip_through_the_store() {
    for text in [
        include_str!("../../../examples/stalgenoot.toml"),
        include_str!("../../../examples/umurage.toml"),
    ] {
        let catalog = Catalog::parse(text).unwrap();
        let mut store = Store::default();
        let plan = plan::plan(&store.snapshot(), &catalog, proposal(7)).unwrap();
        let revision = store.run(&plan.txn).unwrap();
        let snapshot = store.snapshot();
        assert_eq!(snapshot.catalog, catalog);
        assert_eq!(snapshot.revision, revision);
        assert_eq!(snapshot.head, Some(plan.head));
    }
}

/// Guards against an instance of an older version ignoring fields that a newer
/// tool wrote: the tool is upgraded first and applies a value of a newer format,
/// and the instance does not compare formats.
#[test]
fn a_newer_format_is_reported() {
    for key in ["head", "tenant/yard", "database/core", "entry/calendar"] {
        let pairs = altered(key, "\"format\":1", "\"format\":2");
        match layout::decode(&pairs) {
            Err(Error::Newer {
                key: reported,
                format: 2,
            }) => {
                assert!(reported.to_string().ends_with(key));
            }
            other => panic!("{key}: {other:?}"),
        }
    }
    // A newer head is reported before keys that only the newer version knows.
    let mut pairs = altered("head", "\"format\":1", "\"format\":2");
    pairs[0].key = "dandelionlink/catalog/class/gold".to_owned();
    let err = layout::decode(&pairs).unwrap_err();
    assert!(matches!(err, Error::Newer { .. }), "{err}");
}

/// Guards against decoding a catalogue from keys and values that no version of
/// the tool writes, such as misspelt, missing or inconsistent fields.
#[test]
fn invalid_keys_and_values_are_rejected() {
    let with_key = |key: &str| {
        let mut pairs = pairs();
        pairs[0].key = format!("{}{key}", layout::PREFIX);
        pairs
    };
    let cases = [
        (
            altered("entry/calendar", "\"queue\"", "\"quue\""),
            "unknown field `quue`",
        ),
        (
            altered("entry/calendar", "\"format\":1,", ""),
            "no `format` number",
        ),
        (
            altered("entry/calendar", "\"format\":1", "\"format\":\"1\""),
            "no `format` number",
        ),
        (altered("entry/calendar", "{", "["), "the value of"),
        (
            altered("entry/calendar", ":8", ":0"),
            "from 1 to 10000, not 0",
        ),
        (
            altered("entry/calendar", "\"core\"", "\"cor\""),
            "which is not declared",
        ),
        (
            altered("database/core", "10.0.0.2", "10.0.0.1"),
            "has already",
        ),
        (
            altered("head", "\"number\"", "\"nmber\""),
            "unknown field `nmber`",
        ),
        (with_key("class/gold"), "is not a key of the catalogue"),
        (with_key("entry/UPPER"), "is not a key of the catalogue"),
        (with_key("entry"), "is not a key of the catalogue"),
    ];
    for (pairs, message) in cases {
        let err = layout::decode(&pairs).unwrap_err().to_string();
        assert!(err.contains(message), "{err}");
    }
    let without_head: Vec<_> = pairs()
        .into_iter()
        .filter(|p| !p.key.ends_with("head"))
        .collect();
    assert!(matches!(layout::decode(&without_head), Err(Error::NoHead)));
}

#[test]
fn keys_round_trip() {
    for text in [
        "dandelionlink/catalog/head",
        "dandelionlink/catalog/tenant/yard",
        "dandelionlink/catalog/database/core-1",
        "dandelionlink/catalog/entry/a.b_c",
        "dandelionlink/revision/00000000000000000042",
    ] {
        let key: Key = text.parse().unwrap();
        assert_eq!(key.to_string(), text);
    }
    for text in [
        "",
        "dandelionlink/revision/42",
        "dandelionlink/catalog/tenant/a/b",
    ] {
        assert!(text.parse::<Key>().is_err(), "{text}");
    }
}

#[test]
fn a_difference_names_fields_and_masks_verifiers() {
    let old = small(8);
    let mut new = small(9);
    let users = &mut new.tenants.values_mut().next().unwrap().users;
    let verifier = users.remove("app").unwrap();
    users.insert("desk".to_owned(), verifier);
    let database = new.databases.values_mut().next().unwrap();
    database.upstreams.values_mut().next().unwrap().leaving = true;

    let changes = change::diff(&old, &new);
    let text: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        text,
        [
            "~ tenant `yard`\n    users.app: (hidden) -> none\n    users.desk: none -> (hidden)",
            "~ database `core`\n    upstream.a.leaving: false -> true",
            "~ entry `calendar`\n    connections: 8 -> 9",
        ]
    );
    let json = serde_json::to_string(&changes).unwrap();
    assert!(!json.contains("SCRAM"), "{json}");

    let removed = change::diff(&old, &Catalog::default());
    assert!(removed.iter().all(|change| change.edit == Edit::Removed));
}

#[test]
fn a_plan_writes_only_the_keys_that_differ() {
    let mut store = Store::default();
    let first = plan::plan(&store.snapshot(), &small(8), proposal(1)).unwrap();
    store.run(&first.txn).unwrap();
    let second = plan::plan(&store.snapshot(), &small(9), proposal(2)).unwrap();
    let keys: Vec<_> = second.txn.puts.iter().map(|put| put.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "dandelionlink/catalog/entry/calendar",
            "dandelionlink/catalog/head",
            "dandelionlink/revision/00000000000000000002",
        ]
    );
    assert_eq!(second.txn.compares[0].revision, 1);
    assert!(second.txn.deletes.is_empty());
    let same = plan::plan(&store.snapshot(), &small(8), proposal(3));
    assert!(matches!(same, Err(plan::Error::Same)));
}

/// Guards against instances never following a restored store: the backup has
/// the wanted catalogue under an older revision, and `apply` finds nothing to
/// change and so does not write the head.
#[test]
fn a_renewal_of_an_unchanged_catalogue_raises_the_epoch() {
    let mut store = Store::default();
    let first = plan::plan(&store.snapshot(), &small(8), proposal(1)).unwrap();
    store.run(&first.txn).unwrap();
    let renewal = plan::renew(&store.snapshot(), &small(8), proposal(2)).unwrap();
    assert_eq!(renewal.txn.ops(), 2);
    assert!(renewal.changes.is_empty());
    store.run(&renewal.txn).unwrap();
    let snapshot = store.snapshot();
    assert_eq!((snapshot.revision, snapshot.catalog), (2, small(8)));
    let head = snapshot.head.unwrap();
    assert_eq!((head.number, head.epoch), (2, 1));
    let later = plan::plan(&store.snapshot(), &small(9), proposal(3)).unwrap();
    assert_eq!(later.head.epoch, 1);
}

/// Guards against instances not applying changes, or mirroring the history: the
/// tool and the instances use types of two crates for the same head, and the
/// instances mirror a range of keys that must exclude the history.
#[test]
fn instances_can_parse_the_head() {
    let store = Store::default();
    let plan = plan::renew(&store.snapshot(), &small(8), proposal(42)).unwrap();
    let head = Key::Head.to_string();
    let put = plan.txn.puts.iter().find(|put| put.key == head).unwrap();
    let read = fleet::Head::parse(&put.value).unwrap();
    assert_eq!((read.format, read.epoch), (1, 1));
    assert_eq!(read.change, plan.head.change.to_string());

    let primary = "dandelionlink/primary/";
    assert!(layout::PREFIX < primary && primary < layout::HISTORY);
}

/// Guards against sending a transaction that the store would reject as too
/// large.
#[test]
fn changes_over_a_limit_are_rejected_when_planned() {
    let empty = Store::default().snapshot();
    let mut large = small(8);
    let verifier = large.tenants["yard"].users["app"].clone();
    let users = &mut large.tenants.values_mut().next().unwrap().users;
    users.extend((0..8_000).map(|n| (format!("user-{n}"), verifier.clone())));
    let err = plan::plan(&empty, &large, proposal(1)).unwrap_err();
    assert!(matches!(err, plan::Error::TooLarge { bytes, .. } if bytes > 1_000_000));

    let mut many = small(8);
    let entry = many.entries["calendar"].clone();
    for n in 0..MAX_OPS {
        let name = model::name::Entry::new(&format!("entry-{n}")).unwrap();
        many.entries.insert(name, entry.clone());
    }
    let err = plan::plan(&empty, &many, proposal(1)).unwrap_err();
    // 128 entries, `calendar`, its tenant and database, the head and the record.
    assert!(matches!(err, plan::Error::TooMany { ops: 133 }), "{err}");
}

#[test]
fn history_is_limited_in_number_and_size() {
    let mut store = Store::default();
    let changes = history::MAX_RECORDS + 5;
    for number in 1..=changes {
        let connections = 8 + (number % 2) as u16;
        let plan = plan::plan(
            &store.snapshot(),
            &small(connections),
            proposal(number.into()),
        );
        store.run(&plan.unwrap().txn).unwrap();
    }
    let records = store.pairs(layout::HISTORY);
    assert_eq!(records.len() as u64, history::MAX_RECORDS);
    let oldest = Record::decode(&records[0]).unwrap();
    assert_eq!(oldest.head.number, 6);
    assert_eq!(
        oldest.changes[0].to_string(),
        "~ entry `calendar`\n    connections: 9 -> 8"
    );

    let mut large = small(8);
    let verifier = large.tenants["yard"].users["app"].clone();
    let users = &mut large.tenants.values_mut().next().unwrap().users;
    users.extend((0..2_000).map(|n| (format!("user-{n}"), verifier.clone())));
    let plan = plan::plan(&store.snapshot(), &large, proposal(1)).unwrap();
    let record = plan.txn.puts.last().unwrap();
    assert!(record.value.len() < history::MAX_CHANGES_BYTES + 1_000);
    let pair = Pair {
        key: record.key.clone(),
        value: record.value.clone(),
        revision: 1,
    };
    assert!(Record::decode(&pair).unwrap().omitted > 0);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 400,
        ..Default::default()
    })]

    /// The decoder never panics on arbitrary bytes under any key.
    #[test]
    fn arbitrary_values_never_panic(
        at in 0usize..4,
        value in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200),
    ) {
        let mut pairs = pairs();
        pairs[at].value = value;
        proptest::prop_assert!(layout::decode(&pairs).is_err());
    }
}
