//! One upstream, as this instance sees it.

use std::{cell::Cell, time::Duration};

use admit::budget;
use clock::{Boot, Instant};
use lead::Verdict;
use model::{Position, Term};
use tokio::sync::Notify;

use crate::{
    catalog::{Readiness, Upstream},
    pool::Pool,
    refusal::Counts,
};

/// An upstream that answered within this span is fine.
const HEALTH_TTL: Duration = Duration::from_millis(1_000);

/// How many failures in a row make an upstream a failing one.
const FAILURE_THRESHOLD: u32 = 2;

/// The weight of one more measured duration, as a divisor.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// How long a replica that lags is left alone, first and at most.
const LAG_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(640));

/// How long an upstream whose entry is gone is still used if it answers.
///
/// Entries expire while the store is away, though their upstreams live. Whoever drops
/// an upstream at once then serves nobody until the entries are written again, which
/// takes up to two seconds behind the store's return (the platform's pages).
pub const RELISTED: Duration = Duration::from_millis(2_500);

/// The duration that is assumed of an upstream that has not been used yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);

/// What is known of an upstream's health.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// When it answered last.
    pub answered: Instant,
    /// Since when it only fails.
    pub failing_since: Option<Instant>,
    /// How often it failed since then.
    pub failures: u32,
}

/// One upstream, as this instance sees it.
#[derive(Debug)]
pub struct Member {
    /// Its entry in the list as it first came; another address makes another member.
    pub upstream: Upstream,
    /// Whether it takes new work.
    pub readiness: Cell<Readiness>,
    leaving_since: Cell<Option<Instant>>,
    /// Since when the list lacks it.
    pub(crate) unlisted: Cell<Option<Instant>>,
    deposed: Cell<Option<(Term, Instant)>>,
    /// How far its log went while it led.
    pub(crate) led_position: Cell<Position>,
    /// Told when it fails again and again.
    pub failing_notify: Notify,
    /// How many instances have connections to it, as far as is known here.
    pub holders: Cell<usize>,
    /// The connections to it.
    pub pool: Pool,
    /// What it refuses.
    pub refusals: Counts,
    /// How many statements run there for this instance.
    pub running: Cell<usize>,
    health: Cell<Health>,
    /// Whether somebody is probing it.
    pub is_probed: Cell<bool>,
    latency: Cell<Duration>,
    lag_until: Cell<Instant>,
    lag_pause: Cell<Duration>,
}

impl Member {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            readiness: Cell::new(upstream.readiness),
            leaving_since: Cell::new(
                (upstream.readiness == Readiness::Draining).then(|| Boot.now()),
            ),
            upstream,
            unlisted: Cell::default(),
            deposed: Cell::default(),
            led_position: Cell::default(),
            failing_notify: Notify::new(),
            holders: Cell::new(1),
            pool: Pool::default(),
            refusals: Counts::default(),
            running: Cell::new(0),
            health: Cell::default(),
            is_probed: Cell::new(false),
            latency: Cell::new(INITIAL_LATENCY),
            lag_until: Cell::default(),
            lag_pause: Cell::new(LAG_PAUSE.0),
        }
    }

    pub(crate) fn set_readiness(&self, readiness: Readiness) {
        let leaving_since = match readiness {
            Readiness::Ready => None,
            Readiness::Draining => self.leaving_since.get().or(Some(Boot.now())),
        };
        self.leaving_since.set(leaving_since);
        self.readiness.set(readiness);
    }

    /// How much longer it may take new work if it is about to leave; `drain` is how
    /// long it may from the announcement on.
    pub fn leaves_in(&self, now: Instant, drain: Duration) -> Option<Duration> {
        let since = self.leaving_since.get()?;
        Some(drain.saturating_sub(now.since(since)))
    }

    /// Notes that it leads `position.term`, and that its log goes as far as that.
    pub fn note_led(&self, position: Position) {
        self.led_position.set(self.led_position.get().max(position));
    }

    /// Whether its log, which goes as far as `position`, is shorter than when it led.
    ///
    /// A primary that crashed and started again within a heartbeat may have lost its
    /// log; the list tells that a second later, and reads there would miss commits.
    /// But a log that only grows is never shorter than it was.
    pub fn check_log_loss(&self, position: Position, now: Instant) -> bool {
        let led = self.led_position.get();
        let is_lost = position < led;
        if is_lost {
            self.depose(led.term, now);
        }
        is_lost
    }

    /// Notes that it does not lead `term` any more, by its own word.
    pub fn depose(&self, term: Term, now: Instant) {
        let since = match self.deposed.get() {
            Some((old, since)) if old >= term => (old, since),
            _ => (term, now),
        };
        self.deposed.set(Some(since));
    }

    /// Since when it is known not to lead `term` any more.
    pub fn deposed_since(&self, term: Term) -> Option<Instant> {
        let (deposed, since) = self.deposed.get()?;
        (deposed >= term).then_some(since)
    }

    /// Whether its entry has been gone from the list for too long.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        self.unlisted.get().is_some_and(|at| at + RELISTED < now)
    }

    /// Whether nothing is to be done about it: it stays, does not fail, and no connection
    /// to it is open.
    pub(crate) fn is_quiet(&self) -> bool {
        let stays = self.readiness.get() == Readiness::Ready && self.unlisted.get().is_none();
        stays && !self.is_failing() && !self.is_probed.get() && self.pool.open.get() == 0
    }

    /// Notes that it answered.
    pub fn note_answer(&self, now: Instant) {
        self.health.set(Health {
            answered: now,
            ..Health::default()
        });
    }

    /// Notes that it lives, though it has not answered a statement.
    pub fn note_contact(&self) {
        self.health.set(Health {
            answered: self.health.get().answered,
            ..Health::default()
        });
    }

    /// Notes that it failed: refused, broke off, or did not answer in time.
    pub fn note_failure(&self, now: Instant) {
        let health = self.health.get();
        if health.failures + 1 >= FAILURE_THRESHOLD {
            self.failing_notify.notify_waiters();
        }
        self.health.set(Health {
            failing_since: health.failing_since.or(Some(now)),
            failures: health.failures + 1,
            ..health
        });
    }

    /// What is known of its health.
    pub fn health(&self) -> Health {
        self.health.get()
    }

    /// Whether it fails again and again.
    pub fn is_failing(&self) -> bool {
        let health = self.health.get();
        health.failing_since.is_some() && health.failures >= FAILURE_THRESHOLD
    }

    /// What this instance says of it to others.
    pub fn verdict(&self, now: Instant) -> Verdict {
        if self.is_failing() {
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

    /// How many statements this instance may have there at once.
    pub fn window(&self) -> usize {
        budget::window(self.upstream.slots, self.holders.get())
    }

    /// Notes how long a statement took.
    pub fn note_latency(&self, duration: Duration) {
        let old = u64::try_from(self.latency.get().as_micros()).unwrap_or(u64::MAX);
        let new = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mean = (old
            .saturating_mul(LATENCY_WEIGHT_DIVISOR - 1)
            .saturating_add(new))
            / LATENCY_WEIGHT_DIVISOR;
        self.latency.set(Duration::from_micros(mean));
    }

    /// How long statements take here of late.
    pub fn latency(&self) -> Duration {
        self.latency.get()
    }

    /// Notes that its log lacked a floor: it is left alone for a while.
    pub fn note_lag(&self, now: Instant) {
        let pause = self.lag_pause.get();
        self.lag_until.set(now + pause);
        self.lag_pause.set((pause * 2).min(LAG_PAUSE.1));
    }

    /// Notes that its log had reached a floor.
    pub fn caught_up(&self) {
        self.lag_pause.set(LAG_PAUSE.0);
    }

    /// Whether it is left alone because its log lacked a floor.
    pub fn is_lagging(&self, now: Instant) -> bool {
        now < self.lag_until.get()
    }
}
