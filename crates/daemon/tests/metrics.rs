//! Metrics on the operations port, compared with the requests of a caller.
//!
//! The metrics recorder is global to the process, so this test needs a process
//! of its own.

mod rig;

use std::{collections::BTreeMap, net::SocketAddr};

use rig::{Rig, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Requests a page from the operations port, and returns its status and text.
async fn page(ops: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(ops).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    (status, answer)
}

/// The series of the metrics page, by name with labels.
async fn series(ops: SocketAddr) -> BTreeMap<String, f64> {
    let (status, text) = page(ops, "/metrics").await;
    assert_eq!(status, 200);
    let lines = text.lines().filter(|it| it.starts_with("dandelionlink_"));
    let split = |line: &str| {
        let (name, value) = line.rsplit_once(' ').unwrap();
        (name.to_owned(), value.parse().unwrap())
    };
    lines.map(split).collect()
}

#[test]
fn statements_are_counted_exactly() {
    let rig = Rig::open(1);
    let ops = rig.daemons[0].as_ref().unwrap().ops();
    run(async {
        let slots = rig.connect(0, "slots").await;
        let (status, text) = page(ops, "/readyz").await;
        assert_eq!(status, 200, "{text}");
        for key in ["a", "b", "c"] {
            let insert = format!("INSERT INTO kv (key, value) VALUES ('{key}', '1')");
            slots.batch_execute(&insert).await.unwrap();
        }
        let calendar = rig.connect(0, "calendar").await;
        for _ in 0..5 {
            calendar
                .batch_execute("SELECT value FROM kv WHERE key = 'a'")
                .await
                .unwrap();
        }
        assert!(slots.batch_execute("COPY kv FROM STDIN").await.is_err());

        let series = series(ops).await;
        let get = |name: &str| series.get(name).copied().unwrap_or(0.0);
        let of = |metric: &str, entry: &str, more: &str| {
            get(&format!(
                "dandelionlink_{metric}{{tenant=\"yard\",entry=\"{entry}\"{more}}}"
            ))
        };
        let done = ",outcome=\"done\",cause=\"\"";
        assert_eq!(of("requests_total", "slots", done), 3.0, "{series:#?}");
        assert_eq!(of("requests_total", "calendar", done), 5.0);
        assert_eq!(of("request_seconds_count", "calendar", ""), 5.0);
        assert_eq!(of("request_seconds_count", "slots", ""), 3.0);
        assert!(of("queue_seconds_count", "calendar", "") >= 5.0);
        let replica = of("reads_total", "calendar", ",served=\"replica\"");
        let primary = of("reads_total", "calendar", ",served=\"primary\"");
        assert_eq!(replica + primary, 5.0);
        assert_eq!(of("replica_lag_seconds_count", "calendar", ""), replica);
        assert_eq!(of("reads_total", "slots", ",served=\"primary\""), 0.0);
        assert_eq!(get("dandelionlink_callers"), 2.0);
        let open = "{database=\"booking\",upstream=\"booking-0\",state=\"open\"}";
        assert!(get(&format!("dandelionlink_pool_connections{open}")) >= 1.0);
    });
}
