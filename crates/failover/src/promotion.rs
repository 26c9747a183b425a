//! One claim's way from fencing to a promoted primary.

use std::{cmp::Reverse, collections::BTreeMap};

use clock::Instant;
use model::{Lsn, Report, Role, Term, name};

use crate::event::{Member, Status};

/// A claim of ours that the store granted.
#[derive(Debug)]
pub(crate) struct Promotion {
    /// The claimed term.
    pub(crate) term: Term,
    /// Until when a handover waits for a replica to catch up.
    pub(crate) handover: Option<Instant>,
    /// The isolated primary, and until when a majority without it is awaited.
    pub(crate) excluded: Option<(name::Upstream, Instant)>,
    fenced: BTreeMap<name::Upstream, Report>,
    chosen: Option<(name::Upstream, Lsn)>,
    promoted: bool,
    refused: bool,
}

impl Promotion {
    pub(crate) fn open(term: Term) -> Self {
        Self {
            term,
            handover: None,
            excluded: None,
            fenced: BTreeMap::new(),
            chosen: None,
            promoted: false,
            refused: false,
        }
    }

    /// Takes a report; only those fenced to exactly this term count, because
    /// from then on the upstream takes in no log of a lower term.
    pub(crate) fn on_report(&mut self, upstream: &name::Upstream, report: &Report) {
        if report.fenced > self.term {
            self.refused = true;
        }
        if report.fenced != self.term {
            return;
        }
        match &self.chosen {
            Some((chosen, _)) if chosen == upstream => {
                let leads = report.role == Role::Primary && report.received.term == self.term;
                self.promoted |= leads;
            }
            Some(_) => {}
            None => {
                self.fenced.insert(upstream.clone(), *report);
            }
        }
    }

    /// Notes that an order of this claim was refused for a higher term.
    pub(crate) fn on_fenced(&mut self, fenced: Term) {
        self.refused |= fenced > self.term;
    }

    /// Whether a higher term was met.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused
    }

    /// How many upstreams are fenced, of those that count yet.
    pub(crate) fn fenced_count(&self, now: Instant) -> usize {
        self.eligible(now).count()
    }

    /// The fenced upstreams; while a majority without the isolated primary may
    /// still answer, it does not count, or its longer log would win it the term
    /// again. Any majority holds all that was acknowledged.
    fn eligible(&self, now: Instant) -> impl Iterator<Item = (&name::Upstream, &Report)> {
        let excluded = self.excluded.as_ref().filter(|(_, until)| now < *until);
        let excluded = excluded.map(|(upstream, _)| upstream);
        self.fenced
            .iter()
            .filter(move |(u, _)| Some(*u) != excluded)
    }

    pub(crate) fn is_fenced(&self, upstream: &name::Upstream) -> bool {
        self.fenced.contains_key(upstream)
    }

    /// The report with which an upstream answered the fence.
    pub(crate) fn fence_report(&self, upstream: &name::Upstream) -> Option<&Report> {
        self.fenced.get(upstream)
    }

    /// Chooses the upstream that received most, by term first; among equals
    /// one that stays, then one that `preferred` names.
    ///
    /// The choice is made once: a claim that promoted two upstreams would put
    /// two primaries into one term.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        members: &BTreeMap<name::Upstream, Member>,
        preferred: impl Fn(&name::Upstream) -> bool,
    ) -> Option<&name::Upstream> {
        if self.chosen.is_none() {
            let stays = |u| members.get(u).is_some_and(|m| m.status == Status::Active);
            let best = self
                .eligible(now)
                .max_by_key(|(u, r)| (r.received, stays(*u), preferred(u), Reverse(*u)));
            self.chosen = best.map(|(u, r)| (u.clone(), r.received.lsn));
        }
        self.chosen.as_ref().map(|(upstream, _)| upstream)
    }

    /// The chosen upstream and its last place in the term before.
    pub(crate) fn chosen(&self) -> Option<&(name::Upstream, Lsn)> {
        self.chosen.as_ref()
    }

    /// Whether the chosen upstream said that it leads in this term.
    pub(crate) fn is_promoted(&self) -> bool {
        self.promoted
    }
}
