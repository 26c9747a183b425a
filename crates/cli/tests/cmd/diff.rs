use fake::Store;

use super::{
    instance::unused_address,
    workdir::{Workdir, catalog},
};

#[test]
fn differences_are_shown_with_the_revision() {
    let dir = Workdir::new();
    let store = Store::spawn().unwrap();
    let at = store.address().to_string();
    dir.file("c.toml", &catalog(8));
    let run = dir.run(&["diff", "--store", &at, "c.toml"]);
    assert_eq!(run.code, 0);
    assert_eq!(
        run.out,
        "from revision 0\n+ tenant `yard`\n+ database `core`\n+ entry `calendar`\n"
    );

    dir.run(&["apply", "-m", "first", "--store", &at, "c.toml"]);
    dir.file("c.toml", &catalog(9));
    let run = dir.run(&["diff", "--store", &at, "c.toml"]);
    assert_eq!(
        run.out,
        "from revision 1\n~ entry `calendar`\n    connections: 8 -> 9\n"
    );
    let run = dir.run(&["diff", "--json", "--store", &at, "c.toml"]);
    let change = &run.json()["changes"][0];
    assert_eq!(change["subject"]["entry"], "calendar");
    assert_eq!(change["edit"]["changed"][0]["after"], "9");
    assert_eq!(store.writes(), 1);
}

/// Guards against an error message that does not name the endpoints tried.
#[test]
fn an_unreachable_store_is_reported_with_its_endpoints() {
    let dir = Workdir::new();
    dir.file("c.toml", &catalog(8));
    let down = format!("{},{}", unused_address(), unused_address());
    let run = dir.run(&["diff", "--store", &down, "c.toml"]);
    assert_eq!(run.code, 1);
    for endpoint in down.split(',') {
        let expected = format!("{endpoint}: the store at {endpoint} can't be reached");
        assert!(run.err.contains(&expected), "{run:?}");
    }
}

/// Guards against a failed command when only one of the endpoints is down.
#[test]
fn a_failed_read_is_retried_at_the_next_endpoint() {
    let dir = Workdir::new();
    let store = Store::spawn().unwrap();
    dir.file("c.toml", &catalog(8));
    let endpoints = format!("{},{}", unused_address(), store.address());
    let run = dir.run(&["diff", "--store", &endpoints, "c.toml"]);
    assert_eq!(run.code, 0, "{run:?}");
}
