//! Tests that the appender never blocks its callers.

use std::io::{BufRead, BufReader, pipe};

use logforth::{
    Append,
    record::{Level, Record},
};
use logs::Appender;

const CRATES: &[&str] = &["proxy"];

fn record(target: &'static str, level: Level) -> Record<'static> {
    Record::builder()
        .level(level)
        .target(target)
        .payload("not served")
        .build()
}

/// Guards against an instance that stops serving because the reader of its output has
/// stopped: the pipe fills up and writing a line blocks.
#[test]
fn a_full_pipe_does_not_block() {
    let (reader, writer) = pipe().unwrap();
    let appender = Appender::new(writer, CRATES);
    let before = logs::dropped();
    // Far more than a pipe holds. A blocking write would never return.
    for _ in 0..100_000 {
        appender
            .append(&record("proxy::session", Level::Info), &[])
            .unwrap();
    }
    assert!(logs::dropped() > before + 50_000);
    drop(reader);
    appender
        .append(&record("proxy::session", Level::Info), &[])
        .unwrap();
}

/// Guards against a flood of lines, as when each of many statements fails.
#[test]
fn the_rate_is_bounded() {
    let (reader, writer) = pipe().unwrap();
    let appender = Appender::new(writer, CRATES);
    for _ in 0..5_000 {
        appender
            .append(&record("proxy::session", Level::Info), &[])
            .unwrap();
    }
    drop(appender);
    let written: Vec<String> = BufReader::new(reader).lines().map(Result::unwrap).collect();
    assert!(written.len() < 1_000, "{}", written.len());
    for line in &written {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["message"], "not served");
    }
}

#[test]
fn libraries_log_warnings_only() {
    let (reader, writer) = pipe().unwrap();
    let appender = Appender::new(writer, CRATES);
    appender
        .append(&record("hyper::proto", Level::Info), &[])
        .unwrap();
    appender
        .append(&record("hyper::proto", Level::Warn), &[])
        .unwrap();
    appender
        .append(&record("proxy::run", Level::Info), &[])
        .unwrap();
    drop(appender);
    let written: Vec<String> = BufReader::new(reader).lines().map(Result::unwrap).collect();
    assert_eq!(written.len(), 2);
    assert!(written.iter().all(|line| !line.contains(".rs")));
}
