//! A database's upstreams, their primary and its proof.

mod absent;
mod list;
mod positions;
mod session;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use lead::{Phase, Proof, Record, Samples, absence};
use model::{Position, Term};
use tokio::sync::Notify;

use crate::{
    catalog::{Readiness, Upstream},
    member::Member,
    registry::Pending,
    takeover::Holds,
};

use absent::Absent;
pub use session::SessionGuard;

/// Time for which the largest recent size of the list of upstreams counts.
pub const LIST_MEMORY: Duration = absence::RETURN_TIME;

/// Time for which a request for proofs stays in effect.
const PROOF_DEMAND_TTL: Duration = Duration::from_secs(2);

/// Time for which others must have held a group's connections before sessions migrate to them: a
/// holder that was not heard for a moment is back by then.
const MIGRATION_DELAY: Duration = Duration::from_secs(1);

/// The record of a primary and its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// The record's revision.
    pub revision: u64,
}

/// Source of a proof that a primary has not been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// The proof lease was renewed.
    Lease,
    /// The record was read or written.
    Record,
    /// The primary and a majority of the group answered.
    Majority,
    /// All members of the group answered.
    Unanimity,
}

/// A database's upstreams, their primary and its proof.
#[derive(Debug)]
pub struct Group {
    /// The group's name.
    pub service: Rc<str>,
    members: RefCell<HashMap<Rc<str>, Rc<Member>>>,
    stored: RefCell<Option<StoredRecord>>,
    proof: Cell<Proof>,
    /// Source of the last proof, and the time from which that proof counts.
    proved_by: Cell<Option<(ProofSource, Instant)>>,
    /// Send time of the last request whose answer showed that the store still had the record.
    confirmed_at: Cell<Instant>,
    samples: Rc<RefCell<Samples>>,
    /// Notified when the record, the proof or the members change.
    pub changed: Notify,
    /// True while the members are asked for a proof.
    pub asking: Cell<bool>,
    /// True while this instance replaces the primary.
    pub replacing: Cell<bool>,
    /// What is known of the replicas' holds.
    pub(crate) holds: Cell<Holds>,
    /// Last time that a proof was requested.
    proof_wanted_at: Cell<Instant>,
    /// Id of the proof lease under which the record was read, zero for none.
    pub proof_lease: Cell<u64>,
    /// Time at which the record was learnt.
    pub record_learnt_at: Cell<Instant>,
    /// Number of sessions on the group that this instance serves.
    pub sessions: Cell<usize>,
    /// Time since which other instances hold the group's connections, or of the last failed attempt
    /// to migrate a session to them.
    pub held_elsewhere_since: Cell<Option<Instant>>,
    /// Time since which the primary has been missing from the list of upstreams.
    pub unlisted: Cell<Option<Instant>>,
    leaving_since: Cell<Option<Instant>>,
    largest_list: Cell<(usize, Instant)>,
    /// Time of the first entry of the list.
    listed_since: Cell<Option<Instant>>,
    /// Time at which a member was last added or removed.
    list_changed_at: Cell<Instant>,
    furthest: Cell<(Position, Instant)>,
    /// Upstreams that are no longer listed.
    absent: RefCell<HashMap<Rc<str>, Absent>>,
    pending: Rc<Pending>,
    is_active: Cell<bool>,
}

impl Group {
    /// Creates a group without record or members, and adds it to the queue of active groups.
    pub fn new(service: &Rc<str>, pending: &Rc<Pending>) -> Self {
        pending.push(service);
        Self {
            service: Rc::clone(service),
            pending: Rc::clone(pending),
            is_active: Cell::new(true),
            members: RefCell::default(),
            stored: RefCell::default(),
            proof: Cell::default(),
            proved_by: Cell::default(),
            confirmed_at: Cell::default(),
            samples: Rc::default(),
            changed: Notify::new(),
            asking: Cell::new(false),
            replacing: Cell::new(false),
            holds: Cell::default(),
            proof_wanted_at: Cell::default(),
            proof_lease: Cell::default(),
            record_learnt_at: Cell::default(),
            sessions: Cell::default(),
            held_elsewhere_since: Cell::default(),
            unlisted: Cell::default(),
            leaving_since: Cell::default(),
            largest_list: Cell::default(),
            listed_since: Cell::default(),
            list_changed_at: Cell::default(),
            furthest: Cell::default(),
            absent: RefCell::default(),
        }
    }

    /// Adds the group to the active ones, which the background tasks look after.
    pub(crate) fn activate(&self) {
        if !self.is_active.replace(true) {
            self.pending.push(&self.service);
        }
    }

    /// Deactivates the group if it is quiet, and returns whether it is.
    pub(crate) fn deactivate_if_quiet(&self, now: Instant) -> bool {
        let is_quiet = self.is_quiet(now);
        if is_quiet {
            self.is_active.set(false);
            self.held_elsewhere_since.set(None);
        }
        is_quiet
    }

    /// Activates the group unless it is quiet.
    pub(crate) fn activate_if_needed(&self, now: Instant) {
        if !self.is_active.get() && !self.is_quiet(now) {
            self.activate();
        }
    }

    /// Returns true if the group is unused, its primary is known, and no member changes.
    fn is_quiet(&self, now: Instant) -> bool {
        let is_used = self.is_proof_wanted(now) || self.sessions.get() > 0;
        let is_changed = self.replacing.get() || self.asking.get();
        if is_used || is_changed || self.primary().is_none() || self.has_unlisted() {
            return false;
        }
        let members = self.members.borrow();
        members.values().all(|member| member.is_quiet())
    }

    /// Returns all members in order of their ids.
    pub fn members(&self) -> Vec<Rc<Member>> {
        let mut members: Vec<_> = self.members.borrow().values().cloned().collect();
        members.sort_by(|a, b| a.upstream.id.cmp(&b.upstream.id));
        members
    }

    /// Returns the member with this id.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        self.members.borrow().get(id).cloned()
    }

    /// Returns the smallest number of concurrent statements that any member registered; zero if
    /// none did.
    pub fn slots(&self) -> usize {
        let members = self.members.borrow();
        let slots = members.values().map(|member| member.upstream.slots);
        slots.filter(|slots| *slots > 0).min().unwrap_or(0)
    }

    /// Applies a registered upstream.
    ///
    /// An entry that changed only its readiness keeps the member's connections; one with another
    /// address or start time is a new member. The list was complete at `current_at` before; `None` if
    /// this instance had not read it. Returns true if the upstream leaves and was not known to.
    pub fn put(&self, upstream: Upstream, current_at: Option<Instant>) -> bool {
        self.absent.borrow_mut().remove(&upstream.id);
        let mut members = self.members.borrow_mut();
        let old = members.get(&upstream.id).cloned();
        let was = old.as_ref().map(|old| old.readiness.get());
        let is_leave =
            upstream.readiness == Readiness::Draining && was != Some(Readiness::Draining);
        let id = Rc::clone(&upstream.id);
        match old {
            Some(old) if old.upstream.is_same(&upstream) => {
                old.set_listed(upstream.readiness, current_at);
            }
            old => {
                let member = Rc::new(Member::new(upstream, &self.samples));
                if let Some(old) = old {
                    member.led_position.set(old.led_position.get());
                    old.pool.retire();
                }
                if members.insert(Rc::clone(&id), member).is_none() {
                    self.list_changed_at.set(Boot.now());
                }
            }
        }
        drop(members);
        if is_leave {
            self.log_leave(&id, was);
        }
        let now = Boot.now();
        self.listed_since.set(self.listed_since.get().or(Some(now)));
        self.is_list_complete(now, LIST_MEMORY);
        self.activate();
        self.changed.notify_waiters();
        is_leave
    }

    /// Logs that an upstream leaves, the readiness in its entry before (none if this process had seen
    /// no entry), and the longest time since it announced.
    fn log_leave(&self, id: &str, was: Option<Readiness>) {
        let member = self.member(id);
        let age = member.and_then(|member| member.leaving_for(Boot.now()));
        let leaving_ms = age.map(|age| age.as_millis());
        log::info!(service = &*self.service, upstream = id, was:?, leaving_ms:?; "upstream leaves");
    }

    /// Returns the time since which the primary is known to leave; `now` at the first call.
    pub fn leaving_since(&self, now: Instant) -> Instant {
        let since = self.leaving_since.get().unwrap_or(now);
        self.leaving_since.set(Some(since));
        since
    }

    /// Returns true if others have held the group's connections for so long that sessions migrate
    /// to them.
    pub fn is_migration_due(&self, now: Instant) -> bool {
        self.held_elsewhere_since
            .get()
            .is_some_and(|since| since + MIGRATION_DELAY < now)
    }

    /// Records that a proof is needed.
    pub(crate) fn want_proof(&self, now: Instant) {
        self.proof_wanted_at.set(now);
        self.activate();
    }

    /// Returns true if a proof was needed recently.
    pub fn is_proof_wanted(&self, now: Instant) -> bool {
        self.proof_wanted_at.get() + PROOF_DEMAND_TTL > now
    }

    /// Returns the primary's record with its revision.
    pub fn stored_record(&self) -> Option<StoredRecord> {
        self.stored.borrow().clone()
    }

    /// Returns true if the group has a record.
    pub fn has_record(&self) -> bool {
        self.stored.borrow().is_some()
    }

    /// Returns the revision of the group's record.
    pub fn revision(&self) -> Option<u64> {
        self.stored.borrow().as_ref().map(|stored| stored.revision)
    }

    /// Returns the primary and its term, unless this instance knows that it can't be used.
    pub fn primary(&self) -> Option<(Rc<Member>, Term)> {
        let stored = self.stored.borrow();
        let record = &stored.as_ref()?.record;
        if record.phase != Phase::Stable {
            return None;
        }
        let member = self.member(&record.upstream)?;
        let is_deposed = member.deposed_since(record.term).is_some();
        (!is_deposed).then_some((member, record.term))
    }

    /// Applies the record that the store had at `revision`; returns true if it is newer.
    ///
    /// Answers may overtake each other, so an older record never replaces a newer one.
    pub fn update_record(&self, record: Record, revision: u64) -> bool {
        let mut stored = self.stored.borrow_mut();
        if stored
            .as_ref()
            .is_some_and(|stored| stored.revision >= revision)
        {
            return false;
        }
        let is_proved = stored
            .as_ref()
            .is_some_and(|stored| stored.record.proves_same(&record));
        let is_same_primary = |stored: &StoredRecord| {
            stored.record.term == record.term && stored.record.upstream == record.upstream
        };
        let is_replaced = !stored.as_ref().is_some_and(is_same_primary);
        let mut absent = self.absent.borrow_mut();
        absent.retain(|id, _| record.names(id));
        drop(absent);
        *stored = Some(StoredRecord { record, revision });
        drop(stored);
        self.proof_lease.set(0);
        self.record_learnt_at.set(Boot.now());
        if is_replaced {
            self.leaving_since.set(None);
            self.unlisted.set(None);
            // The log of a former primary may be truncated now; that is not a restart.
            for member in self.members.borrow().values() {
                member.led_position.set(Position::default());
                member.log.reset(Boot.now());
            }
        }
        if !is_proved {
            let mut proof = self.proof.get();
            proof.invalidate();
            self.proof.set(proof);
        }
        self.activate();
        self.changed.notify_waiters();
        true
    }

    /// Records that the record still had `revision` when a question sent at `sent` was answered.
    pub fn extend_proof(
        &self,
        revision: u64,
        source: ProofSource,
        sent: Instant,
        validity: Duration,
    ) {
        let is_current = |stored: &StoredRecord| {
            stored.revision == revision && stored.record.phase == Phase::Stable
        };
        if !self.stored.borrow().as_ref().is_some_and(is_current) {
            return;
        }
        if matches!(source, ProofSource::Lease | ProofSource::Record) {
            let confirmed_at = self.confirmed_at.get().max(sent);
            self.confirmed_at.set(confirmed_at);
        }
        let mut proof = self.proof.get();
        proof.extend(sent, validity);
        self.proof.set(proof);
        self.note_proof(revision, source, sent);
        self.changed.notify_waiters();
    }

    fn note_proof(&self, revision: u64, source: ProofSource, sent: Instant) {
        let was = self.proved_by.get();
        if was.is_some_and(|(_, since)| since > sent) {
            return;
        }
        self.proved_by.set(Some((source, sent)));
        let was = was.map(|(source, _)| source);
        let is_of_members =
            |source| matches!(source, ProofSource::Majority | ProofSource::Unanimity);
        if was != Some(source) && (is_of_members(source) || was.is_some_and(is_of_members)) {
            let age_ms = Boot.now().since(sent).as_millis();
            log::info!(service = &*self.service, revision, source:?, was:?, age_ms = age_ms; "source of proofs changed");
        }
    }

    /// Logs that the group's members don't prove the primary any more, as this instance is isolated
    /// and the store confirmed the record `confirmed_ago`.
    pub(crate) fn note_isolated(&self, confirmed_ago: Duration) {
        if self.proved_by.take().is_some() {
            let confirmed_ago_ms = confirmed_ago.as_millis();
            log::warn!(service = &*self.service, confirmed_ago_ms = confirmed_ago_ms; "members prove no primary to an isolated instance");
        }
    }

    /// Returns the send time of the last request whose answer showed that the store still had
    /// the record.
    pub(crate) fn confirmed_at(&self) -> Instant {
        self.confirmed_at.get()
    }

    /// Returns the source of the last proof, and the time from which that proof counts.
    pub fn proved_by(&self) -> Option<(ProofSource, Instant)> {
        self.proved_by.get()
    }

    /// Returns the proof that the primary has not been replaced.
    pub fn proof(&self) -> Proof {
        self.proof.get()
    }
}
