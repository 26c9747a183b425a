//! Guards of the state chart and the conditions behind them.

use std::time::Duration;

use clock::Instant;
use model::{Position, Role, Term, name};

use crate::{
    event::{Status, View},
    group::Group,
    machine::{Guard, State},
    peers::Verdict,
    quorum::majority,
};

impl Group {
    pub(super) fn guard_holds(&self, now: Instant, guard: Guard) -> bool {
        match guard {
            Guard::OwnClaim => self.is_own_claim(),
            Guard::PrimaryFound => self.unrecorded_primary().is_some(),
            Guard::Able => self.reaches_majority(now),
            Guard::Suspected => self.suspected,
            Guard::HeldOff => self.is_held_off(now),
            Guard::Leaving => self.can_hand_over(now),
            Guard::Unrecorded => self.is_unrecorded(),
            Guard::Needless => self.is_needless(now),
            Guard::MajorityFenced => self.is_majority_fenced(now),
            Guard::Promoted => self.promotion.as_ref().is_some_and(|p| p.is_promoted()),
            Guard::Refused => self.promotion.as_ref().is_some_and(|p| p.is_refused()),
            Guard::ClaimantWorks => self.is_claimant_working(now),
        }
    }

    /// Updates the suspicion of the primary from this zone's view and the
    /// peers' evidence.
    pub(super) fn update_suspicion(&mut self, now: Instant) {
        self.track_unconfirmed(now);
        self.suspected = match self.verdict(now) {
            Verdict::Trusted => {
                self.contested_since = None;
                self.is_isolated(now)
            }
            Verdict::Suspected => {
                self.contested_since.get_or_insert(now);
                true
            }
            Verdict::Contested => {
                let since = *self.contested_since.get_or_insert(now);
                let expired = now.since(since) >= self.conf.timing.contested_delay;
                let stuck = self.is_unconfirmed_for(now, self.conf.timing.unconfirmed_timeout);
                (expired || stuck) && !self.is_replicating(now)
            }
        };
    }

    /// Tracks since when a position that the primary reached is missing from a
    /// majority. A primary that is cut off from its replicas still accepts
    /// writes that never commit, while its own zone still reports it alive.
    fn track_unconfirmed(&mut self, now: Instant) {
        let Some(primary) = &self.primary else {
            return;
        };
        if self
            .unconfirmed
            .is_some_and(|(position, _)| self.is_majority_held(position))
        {
            self.unconfirmed = None;
        }
        let furthest = self
            .peers
            .furthest_position(now, &self.conf.timing, primary.term);
        let furthest = furthest.max(self.primary_position(now));
        match furthest.filter(|position| !self.is_majority_held(*position)) {
            Some(position) => drop(self.unconfirmed.get_or_insert((position, now))),
            None => self.unconfirmed = None,
        }
    }

    /// Returns true if enough replicas hold this position to form a majority
    /// with the primary.
    fn is_majority_held(&self, position: Position) -> bool {
        let Some(primary) = &self.primary else {
            return true;
        };
        let others = self
            .detectors
            .iter()
            .filter(|(u, _)| **u != primary.upstream);
        let holds = |r: &model::Report| r.received.covers(position);
        let holding = others.filter(|(_, s)| s.report().is_some_and(holds));
        holding.count() + 1 >= majority(self.detectors.len())
    }

    /// Returns true if the primary answers here, but no majority receives its
    /// log: only the links between the upstreams are cut, and no write commits.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let alive = self.primary_view(now) == View::Alive;
        let stuck = self.is_unconfirmed_for(now, self.conf.timing.isolation_timeout);
        alive && stuck && self.reaches_majority(now) && !self.is_replicating(now)
    }

    fn is_unconfirmed_for(&self, now: Instant, bound: Duration) -> bool {
        self.unconfirmed
            .is_some_and(|(_, since)| now.since(since) >= bound)
    }

    /// End of the primary's log, if the primary answers this instance.
    pub(super) fn primary_position(&self, now: Instant) -> Option<Position> {
        if self.primary_view(now) != View::Alive {
            return None;
        }
        let detector = self.detectors.get(&self.primary.as_ref()?.upstream)?;
        detector.report().map(|r| r.received)
    }

    fn verdict(&self, now: Instant) -> Verdict {
        let Some(primary) = &self.primary else {
            return Verdict::Trusted;
        };
        let own = (&self.conf.zone, self.primary_view(now));
        self.peers
            .verdict(now, &self.conf.timing, primary.term, own)
    }

    /// This candidate's view of the primary.
    pub(super) fn primary_view(&self, now: Instant) -> View {
        let detector = self
            .primary
            .as_ref()
            .and_then(|l| self.detectors.get(&l.upstream));
        detector.map_or(View::Unsure, |s| s.primary_view(now, &self.conf.timing))
    }

    /// Returns true if a majority still receives the primary's log. Writes then
    /// commit for every instance that reaches the primary, and replacing it
    /// would only interrupt them.
    fn is_replicating(&self, now: Instant) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let others = self
            .detectors
            .iter()
            .filter(|(u, _)| **u != primary.upstream);
        let following = others.filter(|(_, s)| s.is_advancing(now, &self.conf.timing));
        following.count() + 1 >= majority(self.detectors.len())
    }

    /// Returns true if a majority of the group answers here, so that a claim
    /// could be completed. A zone that is cut off must not claim: it could
    /// fence no upstream, and its claim would delay the claims of others.
    fn reaches_majority(&self, now: Instant) -> bool {
        let alive = self
            .detectors
            .values()
            .filter(|s| s.is_alive(now, &self.conf.timing));
        alive.count() >= majority(self.detectors.len())
    }

    /// Returns true if the last change of primary is too recent for another, so
    /// that a fault that hits every primary does not cause one promotion after
    /// another.
    fn is_held_off(&self, now: Instant) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let timing = &self.conf.timing;
        let counted = |at: &&Instant| now.since(**at) < timing.hold_off_window;
        let recent = self.primary_changes.iter().filter(counted).count();
        now.since(primary.since) < timing.hold_off(recent)
    }

    /// Returns true if the primary is leaving while an active replica of its
    /// term answers and could take over.
    fn can_hand_over(&self, now: Instant) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        if !self.is_leaving(&primary.upstream) {
            return false;
        }
        let ready = |u: &name::Upstream| {
            let detector = &self.detectors[u];
            let follows = detector
                .report()
                .is_some_and(|r| r.received.term == primary.term);
            follows && detector.is_alive(now, &self.conf.timing)
        };
        let others = self.detectors.keys().filter(|u| **u != primary.upstream);
        others.filter(|u| !self.is_leaving(u)).any(ready)
    }

    pub(super) fn is_leaving(&self, upstream: &name::Upstream) -> bool {
        let member = self.conf.upstreams.get(upstream);
        member.is_some_and(|m| m.status == Status::Leaving)
    }

    fn is_own_claim(&self) -> bool {
        let attempt = self.register.known().map(|e| e.record.attempt);
        attempt.is_some() && attempt == self.claim_attempt
    }

    /// Returns true if the primary is announced while the store still holds the
    /// claim.
    pub(super) fn is_unrecorded(&self) -> bool {
        let primary_term = self.primary.as_ref().map(|l| l.term);
        self.register.is_claim() && self.register.known().map(|e| e.record.term) == primary_term
    }

    /// Returns true if the reason for the claim in progress no longer holds.
    fn is_needless(&self, now: Instant) -> bool {
        let claimed = self.register.is_claim() && !self.is_unrecorded();
        let alive = self.primary_view(now) == View::Alive;
        self.primary.is_some() && !claimed && !self.suspected && alive && !self.can_hand_over(now)
    }

    fn is_majority_fenced(&self, now: Instant) -> bool {
        let Some(promotion) = &self.promotion else {
            return false;
        };
        let enough = promotion.fenced_count(now) >= majority(self.detectors.len());
        enough && !self.is_handing_over(now)
    }

    fn is_claimant_working(&self, now: Instant) -> bool {
        let claimed = self.register.known().map(|e| e.record.term);
        claimed.is_some_and(|t| self.peers.is_claiming(now, &self.conf.timing, t))
    }

    /// The primary that a majority of the group follows while no record exists:
    /// the only primary of the highest term, if no upstream is fenced higher.
    pub(super) fn unrecorded_primary(&self) -> Option<(name::Upstream, Term)> {
        let reports = self
            .detectors
            .iter()
            .filter_map(|(u, s)| Some((u, s.report()?)));
        let reports: Vec<_> = reports.collect();
        let term = reports
            .iter()
            .map(|(_, r)| r.fenced.max(r.received.term))
            .max()?;
        let leads = |r: &model::Report| r.role == Role::Primary && r.received.term == term;
        let mut leaders = reports.iter().filter(|(_, r)| leads(r));
        let (upstream, _) = leaders.next()?;
        if leaders.next().is_some() {
            return None;
        }
        let followers = reports
            .iter()
            .filter(|(_, r)| r.received.term == term)
            .count();
        (followers >= majority(self.detectors.len())).then(|| ((*upstream).clone(), term))
    }

    /// Furthest log position reported by any upstream.
    pub(super) fn furthest_position(&self) -> Position {
        let reports = self.detectors.values().filter_map(|s| s.report());
        reports.map(|r| r.received).max().unwrap_or_default()
    }

    /// Term of the claim on which this candidate is working, as sent to its
    /// peers.
    pub(super) fn active_claim(&self) -> Option<Term> {
        let works = matches!(
            self.state,
            State::Fencing | State::Promoting | State::Recording
        );
        self.promotion.as_ref().filter(|_| works).map(|p| p.term)
    }
}
