//! Explanation, in a sentence, of a statement's outcome.

use crate::line::Line;

/// Silence of the store, in milliseconds, from which an instance counts as partitioned from
/// it: proofs are renewed every 200 ms.
const STORE_SILENT_MS: u64 = 400;

/// Distance in time, in seconds, within which an upstream's failure counts as the cause of a
/// statement's outcome: a probe detects the failure a little later.
const FAILURE_WINDOW_S: f64 = 2.0;

/// Explains the outcome of `statement` from `all` lines of all instances.
pub(crate) fn sentence(statement: &Line, all: &[Line]) -> String {
    match stall(statement, all) {
        Some(line) => format!(
            "{}; {} was stalled for {} ms meanwhile",
            outcome(statement, all),
            statement.instance,
            line.number("ms").unwrap_or_default()
        ),
        None => outcome(statement, all),
    }
}

/// The line that reports a stall of the statement's instance while the statement ran. It is
/// written a little later than the statement's own line.
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
    let (cause, retry_after_ms) = match statement.optional("cause") {
        Some(cause) => match cause.split_once(" { retry_after_ms: ") {
            Some((cause, retry)) => (Some(cause), retry.strip_suffix(" }")),
            None => (Some(cause), None),
        },
        None => (None, None),
    };
    match cause {
        Some("NoProof") => no_proof(statement, all),
        Some("NoConnection") => no_connection(statement, all),
        Some("Overload") => overload(statement, all),
        Some("Broken") => format!(
            "the connection to {upstream} broke before the answer was complete{}",
            failed_upstream(statement, all)
        ),
        Some("Late") => format!(
            "{upstream} did not answer in time{}",
            failed_upstream(statement, all)
        ),
        Some("Unproved") => format!(
            "{upstream} answered, but by then it was no longer proved to be the primary{}",
            lost_proof(statement, all)
        ),
        Some("Replaced") => format!(
            "the transaction's upstream is no longer the primary{}",
            replaced(statement, all)
        ),
        Some("Upstream") => format!(
            "an upstream of {} rejected the statement with {}",
            statement.text("service"),
            statement.optional("code").unwrap_or("an unknown code")
        ),
        Some("Undone") => "its transaction had been rolled back before".to_owned(),
        Some("NoKey") => format!(
            "no account of catalogue {} holds the caller's key",
            statement.text("catalogue")
        ),
        Some("Stale") => format!(
            "the instance could not prove that the key was not revoked; the store was \
             silent for {} ms",
            statement.text("store_silent_ms")
        ),
        Some("OverQuota") => format!(
            "account {} has used up its quota{}",
            statement.text("account"),
            retry_after_ms.map_or_else(String::new, |retry| format!(
                "; the caller was told to come back in {retry} ms"
            ))
        ),
        Some("NoRoute") => format!("no route for the database {}", statement.text("database")),
        Some("NoStatement") => "the session has no such prepared statement".to_owned(),
        Some("Holder") => format!(
            "the instance that served the session for {} was lost",
            statement.instance
        ),
        Some("Malformed") => "the request was malformed".to_owned(),
        Some(other) => format!("{other}, a cause that this version does not know"),
        None => format!(
            "it was done, later than its latency objective{}",
            delay(statement, all)
        ),
    }
}

/// Returns true if a line concerns the service of a statement.
fn is_same_service(line: &Line, statement: &Line) -> bool {
    line.text("service") == statement.text("service")
}

/// The line that started a replacement of the primary still in progress at `statement`.
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

/// Describes a replacement of the primary in progress; empty if there was none.
fn replaced(statement: &Line, all: &[Line]) -> String {
    let Some(start) = replacement(statement, all) else {
        return String::new();
    };
    let reason = start.optional("reason").unwrap_or(start.text("reason"));
    format!(
        ": {} had been replacing the primary since {:.3} because the primary was found {}",
        start.instance,
        start.at,
        reason.to_lowercase()
    )
}

/// Describes why the proof of a primary was lost before its answer.
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
             for {silent} ms and was partitioned",
            statement.instance
        );
    }
    format!(
        "no connection to {service} became free in time{}{}",
        failed_attempts(statement),
        full_upstream(statement, all).unwrap_or_else(|| failed_upstream(statement, all))
    )
}

/// Describes a refusal by prediction, with the load that this instance logged around that time.
fn overload(statement: &Line, all: &[Line]) -> String {
    let service = statement.text("service");
    let near = |line: &&Line| {
        let is_refusal = line.message == "requests refused" && line.instance == statement.instance;
        is_refusal
            && is_same_service(line, statement)
            && (line.at - statement.at).abs() <= FAILURE_WINDOW_S
    };
    let distance = |line: &Line| (line.at - statement.at).abs();
    let nearest = all
        .iter()
        .filter(near)
        .min_by(|a, b| distance(a).total_cmp(&distance(b)));
    let load = nearest.map_or_else(String::new, |line| {
        let number = |key| line.number(key).unwrap_or_default();
        format!(
            ": at {:.3}, {} ran {} statements of this instance in {} ms each, and {} waited",
            line.at,
            line.text("upstream"),
            number("running"),
            number("latency_ms"),
            number("waiting")
        )
    });
    format!("no upstream of {service} could be expected to answer before the deadline{load}")
}

/// Describes an upstream of the service that accepted no more connections around the time
/// of the statement, with the connections that this instance had there.
fn full_upstream(statement: &Line, all: &[Line]) -> Option<String> {
    let near = |line: &&Line| {
        let is_full = line.message == "upstream full" && line.instance == statement.instance;
        is_full
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
        ": {} accepted no more connections at {:.3}, with {} connections of this instance open \
         and {} statements waiting",
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
        return format!("no upstream could be proved to be the primary of {service}{reason}");
    }
    if statement.optional("phase") == Some("Changing") {
        return format!(
            "no upstream could be proved to be the primary of {service}: the primary was being \
             replaced"
        );
    }
    if statement.text("upstream").is_empty() {
        return format!("this instance knew no primary of {service} yet");
    }
    if silent > STORE_SILENT_MS {
        return format!(
            "{} could not be proved to be the primary of {service}: {} had no answer from the \
             store for {silent} ms",
            statement.text("upstream"),
            statement.instance
        );
    }
    format!(
        "{} could not be proved to be the primary of {service} in time{}",
        statement.text("upstream"),
        failed_upstream(statement, all)
    )
}

/// Describes the failure of an upstream of the service around the time of the statement;
/// empty if there was none.
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
    // A failure of the statement's own upstream explains most.
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

/// Describes what delayed a statement that succeeded.
fn delay(statement: &Line, all: &[Line]) -> String {
    let reason = replaced(statement, all);
    if !reason.is_empty() {
        return reason;
    }
    failed_attempts(statement) + &failed_upstream(statement, all)
}

/// Describes the failed attempts of a statement; empty if there were none.
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
