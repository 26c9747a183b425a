//! Flags, environment variables and usage errors of all commands.

use super::{
    instance::{Instance, status},
    workdir::{Workdir, catalog, wait_for_output},
};

#[test]
fn an_invalid_command_line_is_a_usage_error() {
    let dir = Workdir::new();
    dir.file("c.toml", &catalog(8));
    let cases: [(&[&str], &str); 8] = [
        (&[], "One of the following subcommands must be present"),
        (&["chek"], "Unrecognized argument: chek"),
        (&["check"], "Required positional arguments not provided"),
        (
            &["diff", "c.toml"],
            "--store (DANDELIONLINK_STORE) is missing",
        ),
        (
            &["status"],
            "--instance (DANDELIONLINK_INSTANCES) is missing",
        ),
        (
            &[
                "status",
                "--instance",
                "db1:1,127.0.0.1:5,10.0.0.1,10.0.0.1:0",
            ],
            "these are not: `db1:1`, `10.0.0.1`, `10.0.0.1:0`",
        ),
        (
            &["apply", "-m", " ", "--store", "127.0.0.1:1", "c.toml"],
            "--message must have from 1 to 4096 bytes, not 0",
        ),
        (&["wait", "--revision", "x"], "invalid digit"),
    ];
    for (args, message) in cases {
        let run = dir.run(args);
        assert_eq!(run.code, 2, "{args:?}: {run:?}");
        assert!(run.err.contains(message), "{args:?}: {run:?}");
        assert_eq!(run.out, "");
    }
}

#[test]
fn help_is_printed_with_the_exit_codes() {
    let dir = Workdir::new();
    for args in [&["--help"][..], &["apply", "--help"]] {
        let run = dir.run(args);
        assert_eq!(run.code, 0);
        assert!(
            run.out.contains("3 Another change was committed first"),
            "{run:?}"
        );
    }
}

#[test]
fn a_flag_takes_precedence_over_its_variable() {
    let dir = Workdir::new();
    let one = Instance::spawn("/status", vec![status("i-1", "z1", 1)]);
    let two = Instance::spawn("/status", vec![status("i-2", "z2", 2)]);
    let one = one.address.to_string();
    let two = two.address.to_string();

    let mut command = dir.command(&["status"]);
    command.env("DANDELIONLINK_INSTANCES", &one);
    let run = wait_for_output(command.spawn().unwrap());
    assert!(run.out.contains("i-1"), "{run:?}");

    let mut command = dir.command(&["status", "--instance", &two]);
    command.env("DANDELIONLINK_INSTANCES", &one);
    let run = wait_for_output(command.spawn().unwrap());
    assert!(
        run.out.contains("i-2") && !run.out.contains("i-1"),
        "{run:?}"
    );
}
