use super::workdir::{Workdir, catalog};

#[test]
fn both_deployments_are_valid() {
    let dir = Workdir::new();
    dir.file(
        "s.toml",
        include_str!("../../../../examples/stalgenoot.toml"),
    );
    dir.file("u.toml", include_str!("../../../../examples/umurage.toml"));
    for (file, entries) in [("s.toml", 9), ("u.toml", 7)] {
        let run = dir.run(&["check", file]);
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.out.contains("databases 3, upstreams 9"), "{run:?}");
        assert!(run.out.contains(&format!("entries {entries}")), "{run:?}");
        assert_eq!(run.err, "");
    }
}

#[test]
fn errors_have_file_line_and_column() {
    let dir = Workdir::new();
    let text = catalog(0).replace("\"yard\"", "\"yrd\"");
    dir.file("bad.toml", &text);
    let run = dir.run(&["check", "bad.toml"]);
    assert_eq!(run.code, 1);
    assert_eq!(run.out, "");
    assert!(
        run.err
            .contains("\nbad.toml:11:10: `tenant` of entry `calendar`"),
        "{run:?}"
    );
    assert!(
        run.err.contains("\nbad.toml:15:15: `connections`"),
        "{run:?}"
    );

    let run = dir.run(&["check", "--json", "bad.toml"]);
    assert_eq!(run.code, 1);
    let json = run.json();
    assert_eq!(json["faults"][0]["line"], 11);
    assert_eq!(json["faults"][1]["column"], 15);
}

#[test]
fn warnings_do_not_fail() {
    let dir = Workdir::new();
    let text = catalog(8);
    let text: Vec<_> = text
        .lines()
        .filter(|line| !line.contains("10.0.0.3"))
        .collect();
    dir.file("even.toml", &text.join("\n"));
    let run = dir.run(&["check", "even.toml"]);
    assert_eq!(run.code, 0);
    assert!(
        run.err
            .starts_with("even.toml:4:11: database `core` has 2 upstreams"),
        "{run:?}"
    );
}

#[test]
fn a_missing_file_is_reported() {
    let run = Workdir::new().run(&["check", "nothing.toml"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("nothing.toml: No such file"), "{run:?}");
}
