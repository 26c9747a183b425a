//! The tool against daemons that run in the test's process.

#[path = "../../daemon/tests/rig/mod.rs"]
mod rig;
#[allow(dead_code)]
#[path = "cmd/workdir.rs"]
mod workdir;

use std::time::Duration;

use rig::{Rig, run};
use serde_json::Value;
use workdir::{Run, Workdir};

/// Maximum number of runs of the tool until its output passes a test.
const MAX_ATTEMPTS: usize = 300;

/// Operators' ports of the rig's daemons, separated by commas.
fn instances(rig: &Rig) -> String {
    let ports = rig.daemons.iter().flatten();
    let ports: Vec<_> = ports.map(|it| it.ops().to_string()).collect();
    ports.join(",")
}

/// Runs the tool until its JSON output passes `test`.
async fn poll_until(args: &[&str], test: impl Fn(&Value) -> bool) -> Value {
    let dir = Workdir::new();
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let run = dir.run(args);
        if run.code == 0 && test(&run.json()) {
            return run.json();
        }
        last = Some(run);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{args:?} never passed the test: {last:?}");
}

fn doubts(status: &Value) -> Vec<&Value> {
    let answers = status["answers"].as_array().unwrap();
    let doubts = answers.iter().map(|it| &it["answer"]["doubts"]);
    doubts.flat_map(|it| it.as_array().unwrap()).collect()
}

fn row<'a>(run: &'a Run, start: &[&str]) -> Vec<&'a str> {
    let rows = run.out.lines().map(|it| it.split_whitespace().collect());
    let mut found = rows.filter(|it: &Vec<&str>| it.starts_with(start));
    found.next().unwrap_or_else(|| panic!("{start:?}: {run:?}"))
}

#[test]
fn instances_upstreams_and_sessions_are_shown() {
    let rig = Rig::open(2);
    let at = instances(&rig);
    let revision = rig.revision().to_string();
    let dir = Workdir::new();
    let wait = ["wait", "--revision", &revision, "--instance", &at];
    let waited = dir.run(&wait);
    assert_eq!(waited.code, 0, "{waited:?}");
    let in_force = format!("revision {revision} is in force at 2 instances\n");
    assert_eq!(waited.out, in_force);

    run(async {
        let client = rig.connect(0, "slots").await;
        let insert = "INSERT INTO kv (key, value) VALUES ('a', '1')";
        client.batch_execute(insert).await.unwrap();
        client.batch_execute("BEGIN").await.unwrap();
        client
            .batch_execute(&insert.replace("'a'", "'b'"))
            .await
            .unwrap();

        let status = ["status", "--json", "--instance", &at];
        let sees_other = |it: &Value| {
            let answers = it["answers"].as_array().unwrap();
            let mut members = answers.iter().map(|it| &it["answer"]["members"]);
            members.all(|it| it[0]["health"] == "alive")
        };
        let shown = poll_until(&status, |it| doubts(it).is_empty() && sees_other(it)).await;
        assert_eq!(shown["summary"]["revision"]["number"].to_string(), revision);
        let primary = &shown["summary"]["primaries"]["booking"];
        assert_eq!(primary["upstream"], "booking-0");
        assert_eq!(primary["seen_by"], 2);
        for zone in ["nl-west-0", "nl-west-1"] {
            assert_eq!(shown["summary"]["zones"][zone]["in_force"], 1);
        }

        let upstreams = dir.run(&["upstreams", "--instance", &at]);
        assert_eq!(upstreams.code, 0, "{upstreams:?}");
        let primary = row(&upstreams, &["entry-0", "booking", "booking-0"]);
        assert_eq!(primary[3..6], ["nl-west-0", "up", "primary"]);
        assert_eq!(primary[6], primary[7], "a primary has replayed its own log");
        let view = ["upstreams", "--json", "--instance", &at];
        // One connection is in the transaction, whichever instance holds it.
        let sum = |it: &Value, what: &str| {
            let answers = it.as_array().unwrap().iter();
            let pools = answers.map(|it| &it["answer"]["upstreams"][0]["pool"][what]);
            pools.filter_map(Value::as_u64).sum::<u64>()
        };
        let busy = poll_until(&view, |it| sum(it, "busy") == 1).await;
        assert!((1..=16).contains(&sum(&busy, "limit")), "{busy}");

        let sessions = dir.run(&["sessions", "--instance", &at]);
        assert!(sessions.out.contains("entry-0: 1 shown of 1 sessions\n"));
        assert!(sessions.out.contains("entry-1: 0 shown of 0 sessions\n"));
        let held = row(&sessions, &["entry-0", "yard", "slots", "groom"]);
        assert_eq!(held[7..9], ["in", "transaction"], "{held:?}");

        client.batch_execute("COMMIT").await.unwrap();
        let sessions = dir.run(&["sessions", "--json", "--instance", &at]).json();
        let idle = &sessions[0]["answer"]["sessions"][0];
        assert_eq!(idle["phase"], "idle");
        assert_eq!(idle["transaction_ms"], Value::Null);
        assert!(idle["token"]["lsn"].as_u64().unwrap() > 0);
    });
}

/// Guards against missing problems in `status`: the store is down and an upstream
/// has crashed.
#[test]
fn a_silent_store_and_a_crashed_upstream_are_reported() {
    let rig = Rig::open(1);
    let at = instances(&rig);
    let status = ["status", "--json", "--instance", &at];
    let has = |it: &Value, kind: &str| doubts(it).iter().any(|it| it["kind"] == kind);
    run(async {
        drop(rig.connect(0, "slots").await);
        poll_until(&status, |it| doubts(it).is_empty()).await;
        rig.store.set_fault(fake::store::Fault::Down);
        rig.group.set_fault(2, fake::group::Fault::Crashed);
        let wrong = poll_until(&status, |it| {
            has(it, "store-silent") && has(it, "upstream-silent")
        });
        let store = &wrong.await["answers"][0]["answer"]["store"];
        assert_eq!(store["state"], "silent");
    });
    let reported = Workdir::new().run(&["status", "--instance", &at]);
    assert!(
        reported.out.contains("  entry-0: the store is silent for "),
        "{reported:?}"
    );
    let crashed = "  entry-0: upstream `booking-2` of database `booking` is silent for ";
    assert!(reported.out.contains(crashed), "{reported:?}");
}

/// Guards against a catalogue of a newer format taking an older daemon out of
/// service: the daemon reports the format and keeps its catalogue in force.
#[test]
fn a_catalogue_of_a_newer_format_is_not_applied_and_a_stop_is_reported() {
    let mut rig = Rig::open(1);
    let at = instances(&rig);
    let status = ["status", "--json", "--instance", &at];
    let in_force = rig.revision();
    run(async {
        let client = rig.connect(0, "slots").await;
        poll_until(&status, |it| doubts(it).is_empty()).await;
        let head = catalog::layout::Key::Head.to_string();
        rig.store.put(&head, br#"{"format":99}"#);
        let newer = |it: &Value| {
            let mut found = doubts(it).into_iter();
            found.find(|it| it["kind"] == "newer").cloned()
        };
        let held = poll_until(&status, |it| newer(it).is_some()).await;
        let doubt = newer(&held).unwrap();
        assert_eq!(doubt["format"], 99);
        assert_eq!(doubt["revision"]["number"], rig.store.revision());
        assert_eq!(held["summary"]["revision"]["number"], in_force);

        client.batch_execute("BEGIN").await.unwrap();
        let daemon = rig.daemons[0].take().unwrap();
        let stopped = tokio::task::spawn_blocking(move || daemon.stop());
        let stops = |it: &Value| doubts(it).iter().any(|it| it["kind"] == "stopping");
        poll_until(&status, stops).await;
        client.batch_execute("COMMIT").await.unwrap();
        stopped.await.unwrap();
    });
}

/// Guards against false reports with two upstreams down: `status` showed the
/// primary as 17 s behind, because its lag was counted from the current time
/// although no upstream confirmed positions, and an instance as lacking a change,
/// because a primary record's revision was taken for the catalogue's.
#[test]
fn an_unconfirmed_primary_is_reported_and_not_shown_as_behind() {
    let mut rig = Rig::open(2);
    let at = rig.daemons[0].as_ref().unwrap().ops().to_string();
    let status = ["status", "--json", "--instance", &at];
    run(async {
        let sees_other = |it: &Value| {
            let other = &it["answers"][0]["answer"]["members"][0];
            let primary = &it["summary"]["primaries"]["booking"];
            let confirmed = primary["confirmed_ms_ago"].is_u64();
            confirmed && doubts(it).is_empty() && other["revision"].is_object()
        };
        poll_until(&status, sees_other).await;
        rig.daemons[1].take().unwrap().kill();
        rig.group.set_fault(1, fake::group::Fault::Crashed);
        rig.group.set_fault(2, fake::group::Fault::Crashed);
        let kinds = |it: &Value| {
            let kinds = doubts(it).into_iter().map(|it| it["kind"].clone());
            kinds.collect::<Vec<_>>()
        };
        // The other instance's last report may be ahead of this one for a moment.
        let reported = |it: &Value| {
            let kinds = kinds(it);
            kinds.contains(&"unconfirmed".into())
                && kinds.iter().filter(|it| *it == "upstream-silent").count() == 2
                && it["summary"]["revision"]["number"] == rig.revision()
        };
        let shown = poll_until(&status, reported).await;
        assert!(
            !kinds(&shown).contains(&"upstream-behind".into()),
            "{shown}"
        );
        let confirmed = &shown["summary"]["primaries"]["booking"]["confirmed_ms_ago"];
        assert!(confirmed.as_u64().unwrap() >= 2_000, "{shown}");
        assert_eq!(shown["summary"]["zones"]["nl-west-0"]["in_force"], 1);
    });
}
