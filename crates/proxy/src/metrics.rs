//! Metrics of an instance.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, rc::Rc, time::Duration};

use admit::load::TENTHS;
use clock::{Boot, Instant};

use crate::{
    catalog::{Freshness, Route},
    edge::Edge,
    message::Code,
    node::Node,
    outcome::{Cause, Outcome},
    work,
};

/// Upper bounds of the histogram buckets for durations, in seconds.
const BOUNDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Labels of an answered statement: service, class, outcome and cause.
type Labels = (Rc<str>, &'static str, &'static str, &'static str);

/// A histogram of durations.
#[derive(Debug, Clone, Copy, Default)]
struct Histogram {
    buckets: [u64; BOUNDS.len()],
    sum: f64,
    count: u64,
}

/// Counters and histograms since the start of the process.
///
/// The `metrics` crate's exporter is not used: its clock spins for 0.2 s at every start, during
/// which the instance would serve no caller.
#[derive(Debug, Default)]
pub struct Metrics {
    statements: RefCell<BTreeMap<Labels, u64>>,
    latencies: RefCell<BTreeMap<(Rc<str>, &'static str), Histogram>>,
    waits: [RefCell<Histogram>; 3],
    reads: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    predicted: RefCell<Histogram>,
    calls: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
}

/// Reason for which a statement waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Proof of a primary.
    Proof,
    /// A connection to an upstream.
    Connection,
    /// A replica's log.
    Log,
}

/// An event in the choice of an upstream for a read, or for a transaction that only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// A replica was chosen.
    Replica,
    /// The primary was chosen.
    Primary,
    /// A replica refused it because its log had not reached the floor.
    Lagging,
    /// It waited for a replica's log.
    Awaited,
}

/// A running wait; it is recorded when the guard is dropped.
#[derive(Debug)]
#[must_use = "a wait that is dropped at once took no time"]
pub struct WaitTimer<'a> {
    histogram: &'a RefCell<Histogram>,
    since: Instant,
}

impl Drop for WaitTimer<'_> {
    fn drop(&mut self) {
        let duration = Boot.now().since(self.since);
        self.histogram.borrow_mut().add(duration);
    }
}

impl Histogram {
    fn add(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.sum += seconds;
        self.count += 1;
        for (bucket, bound) in self.buckets.iter_mut().zip(BOUNDS) {
            *bucket += u64::from(seconds <= bound);
        }
    }

    fn write(&self, page: &mut String, name: &str, labels: &str) {
        for (count, bound) in self.buckets.iter().zip(BOUNDS) {
            let _ = writeln!(page, "{name}_bucket{{{labels},le=\"{bound}\"}} {count}");
        }
        let (sum, count) = (self.sum, self.count);
        let _ = writeln!(page, "{name}_bucket{{{labels},le=\"+Inf\"}} {count}");
        let _ = writeln!(page, "{name}_sum{{{labels}}} {sum}");
        let _ = writeln!(page, "{name}_count{{{labels}}} {count}");
    }
}

impl Metrics {
    /// Counts an answered statement by service and class. Text from callers never becomes a label.
    pub fn observe_statement(&self, route: Option<&Route>, outcome: &Outcome, duration: Duration) {
        let service = route.map_or_else(|| "none".into(), |route| Rc::clone(&route.service));
        let class = route.map_or("none", class_label);
        let (code, cause) = match outcome.failure {
            None => ("done", "none"),
            Some((code, cause)) => (code_label(code), cause_label(cause)),
        };
        let end = (Rc::clone(&service), class, code, cause);
        *self.statements.borrow_mut().entry(end).or_default() += 1;
        let mut latencies = self.latencies.borrow_mut();
        latencies.entry((service, class)).or_default().add(duration);
    }

    /// Counts an event of a read by its route's class.
    pub fn count_read(&self, route: &Route, read: Read) {
        let event = match read {
            Read::Replica => "replica",
            Read::Primary => "primary",
            Read::Lagging => "lagging",
            Read::Awaited => "awaited",
        };
        let mut reads = self.reads.borrow_mut();
        *reads.entry((class_label(route), event)).or_default() += 1;
    }

    /// Counts a call to the platform by kind and answer.
    pub fn count_call(&self, kind: &'static str, answer: &'static str) {
        *self.calls.borrow_mut().entry((kind, answer)).or_default() += 1;
    }

    /// Starts a wait that ends when the returned guard is dropped.
    pub fn wait(&self, wait: Wait) -> WaitTimer<'_> {
        let histogram = match wait {
            Wait::Proof => &self.waits[0],
            Wait::Connection => &self.waits[1],
            Wait::Log => &self.waits[2],
        };
        let since = Boot.now();
        WaitTimer { histogram, since }
    }

    /// Records the predicted wait of an admitted request.
    pub fn observe_prediction(&self, wait: Duration) {
        self.predicted.borrow_mut().add(wait);
    }

    /// Formats the counts of platform calls by kind and answer for the log.
    pub(crate) fn calls(&self) -> String {
        let mut text = String::new();
        for ((kind, answer), count) in self.calls.borrow().iter() {
            let _ = write!(text, "{kind}.{answer}={count} ");
        }
        text.trim_end().to_owned()
    }

    fn write(&self, page: &mut String) {
        for ((service, class, outcome, cause), count) in self.statements.borrow().iter() {
            let _ = writeln!(
                page,
                "dandelionlink_statements_total{{service=\"{service}\",class=\"{class}\",\
                 outcome=\"{outcome}\",cause=\"{cause}\"}} {count}"
            );
        }
        let name = "dandelionlink_statement_seconds";
        for ((service, class), histogram) in self.latencies.borrow().iter() {
            let labels = format!("service=\"{service}\",class=\"{class}\"");
            histogram.write(page, name, &labels);
        }
        for ((class, event), count) in self.reads.borrow().iter() {
            let _ = writeln!(
                page,
                "dandelionlink_reads_total{{class=\"{class}\",event=\"{event}\"}} {count}"
            );
        }
        for (histogram, what) in self.waits.iter().zip(["proof", "connection", "log"]) {
            let labels = format!("for=\"{what}\"");
            let name = "dandelionlink_wait_seconds";
            histogram.borrow().write(page, name, &labels);
        }
        let name = "dandelionlink_predicted_wait_seconds";
        self.predicted
            .borrow()
            .write(page, name, "for=\"connection\"");
        for ((kind, answer), count) in self.calls.borrow().iter() {
            let _ = writeln!(
                page,
                "dandelionlink_platform_calls_total{{kind=\"{kind}\",answer=\"{answer}\"}} {count}"
            );
        }
    }
}

fn code_label(code: Code) -> &'static str {
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
        Code::NoAccount => "no_account",
        Code::Malformed => "malformed",
        Code::Other => "other",
    }
}

fn class_label(route: &Route) -> &'static str {
    match route.freshness {
        Freshness::Current => "current",
        Freshness::OwnWrites(_) => "own_writes",
        Freshness::Bounded(_) => "bounded",
    }
}

fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::NoProof => "no_proof",
        Cause::NoConnection => "no_connection",
        Cause::Overload { .. } => "overload",
        Cause::Upstream => "upstream",
        Cause::Broken => "broken",
        Cause::Late => "late",
        Cause::Unproved => "unproved",
        Cause::Undone => "undone",
        Cause::Replaced => "replaced",
        Cause::NoRoute => "no_route",
        Cause::NoKey => "no_key",
        Cause::Stale => "stale_catalogue",
        Cause::OverQuota { .. } => "over_quota",
        Cause::NoStatement => "no_statement",
        Cause::Malformed => "malformed",
        Cause::Holder => "holder",
    }
}

/// Renders the counters and the instance's current state as Prometheus text.
///
/// Each scrape renders the current members, so an upstream that has left disappears.
pub fn render<E: Edge>(node: &Node<E>) -> String {
    let now = Boot.now();
    let mut page = String::new();
    node.metrics.write(&mut page);
    let mut put = |name: &str, labels: &str, value: f64| {
        let _ = writeln!(page, "dandelionlink_{name}{labels} {value}");
    };
    put("ready", "", f64::from(u8::from(node.is_ready())));
    put("sessions", "", to_f64(node.sessions.get()));
    put("instances", "", to_f64(node.peers.count()));
    put(
        "catalogue_fetches_total",
        "",
        node.peers.fetches.get() as f64,
    );
    put("catalogue_version", "", node.catalog().version as f64);
    put(
        "store_silent_seconds",
        "",
        now.since(node.store_contact_at.get()).as_secs_f64(),
    );
    for (name, done) in work::counts(node) {
        put("work_total", &format!("{{kind=\"{name}\"}}"), done as f64);
    }
    let watched = now.since(node.watch_answered_at.get()).as_secs_f64();
    put("watch_silent_seconds", "", watched);
    put("log_lines_left_out_total", "", logs::dropped() as f64);
    if let Some(age) = node.freshness.age(now) {
        put("keys_proved_seconds_ago", "", age.as_secs_f64());
    }
    for (account, rate) in node.shares.demand(now) {
        put(
            "account_demand",
            &format!("{{account=\"{account}\"}}"),
            rate,
        );
    }
    for (account, priority, tally) in node.shares.tallies() {
        let labels = format!("{{account=\"{account}\",priority=\"{priority}\"}}");
        put("quota_granted_total", &labels, tally.granted as f64);
        put("quota_refused_total", &labels, tally.refused as f64);
    }
    for (account, parts) in node.shares.owned(&node.settings.name) {
        let labels = format!("{{account=\"{account}\"}}");
        put("account_share", &labels, f64::from(parts) / 1_000.0);
        let rate = node.quota(&account).map_or(0.0, |quota| quota.rate);
        put("account_quota_rate", &labels, rate);
    }
    for group in node.active() {
        let labels = format!("{{service=\"{}\"}}", group.service);
        let term = group.stored_record().map_or(0, |known| known.record.term.0);
        put("term", &labels, term as f64);
        let left = group.proof().until().since(now).as_secs_f64();
        put("proof_left_seconds", &labels, left);
        let unlisted = group.answering_absent();
        put("voters_without_entry", &labels, to_f64(unlisted));
        for member in group.members() {
            let (service, upstream) = (&group.service, &member.upstream.id);
            let labels = format!("{{service=\"{service}\",upstream=\"{upstream}\"}}");
            put("connections", &labels, to_f64(member.pool.open.get()));
            put("waiting", &labels, to_f64(member.pool.waiting()));
            put("running", &labels, to_f64(member.running.get()));
            put("failing", &labels, f64::from(u8::from(member.is_failing())));
            put("latency_seconds", &labels, member.latency().as_secs_f64());
            if let Some(left) = member.leaves_in(now, node.settings.drain) {
                put("drain_left_seconds", &labels, left.as_secs_f64());
            }
            if member.upstream.slots > 0 {
                put("window", &labels, to_f64(member.window()));
            }
            if member.load.window().is_some() {
                let others = member.load.others();
                let load = to_f64(others.load) / f64::from(TENTHS);
                put("reported_load", &labels, load);
                put("unreported_holders", &labels, to_f64(others.unknown));
                put("load_report_age_seconds", &labels, others.age.as_secs_f64());
            }
            let refusals = &member.refusals;
            put(
                "connections_opened_total",
                &labels,
                refusals.opened_total() as f64,
            );
            put(
                "statements_shed_total",
                &labels,
                refusals.shed_total() as f64,
            );
            put("log_lag_seconds", &labels, member.log.lag().as_secs_f64());
            put(
                "passed_over_total",
                &labels,
                member.log.passed_over_total() as f64,
            );
            for (reason, priority, count) in refusals.denied_totals() {
                let labels = format!(
                    "{{service=\"{service}\",upstream=\"{upstream}\",reason=\"{reason}\",\
                     priority=\"{priority}\"}}"
                );
                put("requests_refused_total", &labels, count as f64);
            }
        }
    }
    page
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
