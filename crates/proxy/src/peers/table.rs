//! The known peers and their last heartbeats.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use admit::relays::{self, FREQUENT_INTERVAL, Frequency};
use clock::{Boot, Instant};
use lead::{Tally, Verdict, quorum::Connectivity};
use model::Term;
use tokio::sync::Notify;

use super::{
    heartbeat::{Observation, RELAY_FORMAT, ReplyRequest, StoreContact},
    loads::Loads,
    membership::{FORGET_AFTER, Membership},
    peer::{HEARTBEAT_TOLERANCE, Outgoing, Peer, Role, Urgency},
};
use crate::{catalog_lag::Tracker, node::ServiceState, settings::Settings};

/// Number of missing heartbeats after which an instance's state is no longer used.
pub(super) const STALE_HEARTBEATS: u32 = 3;

/// Number of missing heartbeats after which an instance is considered lost by those that
/// forward sessions to it. One is tolerated, since datagrams get lost.
pub const LOST_HEARTBEATS: u32 = 2;

/// Time after its start for which an instance keeps contacting its seeds, which may start
/// slightly later.
const STARTUP: Duration = Duration::from_secs(1);

/// Number of instances of its zone that an instance is introduced to when it starts. It greets
/// them, and reads the whole list from the store only if it is a relay.
const MAX_INTRODUCED: usize = 8;

/// Minimum gap between two readings of the clock that counts as a stall of the process. The
/// clock is read every 100 ms.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Counts a forwarded session until dropped.
#[derive(Debug)]
pub(super) struct ForwardedSession<'a> {
    peers: &'a Peers,
    from: IpAddr,
}

impl Drop for ForwardedSession<'_> {
    fn drop(&mut self) {
        let mut forwarded = self.peers.forwarded.borrow_mut();
        let Some(count) = forwarded.get_mut(&self.from) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            forwarded.remove(&self.from);
        }
    }
}

/// Which of the known instances are heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All of them.
    All,
    /// At least one is silent: it has ended or lost contact.
    Partial,
}

/// The peers of this instance.
#[derive(Debug)]
pub struct Peers {
    name: String,
    own: SocketAddr,
    began: Instant,
    pub(super) zone: String,
    /// Last reading of the clock, and total duration of stalls.
    stalls: Cell<(Instant, Duration)>,
    /// Duties of this instance, as of the last round of heartbeats.
    pub(super) role: Cell<Role>,
    seeds: Vec<SocketAddr>,
    pub(super) table: RefCell<HashMap<String, Peer>>,
    pub(super) membership: Membership,
    /// This instance's loads.
    pub(super) loads: Loads,
    /// Stopping instances, and when each was last heard. No session is forwarded to them, but
    /// they finish the sessions that they have.
    pub(super) leaving: RefCell<HashMap<SocketAddr, Instant>>,
    /// Addresses that this instance has greeted, and when.
    greeted: RefCell<HashMap<SocketAddr, Instant>>,
    /// Addresses that forward sessions to this instance, and the number of sessions.
    forwarded: RefCell<HashMap<IpAddr, usize>>,
    /// Notified when heartbeats are to be sent at once.
    pub(super) wake: Notify,
    /// Addresses that get a heartbeat at once besides the peers that `urgent` selects.
    announce_to: RefCell<Vec<SocketAddr>>,
    /// Peers that get a heartbeat at once.
    pub(super) urgent: Cell<Urgency>,
    /// Tracks whether this instance's catalogue is behind.
    pub(super) catalog_lag: Cell<Tracker>,
    /// Whether a catalogue is being fetched from a peer.
    pub(super) fetching: Cell<bool>,
    /// Number of times that a catalogue was fetched from a peer.
    pub fetches: Cell<u64>,
}

impl Peers {
    /// Creates the table, with only the seeds known.
    pub fn new(settings: &Settings) -> Self {
        Self {
            name: settings.name.clone(),
            own: settings.peers,
            began: Boot.now(),
            zone: settings.zone.clone(),
            stalls: Cell::new((Boot.now(), Duration::ZERO)),
            role: Cell::default(),
            seeds: settings.seeds.clone(),
            table: RefCell::default(),
            membership: Membership::default(),
            loads: Loads::default(),
            leaving: RefCell::default(),
            greeted: RefCell::default(),
            forwarded: RefCell::default(),
            wake: Notify::new(),
            announce_to: RefCell::default(),
            urgent: Cell::new(Urgency::Scheduled),
            catalog_lag: Cell::default(),
            fetching: Cell::default(),
            fetches: Cell::default(),
        }
    }

    /// The current time less all stalls of this process.
    ///
    /// A stalled process receives no heartbeats. If stalls counted as silence, the process
    /// would afterwards take itself for the holder of everything: on a busy machine all
    /// instances did, and together overran upstreams that take few connections.
    pub(crate) fn unstalled_now(&self) -> Instant {
        let now = Boot.now();
        let (last, stalled) = self.stalls.get();
        let gap = now.since(last);
        let stalled = match gap > MIN_STALL {
            true => stalled + gap,
            false => stalled,
        };
        self.stalls.set((now, stalled));
        now - stalled
    }

    /// Sends a heartbeat at once to the peers that get frequent ones.
    pub fn announce(&self) {
        self.wake(Urgency::Frequent);
    }

    /// Sends a heartbeat at once to all peers.
    pub fn announce_to_all(&self) {
        self.wake(Urgency::All);
    }

    /// Sends a heartbeat at once to the instance at `address`.
    pub(crate) fn announce_to(&self, address: SocketAddr) {
        self.announce_to.borrow_mut().push(address);
        self.wake.notify_one();
    }

    fn wake(&self, urgent: Urgency) {
        self.urgent.set(self.urgent.get().max(urgent));
        self.wake.notify_one();
    }

    /// Applies the store's list of instances.
    pub fn list(&self, listed: &HashMap<&str, SocketAddr>) {
        for (name, address) in listed {
            self.add(name, *address);
        }
        for (name, peer) in self.table.borrow_mut().iter_mut() {
            peer.listed = listed.contains_key(&**name);
        }
    }

    /// Applies one entry of the store's list.
    ///
    /// An entry of this instance itself from an earlier run, at another address, is ignored:
    /// otherwise the instance would follow itself and learn nothing.
    ///
    /// The address of an instance that is heard is kept. The list may be older than its heartbeats,
    /// and sessions that are forwarded to it would end if its address were no longer known.
    pub fn add(&self, name: &str, address: SocketAddr) {
        if address == self.own || name == self.name {
            return;
        }
        let now = self.unstalled_now();
        let mut table = self.table.borrow_mut();
        let new = || Peer::new(address, now);
        let peer = table.entry(name.to_owned()).or_insert_with(new);
        let is_heard = peer.was_heard(now, LOST_HEARTBEATS);
        if !is_heard {
            peer.address = address;
        }
        peer.listed_address = (peer.address != address).then_some(address);
        peer.listed = true;
        self.membership.mark_stale();
    }

    /// Records that the store no longer lists an instance.
    pub fn unlist(&self, name: &str) {
        if let Some(peer) = self.table.borrow_mut().get_mut(name) {
            peer.listed = false;
        }
    }

    /// Returns true if the instance with this name was recently heard, or is this one.
    pub(crate) fn is_heard(&self, name: &str) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let peer = table.get(name);
        name == self.name || peer.is_some_and(|peer| peer.was_heard(now, STALE_HEARTBEATS))
    }

    /// Returns true if the instance with this name has been silent for long, or isn't known.
    pub(crate) fn is_long_silent(&self, name: &str) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let sign = |p: &Peer| p.heard.unwrap_or(p.known_since);
        table
            .get(name)
            .is_none_or(|peer| sign(peer) + FORGET_AFTER <= now)
    }

    /// Addresses of the instances that were recently heard.
    pub(super) fn heard(&self) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = |p: &&Peer| p.was_heard(now, STALE_HEARTBEATS);
        table.values().filter(heard).map(|p| p.address).collect()
    }

    /// Addresses of the instances that were recently heard and read `format`.
    pub(crate) fn heard_with_format(&self, format: u8) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let able = |p: &&Peer| p.was_heard(now, STALE_HEARTBEATS) && p.format >= format;
        table.values().filter(able).map(|p| p.address).collect()
    }

    /// Addresses of the instances that report contact with the store and answer proof requests.
    pub fn with_store_contact(&self) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let reaches_store = |p: &&Peer| {
            p.was_heard(now, LOST_HEARTBEATS)
                && p.store == StoreContact::Reachable
                && p.format >= RELAY_FORMAT
        };
        table
            .values()
            .filter(reaches_store)
            .map(|p| p.address)
            .collect()
    }

    /// Heartbeats to send now: those that are due by schedule, and those that `urgent` selects.
    pub(super) fn due(&self, urgent: Urgency) -> Vec<Outgoing> {
        let now = Boot.now();
        let now_unstalled = self.unstalled_now();
        let mut due = Vec::new();
        if self.is_new() {
            let seeds = self.seeds.iter().filter(|seed| **seed != self.own);
            due.extend(seeds.map(|seed| Outgoing::greeting(*seed, ReplyRequest::Introduce)));
        }
        let announced = self.announce_to.take().into_iter();
        due.extend(announced.map(|address| Outgoing::greeting(address, ReplyRequest::None)));
        let mut table = self.table.borrow_mut();
        let others = table.len();
        let forwarded = self.forwarded.borrow();
        for (name, peer) in table.iter_mut() {
            let forwards = forwarded.contains_key(&peer.address.ip());
            let frequency = self.role.get().frequency(&self.zone, peer, forwards);
            let pause = relays::interval(frequency, others);
            let wait = pause
                .min(peer.promised)
                .saturating_sub(HEARTBEAT_TOLERANCE / 2);
            let is_due = peer.sent_at + wait <= now;
            let is_urgent = match urgent {
                Urgency::All => true,
                Urgency::Frequent => frequency == Frequency::Frequent,
                Urgency::Scheduled => false,
            };
            if is_due || is_urgent {
                peer.record_sent(now, pause);
                let is_heard = peer.was_heard(now_unstalled, LOST_HEARTBEATS);
                if let Some(listed) = peer.listed_address.filter(|_| !is_heard) {
                    due.push(Outgoing::greeting(listed, ReplyRequest::Answer));
                }
                due.push(Outgoing {
                    address: peer.address,
                    next: pause,
                    reply_request: match peer.heard {
                        Some(_) => ReplyRequest::None,
                        None => ReplyRequest::Answer,
                    },
                    introduced: Vec::new(),
                    loads: Some(self.loads.told_to(name, forwards)),
                });
            }
        }
        due
    }

    /// Returns true if no peer of this zone has been heard yet and the process has just
    /// started, or no peer is known at all. The instance then keeps contacting its seeds.
    pub(super) fn is_new(&self) -> bool {
        let table = self.table.borrow();
        let near = |p: &Peer| p.zone == self.zone && p.heard.is_some();
        self.began + STARTUP > Boot.now() && !table.values().any(near) || table.is_empty()
    }

    /// Addresses of some instances of `zone` and of some relays that are heard, without
    /// `except`.
    fn near(&self, zone: &str, except: SocketAddr) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = |p: &&Peer| p.was_heard(now, LOST_HEARTBEATS) && p.address != except;
        let near = table.values().filter(heard).filter(|p| p.zone == zone);
        let far = table.values().filter(heard).filter(|p| p.zone != zone);
        let relays = far.filter(|p| p.is_relay);
        let introduced = near.take(MAX_INTRODUCED).chain(relays.take(MAX_INTRODUCED));
        introduced.map(|p| p.address).collect()
    }

    /// Returns the addresses to greet: those that aren't known yet.
    ///
    /// Each address is returned at most once per second, however many peers introduce it.
    /// Otherwise an instance would be greeted again for every further introduction before its
    /// answer arrives, and would answer every time.
    pub fn greet(&self, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = Boot.now();
        let table = self.table.borrow();
        let mut greeted = self.greeted.borrow_mut();
        greeted.retain(|_, at| *at + STARTUP > now);
        let mut new = addresses;
        new.retain(|address| {
            let heard = |p: &Peer| p.heard.is_some() && p.address == *address;
            let is_known = *address == self.own || table.values().any(heard);
            !is_known && greeted.insert(*address, now).is_none()
        });
        new
    }

    /// Creates the reply to a heartbeat of `name` with this `reply_request`.
    pub(super) fn reply(&self, name: &str, reply_request: ReplyRequest) -> Option<Outgoing> {
        let (zone, address) = {
            let table = self.table.borrow();
            let peer = table.get(name)?;
            (peer.zone.clone(), peer.address)
        };
        let introduced = match reply_request {
            ReplyRequest::Introduce => self.near(&zone, address),
            ReplyRequest::None | ReplyRequest::Answer => Vec::new(),
        };
        let mut table = self.table.borrow_mut();
        let others = table.len();
        let peer = table.get_mut(name)?;
        let forwards = self.forwarded.borrow().contains_key(&peer.address.ip());
        let frequency = self.role.get().frequency(&self.zone, peer, forwards);
        let next = relays::interval(frequency, others);
        peer.record_sent(Boot.now(), next);
        Some(Outgoing {
            address: peer.address,
            next,
            reply_request: ReplyRequest::None,
            introduced,
            loads: Some(self.loads.told_to(name, forwards)),
        })
    }

    /// Counts a session forwarded from `from` until the returned guard is dropped.
    pub(super) fn count_forwarded(&self, from: IpAddr) -> ForwardedSession<'_> {
        *self.forwarded.borrow_mut().entry(from).or_default() += 1;
        ForwardedSession { peers: self, from }
    }

    /// Weight of the instance with this name; zero if it isn't known.
    pub(crate) fn weight(&self, name: &str) -> u32 {
        self.table.borrow().get(name).map_or(0, |peer| peer.weight)
    }

    /// Returns true if a peer that was heard has another weight than `own`, this instance's.
    pub(crate) fn is_uneven(&self, own: u32) -> bool {
        let table = self.table.borrow();
        let mut heard = table.values().filter(|peer| peer.heard.is_some());
        heard.any(|peer| peer.weight != own)
    }

    /// Address of the instance with this name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.table.borrow().get(name)?.address)
    }

    /// Returns true if the instance with this name is in this zone.
    pub(crate) fn is_near(&self, name: &str) -> bool {
        let table = self.table.borrow();
        table.get(name).is_some_and(|peer| peer.zone == self.zone)
    }

    /// Newest version of the catalogue among the peers that are heard.
    pub(crate) fn newest_catalog(&self) -> u64 {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = table
            .values()
            .filter(|p| p.was_heard(now, STALE_HEARTBEATS));
        heard.map(|p| p.version).max().unwrap_or(0)
    }

    /// Returns true if a peer that is heard has a catalogue.
    pub(crate) fn is_catalog_known(&self) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let mut heard = table.values().filter(|p| p.was_heard(now, LOST_HEARTBEATS));
        heard.any(|p| p.version > 0)
    }

    /// Version of the catalogue of the instance at `address`, if the instance is heard.
    pub(crate) fn catalog_version(&self, address: SocketAddr) -> u64 {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let mut peers = table.values();
        let peer = peers.find(|p| p.address == address && p.was_heard(now, STALE_HEARTBEATS));
        peer.map_or(0, |peer| peer.version)
    }

    /// Newest format that the instance at `address` reads.
    pub(crate) fn format(&self, address: SocketAddr) -> u8 {
        let table = self.table.borrow();
        let peer = table.values().find(|peer| peer.address == address);
        peer.map_or(0, |peer| peer.format)
    }

    /// Records that the instance at `address` can't be reached. If its heartbeats are
    /// infrequent, it isn't chosen again until it is heard.
    pub fn mark_unreachable(&self, address: SocketAddr) {
        let mut table = self.table.borrow_mut();
        for peer in table.values_mut().filter(|peer| peer.address == address) {
            if !peer.is_frequent() {
                peer.heard = None;
            }
        }
        self.membership.mark_stale();
    }

    /// Removes the instance `name`, which has left.
    pub(super) fn remove(&self, name: &str) {
        if let Some(peer) = self.table.borrow_mut().remove(name) {
            self.membership.remove(name, &peer);
        }
    }

    /// Number of known instances whose verdicts on primaries count, this one included.
    pub fn judges(&self) -> usize {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let known = |p: &&Peer| p.listed || p.heard.is_some_and(|at| at + FORGET_AFTER > now);
        let judges = table.values().filter(|p| p.serves());
        judges.filter(known).count() + 1
    }

    /// Returns whether this instance hears most of the instances that it knows.
    pub fn connectivity(&self) -> Connectivity {
        let (heard, known) = self.heard_and_known();
        Connectivity::new(heard, known)
    }

    /// Returns which of the instances that it knows this instance hears.
    pub fn audience(&self) -> Audience {
        let (heard, known) = self.heard_and_known();
        match heard == known {
            true => Audience::All,
            false => Audience::Partial,
        }
    }

    /// Numbers of the other instances that are heard, and of those that are known.
    fn heard_and_known(&self) -> (usize, usize) {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let known = |p: &&Peer| p.listed || p.heard.is_some_and(|at| at + FORGET_AFTER > now);
        let heard = |p: &&Peer| p.was_heard(now, LOST_HEARTBEATS);
        let known = table.values().filter(known);
        let heard = known.clone().filter(heard).count();
        (heard, known.count())
    }

    /// The verdicts of the recently heard instances on the primary of `service` in `term`,
    /// `own` included, and the names of the instances that see the primary fail.
    pub fn tally(&self, service: &str, term: Term, own: Verdict) -> (Tally, Vec<String>) {
        let now = self.unstalled_now();
        let mut tally = Tally::default();
        tally.add(own);
        let mut failing = Vec::new();
        for (name, peer) in self.table.borrow().iter() {
            if !peer.was_heard(now, STALE_HEARTBEATS) || !peer.serves() {
                continue;
            }
            let same = |b: &&Observation| b.service == service && b.term == term;
            let observation = peer.observations.iter().find(same);
            let verdict = observation.map_or(Verdict::Unknown, |b| b.verdict);
            if verdict == Verdict::Failing {
                failing.push(name.clone());
            }
            tally.add(verdict);
        }
        (tally, failing)
    }

    /// Returns true if other instances may be able to serve callers: one is heard that can, or
    /// no other zone can be reached.
    pub fn may_others_serve(&self) -> bool {
        self.has_serving_peer() || self.is_isolated()
    }

    /// Records that the instance at `address` is stopping.
    pub(super) fn mark_leaving(&self, address: SocketAddr, now: Instant) {
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|_, at| *at + FORGET_AFTER > now);
        leaving.insert(address, now);
    }

    /// Addresses of the stopping instances that were recently heard.
    pub(crate) fn stopping(&self) -> Vec<SocketAddr> {
        let now = Boot.now();
        let leaving = self.leaving.borrow();
        let heard = leaving
            .iter()
            .filter(|(_, at)| is_recent(**at, STALE_HEARTBEATS, now));
        heard.map(|(address, _)| *address).collect()
    }

    /// Returns true if fewer than `heartbeats` heartbeats of the instance at `address` are
    /// missing.
    pub fn was_heard(&self, address: SocketAddr, heartbeats: u32) -> bool {
        let now = Boot.now();
        let leaving = self.leaving.borrow().get(&address).copied();
        if leaving.is_some_and(|at| is_recent(at, heartbeats, now)) {
            return true;
        }
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let same = |p: &&Peer| p.address == address;
        table
            .values()
            .filter(same)
            .any(|p| p.was_heard(now, heartbeats))
    }

    /// Returns true if an instance that is heard can serve.
    pub(super) fn has_serving_peer(&self) -> bool {
        self.has_peer_reporting(ServiceState::Able)
    }

    /// Returns true if a peer with frequent heartbeats reports this ability to serve.
    fn has_peer_reporting(&self, service: ServiceState) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let mut heard = table
            .values()
            .filter(|p| p.was_heard(now, STALE_HEARTBEATS));
        heard.any(|p| p.is_frequent() && p.service == service)
    }

    /// Returns true if an instance that forwards its sessions has no instance left to serve
    /// them: its zone is cut off, and no instance in the zone can serve.
    pub fn is_unserved(&self) -> bool {
        self.is_isolated() && !self.has_serving_peer()
    }
}

/// Returns true if fewer than `heartbeats` frequent heartbeats are missing since `at`.
fn is_recent(at: Instant, heartbeats: u32, now: Instant) -> bool {
    at + FREQUENT_INTERVAL * heartbeats + HEARTBEAT_TOLERANCE > now
}
