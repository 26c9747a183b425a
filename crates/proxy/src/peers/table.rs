//! Which other instances there are, and what they said of themselves last.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use admit::relays::{self, FREQUENT_INTERVAL, Frequency};
use clock::{Boot, Instant};
use lead::{Tally, Verdict};
use model::Term;
use tokio::sync::Notify;

use super::{
    heartbeat::{FORMAT, Observation, ReplyRequest, StoreContact},
    membership::{FORGET_AFTER, Membership},
    peer::{HEARTBEAT_TOLERANCE, Outgoing, Peer, Role, Urgency},
};
use crate::{catalog_lag::Tracker, node::ServiceState, settings::Settings};

/// How many beats of an instance may be missing until what it said counts no more.
pub(super) const STALE_HEARTBEATS: u32 = 3;

/// How many beats of an instance may be missing until it is taken for lost by those who
/// hand their sessions to it: datagrams are lost now and then.
pub const LOST_HEARTBEATS: u32 = 2;

/// How long an instance that started asks its seeds again and again: they may start with
/// it, a moment later.
const STARTUP: Duration = Duration::from_secs(1);

/// How many instances of its zone one that starts is told of. It greets them, and asks the
/// store for the whole list only if it is to ask the store at all.
const MAX_INTRODUCED: usize = 8;

/// From which gap on between two looks at the time, which are a tenth of a second apart, a
/// process stood still.
const MIN_STALL: Duration = Duration::from_millis(300);

/// A session that was handed over; it counts until it is dropped.
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

/// Other instances.
#[derive(Debug)]
pub struct Peers {
    name: String,
    own: SocketAddr,
    began: Instant,
    pub(super) zone: String,
    /// When time was looked at last, and for how long this process stood still in all.
    stalls: Cell<(Instant, Duration)>,
    /// What this instance is to others, as it was looked at last.
    pub(super) role: Cell<Role>,
    seeds: Vec<SocketAddr>,
    pub(super) table: RefCell<HashMap<String, Peer>>,
    pub(super) membership: Membership,
    /// Instances that stop, and when they were heard last: no session is handed to them,
    /// but they finish those that they have.
    pub(super) leaving: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whom this instance greeted, and when.
    greeted: RefCell<HashMap<SocketAddr, Instant>>,
    /// From where sessions are handed to this instance, and how many.
    forwarded: RefCell<HashMap<IpAddr, usize>>,
    /// Told when beats should be sent at once.
    pub(super) wake: Notify,
    /// To whom besides those that wait.
    announce_to: RefCell<Vec<SocketAddr>>,
    /// To whom.
    pub(super) urgent: Cell<Urgency>,
    /// How long this instance has been behind others.
    pub(super) catalog_lag: Cell<Tracker>,
    /// Whether another instance is being asked for its catalogue.
    pub(super) fetching: Cell<bool>,
    /// How often another instance was asked for its catalogue.
    pub fetches: Cell<u64>,
}

impl Peers {
    /// Nobody is known but the seeds.
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

    /// The moment it is, the time left out for which this process stood still.
    ///
    /// Who stood still has heard nobody meanwhile. If that counted, it would take itself for a
    /// holder of everything when it goes on: where a machine was busy, all of its instances
    /// did, and sent to upstreams that take few connections all at once.
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

    /// Has a beat sent at once to those who wait for this instance's beats.
    pub fn announce(&self) {
        self.wake(Urgency::Prompt);
    }

    /// Has a beat sent at once to everybody.
    pub fn announce_to_all(&self) {
        self.wake(Urgency::All);
    }

    /// Has a beat sent at once to the instance at `address`.
    pub(crate) fn announce_to(&self, address: SocketAddr) {
        self.announce_to.borrow_mut().push(address);
        self.wake.notify_one();
    }

    fn wake(&self, urgent: Urgency) {
        self.urgent.set(self.urgent.get().max(urgent));
        self.wake.notify_one();
    }

    /// Takes in the store's list of instances.
    pub fn list(&self, listed: &HashMap<&str, SocketAddr>) {
        for (name, address) in listed {
            self.add(name, *address);
        }
        for (name, peer) in self.table.borrow_mut().iter_mut() {
            peer.listed = listed.contains_key(&**name);
        }
    }

    /// Takes in one entry of the store's list.
    ///
    /// The entry of a life before, at another address, is none: an instance that took it for
    /// another one would follow itself, and learn nothing.
    pub fn add(&self, name: &str, address: SocketAddr) {
        if address == self.own || name == self.name {
            return;
        }
        let mut table = self.table.borrow_mut();
        let new = || Peer::new(address);
        let peer = table.entry(name.to_owned()).or_insert_with(new);
        peer.address = address;
        peer.listed = true;
        self.membership.mark_stale();
    }

    /// Takes in that the store does not list an instance any more.
    pub fn unlist(&self, name: &str) {
        if let Some(peer) = self.table.borrow_mut().get_mut(name) {
            peer.listed = false;
        }
    }

    /// Other instances that were heard lately.
    pub(super) fn heard(&self) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = |p: &&Peer| p.was_heard(now, STALE_HEARTBEATS);
        table.values().filter(heard).map(|p| p.address).collect()
    }

    /// Instances that hear the store as far as they say, and read questions for proofs.
    pub fn with_store_contact(&self) -> Vec<SocketAddr> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let hears = |p: &&Peer| {
            p.was_heard(now, LOST_HEARTBEATS)
                && p.store == StoreContact::Reachable
                && p.format >= FORMAT
        };
        table.values().filter(hears).map(|p| p.address).collect()
    }

    /// Where to send a beat now, and when the one behind it is due there: to those whose
    /// time has come, and to all whom `urgent` concerns.
    pub(super) fn due(&self, urgent: Urgency) -> Vec<Outgoing> {
        let now = Boot.now();
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
        for peer in table.values_mut() {
            let forwards = forwarded.contains_key(&peer.address.ip());
            let need = self.role.get().need(&self.zone, peer, forwards);
            let pause = relays::interval(need, others);
            let wait = pause
                .min(peer.promised)
                .saturating_sub(HEARTBEAT_TOLERANCE / 2);
            let is_due = peer.sent_at + wait <= now;
            let is_urgent = match urgent {
                Urgency::All => true,
                Urgency::Prompt => need == Frequency::Frequent,
                Urgency::Scheduled => false,
            };
            if is_due || is_urgent {
                peer.record_sent(now, pause);
                due.push(Outgoing {
                    address: peer.address,
                    next: pause,
                    reply_request: match peer.heard {
                        Some(_) => ReplyRequest::None,
                        None => ReplyRequest::Answer,
                    },
                    introduced: Vec::new(),
                });
            }
        }
        due
    }

    /// Whether nobody of the own zone was heard yet, and the process is young: it asks its
    /// seeds again and again.
    pub(super) fn is_new(&self) -> bool {
        let table = self.table.borrow();
        let near = |p: &Peer| p.zone == self.zone && p.heard.is_some();
        self.began + STARTUP > Boot.now() && !table.values().any(near) || table.is_empty()
    }

    /// Some instances of `zone` that were heard and some relays, all but the one at `but`.
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

    /// Whom of those at `addresses` to greet: who is not known yet.
    ///
    /// Each of them once in a second, whoever introduces it: it would else be greeted again
    /// for each one more that names it until it answers, and answer each time.
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

    /// The answer to a beat of `name` that asks for one by `greeting`.
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
        let need = self.role.get().need(&self.zone, peer, forwards);
        let next = relays::interval(need, others);
        peer.record_sent(Boot.now(), next);
        Some(Outgoing {
            address: peer.address,
            next,
            reply_request: ReplyRequest::None,
            introduced,
        })
    }

    /// Counts a session that was handed over from `guest`, until what is returned is
    /// dropped.
    pub(super) fn count_forwarded(&self, from: IpAddr) -> ForwardedSession<'_> {
        *self.forwarded.borrow_mut().entry(from).or_default() += 1;
        ForwardedSession { peers: self, from }
    }

    /// The weight of the instance with this name, zero if it is not known.
    pub(crate) fn weight(&self, name: &str) -> u32 {
        self.table.borrow().get(name).map_or(0, |peer| peer.weight)
    }

    /// Where the instance with this name is reached.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.table.borrow().get(name)?.address)
    }

    /// Whether the instance with this name is in the own zone.
    pub(crate) fn is_near(&self, name: &str) -> bool {
        let table = self.table.borrow();
        table.get(name).is_some_and(|peer| peer.zone == self.zone)
    }

    /// The newest version of the catalogue that somebody who is heard has.
    pub(crate) fn newest_catalog(&self) -> u64 {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = table
            .values()
            .filter(|p| p.was_heard(now, STALE_HEARTBEATS));
        heard.map(|p| p.version).max().unwrap_or(0)
    }

    /// Whether somebody who is heard has a catalogue.
    pub(crate) fn is_catalog_known(&self) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let mut heard = table.values().filter(|p| p.was_heard(now, LOST_HEARTBEATS));
        heard.any(|p| p.version > 0)
    }

    /// The newest format that the instance at `address` reads.
    pub(super) fn format(&self, address: SocketAddr) -> u8 {
        let table = self.table.borrow();
        let peer = table.values().find(|peer| peer.address == address);
        peer.map_or(0, |peer| peer.format)
    }

    /// Takes in that the instance at `address` could not be reached: it is chosen no more
    /// until it is heard again.
    pub fn mark_unreachable(&self, address: SocketAddr) {
        let mut table = self.table.borrow_mut();
        for peer in table.values_mut().filter(|peer| peer.address == address) {
            if !peer.is_prompt() {
                peer.heard = None;
            }
        }
        self.membership.mark_stale();
    }

    /// Takes in that the instance `name` is gone.
    pub(super) fn remove(&self, name: &str) {
        if let Some(peer) = self.table.borrow_mut().remove(name) {
            self.membership.remove(name, &peer);
        }
    }

    /// How many instances judge primaries, this one included, as far as is known.
    pub fn judges(&self) -> usize {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let known = |p: &&Peer| p.listed || p.heard.is_some_and(|at| at + FORGET_AFTER > now);
        let judges = table.values().filter(|p| p.serves());
        judges.filter(known).count() + 1
    }

    /// What those who were heard lately say of the primary of `service` in `term`,
    /// the `own` verdict included, and the names of those who see it fail.
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

    /// Whether others may serve callers while this instance can't: some were heard that
    /// can, or no other zone can be reached any more.
    pub fn may_others_serve(&self) -> bool {
        self.has_serving_peer() || self.is_isolated()
    }

    /// Takes in that the instance at `address` says that it stops.
    pub(super) fn mark_leaving(&self, address: SocketAddr, now: Instant) {
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|_, at| *at + FORGET_AFTER > now);
        leaving.insert(address, now);
    }

    /// Whether fewer than `beats` of the instance at `address` are missing.
    pub fn was_heard(&self, address: SocketAddr, heartbeats: u32) -> bool {
        let now = Boot.now();
        let leaving = self.leaving.borrow().get(&address).copied();
        if leaving.is_some_and(|at| at + FREQUENT_INTERVAL * heartbeats + HEARTBEAT_TOLERANCE > now)
        {
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

    /// Whether somebody is heard who serves.
    pub(super) fn has_serving_peer(&self) -> bool {
        self.has_peer_reporting(ServiceState::Able)
    }

    /// Whether somebody who is heard promptly says so of itself.
    fn has_peer_reporting(&self, service: ServiceState) -> bool {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let mut heard = table
            .values()
            .filter(|p| p.was_heard(now, STALE_HEARTBEATS));
        heard.any(|p| p.is_prompt() && p.service == service)
    }

    /// Whether an instance that hands its sessions over has nobody left who serves them:
    /// its zone is cut off, and nobody in it can serve.
    pub fn is_unserved(&self) -> bool {
        self.is_isolated() && !self.has_serving_peer()
    }
}
