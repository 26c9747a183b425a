use serde_json::json;

use super::{
    instance::{Instance, member, status, unused_address},
    workdir::Workdir,
};

#[test]
fn it_ends_when_the_revision_is_in_force_everywhere_reachable() {
    let dir = Workdir::new();
    let mut late = status("i-1", "z1", 41);
    late["members"] = json!([
        member("i-2", "z2", "alive", 41),
        member("i-3", "z3", "suspect", 40),
    ]);
    let mut then = late.clone();
    then["revision"] = json!({ "number": 42 });
    then["members"][0]["revision"] = json!({ "number": 43 });
    let one = Instance::spawn("/status", vec![late, then]);
    let gone = unused_address();
    let list = format!("{},{gone}", one.address);
    let run = dir.run(&["wait", "--revision", "42", "--instance", &list]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out
            .starts_with("revision 42 is in force at 2 instances\n"),
        "{run:?}"
    );
    assert!(run.out.contains("unreachable: i-3 in zone z3\n"), "{run:?}");
    assert!(
        run.out.contains(&format!("unreachable: {gone}: ")),
        "{run:?}"
    );
    assert!(!run.out.contains("lacking"), "{run:?}");
}

#[test]
fn time_that_runs_out_names_those_that_lack_it() {
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

/// Symptom: `wait` says that a revision is in force where it is not.
/// Events: the store is restored and counts from 30 again, in a new epoch; an
/// instance still holds 42 of the epoch before.
/// Cause: revisions compared by their number alone.
#[test]
fn an_earlier_epoch_is_not_taken_for_a_later_revision() {
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

#[test]
fn nobody_there_is_a_failure() {
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
