//! One upstream, as this instance sees it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use admit::budget;
use clock::Instant;
use lead::{Drain, Samples, Verdict};
use model::{Position, Term};
use tokio::sync::Notify;

use crate::{
    catalog::{Readiness, Upstream},
    features::Features,
    load,
    pool::Pool,
    reach::Log,
    refusal::Counts,
};

/// Time for which an upstream counts as healthy after an answer.
const HEALTH_TTL: Duration = Duration::from_millis(1_000);

/// Time for which a failure shows that an upstream fails, if the upstream isn't probed: the longest
/// time between two probes.
const FAILURE_TTL: Duration = Duration::from_millis(500);

/// Number of consecutive failures after which an upstream counts as failing.
const FAILURE_THRESHOLD: u32 = 2;

/// Divisor of a new measurement's weight in the moving average of the latency.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// First and longest time for which a lagging replica gets no reads.
const LAG_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(640));

/// Time for which an upstream without an entry is still used if it answers.
///
/// Entries expire while the store is unavailable, though their upstreams are alive. Without this
/// time no caller would be served until the entries are written again, which takes up to two
/// seconds after the store is back.
pub const RELISTED: Duration = Duration::from_millis(2_500);

/// Latency that is assumed of an upstream that has not been used yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);

/// Health of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Time of the last answer.
    pub answered: Instant,
    /// Time of the first failure since the last answer.
    pub failing_since: Option<Instant>,
    /// Time of the last failure.
    pub failed: Instant,
    /// Number of failures since the last answer.
    pub failures: u32,
}

/// One upstream, as this instance sees it.
#[derive(Debug)]
pub struct Member {
    /// The upstream's entry as it first came; another address makes another member.
    pub upstream: Upstream,
    /// Readiness for new work.
    pub readiness: Cell<Readiness>,
    drain: Cell<Option<Drain>>,
    /// True if new work was last withheld because the drain was about to end.
    pub(crate) is_withheld: Cell<bool>,
    /// Time since which the list of upstreams lacks the upstream's entry.
    pub(crate) unlisted: Cell<Option<Instant>>,
    /// Last time at which the upstream's entry was known to be in the list, if it isn't now.
    listed_at: Cell<Option<Instant>>,
    deposed: Cell<Option<(Term, Instant)>>,
    /// Position that the upstream's log had reached while the upstream led.
    pub(crate) led_position: Cell<Position>,
    /// Notified when the upstream starts to count as failing.
    pub failing_notify: Notify,
    /// Number of instances that have connections to the upstream, as far as is known here.
    pub holders: Cell<usize>,
    /// The connections to the upstream.
    pub pool: Pool,
    /// Counts of what the upstream refused.
    pub refusals: Counts,
    /// What is known of the upstream's log.
    pub log: Log,
    /// This instance's load at the upstream, and its window by the loads of all holders.
    pub load: load::Tracker,
    /// Number of this instance's statements that run at the upstream.
    pub running: Cell<usize>,
    health: Cell<Health>,
    /// True while a task probes the upstream.
    pub is_probed: Cell<bool>,
    latency: Cell<Duration>,
    lag_until: Cell<Instant>,
    lag_pause: Cell<Duration>,
    /// The features of load control in force.
    pub features: Cell<Features>,
}

impl Member {
    pub(crate) fn new(upstream: Upstream, samples: &Rc<RefCell<Samples>>) -> Self {
        Self {
            readiness: Cell::new(upstream.readiness),
            // The upstream may have announced at any time before its entry was first seen.
            drain: Cell::new((upstream.readiness == Readiness::Draining).then(Drain::default)),
            is_withheld: Cell::default(),
            load: load::Tracker::new(&upstream.id),
            upstream,
            unlisted: Cell::default(),
            listed_at: Cell::default(),
            deposed: Cell::default(),
            led_position: Cell::default(),
            failing_notify: Notify::new(),
            holders: Cell::new(1),
            pool: Pool::default(),
            refusals: Counts::default(),
            log: Log::new(samples),
            running: Cell::new(0),
            health: Cell::default(),
            is_probed: Cell::new(false),
            latency: Cell::new(INITIAL_LATENCY),
            lag_until: Cell::default(),
            lag_pause: Cell::new(LAG_PAUSE.0),
            features: Cell::default(),
        }
    }

    /// Applies the upstream's entry in a list that was complete at `current_at` before.
    pub(crate) fn set_listed(&self, readiness: Readiness, current_at: Option<Instant>) {
        // The upstream may have announced at any time while its entry was missing.
        let not_before = match self.unlisted.take() {
            Some(_) => self.listed_at.get(),
            None => current_at,
        };
        let drain = match readiness {
            Readiness::Ready => None,
            Readiness::Draining => self.drain.get().or(Some(Drain::new(not_before))),
        };
        self.drain.set(drain);
        self.readiness.set(readiness);
    }

    /// Records that the list, which was complete at `current_at` before, lacks the upstream's entry
    /// now.
    pub(crate) fn set_unlisted(&self, now: Instant, current_at: Option<Instant>) {
        if self.unlisted.get().is_none() {
            self.unlisted.set(Some(now));
            self.listed_at.set(current_at);
        }
    }

    /// Returns how much longer a leaving upstream may get new work, if it leaves; `span` is the
    /// time allowed after the announcement. Zero if it is unknown when the upstream announced.
    pub fn leaves_in(&self, now: Instant, span: Duration) -> Option<Duration> {
        self.drain.get().map(|drain| drain.left(now, span))
    }

    /// Returns the longest time for which the upstream may have been leaving; `None` if it stays or
    /// that is unknown.
    pub(crate) fn leaving_for(&self, now: Instant) -> Option<Duration> {
        self.drain.get()?.age(now)
    }

    /// Records that the upstream announced at `not_before` or later, if it leaves.
    pub(crate) fn date_leave(&self, not_before: Option<Instant>) {
        let mut drain = self.drain.get();
        if let Some(drain) = &mut drain {
            drain.narrow(not_before);
        }
        self.drain.set(drain);
    }

    /// Records that the upstream leads `position.term` and that its log reaches `position`.
    pub fn note_led(&self, position: Position) {
        self.led_position.set(self.led_position.get().max(position));
    }

    /// Returns true, and deposes the upstream, if its log reaches only `position` and was longer
    /// when the upstream led.
    ///
    /// A primary that crashed and restarted within a heartbeat may have lost its log. The list
    /// shows the restart a second later, and reads there would miss commits until then. A log that
    /// only grows never gets shorter.
    pub fn check_log_loss(&self, position: Position, now: Instant) -> bool {
        let led = self.led_position.get();
        let is_lost = position < led;
        if is_lost {
            self.depose(led.term, now);
        }
        is_lost
    }

    /// Records that the upstream reported not to lead `term` any more.
    pub fn depose(&self, term: Term, now: Instant) {
        let since = match self.deposed.get() {
            Some((old, since)) if old >= term => (old, since),
            _ => (term, now),
        };
        self.deposed.set(Some(since));
    }

    /// Returns the time since which the upstream is known not to lead `term` any more.
    pub fn deposed_since(&self, term: Term) -> Option<Instant> {
        let (deposed, since) = self.deposed.get()?;
        (deposed >= term).then_some(since)
    }

    /// Returns true if the upstream's entry has been missing for too long.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        self.unlisted.get().is_some_and(|at| at + RELISTED < now)
    }

    /// Returns true if the upstream needs no attention: it stays, does not fail, and has no open
    /// connection.
    pub(crate) fn is_quiet(&self) -> bool {
        let stays = self.readiness.get() == Readiness::Ready && self.unlisted.get().is_none();
        stays && !self.is_failing() && !self.is_probed.get() && self.pool.open.get() == 0
    }

    /// Records an answer.
    pub fn note_answer(&self, now: Instant) {
        self.health.set(Health {
            answered: now,
            ..Health::default()
        });
    }

    /// Records that the upstream is alive, without an answer to a statement.
    pub fn note_contact(&self) {
        self.health.set(Health {
            answered: self.health.get().answered,
            ..Health::default()
        });
    }

    /// Records a failure: a refusal, a broken connection or a timeout.
    pub fn note_failure(&self, now: Instant) {
        let health = self.health.get();
        if health.failures + 1 >= FAILURE_THRESHOLD {
            self.failing_notify.notify_waiters();
        }
        self.health.set(Health {
            failing_since: health.failing_since.or(Some(now)),
            failed: now,
            failures: health.failures + 1,
            ..health
        });
    }

    /// Returns the upstream's health.
    pub fn health(&self) -> Health {
        self.health.get()
    }

    /// Returns true if the upstream failed several times in a row.
    pub fn is_failing(&self) -> bool {
        let health = self.health.get();
        health.failing_since.is_some() && health.failures >= FAILURE_THRESHOLD
    }

    /// Returns true if the upstream is failing by an attempt that was made a moment ago.
    ///
    /// An instance that was cut off has seen upstreams fail that it doesn't use since, so that
    /// nothing shows that they answer again.
    pub fn is_seen_failing(&self, now: Instant) -> bool {
        self.is_failing() && (self.is_probed.get() || self.health().failed + FAILURE_TTL > now)
    }

    /// Returns the verdict on the upstream that this instance reports to others.
    pub fn verdict(&self, now: Instant) -> Verdict {
        if self.is_seen_failing(now) {
            return Verdict::Failing;
        }
        if self.pool.locked_out_since(now).is_some() {
            return Verdict::Full;
        }
        let answered = self.health.get().answered;
        match answered + HEALTH_TTL > now {
            true => Verdict::Fine,
            false => Verdict::Unknown,
        }
    }

    /// Returns the number of statements that this instance may run there concurrently.
    pub fn window(&self) -> usize {
        let shared = match self.features.get().load_reports {
            true => self.load.window(),
            false => None,
        };
        shared.unwrap_or_else(|| self.fixed_window())
    }

    /// Returns the part of the window that doesn't depend on the load of other instances.
    pub fn fixed_window(&self) -> usize {
        budget::window(self.upstream.slots, self.holders.get())
    }

    /// Returns the number of this instance's statements that the upstream runs at once, if all
    /// holders have as many there; one at least.
    pub fn slots(&self) -> usize {
        (self.upstream.slots / self.holders.get().max(1)).max(1)
    }

    /// Records the duration of a statement.
    pub fn note_latency(&self, duration: Duration) {
        let old = u64::try_from(self.latency.get().as_micros()).unwrap_or(u64::MAX);
        let new = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mean = (old
            .saturating_mul(LATENCY_WEIGHT_DIVISOR - 1)
            .saturating_add(new))
            / LATENCY_WEIGHT_DIVISOR;
        self.latency.set(Duration::from_micros(mean));
    }

    /// Returns the moving average of the statements' duration.
    pub fn latency(&self) -> Duration {
        self.latency.get()
    }

    /// Records that the upstream's log had not reached a floor: the upstream gets no reads for a
    /// while.
    pub fn note_lag(&self, now: Instant) {
        let pause = self.lag_pause.get();
        self.lag_until.set(now + pause);
        self.lag_pause.set((pause * 2).min(LAG_PAUSE.1));
    }

    /// Records that the upstream's log had reached a floor.
    pub fn caught_up(&self) {
        self.lag_pause.set(LAG_PAUSE.0);
    }

    /// Returns true if the upstream gets no reads because its log had not reached a floor.
    pub fn is_lagging(&self, now: Instant) -> bool {
        now < self.lag_until.get()
    }
}
