//! Upstreams that have left the list though they may vote on the group's primary.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use lead::{Absence, Departure, Samples};

use super::{Group, LIST_MEMORY, StoredRecord};
use crate::{
    catalog::{Readiness, Upstream},
    member::{Member, RELISTED},
    peers::Audience,
    probe::Answer,
};

/// An upstream that is no longer listed.
#[derive(Debug)]
pub(super) struct Absent {
    /// The upstream at its last address. No connection to it is kept.
    member: Rc<Member>,
    absence: Absence,
    /// True once a question was not answered while an instance was silent.
    is_doubted: Cell<bool>,
}

impl Absent {
    fn new(
        upstream: &Upstream,
        samples: &Rc<RefCell<Samples>>,
        departure: Departure,
        since: Instant,
    ) -> Self {
        // A member of its own: an upstream that has lost its log answers, too.
        let member = Rc::new(Member::new(upstream.clone(), samples));
        member.pool.retire();
        Self {
            member,
            absence: Absence::new(departure, since),
            is_doubted: Cell::default(),
        }
    }
}

impl Group {
    /// Records that a member is missing from the list. A member that was about to leave is removed;
    /// [`Group::expire`] removes any other unless its entry returns.
    ///
    /// The list was complete at `current_at` before.
    pub fn unlist(&self, id: &str, now: Instant, current_at: Option<Instant>) {
        let Some(member) = self.member(id) else {
            return;
        };
        self.activate();
        if member.readiness.get() == Readiness::Draining {
            self.remove(id);
        } else {
            member.set_unlisted(now, current_at);
        }
    }

    /// Removes members whose entries have been missing for too long.
    pub fn expire(&self, now: Instant) {
        for member in self.members() {
            if member.is_gone(now) {
                self.remove(&member.upstream.id);
            }
        }
    }

    fn remove(&self, id: &str) {
        // Records the size that the list had until now.
        self.is_list_complete(Boot.now(), LIST_MEMORY);
        self.activate();
        let Some(member) = self.members.borrow_mut().remove(id) else {
            return;
        };
        member.pool.retire();
        self.list_changed_at.set(Boot.now());
        let departure = match member.readiness.get() {
            Readiness::Draining => Departure::Announced,
            Readiness::Ready => Departure::Unannounced,
        };
        let absent = Absent::new(&member.upstream, &self.samples, departure, Boot.now());
        self.absent.borrow_mut().insert(Rc::from(id), absent);
        let stored = self.stored.borrow();
        if stored
            .as_ref()
            .is_some_and(|stored| stored.record.upstream == id)
        {
            self.unlisted.set(Some(Boot.now()));
        }
        drop(stored);
        self.changed.notify_waiters();
    }

    /// Adds the upstreams that the record names and whose entries this instance has never seen, at
    /// the addresses in the record.
    pub(crate) fn add_unseen(&self, now: Instant) {
        let stored = self.stored.borrow();
        let Some(StoredRecord { record, .. }) = stored.as_ref() else {
            return;
        };
        if self.listed_since.get().is_none() {
            return;
        }
        let (members, mut absent) = (self.members.borrow(), self.absent.borrow_mut());
        for (id, address) in &record.addresses {
            let id: Rc<str> = Rc::from(&**id);
            if members.contains_key(&id) || absent.contains_key(&id) || !record.names(&id) {
                continue;
            }
            let upstream = Upstream {
                id: Rc::clone(&id),
                service: Rc::clone(&self.service),
                address: *address,
                zone: String::new(),
                readiness: Readiness::Ready,
                slots: 0,
                born: None,
            };
            absent.insert(
                id,
                Absent::new(&upstream, &self.samples, Departure::Unannounced, now),
            );
        }
    }

    /// Returns the time since which the record's primary counts as missing, if it isn't listed.
    ///
    /// An instance that has never seen its entry, as after a start of all instances, gives it the time
    /// within which entries are written again.
    pub(crate) fn primary_missing_since(&self) -> Option<Instant> {
        let seen_listed = self.unlisted.get();
        let list = self.listed_since.get()?;
        seen_listed.or_else(|| Some(list.max(self.record_learnt_at.get()) + RELISTED))
    }

    /// Returns the upstream with this id if it is no longer listed.
    pub(super) fn absent_member(&self, id: &str) -> Option<Rc<Member>> {
        let absent = self.absent.borrow();
        absent.get(id).map(|absent| Rc::clone(&absent.member))
    }

    /// Returns true if the record names an upstream that isn't listed.
    pub(super) fn has_unlisted(&self) -> bool {
        let (stored, members) = (self.stored.borrow(), self.members.borrow());
        let is_unlisted = |id: &String| !members.contains_key(&**id);
        stored
            .as_ref()
            .is_some_and(|stored| stored.record.voters.iter().any(is_unlisted))
    }

    /// Returns the upstreams that are named by the record and are no longer listed.
    pub fn absent(&self) -> Vec<Rc<Member>> {
        self.absent_if(|_| true)
    }

    /// Returns those of the [`Group::absent`] ones on whose answer it depends how they count.
    pub fn absent_to_ask(&self, now: Instant) -> Vec<Rc<Member>> {
        self.absent_if(|absence| !absence.is_awaited(now))
    }

    fn absent_if(&self, counts: impl Fn(&Absence) -> bool) -> Vec<Rc<Member>> {
        let (stored, absent) = (self.stored.borrow(), self.absent.borrow());
        let Some(StoredRecord { record, .. }) = stored.as_ref() else {
            return Vec::new();
        };
        let named = absent.iter().filter(|(id, _)| record.names(id));
        let found = named.filter(|(_, absent)| counts(&absent.absence));
        found.map(|(_, absent)| Rc::clone(&absent.member)).collect()
    }

    /// Returns true if an upstream that the record names is no longer listed.
    pub(crate) fn has_absent(&self) -> bool {
        !self.absent().is_empty()
    }

    /// Records the answer of an upstream that is no longer listed to a question sent at `sent`.
    ///
    /// While an instance is silent, it may be cut off together with an upstream that announced that
    /// it leaves, and prove a primary by it. Then the announcement doesn't shorten the wait.
    pub fn note_absent(
        &self,
        member: &Rc<Member>,
        answer: Answer,
        sent: Instant,
        audience: Audience,
    ) {
        let id = &member.upstream.id;
        let mut all = self.absent.borrow_mut();
        let Some(absent) = all.get_mut(id).filter(|a| Rc::ptr_eq(&a.member, member)) else {
            return;
        };
        match answer {
            Answer::Silent => {
                let now = Boot.now();
                let absence = &mut absent.absence;
                let is_relied_on = !absence.is_announced() || audience == Audience::All;
                if is_relied_on || absence.is_return_overdue(now) {
                    absence.note_silence(sent, now);
                } else if !absent.is_doubted.replace(true) {
                    log::info!(service = &*self.service, upstream = &**id; "leaving voter awaited as an instance is silent");
                }
            }
            Answer::Status(_) | Answer::Full | Answer::Refused(_) => {
                if absent.absence.note_answer(sent) {
                    log::info!(service = &*self.service, upstream = &**id; "voter answers without an entry");
                }
            }
        }
    }

    /// Number of upstreams named by the record that answer without an entry.
    pub fn answering_absent(&self) -> usize {
        self.absent_if(Absence::answers).len()
    }

    /// Returns the time since the upstream has ended. One whose entry this instance has never seen
    /// is given the time to appear in the list.
    pub fn left_for(&self, id: &str, now: Instant) -> Option<Duration> {
        let ended = match self.absent.borrow().get(id) {
            Some(absent) => absent.absence.ended_at()?,
            None if self.member(id).is_some() || self.is_unasked(id) => return None,
            // The list may lag behind the record that names the upstream.
            None => self.listed_since.get()?.max(self.record_learnt_at.get()) + LIST_MEMORY,
        };
        (ended <= now).then(|| now.since(ended))
    }

    /// Returns true if the upstream can be asked at its address in the record, and was not yet.
    fn is_unasked(&self, id: &str) -> bool {
        let stored = self.stored.borrow();
        stored
            .as_ref()
            .is_some_and(|stored| stored.record.addresses.contains_key(id))
    }
}
