//! Lines never hold up who writes them.

use std::io::{BufRead, BufReader, pipe};

use logforth::{
    Append,
    record::{Level, Record},
};
use logs::Appender;

const OWN: &[&str] = &["proxy"];

fn record(target: &'static str, level: Level) -> Record<'static> {
    Record::builder()
        .level(level)
        .target(target)
        .payload("not served")
        .build()
}

/// Symptom: an instance serves nobody any more. Events: whoever reads its output
/// stops, and the pipe fills up. Cause: a line that is written waits for room.
#[test]
fn a_reader_that_never_reads_holds_nothing_up() {
    let (reader, writer) = pipe().unwrap();
    let lines = Appender::new(writer, OWN);
    let before = logs::dropped();
    // Far more than a pipe holds; would one block, this would never end.
    for _ in 0..100_000 {
        lines
            .append(&record("proxy::session", Level::Info), &[])
            .unwrap();
    }
    assert!(logs::dropped() > before + 50_000);
    drop(reader);
    lines
        .append(&record("proxy::session", Level::Info), &[])
        .unwrap();
}

#[test]
fn the_rate_is_bounded_and_what_is_missing_is_told() {
    let (reader, writer) = pipe().unwrap();
    let lines = Appender::new(writer, OWN);
    for _ in 0..5_000 {
        lines
            .append(&record("proxy::session", Level::Info), &[])
            .unwrap();
    }
    drop(lines);
    let written: Vec<String> = BufReader::new(reader).lines().map(Result::unwrap).collect();
    assert!(written.len() < 1_000, "{}", written.len());
    for line in &written {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["message"], "not served");
    }
}

#[test]
fn libraries_log_from_warnings_on() {
    let (reader, writer) = pipe().unwrap();
    let lines = Appender::new(writer, OWN);
    lines
        .append(&record("hyper::proto", Level::Info), &[])
        .unwrap();
    lines
        .append(&record("hyper::proto", Level::Warn), &[])
        .unwrap();
    lines
        .append(&record("proxy::run", Level::Info), &[])
        .unwrap();
    drop(lines);
    let written: Vec<String> = BufReader::new(reader).lines().map(Result::unwrap).collect();
    assert_eq!(written.len(), 2);
    assert!(written.iter().all(|line| !line.contains(".rs")));
}
