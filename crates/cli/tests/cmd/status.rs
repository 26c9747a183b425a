use serde_json::json;

use super::{
    instance::{Instance, member, status, unused_address},
    workdir::Workdir,
};

#[test]
fn zones_instances_primaries_and_doubts_are_shown() {
    let dir = Workdir::new();
    let mut first = status("i-1", "z1", 42);
    first["members"] = json!([
        member("i-2", "z2", "alive", 41),
        member("i-3", "z3", "dead", 40),
    ]);
    let mut second = status("i-2", "z2", 42);
    second["primaries"][0]["term"] = json!(2);
    second["doubts"] = json!([{ "kind": "no-primary", "database": "core" }]);
    let one = Instance::spawn("/status", vec![first]);
    let two = Instance::spawn("/status", vec![second]);
    let unreachable = unused_address();
    let list = format!("{},{},{unreachable}", one.address, two.address);

    let run = dir.run(&["status", "--instance", &list]);
    assert_eq!(run.code, 5, "{run:?}");
    let lines: Vec<_> = run.out.lines().collect();
    assert_eq!(lines[0], "revision 42 is the latest in force");
    let row = |start: &str| {
        let line = lines.iter().find(|line| line.starts_with(start));
        let line = line.unwrap_or_else(|| panic!("{start}: {run:?}"));
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(row("z2"), "z2 1 1 1");
    assert_eq!(row("z3"), "z3 1 0 0");
    assert_eq!(
        row("i-2"),
        "i-2 z2 alive 42 1200 ms answered 7 ms ago 0.1.0"
    );
    assert_eq!(row("i-3"), "i-3 z3 dead (reported) 40 - - -");
    assert_eq!(row("core"), "core 3 a 12 ms ago 1");
    assert!(lines.contains(&"  i-2: database `core` has no primary: writes fail"));
    assert!(
        run.out.contains(&format!("  {unreachable}: no answer: ")),
        "{run:?}"
    );
}

#[test]
fn json_has_the_same_contents() {
    let dir = Workdir::new();
    let one = Instance::spawn("/status", vec![status("i-1", "z1", 42)]);
    let at = one.address.to_string();
    let run = dir.run(&["status", "--json", "--instance", &at]);
    assert_eq!(run.code, 0, "{run:?}");
    let json = run.json();
    assert_eq!(json["summary"]["revision"]["number"], 42);
    assert_eq!(json["summary"]["zones"]["z1"]["in_force"], 1);
    assert_eq!(json["answers"][0]["answer"]["instance"], "i-1");
}

#[test]
fn absence_of_problems_is_reported() {
    let one = Instance::spawn("/status", vec![status("i-1", "z1", 42)]);
    let run = Workdir::new().run(&["status", "--instance", &one.address.to_string()]);
    assert_eq!(run.code, 0);
    assert!(run.out.ends_with("\nnothing is wrong\n"), "{run:?}");
}

/// Guards against losing the reasons when no instance gives a valid answer:
/// malformed JSON, an error status and a closed port.

#[test]
fn invalid_answers_are_reported() {
    let dir = Workdir::new();
    let garbage = Instance::spawn_text("/status", vec!["{".to_owned()]);
    let other = Instance::spawn("/elsewhere", vec![json!({})]);
    let list = format!("{},{},{}", garbage.address, other.address, unused_address());
    let run = dir.run(&["status", "--instance", &list]);
    assert_eq!(run.code, 1);
    for part in [
        "no instance answered",
        "can't be read: EOF",
        "404 Not Found",
    ] {
        assert!(run.err.contains(part), "{part}: {run:?}");
    }
}
