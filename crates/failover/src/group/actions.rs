//! What a group does on its way: the chart's actions.

use std::time::Duration;

use clock::Instant;
use model::{Lsn, Phase, Record, Term, name};

use crate::{
    event::{self, Entry, Order, View},
    group::{Alarm, Group},
    machine::Action,
    promotion::Promotion,
};

impl Group {
    pub(super) fn act(&mut self, now: Instant, action: Action) {
        match action {
            Action::AwaitPrimary => self.wait(now, self.conf.timing.adoption_timeout),
            Action::AwaitClaimant | Action::AwaitRecord => {
                let turn = self.turn(now);
                self.wait(now, self.conf.timing.claim_timeout + turn);
            }
            Action::AwaitTurn => {
                let turn = self.turn(now);
                self.wait(now, turn);
            }
            Action::Read => {
                let read = self.register.read(now, &self.conf.timing);
                self.out.push(read);
            }
            Action::Adopt => self.adopt(now),
            Action::Claim => self.claim(now),
            Action::Fence => self.fence(now),
            Action::Promote => self.promote(now),
            Action::Announce => self.announce(now),
            Action::Record => self.record(now),
            Action::StandDown => {
                self.promotion = None;
                self.sent.clear();
            }
        }
    }

    fn wait(&mut self, now: Instant, span: Duration) {
        self.due = Some(self.timer.subscribe(now + span, Alarm::Due));
    }

    /// How long this candidate leaves the field to those ranked before it.
    fn turn(&self, now: Instant) -> Duration {
        let timing = &self.conf.timing;
        timing.rank_delay * self.peers.rank(now, timing, &self.conf.instance)
    }

    /// Records the primary that the group has before it has a record.
    fn adopt(&mut self, now: Instant) {
        let Some((upstream, term)) = self.found() else {
            return;
        };
        let attempt = self.register.attempt();
        let phase = Phase::Led { upstream };
        let fork = Lsn::default();
        let record = Record {
            term,
            phase,
            fork,
            attempt,
        };
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.out.push(swap);
    }

    fn claim(&mut self, now: Instant) {
        let attempt = self.register.attempt();
        let by = self.conf.instance.clone();
        let record = Record {
            term: self.highest().next(),
            phase: Phase::Claimed { by },
            fork: self.furthest().lsn,
            attempt,
        };
        self.claim = Some(attempt);
        self.promotion = None;
        self.sent.clear();
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.out.push(swap);
    }

    /// The highest term that the store, a primary or a fence was seen to have.
    fn highest(&self) -> Term {
        let reports = self.detectors.values().filter_map(|s| s.report());
        let fenced = reports.map(|r| r.fenced.max(r.received.term));
        let known = self.register.known().map(|e| e.record.term);
        let primary = self.primary.as_ref().map(|l| l.term);
        fenced.chain(known).chain(primary).max().unwrap_or_default()
    }

    fn fence(&mut self, now: Instant) {
        let Some(term) = self.register.known().map(|e| e.record.term) else {
            return;
        };
        self.sent.clear();
        self.promotion = Some(Promotion::open(term));
        if self.isolated(now) {
            self.shun(now);
        } else if self.primary.is_some() && !self.suspected && self.view(now) == View::Alive {
            self.hand_over(now);
        }
        self.send_fences(now);
    }

    /// Passes over a primary that is isolated from its replicas.
    fn shun(&mut self, now: Instant) {
        let until = now + self.conf.timing.exclusion_timeout;
        let isolated = self.primary.as_ref().map(|l| (l.upstream.clone(), until));
        if let Some(promotion) = &mut self.promotion {
            promotion.shunned = isolated;
        }
    }

    /// Gives replicas time to catch up, if the old primary leaves in good health.
    fn hand_over(&mut self, now: Instant) {
        let until = now + self.conf.timing.handover_timeout;
        if let Some(promotion) = &mut self.promotion {
            promotion.handover = Some(until);
        }
    }

    fn promote(&mut self, now: Instant) {
        // From here on the claim may have a primary: it can't be resumed.
        self.claim = None;
        self.sent.clear();
        self.wait(now, self.conf.timing.promotion_timeout);
        let timing = self.conf.timing.clone();
        let alive: Vec<name::Upstream> = self.alive(now, &timing);
        let Some(promotion) = &mut self.promotion else {
            return;
        };
        promotion.choose(now, &self.conf.upstreams, |u| alive.contains(u));
        self.send_promotion(now);
    }

    fn announce(&mut self, now: Instant) {
        let Some(known) = self.register.known().cloned() else {
            return;
        };
        if known.record.leader().is_some() {
            self.out.push(event::Action::Announce(known));
            return;
        }
        let Some((term, upstream, fork)) = self.promotion.as_ref().and_then(|p| {
            let (upstream, fork) = p.chosen()?;
            Some((p.term, upstream.clone(), *fork))
        }) else {
            return;
        };
        let record = Record {
            term,
            phase: Phase::Led { upstream },
            fork,
            attempt: self.register.attempt(),
        };
        self.adopt_primary(now, &record);
        self.led = Some(term);
        self.sent.clear();
        let revision = known.revision;
        self.out
            .push(event::Action::Announce(Entry { revision, record }));
        self.send_follows(now);
    }

    fn record(&mut self, now: Instant) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        let record = Record {
            term: primary.term,
            phase: Phase::Led {
                upstream: primary.upstream,
            },
            fork: primary.fork,
            attempt: self.register.attempt(),
        };
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.out.push(swap);
    }

    /// Sends an order, unless the same one is still within its time to answer.
    pub(super) fn send(&mut self, now: Instant, upstream: &name::Upstream, order: Order) {
        let bound = self.conf.timing.order_timeout;
        let waits = |s: &super::Sent| s.order == order && now.since(s.at) < bound;
        if self.sent.get(upstream).is_some_and(waits) {
            return;
        }
        let call = self.register.call();
        let sent = super::Sent {
            at: now,
            order: order.clone(),
        };
        self.sent.insert(upstream.clone(), sent);
        let upstream = upstream.clone();
        self.out.push(event::Action::Order {
            call,
            upstream,
            order,
        });
    }
}
