use std::{sync::Arc, time::Duration};

use fake::{Store, store::Fault};

use super::{
    instance::unused_address,
    relay::{Injection, Relay},
    workdir::{Workdir, catalog, wait_for_output},
};

/// A store that holds `catalog(8)` at revision 1, and the files of further
/// catalogues.
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

/// Symptom: two operators are both told that their change is in force.
/// Events: both look at revision 1 and apply at the same moment.
/// Cause: a write that is not conditional on the revision it was planned from.
#[test]
fn of_two_operators_racing_one_wins_whole() {
    let (dir, store, at) = store_with_catalog();
    // Slow answers make it likely that both read before either writes; the
    // verdict is the same whichever way they fall.
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

/// Symptom: an operator's change undoes a colleague's of the same minute.
/// Events: the tool reads revision 1; the colleague applies; the tool's
/// transaction arrives.
/// Cause: as above, between the read and the write of one run.
#[test]
fn a_change_overtaken_on_its_way_ends_as_a_conflict() {
    let (dir, store, at) = store_with_catalog();
    let dir = Arc::new(dir);
    let (colleague, straight) = (Arc::clone(&dir), at.clone());
    let change = move || {
        let run = colleague.run(&["apply", "-m", "mine", "--store", &straight, "9.toml"]);
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

/// Symptom: a change that is in force is told as failed, and is applied again
/// by hand over a colleague's later one.
/// Events: the transaction takes effect; its answer is lost on the way back.
/// Cause: a tool that takes a missing answer for a missing effect.
#[test]
fn an_answer_lost_after_taking_effect_is_recognised() {
    let (dir, store, _) = store_with_catalog();
    let relay = Relay::spawn(store.address(), Injection::AnswerLost);
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.ends_with("accepted as revision 2\n"), "{run:?}");
    assert_eq!(store.revision(), 2);
}

/// Symptom: a change is told as refused, and is in force a moment later.
/// Events: etcd answers "request timed out" with the code for unavailable, and
/// carries the proposal out all the same.
/// Cause: an error's answer taken for proof that nothing ran.
#[test]
fn unavailable_is_not_taken_for_not_run() {
    let (dir, store, _) = store_with_catalog();
    let text = r#"{"code":14,"message":"etcdserver: request timed out"}"#;
    let injection = Injection::Answered("503 Service Unavailable", text);
    let relay = Relay::spawn(store.address(), injection);
    let at = relay.address.to_string();
    let run = dir.run(&["apply", "-m", "more", "--store", &at, "9.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(connections(&store), 9);
}

#[test]
fn what_the_store_rejects_is_told_in_its_words() {
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

#[test]
fn a_revision_that_is_past_is_a_conflict_before_anything_is_sent() {
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

#[test]
fn a_store_that_is_down_is_told_and_nothing_is_sent() {
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

/// Symptom: an old tool writes its own format over a newer catalogue.
/// Events: a colleague's newer tool applied; the old one applies after it.
/// Cause: a tool that writes over what it can't read.
#[test]
fn a_newer_catalogue_is_not_written_over() {
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

#[test]
fn a_faulty_file_never_reaches_the_store() {
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
fn a_large_change_is_applied_in_parts_when_asked() {
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
