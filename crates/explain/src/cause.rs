//! The sentence that says why a statement ended as it did.

use crate::line::Line;

/// From how long a silence of the store on an instance is cut off from it, in
/// milliseconds: proofs are renewed each 200 ms.
const STORE_SILENT_MS: u64 = 400;

/// How far from a statement an upstream's failure is taken for its cause, in
/// seconds: a probe finds it a little later.
const FAILURE_WINDOW_S: f64 = 2.0;

/// Reason the statement of `own` ended as it did, by what `all` instances wrote.
pub(crate) fn sentence(statement: &Line, all: &[Line]) -> String {
    match stall(statement, all) {
        Some(line) => format!(
            "{}; {} stood still for {} ms meanwhile",
            outcome(statement, all),
            statement.instance,
            line.number("ms").unwrap_or_default()
        ),
        None => outcome(statement, all),
    }
}

/// The line that says that the statement's instance stood still while it ran; it
/// comes a little later than the statement's own.
fn stall<'a>(statement: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let began = statement.at - statement.number("ms").unwrap_or_default() as f64 / 1_000.0;
    all.iter().find(|line| {
        let span = line.number("ms").unwrap_or_default() as f64 / 1_000.0;
        line.message == "stood still"
            && line.instance == statement.instance
            && line.at >= began
            && line.at - span <= statement.at
    })
}

fn outcome(statement: &Line, all: &[Line]) -> String {
    let upstream = statement.text("upstream");
    if statement.message == "answer lost" {
        return format!(
            "{} answered, but the caller's connection broke before that: {}",
            statement.instance,
            statement.text("error")
        );
    }
    match statement.optional("cause") {
        Some("NoProof") => no_proof(statement, all),
        Some("NoConnection") => no_connection(statement, all),
        Some("Broken") => format!(
            "the connection to {upstream} broke before its answer was whole{}",
            failed_upstream(statement, all)
        ),
        Some("Late") => format!(
            "{upstream} did not answer in time{}",
            failed_upstream(statement, all)
        ),
        Some("Unproved") => format!(
            "{upstream} answered, but by then it could not be proved to lead any more{}",
            lost_proof(statement, all)
        ),
        Some("Replaced") => format!(
            "the transaction's upstream leads no more{}",
            replaced(statement, all)
        ),
        Some("Upstream") => format!(
            "an upstream of {} refused it itself, as {}",
            statement.text("service"),
            statement.optional("code").unwrap_or("nothing known")
        ),
        Some("Undone") => "its transaction had been undone before".to_owned(),
        Some("NoKey") => format!(
            "no account of catalogue {} holds the caller's key",
            statement.text("catalogue")
        ),
        Some("Stale") => format!(
            "the instance could not prove that the key was not taken away; the store was \
             silent for {} ms",
            statement.text("store_silent_ms")
        ),
        Some("OverQuota") => format!(
            "account {} has used up its quota",
            statement.text("account")
        ),
        Some("NoRoute") => format!("no route has the database {}", statement.text("database")),
        Some("NoStatement") => "the session has no such prepared statement".to_owned(),
        Some("Holder") => format!(
            "the instance that served the session for {} was lost",
            statement.instance
        ),
        Some("Malformed") => "it was not understood".to_owned(),
        Some(other) => format!("{other}, of which this version knows nothing more"),
        None => format!("it was done, later than its aim{}", delay(statement, all)),
    }
}

/// Whether a line tells of the service that a statement went to.
fn is_same_service(line: &Line, statement: &Line) -> bool {
    line.text("service") == statement.text("service")
}

/// The replacement of the primary that was under way when `own` was written.
fn replacement<'a>(statement: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let mut before = all
        .iter()
        .filter(|line| is_same_service(line, statement) && line.at <= statement.at)
        .rev();
    let last = before.find(|line| {
        line.message == "replacing the primary" || line.message == "replacement over"
    })?;
    (last.message == "replacing the primary").then_some(last)
}

fn replaced(statement: &Line, all: &[Line]) -> String {
    let Some(start) = replacement(statement, all) else {
        return String::new();
    };
    let reason = start.optional("reason").unwrap_or(start.text("reason"));
    format!(
        ": {} was replacing it since {:.3}, for it was found {}",
        start.instance,
        start.at,
        reason.to_lowercase()
    )
}

/// What took away the proof of a primary that had answered.
fn lost_proof(statement: &Line, all: &[Line]) -> String {
    let reason = replaced(statement, all);
    let silent = statement.number("store_silent_ms").unwrap_or_default();
    if reason.is_empty() && silent > STORE_SILENT_MS {
        return format!(
            ": {} had no answer from the store for {silent} ms",
            statement.instance
        );
    }
    reason
}

fn no_connection(statement: &Line, all: &[Line]) -> String {
    let service = statement.text("service");
    let silent = statement.number("store_silent_ms").unwrap_or_default();
    if replacement(statement, all).is_some() {
        let reason = replaced(statement, all);
        return format!("no connection to a primary of {service} became free in time{reason}");
    }
    if silent > STORE_SILENT_MS {
        return format!(
            "no connection to {service} became free in time: {} had no answer from the store \
             for {silent} ms, it was cut off",
            statement.instance
        );
    }
    format!(
        "no connection to {service} became free in time{}{}",
        failed_attempts(statement),
        full_upstream(statement, all).unwrap_or_else(|| failed_upstream(statement, all))
    )
}

/// That an upstream of the service took no more connections around then, and how many
/// this instance had there.
fn full_upstream(statement: &Line, all: &[Line]) -> Option<String> {
    let near = |line: &&Line| {
        let attempts = line.message == "upstream full" && line.instance == statement.instance;
        attempts
            && is_same_service(line, statement)
            && (line.at - statement.at).abs() <= FAILURE_WINDOW_S
    };
    let line = all.iter().filter(near).min_by(|a, b| {
        (a.at - statement.at)
            .abs()
            .total_cmp(&(b.at - statement.at).abs())
    })?;
    let number = |key| line.number(key).unwrap_or_default();
    Some(format!(
        ": {} took no more at {:.3}, with {} of this instance's connections open and {} \
         statements waiting",
        line.text("upstream"),
        line.at,
        number("open"),
        number("waiting")
    ))
}

fn no_proof(statement: &Line, all: &[Line]) -> String {
    let service = statement.text("service");
    let silent = statement.number("store_silent_ms").unwrap_or_default();
    if replacement(statement, all).is_some() {
        let reason = replaced(statement, all);
        return format!("nobody could be proved to lead {service}{reason}");
    }
    if statement.optional("phase") == Some("Changing") {
        return format!("nobody could be proved to lead {service}: its primary was being replaced");
    }
    if statement.text("upstream").is_empty() {
        return format!("nobody leads {service} yet, as far as this instance knew");
    }
    if silent > STORE_SILENT_MS {
        return format!(
            "{} could not be proved to lead {service}: {} had no answer from the store for \
             {silent} ms",
            statement.text("upstream"),
            statement.instance
        );
    }
    format!(
        "{} could not be proved to lead {service} in time{}",
        statement.text("upstream"),
        failed_upstream(statement, all)
    )
}

/// That an upstream of the service failed around then.
fn failed_upstream(statement: &Line, all: &[Line]) -> String {
    let near = |line: &&Line| {
        is_same_service(line, statement)
            && line.message == "upstream fails"
            && (line.at - statement.at).abs() <= FAILURE_WINDOW_S
    };
    let mut near: Vec<_> = all.iter().filter(near).collect();
    near.sort_by(|a, b| {
        (a.at - statement.at)
            .abs()
            .total_cmp(&(b.at - statement.at).abs())
    });
    // The primary's own failure says most.
    let primary = near
        .iter()
        .find(|line| line.text("upstream") == statement.text("upstream"));
    match primary.or(near.first()) {
        Some(line) => format!(
            ": {} was found failing at {:.3} by {}",
            line.text("upstream"),
            line.at,
            line.instance
        ),
        None => String::new(),
    }
}

/// What held up a statement that was done in the end.
fn delay(statement: &Line, all: &[Line]) -> String {
    let reason = replaced(statement, all);
    if !reason.is_empty() {
        return reason;
    }
    failed_attempts(statement) + &failed_upstream(statement, all)
}

/// The tries that were in vain.
fn failed_attempts(statement: &Line) -> String {
    let kinds = [
        ("refused", "an upstream refused it"),
        ("unconnected", "no connection was free"),
        ("lost", "a connection broke"),
    ];
    let attempts: Vec<_> = kinds
        .iter()
        .filter_map(|(field, what)| {
            let times = statement.number(field).filter(|times| *times > 0)?;
            Some(format!("{what} {times} times before"))
        })
        .collect();
    match attempts.is_empty() {
        true => String::new(),
        false => format!(": {}", attempts.join(", ")),
    }
}
