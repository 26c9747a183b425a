//! Parsing of the catalogue's text: accepted texts, and errors with locations.

use catalog::{
    Catalog, Fault, Lint, Problem, ReadFreshness,
    history::{MAX_CHANGES_BYTES, MAX_RECORDS},
    layout::MAX_VALUE,
    limit,
    plan::{MAX_BYTES, MAX_OPS},
};

const VERIFIER: &str = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// A small valid catalogue; `VERIFIER` is a placeholder for a user's verifier.
const VALID: &str = r#"[tenant.yard.users]
app = "VERIFIER"

[database.core]
dbname = "booking"

[database.core.upstream.a]
address = "10.0.0.1:5432"
zone = "z1"
slots = 2
connections = 16

[database.core.upstream.b]
address = "10.0.0.2:5432"
zone = "z2"
slots = 2
connections = 16

[database.core.upstream.c]
address = "10.0.0.3:5432"
zone = "z3"
slots = 2
connections = 16

[entry.calendar]
tenant = "yard"
database = "core"
freshness = "age"
staleness_ms = 5000
idempotent = true
priority = "low"
connections = 8
queue = 100
deadline_ms = 2000
"#;

fn valid() -> String {
    VALID.replace("VERIFIER", VERIFIER)
}

/// The errors of `VALID` with `old` replaced by `new`, which must change the
/// text.
fn faults(old: &str, new: &str) -> Vec<Fault> {
    let text = valid().replacen(old, new, 1);
    assert_ne!(text, valid(), "nothing to replace for {old:?}");
    Catalog::parse(&text).expect_err(new).faults
}

#[test]
fn each_error_is_reported_with_its_line() {
    let cases = [
        // Old text, new text, line of the error, part of its message.
        (
            "zone = \"z1\"",
            "zone = ",
            9,
            "string values must be quoted",
        ),
        ("[entry.calendar]", "[entry.calendar", 25, "unclosed"),
        (
            "zone = \"z2\"",
            "zone = \"z2\"\nzone = \"z2\"",
            16,
            "duplicate key",
        ),
        ("queue", "que", 25, "has no `queue`"),
        (
            "\"z1\"",
            "1",
            9,
            "`zone` of upstream `a` of database `core` must be a string",
        ),
        ("slots = 2", "slots = \"2\"", 10, "must be an integer"),
        (
            "idempotent = true",
            "idempotent = 1",
            30,
            "must be true or false",
        ),
        (
            "[tenant.yard.users]",
            "[tenant.yard]\nusers = 1\n[x]",
            2,
            "must be a table",
        ),
        (
            "connections = 16",
            "connections = 0",
            11,
            "from 1 to 10000, not 0",
        ),
        ("connections = 16", "connections = 70000", 11, "not 70000"),
        ("connections = 16", "connections = -1", 11, "not -1"),
        ("slots = 2", "slots = 0", 10, "from 1 to 1000, not 0"),
        ("slots = 2", "slots = 17", 10, "above its 16 connections"),
        (
            "connections = 8",
            "connections = 0",
            32,
            "from 1 to 10000, not 0",
        ),
        (
            "connections = 8",
            "connections = 49",
            32,
            "offer 48; ask for 48 at most",
        ),
        ("queue = 100", "queue = 100001", 33, "from 0 to 100000"),
        (
            "deadline_ms = 2000",
            "deadline_ms = 0",
            34,
            "from 1 to 3600000, not 0",
        ),
        (
            "staleness_ms = 5000",
            "staleness_ms = 0",
            29,
            "from 1 to 3600000, not 0",
        ),
        (
            "staleness_ms = 5000\n",
            "",
            28,
            "freshness `age` but no `staleness_ms`",
        ),
        (
            "\"age\"",
            "\"current\"",
            29,
            "has no effect with freshness `current`",
        ),
        (
            "\"age\"",
            "\"fresh\"",
            28,
            "`current`, `read-your-writes`, `age`, not `fresh`",
        ),
        (
            "\"low\"",
            "\"lowest\"",
            31,
            "`high`, `normal`, `low`, not `lowest`",
        ),
        (
            "tenant = \"yard\"",
            "tenant = \"yrd\"",
            26,
            "nearest are `yard`",
        ),
        (
            "database = \"core\"",
            "database = \"cor\"",
            27,
            "nearest are `core`",
        ),
        ("[entry.calendar]", "[entry.Calendar]", 25, "not 'C'"),
        ("zone = \"z1\"", "zone = \"\"", 9, "must not be empty"),
        (
            "10.0.0.1:5432",
            "db1.example:5432",
            8,
            "an IP address with a port",
        ),
        ("10.0.0.1:5432", "10.0.0.1", 8, "an IP address with a port"),
        (
            "10.0.0.1:5432",
            "10.0.0.1:0",
            8,
            "an IP address with a port",
        ),
        (
            "10.0.0.1:5432",
            "0.0.0.0:5432",
            8,
            "an IP address with a port",
        ),
        (
            "10.0.0.2",
            "10.0.0.1",
            14,
            "which upstream `a` of database `core` has already",
        ),
        (
            "\"booking\"",
            "\"\"",
            5,
            "`dbname` of database `core` must have from 1 to 63 bytes",
        ),
        (
            VERIFIER,
            "secret",
            2,
            "written SCRAM-SHA-256$iterations:salt$stored:server",
        ),
        ("$4096:", "$1:", 2, "from 4096 to 1000000 iterations"),
        ("c2FsdA==", "", 2, "the salt of a verifier"),
        ("AAA=:", "AA=:", 2, "base64 of 32 bytes each"),
    ];
    for (old, new, line, message) in cases {
        let faults = faults(old, new);
        let reported = faults
            .iter()
            .any(|fault| fault.line == line && fault.kind.to_string().contains(message));
        assert!(reported, "{old:?} -> {new:?}: {faults:#?}");
    }
}

#[test]
fn an_unknown_key_is_reported_with_the_known_ones() {
    let cases = [
        ("[tenant.yard.users]", "[tenants.yard.users]", 1),
        ("dbname", "name", 5),
        ("slots = 2", "slots = 2\nweight = 1", 11),
        ("queue = 100", "queue = 100\nqueue_len = 100", 34),
    ];
    for (old, new, line) in cases {
        let faults = faults(old, new);
        let reported = faults.iter().any(|fault| {
            fault.line == line
                && matches!(&fault.kind, Problem::UnknownKey { known, .. } if !known.is_empty())
        });
        assert!(reported, "{old:?} -> {new:?}: {faults:#?}");
    }
}

/// Guards against spurious follow-up errors: a table with an error is left out
/// of the catalogue that the rules check, and an entry that refers to the table
/// was reported as naming an undeclared database or exceeding its connections.
#[test]
fn an_error_causes_no_spurious_errors() {
    for (old, new) in [
        ("10.0.0.1:5432", "nowhere"),
        ("zone = \"z1\"\n", ""),
        ("dbname = \"booking\"\n", "dbname = 7\n"),
    ] {
        let faults = faults(old, new);
        assert_eq!(faults.len(), 1, "{faults:#?}");
    }
}

#[test]
fn all_errors_are_reported_in_the_order_of_lines() {
    let text = valid()
        .replacen("connections = 16", "connections = 0", 1)
        .replace("10.0.0.3", "10.0.0.2")
        .replace("tenant = \"yard\"", "tenant = \"yrd\"")
        .replace("queue = 100", "queue = 100\nweight = 3")
        .replace("deadline_ms = 2000", "deadline_ms = 0");
    let faults = Catalog::parse(&text).unwrap_err().faults;
    let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
    // Line 10: the upstream without connections has more slots than connections.
    assert_eq!(lines, [10, 11, 20, 26, 34, 35], "{faults:#?}");
}

#[test]
fn a_column_counts_characters() {
    let faults = faults("zone = \"z1\"", "zone = \"zé\"");
    assert_eq!((faults[0].line, faults[0].column), (9, 8));
    let text = "é = 1";
    let faults = Catalog::parse(text).unwrap_err().faults;
    assert_eq!((faults[0].line, faults[0].column), (1, 1));
}

#[test]
fn questionable_declarations_cause_warnings() {
    let single = "\n[database.one]\ndbname = \"x\"\nupstream.a = { address = \"10.9.0.1:5432\", zone = \"z\", slots = 1, connections = 2, leaving = true }\n";
    let even = "[database.two]\ndbname = \"x\"\nupstream.a = { address = \"10.9.0.2:5432\", zone = \"z\", slots = 1, connections = 2 }\nupstream.b = { address = \"10.9.0.3:5432\", zone = \"z\", slots = 1, connections = 2 }\n";
    let text = valid().replace(&format!("app = \"{VERIFIER}\""), "") + single + even;
    let checked = Catalog::check(&text).unwrap();
    let reported: Vec<_> = checked
        .warnings
        .iter()
        .map(|warning| (warning.line, &warning.kind))
        .collect();
    assert!(
        matches!(reported[0], (1, Lint::NoUser { .. })),
        "{reported:?}"
    );
    assert!(
        matches!(reported[1], (36, Lint::SingleUpstream { .. })),
        "{reported:?}"
    );
    assert!(
        matches!(reported[2], (36, Lint::AllLeaving { .. })),
        "{reported:?}"
    );
    assert!(
        matches!(reported[3], (39, Lint::EvenUpstreams { count: 2, .. })),
        "{reported:?}"
    );
    assert_eq!(reported.len(), 4);
}

#[test]
fn defaults_are_filled_in_and_text_round_trips() {
    let text = valid()
        .replace("idempotent = true\n", "")
        .replace("priority = \"low\"\n", "");
    let catalog = Catalog::parse(&text).unwrap();
    let entry = catalog.entries.values().next().unwrap();
    assert!(!entry.idempotent);
    assert_eq!(entry.class().priority, model::Priority::Normal);
    let again = Catalog::parse(&catalog.to_text().unwrap()).unwrap();
    assert_eq!(again, catalog);
}

#[test]
fn both_deployments_have_the_expected_sizes() {
    let stalgenoot = include_str!("../../../examples/stalgenoot.toml");
    let umurage = include_str!("../../../examples/umurage.toml");
    for (text, zones, connections) in [(stalgenoot, 4, 16), (umurage, 3, 35)] {
        let checked = Catalog::check(text).unwrap();
        assert_eq!(checked.warnings, []);
        assert_eq!(checked.catalog.databases.len(), 3);
        let mut seen = std::collections::BTreeSet::new();
        for database in checked.catalog.databases.values() {
            assert_eq!(database.upstreams.len(), 3);
            for upstream in database.upstreams.values() {
                assert_eq!((upstream.slots, upstream.connections), (2, connections));
                seen.insert(upstream.zone.clone());
            }
        }
        assert_eq!(seen.len(), zones);
    }
    let catalog = Catalog::parse(stalgenoot).unwrap();
    let entry = |name| &catalog.entries[name];
    assert_eq!(entry("calendar").freshness, ReadFreshness::Age);
    assert!(!entry("payment").idempotent);
    assert!(!entry("slot-reservation").idempotent);
}

/// Guards against an outdated reference for operators: a key is added or a
/// limit changed in the code alone.
#[test]
fn the_reference_lists_every_key_and_bound() {
    let reference = include_str!("../../../docs/CATALOG.md");
    let mut keys: Vec<&str> = Vec::new();
    for (old, new) in [
        (
            "[tenant.yard.users]",
            "[tenant.yard]\nnone = 1\n[tenant.yard.users]",
        ),
        ("dbname", "none = 1\ndbname"),
        ("slots = 2", "slots = 2\nnone = 1"),
        ("queue = 100", "queue = 100\nnone = 1"),
    ] {
        let known = faults(old, new)
            .into_iter()
            .find_map(|fault| match fault.kind {
                Problem::UnknownKey { known, .. } => Some(known),
                _ => None,
            });
        keys.extend(known.unwrap());
    }
    assert_eq!(keys.len(), 17);
    for key in keys {
        assert!(reference.contains(&format!("| `{key}` |")), "{key}");
    }
    for (key, bounds) in [
        ("slots", limit::SLOTS),
        ("connections", limit::CONNECTIONS),
        ("queue", limit::QUEUE),
        ("deadline_ms", limit::DEADLINE_MS),
        ("staleness_ms", limit::STALENESS_MS),
    ] {
        let bounds = format!("{} to {}", bounds.start(), bounds.end());
        let mut rows = reference
            .lines()
            .filter(|line| line.starts_with(&format!("| `{key}`")));
        assert!(rows.all(|row| row.contains(&bounds)), "{key}: {bounds}");
    }
    for number in [
        MAX_VALUE,
        MAX_OPS,
        MAX_BYTES,
        MAX_CHANGES_BYTES,
        MAX_RECORDS as usize,
    ] {
        assert!(reference.contains(&format!(" {number} ")), "{number}");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        cases: 400,
        ..Default::default()
    })]

    /// A damaged text is parsed or rejected with lines inside the text, without a
    /// panic.
    #[test]
    fn damaged_text_never_panics(
        from in 0usize..1_000,
        len in 0usize..40,
        insert in proptest::collection::vec(proptest::prelude::any::<char>(), 0..8),
    ) {
        let text: Vec<char> = valid().chars().collect();
        let from = from.min(text.len());
        let to = (from + len).min(text.len());
        let damaged: String = text[..from].iter().chain(&insert).chain(&text[to..]).collect();
        if let Err(err) = Catalog::parse(&damaged) {
            proptest::prop_assert!(!err.faults.is_empty());
            let lines = damaged.lines().count() + 1;
            proptest::prop_assert!(err.faults.iter().all(|f| f.line >= 1 && f.line <= lines));
        }
    }
}
