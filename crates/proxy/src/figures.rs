//! What an instance counts and shows of itself.

use std::{fmt::Write, time::Duration};

use clock::Boot;
use metrics::{counter, histogram};

use crate::{
    catalog::{Freshness, Route},
    edge::Edge,
    message::Code,
    node::Node,
    outcome::{Cause, Outcome},
};

/// Counts an answered statement, by service and class, never by a caller's words.
pub fn answered(route: Option<&Route>, outcome: &Outcome, span: Duration) {
    let service = route.map_or("none", |route| &route.service).to_owned();
    let class = match route.map(|route| route.freshness) {
        Some(Freshness::Current) => "current",
        Some(Freshness::OwnWrites(_)) => "own_writes",
        Some(Freshness::Bounded(_)) => "bounded",
        None => "none",
    };
    let (code, cause) = match outcome.failure {
        None => ("done", "none"),
        Some((code, cause)) => (word(code), reason(cause)),
    };
    let labels = [
        ("service", service.clone()),
        ("class", class.to_owned()),
        ("outcome", code.to_owned()),
        ("cause", cause.to_owned()),
    ];
    counter!("dandelionlink_statements_total", &labels).increment(1);
    let labels = [("service", service), ("class", class.to_owned())];
    histogram!("dandelionlink_statement_seconds", &labels).record(span.as_secs_f64());
}

fn word(code: Code) -> &'static str {
    match code {
        Code::Busy => "busy",
        Code::Aborted => "aborted",
        Code::Lagging => "lagging",
        Code::ReadOnly => "read_only",
        Code::Misrouted => "misrouted",
        Code::TooMany => "too_many",
        Code::InDoubt => "in_doubt",
        Code::Timeout => "timeout",
        Code::Failed => "failed",
        Code::NoStatement => "no_statement",
        Code::NoDatabase => "no_database",
        Code::Malformed => "malformed",
        Code::Other => "other",
    }
}

fn reason(cause: Cause) -> &'static str {
    match cause {
        Cause::NoProof => "no_proof",
        Cause::NoConnection => "no_connection",
        Cause::Upstream => "upstream",
        Cause::Broken => "broken",
        Cause::Late => "late",
        Cause::Unproved => "unproved",
        Cause::Undone => "undone",
        Cause::Replaced => "replaced",
        Cause::NoRoute => "no_route",
        Cause::NoStatement => "no_statement",
        Cause::Malformed => "malformed",
    }
}

/// What the instance believes and holds just now, as Prometheus text.
///
/// It is written anew for each reader, so an upstream that has left is shown no
/// more.
pub fn page<E: Edge>(node: &Node<E>) -> String {
    let now = Boot.now();
    let mut page = String::new();
    let mut put = |name: &str, labels: &str, value: f64| {
        let _ = writeln!(page, "dandelionlink_{name}{labels} {value}");
    };
    put("ready", "", f64::from(u8::from(node.is_ready())));
    put("sessions", "", count(node.sessions.get()));
    put("instances", "", count(node.peers.count()));
    put("catalogue_version", "", node.catalog().version as f64);
    put(
        "store_silent_seconds",
        "",
        now.since(node.contact.get()).as_secs_f64(),
    );
    put("log_lines_left_out_total", "", logs::left_out() as f64);
    for group in node.groups() {
        let labels = format!("{{service=\"{}\"}}", group.service);
        let term = group.known().map_or(0, |known| known.record.term.0);
        put("term", &labels, term as f64);
        let left = group.proof().until().since(now).as_secs_f64();
        put("proof_left_seconds", &labels, left);
        for member in group.members() {
            let (service, upstream) = (&group.service, &member.upstream.id);
            let labels = format!("{{service=\"{service}\",upstream=\"{upstream}\"}}");
            put("connections", &labels, count(member.pool.open.get()));
            put("waiting", &labels, count(member.pool.waiting()));
            put("running", &labels, count(member.running.get()));
            put("failing", &labels, f64::from(u8::from(member.is_failing())));
            put("latency_seconds", &labels, member.latency().as_secs_f64());
        }
    }
    page
}

fn count(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
