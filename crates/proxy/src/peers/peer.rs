//! Another instance, and what this one is to it.

use std::{net::SocketAddr, time::Duration};

use admit::{
    holders::Candidate,
    relays::{FREQUENT_INTERVAL, Frequency},
};
use clock::Instant;

use super::{
    heartbeat::{Observation, ReplyRequest, StoreContact},
    membership::Roles,
};
use crate::node::ServiceState;

/// How late a beat may be.
pub(super) const HEARTBEAT_TOLERANCE: Duration = Duration::from_millis(100);

/// Another instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) heard: Option<Instant>,
    /// When its next beat is due behind the last one.
    pub(super) next: Duration,
    pub(super) listed: bool,
    pub(super) observations: Vec<Observation>,
    /// The version of its catalogue.
    pub(super) version: u64,
    pub(super) zone: String,
    pub(super) weight: u32,
    pub(super) service: ServiceState,
    /// The newest format that it reads.
    pub(super) format: u8,
    pub(super) store: StoreContact,
    /// Whether it asks the store for its zone.
    pub(super) is_relay: bool,
    /// The other zones of which it hears nobody.
    pub(super) unreachable_zones: Vec<String>,
    /// What the last look took it for.
    pub(super) roles: Roles,
    /// When it was told last that this instance lives.
    pub(super) sent_at: Instant,
    /// When it waits for the next beat behind that.
    pub(super) promised: Duration,
    /// Whether it was told once of a longer pause; that datagram may be lost.
    lengthened: bool,
}

impl Peer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            heard: None,
            next: FREQUENT_INTERVAL,
            listed: false,
            observations: Vec::new(),
            version: 0,
            zone: String::new(),
            weight: 0,
            service: ServiceState::Idle,
            format: 0,
            store: StoreContact::Unknown,
            is_relay: false,
            unreachable_zones: Vec::new(),
            roles: Roles::default(),
            sent_at: Instant::ZERO,
            promised: FREQUENT_INTERVAL,
            lengthened: false,
        }
    }

    /// Notes that it is told at `now` that the next beat comes behind `pause`.
    pub(super) fn record_sent(&mut self, now: Instant, pause: Duration) {
        self.sent_at = now;
        self.lengthened = pause > self.promised && !self.lengthened;
        if !self.lengthened {
            self.promised = pause;
        }
    }

    /// Whether fewer than `beats` of it are missing.
    pub(super) fn was_heard(&self, now: Instant, heartbeats: u32) -> bool {
        let span = self.next * heartbeats + HEARTBEAT_TOLERANCE;
        self.heard.is_some_and(|at| at + span > now)
    }

    /// Whether it is heard so often that its silence tells something at once.
    pub(super) fn is_prompt(&self) -> bool {
        self.next <= FREQUENT_INTERVAL
    }

    /// Whether it is asked for primaries, so that it can judge them.
    pub(super) fn serves(&self) -> bool {
        self.is_prompt() && self.service != ServiceState::Idle
    }
}

/// An instance that asks the store for its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) weight: u32,
    pub(super) able: bool,
}

impl Relay {
    /// It as one of several that may have a duty.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.name,
            zone: &self.zone,
            weight: self.weight,
            able: self.able,
        }
    }
}

/// A beat that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Outgoing {
    pub(super) address: SocketAddr,
    /// When the one behind it is due.
    pub(super) next: Duration,
    /// Whether it asks for an answer.
    pub(super) reply_request: ReplyRequest,
    /// Whom it introduces.
    pub(super) introduced: Vec<SocketAddr>,
}

impl Outgoing {
    /// A beat to somebody who is not known yet.
    pub(super) fn greeting(address: SocketAddr, reply_request: ReplyRequest) -> Self {
        Self {
            address,
            next: FREQUENT_INTERVAL,
            reply_request,
            introduced: Vec::new(),
        }
    }
}

/// Whom a beat that is sent at once concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Nobody: it is sent because its time has come.
    Scheduled,
    /// Those who wait for this instance's beats.
    Prompt,
    /// Everybody: the instance comes or goes.
    All,
}

/// What this instance is to others.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Role {
    /// Whether it serves sessions, or did a moment ago.
    pub(super) serves: bool,
    /// Whether it asks the store for its zone.
    pub(super) is_relay: bool,
}

impl Role {
    /// Whether `peer`, which handed sessions over or did not, waits for this instance's
    /// beats.
    pub(super) fn need(self, zone: &str, peer: &Peer, forwards: bool) -> Frequency {
        let is_near = peer.zone.is_empty() || peer.zone == zone;
        let judges = self.serves && (is_near || forwards || peer.serves());
        match judges || self.is_relay && (is_near || peer.is_relay) {
            true => Frequency::Frequent,
            false => Frequency::Infrequent,
        }
    }
}
