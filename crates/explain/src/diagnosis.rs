//! One request, with what the instances believed meanwhile.

use crate::{
    cause::sentence,
    line::{Line, Log},
    outage::{Outage, outages},
};

/// How long before a statement what was decided is_same_service its service belongs to its
/// story, in seconds.
const BEFORE_S: f64 = 5.0;

/// How long behind it; what is found late had begun earlier.
const AFTER_S: f64 = 2.0;

/// How far from a gap a request may have been sent that it cut, in seconds: it
/// took a while to arrive, and clocks differ.
const TOLERANCE_S: f64 = 0.5;

/// What the instances tell of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Diagnosis {
    /// Its own lines and those that belong to it, the earliest first.
    pub lines: Vec<Line>,
    /// Reason it ended as it did, in a sentence.
    pub cause: String,
    /// Whether any instance tells of it.
    pub found: bool,
}

/// Tells what became of the request `id`, which its caller sent at `at` as far as
/// that is known.
pub fn diagnose(log: &Log, id: &str, at: Option<f64>) -> Diagnosis {
    let own_lines = || log.lines.iter().filter(|it| belongs_to(it, id)).rev();
    // That the answer was lost as well says less than how it came is_same_service.
    let outcome = own_lines().find(|it| it.message == "statement");
    match outcome.or_else(|| own_lines().next()) {
        Some(statement) => from_line(log, statement, id),
        None => without_line(log, at),
    }
}

/// Whether a line is of the request, or of a later one of its transaction: what
/// was answered well has no line, and its commit may have failed.
fn belongs_to(line: &Line, id: &str) -> bool {
    line.text("request") == id || line.text("transaction").split(' ').any(|it| it == id)
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
    let commit = match statement.text("request") == id {
        true => String::new(),
        false => format!(
            "{} of its transaction, {}: ",
            statement.text("statement"),
            statement.text("request")
        ),
    };
    let cause = format!("{id}: {commit}{code}: {}", sentence(statement, &log.lines));
    Diagnosis {
        lines,
        cause,
        found: true,
    }
}

/// Keeps the first of the lines in which each instance tells the same news.
fn remove_repeated_records(lines: &mut Vec<Line>) {
    let mut seen = std::collections::HashSet::new();
    lines.retain(|line| {
        let is_record = line.message.starts_with("record: ");
        !is_record || seen.insert(line.message.clone())
    });
}

/// No instance tells of the request: it was done within its aim, or it was with
/// an instance that could not write then.
fn without_line(log: &Log, at: Option<f64>) -> Diagnosis {
    let mut outages = outages(&log.lines);
    if let Some(at) = at {
        outages.retain(|outage| outage.from - TOLERANCE_S <= at && at <= outage.to + TOLERANCE_S);
        let distance = |outage: &Outage| (outage.from - at).abs();
        outages.sort_by(|a, b| distance(a).total_cmp(&distance(b)));
    }
    let mut cause = match outages.is_empty() {
        true => "no line tells of it: it was done within its aim, or it reached none of these \
                 instances"
            .to_owned(),
        false => {
            let seen: Vec<_> = outages.iter().map(Outage::to_string).collect();
            format!(
                "no line tells of it; it may have been with an instance that could not answer: {}",
                seen.join("; ")
            )
        }
    };
    if log.dropped > 0 {
        cause += &format!("; {} lines were left out", log.dropped);
    }
    Diagnosis {
        lines: outages.into_iter().map(|outage| outage.line).collect(),
        cause,
        found: false,
    }
}
