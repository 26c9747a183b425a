//! Immediate spread of news, without waiting for the next heartbeat.
//!
//! An instance that receives news sends it to a few peers in each of a few
//! rounds. The news reaches nearly all instances in a time that grows with the
//! logarithm of their number; heartbeats reach the rest.

use std::{net::SocketAddr, time::Duration};

use clock::{Instant, Token};
use wire::{Delta, Message, State};

use crate::{Fleet, fleet::Due};

/// Times of the rounds after the news arrived; each round goes to [`FANOUT`]
/// peers.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(400),
];
/// Minimum interval between two rounds.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Number of peers that receive each round.
const FANOUT: Fanout = Fanout {
    local: 2,
    remote: 1,
};
/// Number of peers to which a stopping instance announces its stop.
pub(crate) const GOODBYE_FANOUT: Fanout = Fanout {
    local: 4,
    remote: 2,
};
/// Maximum bytes of a delta in a rumour.
const DELTA_MAX: usize = 640;

/// Number of peers in the own zone and in other zones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fanout {
    local: usize,
    remote: usize,
}

/// News that is being sent.
#[derive(Debug)]
pub(crate) struct Push {
    round: usize,
    started: Instant,
    last: Option<Instant>,
    /// Time of the latest push of a revision, which may be in the future.
    revision_round: Option<Instant>,
    token: Option<Token>,
    /// Last delta of the mirror, if it is small.
    pub(crate) delta: Option<Delta>,
}

impl Push {
    /// Creates a state without news.
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

    /// Time of the next round, if there is one.
    fn due(&self) -> Option<Instant> {
        let after = ROUNDS.get(self.round)?;
        Some(self.started + *after)
    }
}

impl Fleet {
    /// Starts the rounds for news about members.
    ///
    /// Rounds keep their minimum interval however fast news arrives: when a
    /// zone becomes reachable again, hundreds of members change within a
    /// second.
    pub(crate) fn start_push(&mut self, now: Instant) {
        let next = self
            .push
            .last
            .map_or(now, |last| (last + ROUND_INTERVAL_MIN).max(now));
        self.push_at(now, next);
    }

    /// Sends a suspicion in one round, unless rounds are in progress, which
    /// carry the suspicion as well. A suspicion may be wrong, and the loss of a
    /// zone causes many.
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

    /// Starts the rounds for a new revision. These rounds keep the minimum
    /// interval to the last revision's rounds, but not to rounds for news about
    /// members: a zone that starts causes such news for a second, which would
    /// delay a change of the catalogue by as much.
    ///
    /// A round that is scheduled already carries the new revision as well. If
    /// changes postponed that round instead, a burst of changes would spread by
    /// heartbeats alone.
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

    /// Stores a delta of the mirror for the next rounds, if it is small.
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
        // Later rounds for news about members need not carry the delta again.
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
