//! What a group concludes from what it knows: the chart's guards.

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
    pub(super) fn holds(&self, now: Instant, guard: Guard) -> bool {
        match guard {
            Guard::OwnClaim => self.own_claim(),
            Guard::PrimaryFound => self.found().is_some(),
            Guard::Able => self.able(now),
            Guard::Suspected => self.suspected,
            Guard::HeldOff => self.held_off(now),
            Guard::Leaving => self.leaving(now),
            Guard::Unrecorded => self.unrecorded(),
            Guard::Needless => self.needless(now),
            Guard::MajorityFenced => self.majority_fenced(now),
            Guard::Promoted => self.promotion.as_ref().is_some_and(|p| p.promoted()),
            Guard::Refused => self.promotion.as_ref().is_some_and(|p| p.refused()),
            Guard::ClaimantWorks => self.claimant_works(now),
        }
    }

    /// Judges the primary anew from this zone's view and the peers' evidence.
    pub(super) fn judge(&mut self, now: Instant) {
        self.watch_place(now);
        self.suspected = match self.verdict(now) {
            Verdict::Trusted => {
                self.contested = None;
                self.isolated(now)
            }
            Verdict::Suspected => {
                self.contested.get_or_insert(now);
                true
            }
            Verdict::Contested => {
                let since = *self.contested.get_or_insert(now);
                let ripe = now.since(since) >= self.conf.timing.contested_delay;
                let stuck = self.stuck(now, self.conf.timing.unconfirmed_timeout);
                (ripe || stuck) && !self.replicating(now)
            }
        };
    }

    /// Notes since when a place that the primary reached is missing from a
    /// majority. A primary that is cut off from its replicas goes on to run
    /// writes which never land, and its own zone goes on to vouch for it.
    fn watch_place(&mut self, now: Instant) {
        let Some(primary) = &self.primary else {
            return;
        };
        if self.unconfirmed.is_some_and(|(place, _)| self.held(place)) {
            self.unconfirmed = None;
        }
        let told = self.peers.place(now, &self.conf.timing, primary.term);
        let told = told.max(self.place(now));
        match told.filter(|place| !self.held(*place)) {
            Some(place) => drop(self.unconfirmed.get_or_insert((place, now))),
            None => self.unconfirmed = None,
        }
    }

    /// Whether replicas enough to make a majority with the primary hold this.
    fn held(&self, place: Position) -> bool {
        let Some(primary) = &self.primary else {
            return true;
        };
        let others = self
            .detectors
            .iter()
            .filter(|(u, _)| **u != primary.upstream);
        let holds = |r: &model::Report| r.received.covers(place);
        let holding = others.filter(|(_, s)| s.report().is_some_and(holds));
        holding.count() + 1 >= majority(self.detectors.len())
    }

    /// Whether the primary answers here, but its log reaches no majority: only
    /// the ways between the upstreams are cut, and no write lands.
    pub(super) fn isolated(&self, now: Instant) -> bool {
        let alive = self.view(now) == View::Alive;
        let stuck = self.stuck(now, self.conf.timing.isolation_timeout);
        alive && stuck && self.able(now) && !self.replicating(now)
    }

    fn stuck(&self, now: Instant, bound: Duration) -> bool {
        self.unconfirmed
            .is_some_and(|(_, since)| now.since(since) >= bound)
    }

    /// How far the primary's log went, if it answers here.
    pub(super) fn place(&self, now: Instant) -> Option<Position> {
        if self.view(now) != View::Alive {
            return None;
        }
        let detector = self.detectors.get(&self.primary.as_ref()?.upstream)?;
        detector.report().map(|r| r.received)
    }

    fn verdict(&self, now: Instant) -> Verdict {
        let Some(primary) = &self.primary else {
            return Verdict::Trusted;
        };
        let own = (&self.conf.zone, self.view(now));
        self.peers
            .verdict(now, &self.conf.timing, primary.term, own)
    }

    /// How this candidate finds the primary.
    pub(super) fn view(&self, now: Instant) -> View {
        let detector = self
            .primary
            .as_ref()
            .and_then(|l| self.detectors.get(&l.upstream));
        detector.map_or(View::Unsure, |s| s.primary_view(now, &self.conf.timing))
    }

    /// Whether a majority still takes in the primary's log. Then writes land
    /// for whoever reaches the primary, and replacing it would only cut them.
    fn replicating(&self, now: Instant) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let others = self
            .detectors
            .iter()
            .filter(|(u, _)| **u != primary.upstream);
        let following = others.filter(|(_, s)| s.advancing(now, &self.conf.timing));
        following.count() + 1 >= majority(self.detectors.len())
    }

    /// Whether a majority of the group answers here, so that a claim could be
    /// carried through. A zone that is cut off must not claim: it could fence
    /// nobody, and its claim would stand in the way of others.
    fn able(&self, now: Instant) -> bool {
        let alive = self
            .detectors
            .values()
            .filter(|s| s.alive(now, &self.conf.timing));
        alive.count() >= majority(self.detectors.len())
    }

    /// Whether the last change of primary is too recent for another, so that a
    /// fault which every primary meets does not chase the role around.
    fn held_off(&self, now: Instant) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let timing = &self.conf.timing;
        let counted = |at: &&Instant| now.since(**at) < timing.hold_off_window;
        let recent = self.changes.iter().filter(counted).count();
        now.since(primary.since) < timing.hold_off(recent)
    }

    /// Whether the primary is being taken out of service while a staying
    /// replica is close enough behind to take over.
    fn leaving(&self, now: Instant) -> bool {
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
            follows && detector.alive(now, &self.conf.timing)
        };
        let others = self.detectors.keys().filter(|u| **u != primary.upstream);
        others.filter(|u| !self.is_leaving(u)).any(ready)
    }

    pub(super) fn is_leaving(&self, upstream: &name::Upstream) -> bool {
        let member = self.conf.upstreams.get(upstream);
        member.is_some_and(|m| m.status == Status::Leaving)
    }

    fn own_claim(&self) -> bool {
        let attempt = self.register.known().map(|e| e.record.attempt);
        attempt.is_some() && attempt == self.claim
    }

    /// Whether the primary is announced while the store still holds the claim.
    pub(super) fn unrecorded(&self) -> bool {
        let led = self.primary.as_ref().map(|l| l.term);
        self.register.claimed() && self.register.known().map(|e| e.record.term) == led
    }

    /// Whether the claim under way has lost its reason.
    fn needless(&self, now: Instant) -> bool {
        let claimed = self.register.claimed() && !self.unrecorded();
        let alive = self.view(now) == View::Alive;
        self.primary.is_some() && !claimed && !self.suspected && alive && !self.leaving(now)
    }

    fn majority_fenced(&self, now: Instant) -> bool {
        let Some(promotion) = &self.promotion else {
            return false;
        };
        let enough = promotion.fenced(now) >= majority(self.detectors.len());
        enough && !self.hands_over(now)
    }

    fn claimant_works(&self, now: Instant) -> bool {
        let claimed = self.register.known().map(|e| e.record.term);
        claimed.is_some_and(|t| self.peers.claiming(now, &self.conf.timing, t))
    }

    /// The primary that a majority of the group follows, when no record names
    /// one: the only one with the highest term, fenced to no higher.
    pub(super) fn found(&self) -> Option<(name::Upstream, Term)> {
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

    /// The furthest place that any upstream was seen to hold.
    pub(super) fn furthest(&self) -> Position {
        let reports = self.detectors.values().filter_map(|s| s.report());
        reports.map(|r| r.received).max().unwrap_or_default()
    }

    /// The claim that this candidate works on, as its peers are told.
    pub(super) fn working(&self) -> Option<Term> {
        let works = matches!(
            self.state,
            State::Fencing | State::Promoting | State::Recording
        );
        self.promotion.as_ref().filter(|_| works).map(|p| p.term)
    }
}
