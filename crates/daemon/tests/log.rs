//! Log lines of a daemon that runs as a separate process.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use serde_json::Value;

/// Number of lines to read before the test fails.
const MAX_LINES: usize = 100;

/// A daemon process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn log_lines_have_instance_and_zone_and_those_of_the_daemon_the_duty() {
    let store = fake::Store::spawn().unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_dandelionlinkd"))
        .env_clear()
        .env("DANDELIONLINK_LISTEN", "127.0.0.1:0")
        .env("DANDELIONLINK_OPS", "127.0.0.1:0")
        .env("DANDELIONLINK_PEERS", "127.0.0.1:0")
        .env("DANDELIONLINK_PEER_KEYS", format!("1:{}", "3c".repeat(32)))
        .env(
            "DANDELIONLINK_SESSION_KEYS",
            format!("1:{}", "5a".repeat(32)),
        )
        .env("DANDELIONLINK_INSTANCE", "entry-7")
        .env("DANDELIONLINK_ZONE", "nl-west-2")
        .env("DANDELIONLINK_STORE", store.address().to_string())
        .env("DANDELIONLINK_UPSTREAM_USER", "proxy")
        .stdout(Stdio::piped())
        .stdin(Stdio::null())
        .spawn()
        .unwrap();
    let mut process = Process(child);
    // A fault of the store makes another duty log as well.
    store.set_fault(fake::store::Fault::Down);
    let out = process.0.stdout.take().unwrap();
    let mut duties = Vec::new();
    for line in BufReader::new(out).lines().take(MAX_LINES) {
        let line: Value = serde_json::from_str(&line.unwrap()).unwrap();
        assert_eq!(line["diags"]["instance"], "entry-7", "{line}");
        assert_eq!(line["diags"]["zone"], "nl-west-2", "{line}");
        assert!(line["level"].is_string(), "{line}");
        let target = line["target"].as_str().unwrap();
        // Log lines of libraries have no duty.
        if !target.starts_with("daemon") && !target.starts_with("dandelionlinkd") {
            continue;
        }
        let duty = line["kvs"]["duty"].as_str();
        duties.push(duty.unwrap_or_else(|| panic!("{line}")).to_owned());
        if duties.iter().any(|it| it == "daemon") && duties.iter().any(|it| it == "peers") {
            return;
        }
    }
    panic!("only these duties logged: {duties:?}");
}
