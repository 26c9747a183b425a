//! Tests of the classification of statements and of the parsing of arbitrary text.

use std::time::Duration;

use clock::Instant;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use route::{
    KnownWrites,
    statement::{Access, Kind, classify, fingerprint, split},
    tag,
};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    TestRunner::new_with_rng(Config::with_cases(2_000), rng)
}

#[test]
fn reads() {
    for sql in [
        "select 1",
        "  -- a note; delete from slot\n SELECT * FROM slot",
        "/* outer /* update */ still */ table slot",
        "values (1), (2)",
        "(select 1) union (select 2)",
        "with open as (select * from slot) select * from open",
        "select 'delete; for update', \"for update\", $$ into $$",
        "select $body$ insert $x$ into $body$, e'it\\'s; into'",
        "select 'a''b; into'",
        "select note_update, inserted from slot",
        "select 1; select 2;",
        "select $1::int",
    ] {
        assert_eq!(classify(sql), Kind::Read, "{sql}");
    }
}

#[test]
fn writes() {
    for sql in [
        "insert into slot values (1)",
        "select * from slot for update",
        "select * from slot FOR /* now */ No Key Update",
        "select * from slot for\nshare skip locked",
        "select * into copy from slot",
        "with gone as (delete from slot returning *) select * from gone",
        "with a as (select 1) update slot set x = 1",
        "select nextval('ticket')",
        "select pg_advisory_lock(1)",
        "select set_config('a', 'b', false)",
        "select 1; insert into slot values (1)",
        "begin; update slot set x = 1; commit",
        "commit prepared 'x'",
        "truncate slot",
    ] {
        assert_eq!(classify(sql), Kind::Write, "{sql}");
    }
}

#[test]
fn other_kinds() {
    let cases = [
        ("", Kind::Empty),
        (" ; -- nothing\n;", Kind::Empty),
        ("begin", Kind::Begin(Access::ReadWrite)),
        (
            "start transaction isolation level serializable, read only",
            Kind::Begin(Access::ReadOnly),
        ),
        (
            "begin read only, read write",
            Kind::Begin(Access::ReadWrite),
        ),
        ("COMMIT", Kind::Commit),
        ("end work", Kind::Commit),
        ("rollback", Kind::Rollback),
        ("abort", Kind::Rollback),
        ("rollback to savepoint a", Kind::Other),
        ("commit and chain", Kind::Other),
        ("begin; select 1", Kind::Other),
        ("copy slot from stdin", Kind::Copy),
        (
            "show dandelionlink.token",
            Kind::Show {
                name: "dandelionlink.token",
            },
        ),
        ("SHOW \"Work\"", Kind::Show { name: "Work" }),
        ("explain select 1", Kind::Other),
        ("listen slots", Kind::Other),
        ("set local a = 1", Kind::Other),
        ("set transaction read only", Kind::Other),
        ("select 'open", Kind::Other),
        ("select 1 /* open", Kind::Other),
        ("select $a$ open", Kind::Other),
        ("'", Kind::Other),
    ];
    for (sql, kind) in cases {
        assert_eq!(classify(sql), kind, "{sql}");
    }
}

#[test]
fn settings() {
    for sql in [
        "set dandelionlink.token = 'ab-c_1'",
        "SET SESSION dandelionlink.token TO 'ab-c_1'",
        "set dandelionlink.token='ab-c_1' /* mine */;",
        "set dandelionlink.token = /* = */ 'ab-c_1'",
    ] {
        let set = Kind::Set {
            name: "dandelionlink.token",
            value: "ab-c_1",
        };
        assert_eq!(classify(sql), set, "{sql}");
    }
}

#[test]
fn tags_are_decoded_and_broken_ones_left_out() {
    let tags =
        tag::parse("/*action='x',class='a%20b'*/ select '/*class=''no''*/' /*request='it\\'s'*/");
    assert_eq!(tags.class.as_deref(), Some("a b"));
    assert_eq!(tags.request.as_deref(), Some("it's"));
    assert_eq!(
        tag::parse("select 1 /*class='%zz',request='open*/"),
        tag::Tags::default()
    );
    assert_eq!(tag::parse("select '/*class=''a''*/'"), tag::Tags::default());
}

/// Guards against a panic of the daemon on a client's text, as slicing between the bytes
/// of a character causes.
#[test]
fn arbitrary_text_does_not_panic_and_is_split_without_loss() {
    let piece = prop_oneof![
        ".{0,12}",
        "[-/*'\"$;eE\\\\ü \n=a1.]{0,24}",
        Just("select ".to_owned()),
        Just("set a.b = ".to_owned()),
        Just("show ".to_owned()),
        Just("/*class='".to_owned()),
    ];
    let text = proptest::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat());
    runner()
        .run(&text, |sql| {
            classify(&sql);
            tag::parse(&sql);
            let parts: Vec<_> = split(&sql).collect();
            prop_assert_eq!(parts.join(";"), sql);
            Ok(())
        })
        .unwrap();
}

/// Guards against a `DELETE` that is classified as a read, because a quote or comment
/// ahead hides the statement.
#[test]
fn a_write_behind_any_closed_quote_is_seen() {
    let hiding = prop_oneof![
        "[a-z;]{0,6}".prop_map(|s| format!("'{s}'")),
        "[a-z;']{0,6}".prop_map(|s| format!("\"{s}\"")),
        "[a-z;']{0,6}".prop_map(|s| format!("$q${s}$q$")),
        "[a-z;']{0,6}".prop_map(|s| format!("/*{s}*/ 1")),
        "[a-z;']{0,6}".prop_map(|s| format!("--{s}\n 1")),
    ];
    runner()
        .run(&hiding, |hidden| {
            let sql = format!("select {hidden}; delete from slot");
            prop_assert_eq!(classify(&sql), Kind::Write);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_known_write_is_forgotten_in_time_and_never_beyond_the_bound() {
    let mut known_writes = KnownWrites::new(2, Duration::from_secs(1));
    let texts = ["select a()", "select b()", "select c()"].map(fingerprint);
    for text in texts {
        known_writes.insert(Instant::ZERO, text);
    }
    let known = texts.map(|text| known_writes.contains(Instant::ZERO, text));
    assert_eq!(known, [false, true, true]);
    assert!(!known_writes.contains(Instant::from_millis(1_000), texts[2]));
}
