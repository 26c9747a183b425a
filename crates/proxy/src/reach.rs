//! What is known of an upstream's log, and how often it kept reads away.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::Instant;
use lead::{
    Samples,
    reach::{Estimate, Reach},
};
use model::Position;

use crate::member::Member;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// What is known of an upstream's log.
#[derive(Debug)]
pub struct Log {
    reach: Cell<Reach>,
    samples: Rc<RefCell<Samples>>,
    passed_over: Cell<u64>,
    refused: Cell<u64>,
    reported: Cell<Report>,
}

/// The counts at the last log line.
#[derive(Debug, Clone, Copy, Default)]
struct Report {
    at: Instant,
    passed_over: u64,
    refused: u64,
}

impl Log {
    /// Creates the log of an upstream of the group whose primary has these `samples`.
    pub(crate) fn new(samples: &Rc<RefCell<Samples>>) -> Self {
        Self {
            reach: Cell::default(),
            samples: Rc::clone(samples),
            passed_over: Cell::default(),
            refused: Cell::default(),
            reported: Cell::default(),
        }
    }

    /// Forgets the position: the group has another primary.
    pub(crate) fn reset(&self, now: Instant) {
        let mut reach = self.reach.get();
        reach.reset(now);
        self.reach.set(reach);
    }

    /// Records that a question is sent.
    pub(crate) fn ask(&self, now: Instant) {
        let mut reach = self.reach.get();
        reach.ask(now);
        self.reach.set(reach);
    }

    /// Records the position in an answer, with the moments of the question and the answer.
    pub(crate) fn record(&self, span: (Instant, Instant), position: Position) {
        let mut reach = self.reach.get();
        reach.record(span, position, &self.samples.borrow());
        self.reach.set(reach);
    }

    /// Estimates when the log has reached `floor`, which the primary had by `known_at`.
    pub fn expect(&self, floor: Position, known_at: Instant, now: Instant) -> Estimate {
        let samples = self.samples.borrow();
        self.reach.get().expect(floor, known_at, now, &samples)
    }

    /// Returns how far the upstream was behind the primary when its log last grew.
    pub fn lag(&self) -> Duration {
        self.reach.get().lag()
    }

    /// Returns the number of reads since the start that ran elsewhere because of the log.
    pub fn passed_over_total(&self) -> u64 {
        self.passed_over.get()
    }

    /// Counts a read that the upstream refused because its log had not reached the floor.
    pub fn note_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }
}

/// Counts a read that does not run at `member` yet because its log is not expected to have reached
/// `floor`, and logs the counts at intervals.
pub(crate) fn pass_over(member: &Member, floor: Position, now: Instant) {
    let log = &member.log;
    let passed_over = log.passed_over.get() + 1;
    log.passed_over.set(passed_over);
    let before = log.reported.get();
    if before.at + LOG_INTERVAL > now {
        return;
    }
    let refused = log.refused.get();
    log.reported.set(Report {
        at: now,
        passed_over,
        refused,
    });
    let reached = log.reach.get().position().unwrap_or_default();
    log::info!(
        service = &*member.upstream.service, upstream = &*member.upstream.id,
        floor:% = plain(floor), position:% = plain(reached),
        lag_ms = u64::try_from(log.lag().as_millis()).unwrap_or(u64::MAX),
        passed_over = passed_over - before.passed_over, lagging = refused - before.refused;
        "replica passed over"
    );
}

/// Formats a position as upstreams write it.
pub(crate) fn plain(position: Position) -> String {
    format!("{}.{}", position.term.0, position.lsn.0)
}
