use super::workdir::Workdir;

const LINES: &str = r#"12.1 a {"at":35.0,"instance":"a","message":"replacing the primary","service":"db","reason":"Gone"}
{"at":35.2,"instance":"b","message":"statement","request":"w1","transaction":"w1","service":"db","cause":"Some(NoProof)","code":"Some(Busy)","ms":300}
{"at":36.0,"instance":"a","mess"#;

#[test]
fn a_request_is_explained_and_unreadable_lines_are_counted() {
    let dir = Workdir::new();
    dir.file("a.log", LINES);
    dir.file("b.log", "\n");
    let run = dir.run(&["explain", "w1", "a.log", "b.log"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("35.000 a replacing the primary"),
        "{run:?}"
    );
    let cause = "w1: Busy: no upstream could be proved to be the primary of db: \
                 a had been replacing the primary since 35.000";
    assert!(run.out.contains(cause), "{run:?}");
    assert!(run.out.ends_with("1 lines could not be read\n"), "{run:?}");
}

#[test]
fn a_request_without_log_lines_is_a_failure() {
    let dir = Workdir::new();
    dir.file("a.log", LINES);
    let run = dir.run(&["explain", "--at", "35.1", "other", "a.log"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.out.contains("no line mentions the request"), "{run:?}");
    let run = dir.run(&["explain", "w1", "none.log"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("none.log"), "{run:?}");
    let run = dir.run(&["explain", "w1"]);
    assert_eq!(run.code, 2, "no file to read: {run:?}");
}
