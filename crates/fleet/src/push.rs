//! Telling news at once instead of with the next heartbeat.
//!
//! Whoever learns something new tells a few peers in each of a few rounds. That
//! reaches nearly all of the fleet in a time that grows with the logarithm of
//! its size; heartbeats find the rest.

use std::{net::SocketAddr, time::Duration};

use clock::{Instant, Token};
use wire::{Delta, Message, State};

use crate::{Fleet, fleet::Due};

/// When the rounds are, counted from the news; each to [`FANOUT`] peers.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(400),
];
/// The least time between two rounds.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// How many peers are told in each round, and how many of them in other zones.
const FANOUT: Fanout = Fanout {
    local: 2,
    remote: 1,
};
/// Whom a stopping instance says goodbye to.
pub(crate) const GOODBYE_FANOUT: Fanout = Fanout {
    local: 4,
    remote: 2,
};
/// The most bytes of a change that a rumour carries whole.
const DELTA_MAX: usize = 640;

/// How many peers to tell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fanout {
    local: usize,
    remote: usize,
}

/// News that is being told.
#[derive(Debug)]
pub(crate) struct Push {
    round: usize,
    started: Instant,
    last: Option<Instant>,
    /// The last push of a revision.
    revision_round: Option<Instant>,
    token: Option<Token>,
    /// The last step of the mirror, where it is small.
    pub(crate) delta: Option<Delta>,
}

impl Push {
    /// Has nothing to tell yet.
    pub(crate) fn open() -> Self {
        Self {
            round: ROUNDS.len(),
            started: Instant::ZERO,
            last: None,
            revision_round: None,
            token: None,
            delta: None,
        }
    }

    /// When the next round is, if there is one.
    fn due(&self) -> Option<Instant> {
        let after = ROUNDS.get(self.round)?;
        Some(self.started + *after)
    }
}

impl Fleet {
    /// Tells news from now on.
    ///
    /// Rounds keep their distance however fast news comes in: when a zone heals
    /// hundreds of members are news within a second.
    pub(crate) fn start_push(&mut self, now: Instant) {
        let next = self
            .push
            .last
            .map_or(now, |last| (last + ROUND_INTERVAL_MIN).max(now));
        self.push_at(now, next);
    }

    /// Tells of a suspicion in one round, unless rounds are under way, which
    /// tell it as well. It may be wrong, and a lost zone brings many.
    pub(crate) fn push_once(&mut self, now: Instant) {
        let last = self
            .push
            .last
            .map_or(Instant::ZERO, |last| last + ROUND_INTERVAL_MIN);
        if self.push.due().is_some() || now < last {
            return;
        }
        self.push_round(now);
        self.push.round = ROUNDS.len();
    }

    /// Tells a new revision from now on. It waits for the last revision's
    /// rounds, and not for news of members: each zone that starts brings those
    /// for a second, and a change would come into force that much later.
    ///
    /// A round that is to come tells this one as well. Were it put off instead, a
    /// storm of changes would be told by heartbeats alone.
    pub(crate) fn push_revision(&mut self, now: Instant) {
        let next = match self.push.revision_round {
            Some(scheduled) if scheduled > now => scheduled,
            Some(last) => (last + ROUND_INTERVAL_MIN).max(now),
            None => now,
        };
        self.push.revision_round = Some(next);
        self.push_at(now, next);
    }

    fn push_at(&mut self, now: Instant, next: Instant) {
        self.push.round = 0;
        self.push.started = next;
        if next == now {
            self.push_round(now);
        }
        self.subscribe_push();
    }

    pub(crate) fn on_push_due(&mut self, now: Instant) {
        self.push.token = None;
        if self.push.due().is_some_and(|at| at <= now) {
            self.push_round(now);
        }
        self.subscribe_push();
    }

    fn subscribe_push(&mut self) {
        if let Some(token) = self.push.token.take() {
            self.timer.cancel(token);
        }
        if let Some(at) = self.push.due() {
            self.push.token = Some(self.timer.subscribe(at, Due::Push));
        }
    }

    /// Keeps a step of the mirror to tell it whole, if it is small.
    pub(crate) fn set_delta(&mut self, delta: Delta) {
        let len: usize = delta
            .changes
            .iter()
            .map(|change| change.key.len() + change.value.as_ref().map_or(0, |v| v.len()) + 12)
            .sum();
        self.push.delta = (len <= DELTA_MAX).then_some(delta);
    }

    fn push_round(&mut self, now: Instant) {
        self.push.round += 1;
        self.push.last = Some(now);
        let view = self.view();
        for to in self.push_targets(FANOUT) {
            let message = Message::Rumour {
                view,
                delta: self.push.delta.clone(),
                updates: self.gossip.next_updates(&self.table, None),
            };
            self.send(to, message);
        }
        // Later news of members need not carry it again.
        if self.push.round == ROUNDS.len() {
            self.push.delta = None;
        }
    }

    pub(crate) fn push_targets(&mut self, fanout: Fanout) -> Vec<SocketAddr> {
        let alive = |state| matches!(state, State::Alive | State::Leaving);
        let mut targets = Vec::new();
        for index in 0..fanout.local + fanout.remote {
            let chosen = if index < fanout.local {
                self.choose_local(alive)
                    .or_else(|| self.choose_remote(alive))
            } else {
                self.choose_remote(alive)
                    .or_else(|| self.choose_local(alive))
            };
            let Some(member) = chosen.and_then(|node| self.table.find(node)) else {
                continue;
            };
            if !targets.contains(&member.record.address) {
                targets.push(member.record.address);
            }
        }
        targets
    }
}
