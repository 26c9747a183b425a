//! A database's upstreams, who of them leads, and what is proved about it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use lead::{Phase, Proof, Record, Samples, Verdict};
use model::{Position, Term};
use tokio::sync::Notify;

use crate::{
    catalog::{Stay, Upstream},
    pool::Pool,
};

/// An upstream that answered within this span is fine.
const FRESH: Duration = Duration::from_millis(1_000);

/// How many failures in a row make an upstream a failing one.
const FAILURES: u32 = 2;

/// The weight of one more measured duration, as a divisor.
const SMOOTH: u64 = 8;

/// How long a replica that lags is left alone, first and at most.
const LAG_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(640));

/// How long a need for proofs lasts.
const WANTED: Duration = Duration::from_secs(2);

/// How long an upstream whose entry is gone is still used if it answers.
///
/// Entries expire while the store is away, though their upstreams live. Whoever drops
/// an upstream at once then serves nobody until the entries are written again, which
/// takes up to two seconds behind the store's return (the platform's pages).
pub const RELISTED: Duration = Duration::from_millis(2_500);

/// The duration that is assumed of an upstream that has not been used yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(5);

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
    pub stay: Cell<Stay>,
    leaving: Cell<Option<Instant>>,
    unlisted: Cell<Option<Instant>>,
    deposed: Cell<Option<(Term, Instant)>>,
    shown: Cell<Position>,
    /// Told when it fails again and again.
    pub fell: Notify,
    /// The connections to it.
    pub pool: Pool,
    /// How many statements run there for this instance.
    pub running: Cell<usize>,
    health: Cell<Health>,
    /// Whether somebody is probing it.
    pub probed: Cell<bool>,
    latency: Cell<Duration>,
    lag_until: Cell<Instant>,
    lag_pause: Cell<Duration>,
}

impl Member {
    fn new(upstream: Upstream) -> Self {
        Self {
            stay: Cell::new(upstream.stay),
            leaving: Cell::new((upstream.stay == Stay::Draining).then(|| Boot.now())),
            upstream,
            unlisted: Cell::default(),
            deposed: Cell::default(),
            shown: Cell::default(),
            fell: Notify::new(),
            pool: Pool::default(),
            running: Cell::new(0),
            health: Cell::default(),
            probed: Cell::new(false),
            latency: Cell::new(UNKNOWN_LATENCY),
            lag_until: Cell::default(),
            lag_pause: Cell::new(LAG_PAUSE.0),
        }
    }

    fn stays(&self, stay: Stay) {
        let leaves = match stay {
            Stay::Ready => None,
            Stay::Draining => self.leaving.get().or(Some(Boot.now())),
        };
        self.leaving.set(leaves);
        self.stay.set(stay);
    }

    /// How much longer it may take new work if it is about to leave; `drain` is how
    /// long it may from the announcement on.
    pub fn leaves_in(&self, now: Instant, drain: Duration) -> Option<Duration> {
        let since = self.leaving.get()?;
        Some(drain.saturating_sub(now.since(since)))
    }

    /// Notes that it leads `position.term`, and that its log goes as far as that.
    pub fn leads(&self, position: Position) {
        self.shown.set(self.shown.get().max(position));
    }

    /// Whether its log, which goes as far as `position`, is shorter than when it led.
    ///
    /// A primary that crashed and started again within a heartbeat may have lost its
    /// log; the list tells that a second later, and reads there would miss commits.
    /// But a log that only grows is never shorter than it was.
    pub fn forgot(&self, position: Position, now: Instant) -> bool {
        let shown = self.shown.get();
        let forgot = position < shown;
        if forgot {
            self.depose(shown.term, now);
        }
        forgot
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
    fn is_gone(&self, now: Instant) -> bool {
        self.unlisted.get().is_some_and(|at| at + RELISTED < now)
    }

    /// Notes that it answered.
    pub fn answered(&self, now: Instant) {
        self.health.set(Health {
            answered: now,
            ..Health::default()
        });
    }

    /// Notes that it lives, though it has not answered a statement.
    pub fn reached(&self) {
        self.health.set(Health {
            answered: self.health.get().answered,
            ..Health::default()
        });
    }

    /// Notes that it failed: refused, broke off, or did not answer in time.
    pub fn failed(&self, now: Instant) {
        let health = self.health.get();
        if health.failures + 1 >= FAILURES {
            self.fell.notify_waiters();
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
        health.failing_since.is_some() && health.failures >= FAILURES
    }

    /// What this instance says of it to others.
    pub fn verdict(&self, now: Instant) -> Verdict {
        if self.is_failing() {
            return Verdict::Failing;
        }
        if self.pool.starved_since(now).is_some() {
            return Verdict::Full;
        }
        let answered = self.health.get().answered;
        match answered + FRESH > now {
            true => Verdict::Fine,
            false => Verdict::Unknown,
        }
    }

    /// Notes how long a statement took.
    pub fn took(&self, span: Duration) {
        let old = u64::try_from(self.latency.get().as_micros()).unwrap_or(u64::MAX);
        let new = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let mean = (old.saturating_mul(SMOOTH - 1).saturating_add(new)) / SMOOTH;
        self.latency.set(Duration::from_micros(mean));
    }

    /// How long statements take here of late.
    pub fn latency(&self) -> Duration {
        self.latency.get()
    }

    /// Notes that its log lacked a floor: it is left alone for a while.
    pub fn lagged(&self, now: Instant) {
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

/// The record of a primary and the revision that it has in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// The record.
    pub record: Record,
    /// Its revision.
    pub revision: u64,
}

/// A database's upstreams, who of them leads, and what is proved about it.
#[derive(Debug)]
pub struct Group {
    /// The group's name.
    pub service: Rc<str>,
    members: RefCell<HashMap<Rc<str>, Rc<Member>>>,
    known: RefCell<Option<Known>>,
    proof: Cell<Proof>,
    samples: RefCell<Samples>,
    /// Told when the record, the proof or the members change.
    pub changed: Notify,
    /// Whether the members are being asked for a proof.
    pub asking: Cell<bool>,
    /// Whether this instance is replacing the primary.
    pub replacing: Cell<bool>,
    /// When somebody last needed a proof.
    pub wanted: Cell<Instant>,
    /// The lease under which the record was read, zero for none.
    pub era: Cell<u64>,
    /// When the record was learnt.
    pub known_at: Cell<Instant>,
    /// Since when the list of upstreams lacks the primary.
    pub unlisted: Cell<Option<Instant>>,
    leaving: Cell<Option<Instant>>,
    most: Cell<(usize, Instant)>,
    furthest: Cell<(Position, Instant)>,
}

impl Group {
    /// A group of which nothing is known.
    pub fn new(service: &Rc<str>) -> Self {
        Self {
            service: Rc::clone(service),
            members: RefCell::default(),
            known: RefCell::default(),
            proof: Cell::default(),
            samples: RefCell::default(),
            changed: Notify::new(),
            asking: Cell::new(false),
            replacing: Cell::new(false),
            wanted: Cell::default(),
            era: Cell::default(),
            known_at: Cell::default(),
            unlisted: Cell::default(),
            leaving: Cell::default(),
            most: Cell::default(),
            furthest: Cell::default(),
        }
    }

    /// All members, in order of their ids.
    pub fn members(&self) -> Vec<Rc<Member>> {
        let mut members: Vec<_> = self.members.borrow().values().cloned().collect();
        members.sort_by(|a, b| a.upstream.id.cmp(&b.upstream.id));
        members
    }

    /// A member by its id.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        self.members.borrow().get(id).cloned()
    }

    /// Takes in an entry of the list of upstreams.
    ///
    /// An entry that only changed its state keeps the member's connections; one
    /// with another address or another start is another member.
    pub fn put(&self, upstream: Upstream) {
        let mut members = self.members.borrow_mut();
        let old = members.get(&upstream.id).cloned();
        match old {
            Some(old) if old.upstream.is_same(&upstream) => {
                old.unlisted.set(None);
                old.stays(upstream.stay);
            }
            old => {
                let id = Rc::clone(&upstream.id);
                let member = Rc::new(Member::new(upstream));
                if let Some(old) = old {
                    member.shown.set(old.shown.get());
                    old.pool.retire();
                }
                members.insert(id, member);
            }
        }
        drop(members);
        self.changed.notify_waiters();
    }

    /// Takes in that the list lacks a member: one that was about to leave has left,
    /// another is dropped by [`Group::expire`] unless its entry comes back.
    pub fn unlist(&self, id: &str, now: Instant) {
        let Some(member) = self.member(id) else {
            return;
        };
        if member.stay.get() == Stay::Draining {
            self.remove(id);
        } else if member.unlisted.get().is_none() {
            member.unlisted.set(Some(now));
        }
    }

    /// Drops the members whose entries have been gone for too long.
    pub fn expire(&self, now: Instant) {
        for member in self.members() {
            if member.is_gone(now) {
                self.remove(&member.upstream.id);
            }
        }
    }

    fn remove(&self, id: &str) {
        let Some(member) = self.members.borrow_mut().remove(id) else {
            return;
        };
        member.pool.retire();
        let known = self.known.borrow();
        if known.as_ref().is_some_and(|k| k.record.upstream == id) {
            self.unlisted.set(Some(Boot.now()));
        }
        drop(known);
        self.changed.notify_waiters();
    }

    /// Since when the primary is known to leave, first asked at `now`.
    pub fn leaving_since(&self, now: Instant) -> Instant {
        let since = self.leaving.get().unwrap_or(now);
        self.leaving.set(Some(since));
        since
    }

    /// Whether somebody needed a proof lately.
    pub fn is_wanted(&self, now: Instant) -> bool {
        self.wanted.get() + WANTED > now
    }

    /// What is known of the primary.
    pub fn known(&self) -> Option<Known> {
        self.known.borrow().clone()
    }

    /// The primary and its term, if it may be used as far as is known here.
    pub fn primary(&self) -> Option<(Rc<Member>, Term)> {
        let known = self.known.borrow();
        let record = &known.as_ref()?.record;
        if record.phase != Phase::Stable {
            return None;
        }
        let member = self.member(&record.upstream)?;
        let deposed = member.deposed_since(record.term).is_some();
        (!deposed).then_some((member, record.term))
    }

    /// Takes in the record as it stood at `revision`; `true` if it is news.
    ///
    /// Answers may cross, so an older record never replaces a newer one.
    pub fn learn(&self, record: Record, revision: u64) -> bool {
        let mut known = self.known.borrow_mut();
        if known.as_ref().is_some_and(|k| k.revision >= revision) {
            return false;
        }
        let same = known.as_ref().is_some_and(|k| k.record == record);
        let leads_on =
            |k: &Known| k.record.term == record.term && k.record.upstream == record.upstream;
        let replaced = !known.as_ref().is_some_and(leads_on);
        *known = Some(Known { record, revision });
        drop(known);
        self.era.set(0);
        self.known_at.set(Boot.now());
        self.leaving.set(None);
        self.unlisted.set(None);
        if replaced {
            // The log of one that led may be cut back now: that is no new start.
            for member in self.members.borrow().values() {
                member.shown.set(Position::default());
            }
        }
        if !same {
            let mut proof = self.proof.get();
            proof.void();
            self.proof.set(proof);
        }
        self.changed.notify_waiters();
        true
    }

    /// Takes in that the record still had `revision` for a question sent at `sent`.
    pub fn prove(&self, revision: u64, sent: Instant, span: Duration) {
        let stands = |k: &Known| k.revision == revision && k.record.phase == Phase::Stable;
        if !self.known.borrow().as_ref().is_some_and(stands) {
            return;
        }
        let mut proof = self.proof.get();
        proof.learn(sent, span);
        self.proof.set(proof);
        self.changed.notify_waiters();
    }

    /// The proof that the primary has not been replaced.
    pub fn proof(&self) -> Proof {
        self.proof.get()
    }

    /// Takes in a position that the primary of `term` answered.
    pub fn sample(&self, term: Term, sent: Instant, position: Position, keep: Duration) {
        if !self.proof.get().covers(sent) {
            return;
        }
        self.samples.borrow_mut().learn(term, sent, position, keep);
    }

    /// The lowest position that a read at `now` may show if it may be `age` old.
    pub fn floor(&self, now: Instant, age: Duration) -> Option<Position> {
        self.samples.borrow().floor(now, age)
    }

    /// Notes how far a replica's log goes.
    pub fn received(&self, position: Position) {
        let (furthest, _) = self.furthest.get();
        if position >= furthest {
            self.furthest.set((position, Boot.now()));
        }
    }

    /// The furthest position that a replica was seen at within `memory`.
    pub fn furthest(&self, now: Instant, memory: Duration) -> Option<Position> {
        let (furthest, at) = self.furthest.get();
        (at + memory > now).then_some(furthest)
    }

    /// How many replicas the group has: those listed, and those that were listed a
    /// while ago, since an entry may expire though its upstream lives.
    pub fn replicas(&self, now: Instant, memory: Duration) -> usize {
        let count = self.members.borrow().len();
        let (most, at) = self.most.get();
        let members = match at + memory < now {
            true => count,
            false => count.max(most),
        };
        members.saturating_sub(1)
    }

    /// Whether the list of upstreams has as many members as it had a while ago.
    ///
    /// An entry may expire though its upstream lives; whoever asks all members
    /// must not take the rest for all.
    pub fn is_whole(&self, now: Instant, memory: Duration) -> bool {
        let count = self.members.borrow().len();
        let (most, at) = self.most.get();
        if count >= most || at + memory < now {
            self.most.set((count, now));
            return true;
        }
        false
    }
}
