use serde_json::json;

use super::{
    instance::{Instance, unused_address},
    workdir::Workdir,
};

#[test]
fn upstreams_are_shown_and_filtered_by_database() {
    let dir = Workdir::new();
    let view = json!({
        "instance": "i-1",
        "upstreams": [
            {
                "database": "core", "upstream": "a", "zone": "z1", "address": "10.0.0.1:5432",
                "link": "up", "role": "Primary", "received": { "term": 3, "lsn": 8192 },
                "position": { "term": 3, "lsn": 4096 },
                "lag_ms": 0, "leaving": false,
                "pool": {
                    "open": 5, "busy": 2, "limit": 16, "waiting": 1,
                    "breaker": { "state": "open", "retry_ms": 80 },
                },
            },
            {
                "database": "more", "upstream": "b", "zone": "z2", "address": "10.0.0.2:5432",
                "link": "down", "role": null, "position": null, "lag_ms": null,
                "leaving": true, "pool": null,
            },
        ],
    });
    let one = Instance::spawn("/upstreams", vec![view]);
    let at = one.address.to_string();
    let run = dir.run(&["upstreams", "--instance", &at]);
    assert_eq!(run.code, 0, "{run:?}");
    let rows: Vec<Vec<_>> = run
        .out
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(
        rows[1].join(" "),
        "i-1 core a z1 up primary 3@0/2000 3@0/1000 0 ms no 5 2 16 1 open for 80 ms"
    );
    assert_eq!(
        rows[2].join(" "),
        "i-1 more b z2 down - - - - yes - - - - -"
    );

    let run = dir.run(&["upstreams", "--database", "more", "--instance", &at]);
    assert_eq!(run.out.lines().count(), 2, "{run:?}");

    let list = format!("{at},{}", unused_address());
    let run = dir.run(&["upstreams", "--json", "--instance", &list]);
    assert_eq!(run.code, 5, "{run:?}");
    let json = run.json();
    assert_eq!(json[0]["answer"]["upstreams"][0]["pool"]["open"], 5);
    assert!(json[1]["failed"].is_string());
}
