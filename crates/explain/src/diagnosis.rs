//! One request, with what the instances believed meanwhile.

use crate::{
    cause::sentence,
    line::{Line, Log},
    outage::{Outage, gaps},
};

/// How long before a statement what was decided about its service belongs to its
/// story, in seconds.
const BEFORE_S: f64 = 5.0;

/// How long behind it; what is found late had begun earlier.
const BEHIND_S: f64 = 2.0;

/// How far from a gap a request may have been sent that it cut, in seconds: it
/// took a while to arrive, and clocks differ.
const GAP_S: f64 = 0.5;

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
pub fn diagnose(read: &Log, id: &str, at: Option<f64>) -> Diagnosis {
    let own = || read.lines.iter().filter(|it| is_of(it, id)).rev();
    // That the answer was lost as well says less than how it came about.
    let decided = own().find(|it| it.message == "statement");
    match decided.or_else(|| own().next()) {
        Some(own) => found(read, own, id),
        None => missing(read, at),
    }
}

/// Whether a line is of the request, or of a later one of its transaction: what
/// was answered well has no line, and its commit may have failed.
fn is_of(line: &Line, id: &str) -> bool {
    line.text("request") == id || line.text("transaction").split(' ').any(|it| it == id)
}

fn found(read: &Log, own: &Line, id: &str) -> Diagnosis {
    let took = own.number("ms").unwrap_or_default() as f64 / 1_000.0;
    let from = own.at - took - BEFORE_S;
    let belongs = |line: &&Line| {
        if !line.text("request").is_empty() {
            return is_of(line, id);
        }
        let decided = !line.text("service").is_empty();
        let here = !decided && line.instance == own.instance;
        let about = decided && line.text("service") == own.text("service");
        (here || about) && line.at >= from && line.at <= own.at + BEHIND_S
    };
    let mut lines: Vec<Line> = read.lines.iter().filter(belongs).cloned().collect();
    once(&mut lines);
    let code = own.optional("code").unwrap_or("done");
    let later = match own.text("request") == id {
        true => String::new(),
        false => format!(
            "{} of its transaction, {}: ",
            own.text("statement"),
            own.text("request")
        ),
    };
    let cause = format!("{id}: {later}{code}: {}", sentence(own, &read.lines));
    Diagnosis {
        lines,
        cause,
        found: true,
    }
}

/// Keeps the first of the lines in which each instance tells the same news.
fn once(lines: &mut Vec<Line>) {
    let mut told = std::collections::HashSet::new();
    lines.retain(|line| {
        let news = line.message.starts_with("record: ");
        !news || told.insert(line.message.clone())
    });
}

/// No instance tells of the request: it was done within its aim, or it was with
/// an instance that could not write then.
fn missing(read: &Log, at: Option<f64>) -> Diagnosis {
    let mut gaps = gaps(&read.lines);
    if let Some(at) = at {
        gaps.retain(|gap| gap.from - GAP_S <= at && at <= gap.to + GAP_S);
        let far = |gap: &Outage| (gap.from - at).abs();
        gaps.sort_by(|a, b| far(a).total_cmp(&far(b)));
    }
    let mut cause = match gaps.is_empty() {
        true => "no line tells of it: it was done within its aim, or it reached none of these \
                 instances"
            .to_owned(),
        false => {
            let told: Vec<_> = gaps.iter().map(Outage::to_string).collect();
            format!(
                "no line tells of it; it may have been with an instance that could not answer: {}",
                told.join("; ")
            )
        }
    };
    if read.dropped > 0 {
        cause += &format!("; {} lines were left out", read.dropped);
    }
    Diagnosis {
        lines: gaps.into_iter().map(|gap| gap.line).collect(),
        cause,
        found: false,
    }
}
