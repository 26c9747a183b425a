//! One upstream as this candidate sees it.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Report, Role};

use crate::{
    event::{Call, Fault, View},
    timing::Timing,
};

/// Probes that may be under way at once; more would only queue behind a stall.
const MAX_OUTSTANDING_PROBES: usize = 4;

/// Hard faults in a row that make a view. One may be a listener's hiccup; the
/// second is asked for at once.
const CONFIRMING_FAULTS: u32 = 2;

/// What is known of an upstream, and how regularly it answers.
#[derive(Debug)]
pub(crate) struct Detector {
    pending: BTreeMap<Call, Instant>,
    rtt_mean: Duration,
    rtt_deviation: Duration,
    created: Instant,
    last_answer: Option<Instant>,
    silence_start: Instant,
    hard_faults: u32,
    replica_reports: u32,
    report: Option<Report>,
    last_advance: Option<Instant>,
}

impl Detector {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            pending: BTreeMap::new(),
            rtt_mean: Duration::ZERO,
            rtt_deviation: Duration::ZERO,
            created: now,
            last_answer: None,
            silence_start: now,
            hard_faults: 0,
            replica_reports: 0,
            report: None,
            last_advance: None,
        }
    }

    /// Notes a probe, unless too many are under way.
    pub(crate) fn begin_probe(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
    ) -> Option<Call> {
        self.pending
            .retain(|_, asked| now.since(*asked) < timing.max_silence);
        if self.pending.len() >= MAX_OUTSTANDING_PROBES {
            return None;
        }
        self.pending.insert(call, now);
        Some(call)
    }

    /// Takes the answer to a probe or to an order.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<Report, Fault>,
    ) {
        let asked = self.pending.remove(&call);
        match result {
            Ok(report) => {
                if let Some(asked) = asked {
                    self.update_rtt(now.since(asked));
                }
                self.hard_faults = 0;
                self.last_answer = Some(now);
                self.update_report(now, report);
            }
            Err(Fault::Fenced(_)) => {
                self.hard_faults = 0;
                self.last_answer = Some(now);
            }
            Err(Fault::Refused | Fault::Broken) => self.hard_faults += 1,
            Err(Fault::Full) => self.on_full(now, timing),
            Err(Fault::Timeout) => {}
        }
    }

    /// Takes the word that there is no room for another connection.
    ///
    /// Something must run there to say so. Taken for silence, a restart of the
    /// instances, whose old and new connections fill an upstream for a while,
    /// replaces a healthy primary and leaves its writes in doubt. But one that
    /// hangs behind connections that nobody can use says the same: without a
    /// report for [`Timing::full_grace`] it counts as silent.
    fn on_full(&mut self, now: Instant, timing: &Timing) {
        self.hard_faults = 0;
        let known = self.last_answer.unwrap_or(self.created);
        if now.since(known) < timing.full_grace {
            self.silence_start = now;
        }
    }

    fn update_report(&mut self, now: Instant, report: Report) {
        let old = self.report.replace(report);
        if old.is_some_and(|old| old.received < report.received) {
            self.last_advance = Some(now);
        }
        self.replica_reports = match report.role {
            Role::Primary => 0,
            Role::Replica => self.replica_reports + 1,
        };
    }

    /// Jacobson's estimate of the round trip and its spread.
    fn update_rtt(&mut self, rtt: Duration) {
        let error = rtt.abs_diff(self.rtt_mean);
        self.rtt_mean = (self.rtt_mean * 7 + rtt) / 8;
        self.rtt_deviation = (self.rtt_deviation * 3 + error) / 4;
    }

    /// How long this upstream may be silent before it is suspected.
    pub(crate) fn silence_timeout(&self, timing: &Timing) -> Duration {
        let usual = timing.probe_interval + self.rtt_mean + self.rtt_deviation * 4;
        usual.clamp(timing.min_silence, timing.max_silence)
    }

    /// Starts to count silence anew.
    ///
    /// After a pause of this process every upstream would look silent at once,
    /// and the process would claim a term for its own stall; likewise a new
    /// primary must not inherit the silence from before its promotion.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        self.silence_start = now;
        self.hard_faults = 0;
        self.replica_reports = 0;
    }

    /// Whether a hard fault awaits confirmation by a second probe.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.hard_faults > 0 && self.hard_faults < CONFIRMING_FAULTS
    }

    /// How this upstream is found, whatever its role.
    pub(crate) fn view(&self, now: Instant, timing: &Timing) -> View {
        if self.hard_faults >= CONFIRMING_FAULTS {
            return View::Refused;
        }
        let since = self
            .last_answer
            .unwrap_or(self.silence_start)
            .max(self.silence_start);
        if now.since(since) > self.silence_timeout(timing) {
            return View::Silent;
        }
        match self.last_answer {
            Some(_) => View::Alive,
            None => View::Unsure,
        }
    }

    /// How this upstream is found as the primary.
    pub(crate) fn primary_view(&self, now: Instant, timing: &Timing) -> View {
        match self.view(now, timing) {
            View::Alive if self.replica_reports >= CONFIRMING_FAULTS => View::Refused,
            view => view,
        }
    }

    /// Whether it answers now.
    pub(crate) fn is_alive(&self, now: Instant, timing: &Timing) -> bool {
        self.view(now, timing) == View::Alive
    }

    /// Its last report.
    pub(crate) fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Whether its log grew a short while ago.
    pub(crate) fn is_advancing(&self, now: Instant, timing: &Timing) -> bool {
        self.last_advance
            .is_some_and(|at| now.since(at) < timing.progress_window)
    }
}
