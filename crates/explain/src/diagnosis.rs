//! Diagnosis of one request.

use crate::{
    cause::sentence,
    line::{Line, Log},
    outage::{Outage, outages},
};

/// Time before a statement from which lines about its service are included, in seconds.
const BEFORE_S: f64 = 5.0;

/// Time after a statement up to which lines are included, in seconds: a fault may be detected
/// late.
const AFTER_S: f64 = 2.0;

/// Distance in time between a request and an outage that may have affected the request, in
/// seconds: requests take time to arrive, and clocks differ.
const TOLERANCE_S: f64 = 0.5;

/// Explanation of a request's outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Diagnosis {
    /// Lines of the request and related lines, in order of time.
    pub lines: Vec<Line>,
    /// Explanation of the outcome in a sentence.
    pub cause: String,
    /// True if a line of the request was found.
    pub found: bool,
}

/// Diagnoses the request `id`, which its caller sent at `at`, if known.
pub fn diagnose(log: &Log, id: &str, at: Option<f64>) -> Diagnosis {
    let own_lines = || log.lines.iter().filter(|line| belongs_to(line, id)).rev();
    // The line of the statement explains more than the line of its lost answer.
    let outcome = own_lines().find(|line| line.message == "statement");
    match outcome.or_else(|| own_lines().next()) {
        Some(statement) => from_line(log, statement, id),
        None => without_line(log, at),
    }
}

/// Returns true if a line belongs to the request or to a later request of its transaction:
/// a successful statement has no line, and its commit may have failed.
fn belongs_to(line: &Line, id: &str) -> bool {
    line.text("request") == id || line.text("transaction").split(' ').any(|other| other == id)
}

fn from_line(log: &Log, statement: &Line, id: &str) -> Diagnosis {
    let took = statement.number("ms").unwrap_or_default() as f64 / 1_000.0;
    let from = statement.at - took - BEFORE_S;
    let is_related = |line: &&Line| {
        if !line.text("request").is_empty() {
            return belongs_to(line, id);
        }
        let has_service = !line.text("service").is_empty();
        let is_same_instance = !has_service && line.instance == statement.instance;
        let is_same_service = has_service && line.text("service") == statement.text("service");
        (is_same_instance || is_same_service)
            && line.at >= from
            && line.at <= statement.at + AFTER_S
    };
    let mut lines: Vec<Line> = log.lines.iter().filter(is_related).cloned().collect();
    remove_repeated_records(&mut lines);
    let code = statement.optional("code").unwrap_or("done");
    let prefix = match statement.text("request") == id {
        true => String::new(),
        false => format!(
            "{} of its transaction, {}: ",
            statement.text("statement"),
            statement.text("request")
        ),
    };
    let cause = format!("{id}: {prefix}{code}: {}", sentence(statement, &log.lines));
    Diagnosis {
        lines,
        cause,
        found: true,
    }
}

/// Keeps only the first of the lines in which several instances report the same record.
fn remove_repeated_records(lines: &mut Vec<Line>) {
    let mut seen = std::collections::HashSet::new();
    lines.retain(|line| {
        let is_record = line.message.starts_with("record: ");
        !is_record || seen.insert(line.message.clone())
    });
}

/// Diagnoses a request without any line: it was done within its latency objective, or it was
/// at an instance that could not write.
fn without_line(log: &Log, at: Option<f64>) -> Diagnosis {
    let mut outages = outages(&log.lines);
    if let Some(at) = at {
        outages.retain(|outage| outage.from - TOLERANCE_S <= at && at <= outage.to + TOLERANCE_S);
        let distance = |outage: &Outage| (outage.from - at).abs();
        outages.sort_by(|a, b| distance(a).total_cmp(&distance(b)));
    }
    let mut cause = match outages.is_empty() {
        true => "no line mentions the request: it was done within its latency objective, or it \
                 reached none of these instances"
            .to_owned(),
        false => {
            let seen: Vec<_> = outages.iter().map(Outage::to_string).collect();
            format!(
                "no line mentions the request; it may have been at an instance that could not \
                 answer: {}",
                seen.join("; ")
            )
        }
    };
    if log.dropped > 0 {
        cause += &format!("; {} lines were dropped", log.dropped);
    }
    Diagnosis {
        lines: outages.into_iter().map(|outage| outage.line).collect(),
        cause,
        found: false,
    }
}
