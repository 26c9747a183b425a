//! The sentence that says why a statement ended as it did.

use crate::line::Line;

/// From how long a silence of the store on an instance is cut off from it, in
/// milliseconds: proofs are renewed each 200 ms.
const SILENT_MS: u64 = 400;

/// How far from a statement an upstream's failure is taken for its cause, in
/// seconds: a probe finds it a little later.
const NEAR_S: f64 = 2.0;

/// Reason the statement of `own` ended as it did, by what `all` instances wrote.
pub(crate) fn sentence(own: &Line, all: &[Line]) -> String {
    match stood_still(own, all) {
        Some(line) => format!(
            "{}; {} stood still for {} ms meanwhile",
            decided(own, all),
            own.instance,
            line.number("ms").unwrap_or_default()
        ),
        None => decided(own, all),
    }
}

/// The line that says that the statement's instance stood still while it ran; it
/// comes a little later than the statement's own.
fn stood_still<'a>(own: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let began = own.at - own.number("ms").unwrap_or_default() as f64 / 1_000.0;
    all.iter().find(|it| {
        let span = it.number("ms").unwrap_or_default() as f64 / 1_000.0;
        it.message == "stood still"
            && it.instance == own.instance
            && it.at >= began
            && it.at - span <= own.at
    })
}

fn decided(own: &Line, all: &[Line]) -> String {
    let upstream = own.text("upstream");
    if own.message == "answer lost" {
        return format!(
            "{} answered, but the caller's connection broke before that: {}",
            own.instance,
            own.text("error")
        );
    }
    match own.optional("cause") {
        Some("NoProof") => no_proof(own, all),
        Some("NoConnection") => no_connection(own, all),
        Some("Broken") => format!(
            "the connection to {upstream} broke before its answer was whole{}",
            failing(own, all)
        ),
        Some("Late") => format!("{upstream} did not answer in time{}", failing(own, all)),
        Some("Unproved") => format!(
            "{upstream} answered, but by then it could not be proved to lead any more{}",
            unproved(own, all)
        ),
        Some("Replaced") => format!(
            "the transaction's upstream leads no more{}",
            replaced(own, all)
        ),
        Some("Upstream") => format!(
            "an upstream of {} refused it itself, as {}",
            own.text("service"),
            own.optional("code").unwrap_or("nothing known")
        ),
        Some("Undone") => "its transaction had been undone before".to_owned(),
        Some("NoKey") => format!(
            "no account of catalogue {} holds the caller's key",
            own.text("catalogue")
        ),
        Some("Stale") => format!(
            "the instance could not prove that the key was not taken away; the store was \
             silent for {} ms",
            own.text("store_silent_ms")
        ),
        Some("OverQuota") => format!("account {} has used up its quota", own.text("account")),
        Some("NoRoute") => format!("no route has the database {}", own.text("database")),
        Some("NoStatement") => "the session has no such prepared statement".to_owned(),
        Some("Holder") => format!(
            "the instance that served the session for {} was lost",
            own.instance
        ),
        Some("Malformed") => "it was not understood".to_owned(),
        Some(other) => format!("{other}, of which this version knows nothing more"),
        None => format!("it was done, later than its aim{}", held_up(own, all)),
    }
}

/// Whether a line tells of the service that a statement went to.
fn same(line: &Line, own: &Line) -> bool {
    line.text("service") == own.text("service")
}

/// The replacement of the primary that was under way when `own` was written.
fn replacement<'a>(own: &Line, all: &'a [Line]) -> Option<&'a Line> {
    let mut before = all
        .iter()
        .filter(|it| same(it, own) && it.at <= own.at)
        .rev();
    let last = before
        .find(|it| it.message == "replacing the primary" || it.message == "replacement over")?;
    (last.message == "replacing the primary").then_some(last)
}

fn replaced(own: &Line, all: &[Line]) -> String {
    let Some(start) = replacement(own, all) else {
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
fn unproved(own: &Line, all: &[Line]) -> String {
    let why = replaced(own, all);
    let silent = own.number("store_silent_ms").unwrap_or_default();
    if why.is_empty() && silent > SILENT_MS {
        return format!(
            ": {} had no answer from the store for {silent} ms",
            own.instance
        );
    }
    why
}

fn no_connection(own: &Line, all: &[Line]) -> String {
    let service = own.text("service");
    let silent = own.number("store_silent_ms").unwrap_or_default();
    if replacement(own, all).is_some() {
        let why = replaced(own, all);
        return format!("no connection to a primary of {service} became free in time{why}");
    }
    if silent > SILENT_MS {
        return format!(
            "no connection to {service} became free in time: {} had no answer from the store \
             for {silent} ms, it was cut off",
            own.instance
        );
    }
    format!(
        "no connection to {service} became free in time{}{}",
        tries(own),
        full(own, all).unwrap_or_else(|| failing(own, all))
    )
}

/// That an upstream of the service took no more connections around then, and how many
/// this instance had there.
fn full(own: &Line, all: &[Line]) -> Option<String> {
    let near = |it: &&Line| {
        let told = it.message == "upstream full" && it.instance == own.instance;
        told && same(it, own) && (it.at - own.at).abs() <= NEAR_S
    };
    let line = all
        .iter()
        .filter(near)
        .min_by(|a, b| (a.at - own.at).abs().total_cmp(&(b.at - own.at).abs()))?;
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

fn no_proof(own: &Line, all: &[Line]) -> String {
    let service = own.text("service");
    let silent = own.number("store_silent_ms").unwrap_or_default();
    if replacement(own, all).is_some() {
        let why = replaced(own, all);
        return format!("nobody could be proved to lead {service}{why}");
    }
    if own.optional("phase") == Some("Changing") {
        return format!("nobody could be proved to lead {service}: its primary was being replaced");
    }
    if own.text("upstream").is_empty() {
        return format!("nobody leads {service} yet, as far as this instance knew");
    }
    if silent > SILENT_MS {
        return format!(
            "{} could not be proved to lead {service}: {} had no answer from the store for \
             {silent} ms",
            own.text("upstream"),
            own.instance
        );
    }
    format!(
        "{} could not be proved to lead {service} in time{}",
        own.text("upstream"),
        failing(own, all)
    )
}

/// That an upstream of the service failed around then.
fn failing(own: &Line, all: &[Line]) -> String {
    let near = |it: &&Line| {
        same(it, own) && it.message == "upstream fails" && (it.at - own.at).abs() <= NEAR_S
    };
    let mut near: Vec<_> = all.iter().filter(near).collect();
    near.sort_by(|a, b| (a.at - own.at).abs().total_cmp(&(b.at - own.at).abs()));
    // The primary's own failure says most.
    let primary = near
        .iter()
        .find(|it| it.text("upstream") == own.text("upstream"));
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
fn held_up(own: &Line, all: &[Line]) -> String {
    let why = replaced(own, all);
    if !why.is_empty() {
        return why;
    }
    tries(own) + &failing(own, all)
}

/// The tries that were in vain.
fn tries(own: &Line) -> String {
    let kinds = [
        ("refused", "an upstream refused it"),
        ("unconnected", "no connection was free"),
        ("lost", "a connection broke"),
    ];
    let told: Vec<_> = kinds
        .iter()
        .filter_map(|(field, what)| {
            let times = own.number(field).filter(|times| *times > 0)?;
            Some(format!("{what} {times} times before"))
        })
        .collect();
    match told.is_empty() {
        true => String::new(),
        false => format!(": {}", told.join(", ")),
    }
}
