use fake::Store;

use super::workdir::{Workdir, catalog};

#[test]
fn changes_are_listed_and_shown() {
    let dir = Workdir::new();
    let store = Store::spawn().unwrap();
    let at = store.address().to_string();
    let run = dir.run(&["history", "--store", &at]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "no change was ever applied\n")
    );

    for (connections, message) in [(8, "first"), (9, "more"), (7, "less\u{1b}[2J")] {
        dir.file("c.toml", &catalog(connections));
        let run = dir.run(&["apply", "-m", message, "--store", &at, "c.toml"]);
        assert_eq!(run.code, 0, "{run:?}");
    }
    let run = dir.run(&["history", "--last", "2", "--store", &at]);
    let lines: Vec<_> = run.out.lines().collect();
    assert_eq!(lines.len(), 3, "{run:?}");
    assert!(lines[1].starts_with("2       2 ") && lines[1].ends_with("imena   1        more"));
    // Control characters in another operator's message do not reach the terminal.
    assert!(lines[2].ends_with("less\u{fffd}[2J"), "{run:?}");

    let run = dir.run(&["history", "--number", "2", "--store", &at]);
    assert!(
        run.out.starts_with("change 2 made revision 2 from 1\n"),
        "{run:?}"
    );
    assert!(
        run.out
            .ends_with("~ entry `calendar`\n    connections: 8 -> 9\n"),
        "{run:?}"
    );

    let run = dir.run(&["history", "--json", "--store", &at]);
    let json = run.json();
    assert_eq!(json.as_array().unwrap().len(), 3);
    assert_eq!(json[0]["head"]["message"], "first");
    assert_eq!(json[2]["revision"], 3);
}

#[test]
fn a_missing_change_is_reported() {
    let store = Store::spawn().unwrap();
    let at = store.address().to_string();
    let run = Workdir::new().run(&["history", "--number", "7", "--store", &at]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("no change number 7"), "{run:?}");
}
