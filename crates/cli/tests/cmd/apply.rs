use std::{sync::Arc, time::Duration};

use fake::{Store, store::Fault};

use super::{
    instance::unused_address,
    relay::{Injection, Relay},
    workdir::{Workdir, catalog, wait_for_output},
};

/// A store with `catalog(8)` at revision 1, a directory with files of further
/// catalogues, and the store's address.
fn store_with_catalog() -> (Workdir, Store, String) {
    let dir = Workdir::new();
    let store = Store::spawn().unwrap();
    let at = store.address().to_string();
    for connections in 8..12 {
        dir.file(&format!("{connections}.toml"), &catalog(connections));
    }
    let run = dir.run(&["apply", "-m", "first", "--store", &at, "8.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.ends_with("accepted as revision 1\n"), "{run:?}");
    (dir, store, at)
}

fn connections(store: &Store) -> u64 {
    let value = store.value("dandelionlink/catalog/entry/calendar").unwrap();
    let json: serde_json::Value = serde_json::from_slice(&value).unwrap();
    json["connections"].as_u64().unwrap()
}

#[test]
fn a_change_is_applied_once_and_read_back() {
    let (dir, store, at) = store_with_catalog();
    let run = dir.run(&["apply", "--json", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.json()["applied"]["revision"]["number"], 2);
    assert_eq!(connections(&store), 9);

    let run = dir.run(&["apply", "-m", "again", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0);
    assert_eq!(run.out, "nothing to change from revision 2\n");
    assert_eq!(store.revision(), 2);

    let args = [
        "apply", "--renew", "-m", "restored", "--store", &at, "9.toml",
    ];
    let run = dir.run(&args);
    assert_eq!(run.out, "accepted as revision 1.3\n");

    let run = dir.run(&["show", "--store", &at]);
    dir.file("shown.toml", &run.out);
    let run = dir.run(&["diff", "--store", &at, "shown.toml"]);
    assert_eq!(run.out, "nothing to change from revision 3\n");
}

/// Guards against reporting success to two operators that apply concurrently
/// from revision 1, with writes that are not conditional on that revision.
#[test]
fn of_two_concurrent_changes_only_one_is_applied() {
    let (dir, store, at) = store_with_catalog();
    // Slow answers make it likely that both read before either writes; the
    // checks hold in either case.
    store.set_fault(Fault::Slow(Duration::from_millis(100)));
    let start = |file: &str| {
        let args = ["apply", "--from", "1", "-m", file, "--store", &at, file];
        dir.command(&args).spawn().unwrap()
    };
    let runs = [start("9.toml"), start("10.toml")].map(wait_for_output);
    let mut codes = runs.each_ref().map(|run| run.code);
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{runs:?}");
    let winner = if runs[0].code == 0 { 9 } else { 10 };
    assert_eq!(connections(&store), winner);
    assert_eq!(store.revision(), 2);
    let loser = runs.iter().find(|run| run.code == 3).unwrap();
    let change = format!("connections: 8 -> {winner}");
    assert!(loser.err.contains(&change), "{loser:?}");
    let author = format!("number 2 by imena: {winner}.toml");
    assert!(loser.err.contains(&author), "{loser:?}");
}

/// Guards against undoing another operator's change that is committed between
/// the tool's read of revision 1 and its write.
#[test]
fn a_change_after_a_concurrent_one_is_a_conflict() {
    let (dir, store, at) = store_with_catalog();
    let dir = Arc::new(dir);
    let (other, direct) = (Arc::clone(&dir), at.clone());
    let change = move || {
        let run = other.run(&["apply", "-m", "mine", "--store", &direct, "9.toml"]);
        assert_eq!(run.code, 0, "{run:?}");
    };
    let relay = Relay::spawn(
        store.address(),
        Injection::ConcurrentChange(Box::new(change)),
    );
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "--json", "-m", "late", "--store", &at, "10.toml"]);
    assert_eq!(run.code, 3, "{run:?}");
    let conflict = &run.json()["conflict"];
    assert_eq!(conflict["revision"], 2);
    assert_eq!(conflict["head"]["message"], "mine");
    assert_eq!(conflict["changes"][0]["edit"]["changed"][0]["after"], "9");
    assert_eq!(connections(&store), 9);
}

/// Guards against reporting a change in force as failed, which an operator would
/// apply again over a later change: the transaction takes effect, its answer is
/// lost, and the tool treats a missing answer as a failure.
#[test]
fn a_change_with_a_lost_answer_is_recognised() {
    let (dir, store, _) = store_with_catalog();
    let relay = Relay::spawn(store.address(), Injection::AnswerLost);
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.ends_with("accepted as revision 2\n"), "{run:?}");
    assert_eq!(store.revision(), 2);
}

/// Guards against reporting a change as not run that takes effect later: etcd
/// answers "request timed out" with the code for unavailable and commits the
/// transaction all the same, and the tool treats the error as proof of failure.
#[test]
fn unavailable_does_not_mean_not_run() {
    let (dir, store, _) = store_with_catalog();
    let text = r#"{"code":14,"message":"etcdserver: request timed out"}"#;
    let injection = Injection::Answered("503 Service Unavailable", text);
    let relay = Relay::spawn(store.address(), injection);
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(connections(&store), 9);
}

/// Guards against an unknown outcome or a message without the reason when the
/// store rejects the transaction.
#[test]
fn a_rejection_is_reported_with_the_stores_message() {
    let (dir, store, _) = store_with_catalog();
    let text = r#"{"code":8,"message":"etcdserver: mvcc: database space exceeded"}"#;
    let injection = Injection::Answered("429 Too Many Requests", text);
    let relay = Relay::spawn(store.address(), injection);
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("nothing was changed"), "{run:?}");
    assert!(run.err.contains("database space exceeded"), "{run:?}");
    assert_eq!(store.revision(), 1);
}

/// Guards against applying a file that was prepared for an earlier revision:
/// another change was applied between `diff` and `apply --from`.
#[test]
fn an_outdated_revision_is_a_conflict_without_a_write() {
    let (dir, store, at) = store_with_catalog();
    dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    let run = dir.run(&[
        "apply", "--from", "1", "-m", "late", "--store", &at, "10.toml",
    ]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(
        run.err
            .contains("nothing was changed\nin force now: revision 2"),
        "{run:?}"
    );
    assert!(run.err.contains("connections: 8 -> 9"), "{run:?}");
    assert_eq!(store.writes(), 2);
}

/// Guards against an unclear outcome when the store can't be reached before
/// anything is sent.
#[test]
fn an_unreachable_store_is_reported_without_a_write() {
    let (dir, store, _) = store_with_catalog();
    let down = unused_address().to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &down, "9.toml"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("the store can't be read"), "{run:?}");

    store.set_fault(Fault::Down);
    let at = store.address().to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("the store can't be read"), "{run:?}");
    assert_eq!(store.writes(), 1);
}

/// Guards against an old version of the tool overwriting a catalogue that a
/// newer version wrote in a format that the old one can't read.
#[test]
fn a_newer_catalogue_is_not_overwritten() {
    let (dir, store, at) = store_with_catalog();
    let head = store.value("dandelionlink/catalog/head").unwrap();
    let newer = String::from_utf8(head)
        .unwrap()
        .replace("\"format\":1", "\"format\":2");
    store.put("dandelionlink/catalog/head", newer.as_bytes());
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 1);
    assert!(
        run.err
            .contains("has format 2, this version reads up to 1; upgrade it"),
        "{run:?}"
    );
    assert_eq!(connections(&store), 8);
}

/// Guards against sending an invalid catalogue to the store.
#[test]
fn an_invalid_file_is_rejected_before_the_store_is_called() {
    let (dir, store, at) = store_with_catalog();
    dir.file("bad.toml", &catalog(0));
    let calls = store.calls();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "bad.toml"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("bad.toml:15:15"), "{run:?}");
    assert_eq!(store.calls(), calls);
}

/// The catalogue of `catalog(8)` with 200 further entries.
fn large() -> String {
    let entry = |n| {
        format!(
            "[entry.calendar-{n}]\ntenant = \"yard\"\ndatabase = \"core\"\n\
             freshness = \"current\"\nconnections = 8\nqueue = 1\ndeadline_ms = 1\n"
        )
    };
    catalog(8) + &(0..200).map(entry).collect::<String>()
}

#[test]
fn a_large_change_is_applied_in_parts_with_the_flag() {
    let (dir, store, at) = store_with_catalog();
    dir.file("large.toml", &large());
    let args = ["apply", "-m", "all", "--store", &at, "large.toml"];
    let run = dir.run(&args);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("touches 202 keys"), "{run:?}");
    assert!(run.err.contains("apply it with `--in-parts`"), "{run:?}");
    assert_eq!(store.revision(), 1);

    let mut args = args.to_vec();
    args.push("--in-parts");
    let run = dir.run(&args);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.ends_with("accepted as revision 3\n"), "{run:?}");
    let run = dir.run(&["history", "--store", &at]);
    assert!(run.out.contains("all (part 2 of 2)"), "{run:?}");
    let run = dir.run(&["diff", "--store", &at, "large.toml"]);
    assert_eq!(run.out, "nothing to change from revision 3\n");
}
