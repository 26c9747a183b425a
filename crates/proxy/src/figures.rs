//! What an instance counts and shows of itself.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, rc::Rc, time::Duration};

use clock::Boot;

use crate::{
    catalog::{Freshness, Route},
    edge::Edge,
    message::Code,
    node::Node,
    outcome::{Cause, Outcome},
};

/// The upper bounds of the buckets of durations, in seconds.
const BOUNDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// How a statement ended: its service, its class, the outcome and the cause.
type End = (Rc<str>, &'static str, &'static str, &'static str);

/// How long statements of a service and a class took.
#[derive(Debug, Clone, Copy, Default)]
struct Spans {
    buckets: [u64; BOUNDS.len()],
    sum: f64,
    count: u64,
}

/// What was counted since the start of the process.
///
/// The `metrics` crate's exporter is not used here: its clock spins for 0.2 s at
/// every start, and that long an instance would serve nobody (docs/MEASUREMENTS.md).
#[derive(Debug, Default)]
pub struct Figures {
    ends: RefCell<BTreeMap<End, u64>>,
    spans: RefCell<BTreeMap<(Rc<str>, &'static str), Spans>>,
}

impl Figures {
    /// Counts an answered statement, by service and class, never by a caller's words.
    pub fn answered(&self, route: Option<&Route>, outcome: &Outcome, span: Duration) {
        let service = route.map_or_else(|| "none".into(), |route| Rc::clone(&route.service));
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
        let end = (Rc::clone(&service), class, code, cause);
        *self.ends.borrow_mut().entry(end).or_default() += 1;
        let mut spans = self.spans.borrow_mut();
        let spans = spans.entry((service, class)).or_default();
        let seconds = span.as_secs_f64();
        spans.sum += seconds;
        spans.count += 1;
        for (bucket, bound) in spans.buckets.iter_mut().zip(BOUNDS) {
            *bucket += u64::from(seconds <= bound);
        }
    }

    fn write(&self, page: &mut String) {
        for ((service, class, outcome, cause), count) in self.ends.borrow().iter() {
            let _ = writeln!(
                page,
                "dandelionlink_statements_total{{service=\"{service}\",class=\"{class}\",\
                 outcome=\"{outcome}\",cause=\"{cause}\"}} {count}"
            );
        }
        let name = "dandelionlink_statement_seconds";
        for ((service, class), spans) in self.spans.borrow().iter() {
            let labels = format!("service=\"{service}\",class=\"{class}\"");
            for (count, bound) in spans.buckets.iter().zip(BOUNDS) {
                let _ = writeln!(page, "{name}_bucket{{{labels},le=\"{bound}\"}} {count}");
            }
            let (sum, count) = (spans.sum, spans.count);
            let _ = writeln!(page, "{name}_bucket{{{labels},le=\"+Inf\"}} {count}");
            let _ = writeln!(page, "{name}_sum{{{labels}}} {sum}");
            let _ = writeln!(page, "{name}_count{{{labels}}} {count}");
        }
    }
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

/// What was counted, and what the instance believes and holds just now, as
/// Prometheus text.
///
/// It is written anew for each reader, so an upstream that has left is shown no
/// more.
pub fn page<E: Edge>(node: &Node<E>) -> String {
    let now = Boot.now();
    let mut page = String::new();
    node.figures.write(&mut page);
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
