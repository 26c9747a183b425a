//! Periodic work of a group: probes, evidence and repeated orders.

use clock::Instant;
use model::{Role, name};

use crate::{
    event::{Action, Evidence, Order},
    group::{Alarm, Group},
    machine::{self, State},
    timing::Timing,
};

impl Group {
    pub(super) fn on_alarm(&mut self, now: Instant, alarm: Alarm) {
        if matches!(alarm, Alarm::Due) {
            self.due_timer = None;
            self.dispatch(now, machine::Event::Due);
            return;
        }
        if !self.peers.contains(&self.conf.instance) {
            return;
        }
        match alarm {
            Alarm::Probe => self.probe_all(now),
            Alarm::Evidence => self.on_evidence_due(now),
            Alarm::Due => {}
        }
    }

    fn probe_all(&mut self, now: Instant) {
        self.timer
            .subscribe(now + self.conf.timing.probe_interval, Alarm::Probe);
        let upstreams: Vec<_> = self.detectors.keys().cloned().collect();
        for upstream in &upstreams {
            self.probe(now, upstream);
        }
    }

    pub(super) fn probe(&mut self, now: Instant, upstream: &name::Upstream) {
        let call = self.register.next_call();
        let Some(detector) = self.detectors.get_mut(upstream) else {
            return;
        };
        let Some(call) = detector.begin_probe(now, &self.conf.timing, call) else {
            return;
        };
        let upstream = upstream.clone();
        self.actions.push(Action::Probe { call, upstream });
    }

    fn on_evidence_due(&mut self, now: Instant) {
        self.timer
            .subscribe(now + self.conf.timing.evidence_interval, Alarm::Evidence);
        self.send_evidence(now);
        match self.state {
            State::Fencing => self.send_fences(now),
            State::Promoting => self.send_promotion(now),
            State::Watching | State::Recording => self.send_follows(now),
            _ => {}
        }
    }

    /// Sends evidence at once if the view or the claim has changed, without
    /// waiting for the interval.
    pub(super) fn send_changed_evidence(&mut self, now: Instant) {
        if self.sent_evidence != (self.primary_view(now), self.active_claim()) {
            self.send_evidence(now);
        }
    }

    fn send_evidence(&mut self, now: Instant) {
        let view = self.primary_view(now);
        let claim = self.active_claim();
        self.sent_evidence = (view, claim);
        let evidence = Evidence {
            database: self.conf.database.clone(),
            term: self.primary.as_ref().map(|l| l.term).unwrap_or_default(),
            view,
            place: self.primary_position(now),
            claim,
        };
        for to in self.peers.others(&self.conf.instance) {
            let evidence = evidence.clone();
            self.actions.push(Action::SendEvidence { to, evidence });
        }
    }

    pub(super) fn send_fences(&mut self, now: Instant) {
        let Some(promotion) = &self.promotion else {
            return;
        };
        let term = promotion.term;
        let open = self.detectors.keys().filter(|u| !promotion.is_fenced(u));
        let open: Vec<_> = open.filter(|u| self.may_fence(now, u)).cloned().collect();
        for upstream in &open {
            self.send_order(now, upstream, Order::Fence { term });
        }
    }

    /// Returns true if an upstream may be fenced now. In a handover the old
    /// primary is fenced first, and each replica once it holds all of the old
    /// primary's log.
    fn may_fence(&self, now: Instant, upstream: &name::Upstream) -> bool {
        let (Some(promotion), Some(primary)) = (&self.promotion, &self.primary) else {
            return true;
        };
        if promotion.handover.is_none_or(|until| now >= until) || *upstream == primary.upstream {
            return true;
        }
        let Some(last) = promotion.fence_report(&primary.upstream) else {
            return false;
        };
        let report = self.detectors.get(upstream).and_then(|s| s.report());
        report.is_some_and(|r| r.received >= last.received)
    }

    /// Returns true while a handover waits for an active replica to catch up.
    pub(super) fn is_handing_over(&self, now: Instant) -> bool {
        let (Some(promotion), Some(primary)) = (&self.promotion, &self.primary) else {
            return false;
        };
        if promotion.handover.is_none_or(|until| now >= until) {
            return false;
        }
        let Some(last) = promotion.fence_report(&primary.upstream) else {
            return true;
        };
        let caught_up = |u: &name::Upstream| {
            let report = promotion.fence_report(u);
            report.is_some_and(|r| r.received >= last.received)
        };
        !self
            .detectors
            .keys()
            .any(|u| !self.is_leaving(u) && caught_up(u))
    }

    pub(super) fn send_promotion(&mut self, now: Instant) {
        let Some(promotion) = &self.promotion else {
            return;
        };
        let term = promotion.term;
        if let Some((upstream, _)) = promotion.chosen().cloned() {
            self.send_order(now, &upstream, Order::Promote { term });
        }
    }

    /// Orders every upstream that is not yet in the primary's term to follow
    /// the primary, including an old primary that has come back.
    pub(super) fn send_follows(&mut self, now: Instant) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        let promoter = self.promoted_term == Some(primary.term);
        if !promoter && self.peers.rank(now, &self.conf.timing, &self.conf.instance) > 0 {
            return;
        }
        let targets: Vec<_> = self
            .detectors
            .keys()
            .filter(|u| self.needs_follow(u))
            .cloned()
            .collect();
        for target in &targets {
            let (term, upstream) = (primary.term, primary.upstream.clone());
            self.send_order(now, target, Order::Follow { term, upstream });
        }
    }

    fn needs_follow(&self, upstream: &name::Upstream) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let Some(report) = self.detectors.get(upstream).and_then(|s| s.report()) else {
            return false;
        };
        if *upstream == primary.upstream || report.fenced > primary.term {
            return false;
        }
        let behind = report.fenced < primary.term || report.received.term < primary.term;
        behind || report.role == Role::Primary
    }

    pub(super) fn alive_upstreams(&self, now: Instant, timing: &Timing) -> Vec<name::Upstream> {
        let alive = self
            .detectors
            .iter()
            .filter(|(_, s)| s.is_alive(now, timing));
        alive.map(|(u, _)| u.clone()).collect()
    }
}
