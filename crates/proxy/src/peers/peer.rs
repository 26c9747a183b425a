//! A peer, and what the peer needs from this instance.

use std::{net::SocketAddr, time::Duration};

use admit::{
    holders::Candidate,
    relays::{FREQUENT_INTERVAL, Frequency},
};
use clock::Instant;

use super::{
    heartbeat::{Observation, ReplyRequest, StoreContact, UpstreamLoad},
    loads::Reported,
    membership::Roles,
};
use crate::node::ServiceState;

/// Tolerated delay of a heartbeat.
pub(super) const HEARTBEAT_TOLERANCE: Duration = Duration::from_millis(100);

/// Another instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) heard: Option<Instant>,
    /// When this instance got to know the peer.
    pub(super) known_since: Instant,
    /// Time until the peer's next heartbeat, counted from the last one.
    pub(super) next: Duration,
    pub(super) listed: bool,
    /// Address in the store's list, if the peer was heard at another one when the entry was read.
    pub(super) listed_address: Option<SocketAddr>,
    pub(super) observations: Vec<Observation>,
    /// Version of the peer's catalogue.
    pub(super) version: u64,
    pub(super) zone: String,
    pub(super) weight: u32,
    pub(super) service: ServiceState,
    /// Newest format that the peer reads.
    pub(super) format: u8,
    pub(super) store: StoreContact,
    /// Whether the peer is a relay of its zone.
    pub(super) is_relay: bool,
    /// Other zones from which the peer hears no instance.
    pub(super) unreachable_zones: Vec<String>,
    /// The peer's load, if the peer reports it.
    pub(super) reported: Option<Reported>,
    /// Roles that the last refresh assigned to the peer.
    pub(super) roles: Roles,
    /// When a heartbeat was last sent to the peer.
    pub(super) sent_at: Instant,
    /// Time after `sent_at` at which the peer expects the next heartbeat.
    pub(super) promised: Duration,
    /// Whether a longer pause was announced once. That datagram may be lost, so the pause takes
    /// effect with the second one.
    lengthened: bool,
}

impl Peer {
    pub(super) fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            heard: None,
            known_since: now,
            next: FREQUENT_INTERVAL,
            listed: false,
            listed_address: None,
            observations: Vec::new(),
            version: 0,
            zone: String::new(),
            weight: 0,
            service: ServiceState::Idle,
            format: 0,
            store: StoreContact::Unknown,
            is_relay: false,
            unreachable_zones: Vec::new(),
            reported: None,
            roles: Roles::default(),
            sent_at: Instant::ZERO,
            promised: FREQUENT_INTERVAL,
            lengthened: false,
        }
    }

    /// Records that a heartbeat sent at `now` announced the next one after `pause`.
    pub(super) fn record_sent(&mut self, now: Instant, pause: Duration) {
        self.sent_at = now;
        self.lengthened = pause > self.promised && !self.lengthened;
        if !self.lengthened {
            self.promised = pause;
        }
    }

    /// Returns true if fewer than `heartbeats` heartbeats of the peer are missing.
    pub(super) fn was_heard(&self, now: Instant, heartbeats: u32) -> bool {
        let span = self.next * heartbeats + HEARTBEAT_TOLERANCE;
        self.heard.is_some_and(|at| at + span > now)
    }

    /// Returns true if the peer's heartbeats are frequent, so that a missing one is noticed
    /// soon.
    pub(super) fn is_frequent(&self) -> bool {
        self.next <= FREQUENT_INTERVAL
    }

    /// Returns true if the peer serves sessions, so that its verdicts on primaries count.
    pub(super) fn serves(&self) -> bool {
        self.is_frequent() && self.service != ServiceState::Idle
    }
}

/// A relay of some zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) weight: u32,
    pub(super) able: bool,
}

impl Relay {
    /// Returns the relay as a candidate for a duty.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.name,
            zone: &self.zone,
            weight: self.weight,
            able: self.able,
        }
    }
}

/// A heartbeat to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Outgoing {
    pub(super) address: SocketAddr,
    /// Time until the next heartbeat to the same peer.
    pub(super) next: Duration,
    /// The requested reply.
    pub(super) reply_request: ReplyRequest,
    /// Addresses of the instances that the heartbeat introduces.
    pub(super) introduced: Vec<SocketAddr>,
    /// The loads that the heartbeat reports, if load reports are in force; `None` in a greeting,
    /// whose recipient may not be known.
    pub(super) loads: Option<Vec<UpstreamLoad>>,
}

impl Outgoing {
    /// Creates a heartbeat to an instance that isn't known yet.
    pub(super) fn greeting(address: SocketAddr, reply_request: ReplyRequest) -> Self {
        Self {
            address,
            next: FREQUENT_INTERVAL,
            reply_request,
            introduced: Vec::new(),
            loads: None,
        }
    }
}

/// Urgency of the next round of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Only heartbeats that are due by schedule are sent.
    Scheduled,
    /// Peers that get frequent heartbeats get one at once.
    Frequent,
    /// All peers get a heartbeat at once, because this instance starts or stops.
    All,
}

/// Duties of this instance that its peers depend on.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Role {
    /// Whether this instance serves sessions or recently did.
    pub(super) serves: bool,
    /// Whether this instance is a relay of its zone.
    pub(super) is_relay: bool,
}

impl Role {
    /// Returns how often `peer` needs heartbeats of this instance. `forwards` tells whether
    /// `peer` forwards sessions to this instance.
    pub(super) fn frequency(self, zone: &str, peer: &Peer, forwards: bool) -> Frequency {
        let is_near = peer.zone.is_empty() || peer.zone == zone;
        let is_observed = self.serves && (is_near || forwards || peer.serves());
        match is_observed || self.is_relay && (is_near || peer.is_relay) {
            true => Frequency::Frequent,
            false => Frequency::Infrequent,
        }
    }
}
