use serde_json::json;

use super::{instance::Instance, workdir::Workdir};

#[test]
fn sessions_are_shown_and_filtered_by_entry() {
    let dir = Workdir::new();
    let session = |entry: &str, phase: &str| {
        json!({
            "tenant": "yard", "connected_ms": 90000, "transaction_ms": 80000,
            "entry": entry, "user": "app", "client": "10.9.0.1:40000",
            "phase": phase, "phase_ms": 75000, "token": { "term": 3, "lsn": 4096 },
        })
    };
    let view = json!({
        "instance": "i-1", "total": 900,
        "sessions": [session("calendar", "in-transaction"), session("payment", "idle")],
    });
    let one = Instance::spawn("/sessions", vec![view]);
    let at = one.address.to_string();
    let run = dir.run(&["sessions", "--instance", &at]);
    assert_eq!(run.code, 0, "{run:?}");
    let lines: Vec<_> = run.out.lines().collect();
    assert_eq!(lines[0], "i-1: 2 shown of 900 sessions");
    let cells: Vec<_> = lines[2].split_whitespace().collect();
    assert_eq!(
        cells.join(" "),
        "i-1 yard calendar app 10.9.0.1:40000 90 s in transaction 75 s 80 s 3@0/1000"
    );
    let run = dir.run(&[
        "sessions",
        "--entry",
        "payment",
        "--json",
        "--instance",
        &at,
    ]);
    let shown = &run.json()[0]["answer"]["sessions"];
    assert_eq!(shown.as_array().unwrap().len(), 1);
    assert_eq!(shown[0]["phase"], "idle");
}
