use serde_json::json;

use super::{
    instance::{Instance, member, status, unused_address},
    workdir::Workdir,
};

#[test]
fn wait_ends_when_the_revision_is_in_force_at_all_reachable_instances() {
    let dir = Workdir::new();
    let mut behind = status("i-1", "z1", 41);
    behind["members"] = json!([
        member("i-2", "z2", "alive", 41),
        member("i-3", "z3", "suspect", 40),
    ]);
    let mut updated = behind.clone();
    updated["revision"] = json!({ "number": 42 });
    updated["members"][0]["revision"] = json!({ "number": 43 });
    let one = Instance::spawn("/status", vec![behind, updated]);
    let unreachable = unused_address();
    let list = format!("{},{unreachable}", one.address);
    let run = dir.run(&["wait", "--revision", "42", "--instance", &list]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out
            .starts_with("revision 42 is in force at 2 instances\n"),
        "{run:?}"
    );
    assert!(run.out.contains("unreachable: i-3 in zone z3\n"), "{run:?}");
    assert!(
        run.out.contains(&format!("unreachable: {unreachable}: ")),
        "{run:?}"
    );
    assert!(!run.out.contains("lacking"), "{run:?}");
}

/// Guards against a timeout that doesn't show which instances lack the revision.
#[test]
fn a_timeout_lists_the_instances_that_lack_the_revision() {
    let dir = Workdir::new();
    let mut first = status("i-1", "z1", 42);
    first["members"] = json!([member("i-2", "z2", "alive", 41)]);
    let one = Instance::spawn("/status", vec![first]);
    let at = one.address.to_string();
    let args = [
        "wait",
        "--revision",
        "42",
        "--timeout",
        "0",
        "--instance",
        &at,
    ];
    let run = dir.run(&args);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.out.contains("lacking: i-2 in zone z2\n"), "{run:?}");

    let mut args = args.to_vec();
    args.push("--json");
    let json = dir.run(&args).json();
    assert_eq!(json["lacking"], json!(["i-2 in zone z2"]));
    assert_eq!(json["in_force"], json!(["i-1 in zone z1"]));
}

/// Guards against reporting a revision as in force too early: the store is
/// restored and continues from revision 30 in a new epoch, an instance still has
/// revision 42 of the previous epoch, and only the numbers are compared.
#[test]
fn a_revision_of_an_earlier_epoch_is_older() {
    let one = Instance::spawn("/status", vec![status("i-1", "z1", 42)]);
    let at = one.address.to_string();
    let args = [
        "wait",
        "--revision",
        "1.30",
        "--timeout",
        "0",
        "--instance",
        &at,
    ];
    let run = Workdir::new().run(&args);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.out.contains("lacking: i-1 in zone z1"), "{run:?}");
}

/// Guards against reporting a revision as in force when no instance answers.
#[test]
fn no_answer_is_a_failure() {
    let at = unused_address().to_string();
    let args = [
        "wait",
        "--revision",
        "42",
        "--timeout",
        "0",
        "--instance",
        &at,
    ];
    let run = Workdir::new().run(&args);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("no instance answered"), "{run:?}");
}
