//! Actions of the state chart.

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
    pub(super) fn run_action(&mut self, now: Instant, action: Action) {
        match action {
            Action::AwaitPrimary => self.start_wait(now, self.conf.timing.adoption_timeout),
            Action::AwaitClaimant | Action::AwaitRecord => {
                let turn = self.turn_delay(now);
                self.start_wait(now, self.conf.timing.claim_timeout + turn);
            }
            Action::AwaitTurn => {
                let turn = self.turn_delay(now);
                self.start_wait(now, turn);
            }
            Action::Read => {
                let read = self.register.read(now, &self.conf.timing);
                self.actions.push(read);
            }
            Action::Adopt => self.adopt(now),
            Action::Claim => self.claim(now),
            Action::Fence => self.fence(now),
            Action::Promote => self.promote(now),
            Action::Announce => self.announce(now),
            Action::Record => self.record(now),
            Action::StandDown => {
                self.promotion = None;
                self.pending_orders.clear();
            }
        }
    }

    fn start_wait(&mut self, now: Instant, span: Duration) {
        self.due_timer = Some(self.timer.subscribe(now + span, Alarm::Due));
    }

    /// Delay of this candidate's claim, in which candidates of better rank go
    /// first.
    fn turn_delay(&self, now: Instant) -> Duration {
        let timing = &self.conf.timing;
        timing.rank_delay * self.peers.rank(now, timing, &self.conf.instance)
    }

    /// Records the primary that the group already follows while no record
    /// exists.
    fn adopt(&mut self, now: Instant) {
        let Some((upstream, term)) = self.unrecorded_primary() else {
            return;
        };
        let attempt = self.register.next_attempt();
        let phase = Phase::Led { upstream };
        let fork = Lsn::default();
        let record = Record {
            term,
            phase,
            fork,
            attempt,
        };
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.actions.push(swap);
    }

    fn claim(&mut self, now: Instant) {
        let attempt = self.register.next_attempt();
        let by = self.conf.instance.clone();
        let record = Record {
            term: self.highest_term().next(),
            phase: Phase::Claimed { by },
            fork: self.furthest_position().lsn,
            attempt,
        };
        self.claim_attempt = Some(attempt);
        self.promotion = None;
        self.pending_orders.clear();
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.actions.push(swap);
    }

    /// Highest term seen in the store, in a log or in a fence.
    fn highest_term(&self) -> Term {
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
        self.pending_orders.clear();
        self.promotion = Some(Promotion::open(term));
        if self.is_isolated(now) {
            self.exclude_isolated(now);
        } else if self.primary.is_some() && !self.suspected && self.primary_view(now) == View::Alive
        {
            self.start_handover(now);
        }
        self.send_fences(now);
    }

    /// Excludes a primary that is isolated from its replicas from the choice.
    fn exclude_isolated(&mut self, now: Instant) {
        let until = now + self.conf.timing.exclusion_timeout;
        let isolated = self.primary.as_ref().map(|l| (l.upstream.clone(), until));
        if let Some(promotion) = &mut self.promotion {
            promotion.excluded = isolated;
        }
    }

    /// Gives replicas time to catch up with a healthy primary that is leaving.
    fn start_handover(&mut self, now: Instant) {
        let until = now + self.conf.timing.handover_timeout;
        if let Some(promotion) = &mut self.promotion {
            promotion.handover = Some(until);
        }
    }

    fn promote(&mut self, now: Instant) {
        // From here on the claim may have a primary, so it must not be resumed.
        self.claim_attempt = None;
        self.pending_orders.clear();
        self.start_wait(now, self.conf.timing.promotion_timeout);
        let timing = self.conf.timing.clone();
        let alive: Vec<name::Upstream> = self.alive_upstreams(now, &timing);
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
            self.actions.push(event::Action::Announce(known));
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
            attempt: self.register.next_attempt(),
        };
        self.adopt_primary(now, &record);
        self.promoted_term = Some(term);
        self.pending_orders.clear();
        let revision = known.revision;
        self.actions
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
            attempt: self.register.next_attempt(),
        };
        let swap = self.register.swap(now, &self.conf.timing, record);
        self.actions.push(swap);
    }

    /// Sends an order, unless the same order to this upstream is still within
    /// its time-out.
    pub(super) fn send_order(&mut self, now: Instant, upstream: &name::Upstream, order: Order) {
        let bound = self.conf.timing.order_timeout;
        let is_pending = |s: &super::PendingOrder| s.order == order && now.since(s.at) < bound;
        if self.pending_orders.get(upstream).is_some_and(is_pending) {
            return;
        }
        let call = self.register.next_call();
        let sent = super::PendingOrder {
            at: now,
            order: order.clone(),
        };
        self.pending_orders.insert(upstream.clone(), sent);
        let upstream = upstream.clone();
        self.actions.push(event::Action::Order {
            call,
            upstream,
            order,
        });
    }
}
