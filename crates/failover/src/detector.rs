//! Failure detector of one upstream at one candidate.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Report, Role};

use crate::{
    event::{Call, Fault, View},
    timing::Timing,
};

/// Maximum number of probes in flight; more would only queue behind a stalled
/// upstream.
const MAX_OUTSTANDING_PROBES: usize = 4;

/// Consecutive hard faults after which the view changes. A single fault may be
/// transient; a second probe is sent at once.
const CONFIRMING_FAULTS: u32 = 2;

/// Last report of an upstream and the regularity of its answers.
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

    /// Registers a probe, unless too many are in flight.
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

    /// Handles the answer to a probe or to an order.
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

    /// Handles an answer that no connection is free.
    ///
    /// Such an answer shows that the upstream runs. Treated as silence, it
    /// would cause the promotion of a replica while the primary is healthy and
    /// leave writes in doubt when instances restart, because their old and new
    /// connections fill an upstream for a while. But an upstream that hangs
    /// behind unusable connections gives the same answer: without a report for
    /// [`Timing::full_grace`] it counts as silent.
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

    /// Updates Jacobson's estimate of the round-trip time and its deviation.
    fn update_rtt(&mut self, rtt: Duration) {
        let error = rtt.abs_diff(self.rtt_mean);
        self.rtt_mean = (self.rtt_mean * 7 + rtt) / 8;
        self.rtt_deviation = (self.rtt_deviation * 3 + error) / 4;
    }

    /// Time without an answer after which this upstream is suspected.
    pub(crate) fn silence_timeout(&self, timing: &Timing) -> Duration {
        let usual = timing.probe_interval + self.rtt_mean + self.rtt_deviation * 4;
        usual.clamp(timing.min_silence, timing.max_silence)
    }

    /// Restarts the measurement of silence.
    ///
    /// After a pause of this process every upstream would look silent at once,
    /// and the process would claim a term because of its own stall. Likewise,
    /// the silence before a promotion must not count against the new primary.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        self.silence_start = now;
        self.hard_faults = 0;
        self.replica_reports = 0;
    }

    /// Returns true if a hard fault must be confirmed by a second probe.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.hard_faults > 0 && self.hard_faults < CONFIRMING_FAULTS
    }

    /// View of this upstream, whatever its role.
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

    /// View of this upstream as the primary.
    pub(crate) fn primary_view(&self, now: Instant, timing: &Timing) -> View {
        match self.view(now, timing) {
            View::Alive if self.replica_reports >= CONFIRMING_FAULTS => View::Refused,
            view => view,
        }
    }

    /// Returns true if the upstream answers now.
    pub(crate) fn is_alive(&self, now: Instant, timing: &Timing) -> bool {
        self.view(now, timing) == View::Alive
    }

    /// Last report of the upstream.
    pub(crate) fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Returns true if the upstream's log grew within
    /// [`Timing::progress_window`].
    pub(crate) fn is_advancing(&self, now: Instant, timing: &Timing) -> bool {
        self.last_advance
            .is_some_and(|at| now.since(at) < timing.progress_window)
    }
}
