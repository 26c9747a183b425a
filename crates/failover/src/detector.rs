//! One upstream as this candidate sees it.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Report, Role};

use crate::{
    event::{Call, Fault, View},
    timing::Timing,
};

/// Probes that may be under way at once; more would only queue behind a stall.
const OUTSTANDING: usize = 4;

/// Hard faults in a row that make a view. One may be a listener's hiccup; the
/// second is asked for at once.
const CONFIRMING: u32 = 2;

/// What is known of an upstream, and how regularly it answers.
#[derive(Debug)]
pub(crate) struct Detector {
    asked: BTreeMap<Call, Instant>,
    mean: Duration,
    deviation: Duration,
    opened: Instant,
    answered: Option<Instant>,
    patience: Instant,
    refusals: u32,
    demotions: u32,
    report: Option<Report>,
    advanced: Option<Instant>,
}

impl Detector {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            asked: BTreeMap::new(),
            mean: Duration::ZERO,
            deviation: Duration::ZERO,
            opened: now,
            answered: None,
            patience: now,
            refusals: 0,
            demotions: 0,
            report: None,
            advanced: None,
        }
    }

    /// Notes a probe, unless too many are under way.
    pub(crate) fn ask(&mut self, now: Instant, timing: &Timing, call: Call) -> Option<Call> {
        self.asked
            .retain(|_, asked| now.since(*asked) < timing.max_silence);
        if self.asked.len() >= OUTSTANDING {
            return None;
        }
        self.asked.insert(call, now);
        Some(call)
    }

    /// Takes the answer to a probe or to an order.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        timing: &Timing,
        call: Call,
        result: Result<Report, Fault>,
    ) {
        let asked = self.asked.remove(&call);
        match result {
            Ok(report) => {
                if let Some(asked) = asked {
                    self.learn(now.since(asked));
                }
                self.refusals = 0;
                self.answered = Some(now);
                self.note(now, report);
            }
            Err(Fault::Fenced(_)) => {
                self.refusals = 0;
                self.answered = Some(now);
            }
            Err(Fault::Refused | Fault::Broken) => self.refusals += 1,
            Err(Fault::Full) => self.crowded(now, timing),
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
    fn crowded(&mut self, now: Instant, timing: &Timing) {
        self.refusals = 0;
        let known = self.answered.unwrap_or(self.opened);
        if now.since(known) < timing.full_grace {
            self.patience = now;
        }
    }

    fn note(&mut self, now: Instant, report: Report) {
        let old = self.report.replace(report);
        if old.is_some_and(|old| old.received < report.received) {
            self.advanced = Some(now);
        }
        self.demotions = match report.role {
            Role::Primary => 0,
            Role::Replica => self.demotions + 1,
        };
    }

    /// Jacobson's estimate of the round trip and its spread.
    fn learn(&mut self, trip: Duration) {
        let error = trip.abs_diff(self.mean);
        self.mean = (self.mean * 7 + trip) / 8;
        self.deviation = (self.deviation * 3 + error) / 4;
    }

    /// How long this upstream may be silent before it is suspected.
    pub(crate) fn tolerance(&self, timing: &Timing) -> Duration {
        let usual = timing.probe_interval + self.mean + self.deviation * 4;
        usual.clamp(timing.min_silence, timing.max_silence)
    }

    /// Starts to count silence anew.
    ///
    /// After a pause of this process every upstream would look silent at once,
    /// and the process would claim a term for its own stall; likewise a new
    /// primary must not inherit the silence from before its promotion.
    pub(crate) fn forgive(&mut self, now: Instant) {
        self.patience = now;
        self.refusals = 0;
        self.demotions = 0;
    }

    /// Whether a hard fault awaits confirmation by a second probe.
    pub(crate) fn doubtful(&self) -> bool {
        self.refusals > 0 && self.refusals < CONFIRMING
    }

    /// How this upstream is found, whatever its role.
    pub(crate) fn view(&self, now: Instant, timing: &Timing) -> View {
        if self.refusals >= CONFIRMING {
            return View::Refused;
        }
        let since = self.answered.unwrap_or(self.patience).max(self.patience);
        if now.since(since) > self.tolerance(timing) {
            return View::Silent;
        }
        match self.answered {
            Some(_) => View::Alive,
            None => View::Unsure,
        }
    }

    /// How this upstream is found as the primary.
    pub(crate) fn primary_view(&self, now: Instant, timing: &Timing) -> View {
        match self.view(now, timing) {
            View::Alive if self.demotions >= CONFIRMING => View::Refused,
            view => view,
        }
    }

    /// Whether it answers now.
    pub(crate) fn alive(&self, now: Instant, timing: &Timing) -> bool {
        self.view(now, timing) == View::Alive
    }

    /// Its last report.
    pub(crate) fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Whether its log grew a short while ago.
    pub(crate) fn advancing(&self, now: Instant, timing: &Timing) -> bool {
        self.advanced
            .is_some_and(|at| now.since(at) < timing.progress_window)
    }
}
