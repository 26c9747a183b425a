//! Progress of one claim from fencing to the promoted primary.

use std::{cmp::Reverse, collections::BTreeMap};

use clock::Instant;
use model::{Lsn, Report, Role, Term, name};

use crate::event::{Member, Status};

/// A claim of this instance that the store accepted.
#[derive(Debug)]
pub(crate) struct Promotion {
    /// Term of the claim.
    pub(crate) term: Term,
    /// Time until which a handover waits for a replica to catch up.
    pub(crate) handover: Option<Instant>,
    /// The isolated primary, and the time until which it is excluded from the
    /// majority.
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

    /// Handles a report. Only a report fenced to exactly this term counts,
    /// because from then on the upstream accepts no log of a lower term.
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

    /// Handles the refusal of an order by an upstream that is fenced to another
    /// term.
    pub(crate) fn on_fenced(&mut self, fenced: Term) {
        self.refused |= fenced > self.term;
    }

    /// Returns true if an upstream is fenced to a higher term.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused
    }

    /// Number of fenced upstreams that are eligible.
    pub(crate) fn fenced_count(&self, now: Instant) -> usize {
        self.eligible(now).count()
    }

    /// Fenced upstreams that may be chosen. The isolated primary does not count
    /// while a majority without it may still answer; otherwise its longer log
    /// would make it primary again. Any majority holds all acknowledged writes.
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

    /// Report with which an upstream answered the fence.
    pub(crate) fn fence_report(&self, upstream: &name::Upstream) -> Option<&Report> {
        self.fenced.get(upstream)
    }

    /// Chooses the upstream with the furthest received position, compared by
    /// term first; among equals an active one, then one that `preferred` names.
    ///
    /// The choice is final: a claim that promoted two upstreams would put two
    /// primaries into one term.
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

    /// The chosen upstream and the end of its log in the previous term.
    pub(crate) fn chosen(&self) -> Option<&(name::Upstream, Lsn)> {
        self.chosen.as_ref()
    }

    /// Returns true if the chosen upstream reported itself as primary of this
    /// term.
    pub(crate) fn is_promoted(&self) -> bool {
        self.promoted
    }
}
