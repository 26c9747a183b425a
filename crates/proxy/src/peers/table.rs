//! Which other instances there are, and what they said of themselves last.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::Duration,
};

use admit::holders::{self, Candidate};
use clock::{Boot, Instant};
use lead::{Tally, Verdict};
use model::Term;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{edge::Item, news::News, node::Service, settings::Settings};

/// How long a beat counts.
const HEARD: Duration = Duration::from_millis(1_000);

/// How long an instance may be silent until it is taken for lost by those who hand their
/// sessions to it: two beats are missing, and datagrams are lost now and then.
pub const LOST: Duration = Duration::from_millis(700);

/// How long nobody of another zone may be heard until this zone counts as cut off.
const ALONE: Duration = Duration::from_millis(500);

/// How long an instance that is not heard stays known if the store does not list it.
const FORGET: Duration = Duration::from_secs(10);

/// What an instance says of a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Belief {
    pub(super) service: String,
    pub(super) term: Term,
    pub(super) verdict: Verdict,
}

/// Another instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) heard: Option<Instant>,
    pub(super) listed: bool,
    pub(super) beliefs: Vec<Belief>,
    pub(super) zone: String,
    pub(super) weight: u32,
    pub(super) service: Service,
}

impl Peer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            heard: None,
            listed: false,
            beliefs: Vec::new(),
            zone: String::new(),
            weight: 0,
            service: Service::Idle,
        }
    }
}

impl Peer {
    /// Whether it was heard within `span`.
    pub(super) fn was_heard(&self, now: Instant, span: Duration) -> bool {
        self.heard.is_some_and(|at| at + span > now)
    }
}

/// Other instances.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    pub(super) table: RefCell<HashMap<String, Peer>>,
    /// Instances that stop, and when they were heard last: no session is handed to them,
    /// but they finish those that they have.
    leaving: RefCell<HashMap<SocketAddr, Instant>>,
    /// Told when a beat should be sent at once.
    pub urgent: Notify,
    /// The catalogue as the store holds it, to be passed on.
    pub catalog: RefCell<Option<Item>>,
    /// How long this instance has been behind others.
    pub(super) news: Cell<News>,
    /// How often another instance was asked for its catalogue.
    pub fetches: Cell<u64>,
}

impl Peers {
    /// Nobody is known but the seeds.
    pub fn new(settings: &Settings) -> Self {
        Self {
            own: settings.peers,
            seeds: settings.seeds.clone(),
            table: RefCell::default(),
            leaving: RefCell::default(),
            urgent: Notify::new(),
            catalog: RefCell::default(),
            news: Cell::default(),
            fetches: Cell::default(),
        }
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
    pub fn add(&self, name: &str, address: SocketAddr) {
        if address == self.own {
            return;
        }
        let mut table = self.table.borrow_mut();
        let new = || Peer::new(address);
        let peer = table.entry(name.to_owned()).or_insert_with(new);
        peer.address = address;
        peer.listed = true;
    }

    /// Takes in that the store does not list an instance any more.
    pub fn unlist(&self, name: &str) {
        if let Some(peer) = self.table.borrow_mut().get_mut(name) {
            peer.listed = false;
        }
    }

    /// How many instances there are as far as is known, this one included.
    pub fn count(&self) -> usize {
        let now = Boot.now();
        let mut table = self.table.borrow_mut();
        table.retain(|_, p| p.listed || p.heard.is_some_and(|at| at + FORGET > now));
        table.len() + 1
    }

    /// Other instances that were heard lately.
    pub(super) fn heard(&self) -> Vec<SocketAddr> {
        let now = Boot.now();
        let table = self.table.borrow();
        let heard = |p: &&Peer| p.heard.is_some_and(|at| at + HEARD > now);
        table.values().filter(heard).map(|p| p.address).collect()
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.table.borrow().values().map(|p| p.address).collect();
        if all.is_empty() {
            all.clone_from(&self.seeds);
        }
        all.retain(|address| *address != self.own);
        all
    }

    /// What those who were heard lately say of the primary of `service` in `term`,
    /// the `own` verdict included, and the names of those who see it fail.
    pub fn tally(&self, service: &str, term: Term, own: Verdict) -> (Tally, Vec<String>) {
        let now = Boot.now();
        let mut tally = Tally::default();
        tally.add(own);
        let mut failing = Vec::new();
        for (name, peer) in self.table.borrow().iter() {
            if peer.heard.is_none_or(|at| at + HEARD <= now) {
                continue;
            }
            let same = |b: &&Belief| b.service == service && b.term == term;
            let belief = peer.beliefs.iter().find(same);
            let verdict = belief.map_or(Verdict::Unknown, |b| b.verdict);
            if verdict == Verdict::Failing {
                failing.push(name.clone());
            }
            tally.add(verdict);
        }
        (tally, failing)
    }

    /// Whether others may serve callers while this instance, in `zone`, can't: some
    /// were heard that can, or nobody in another zone is heard any more.
    pub fn may_serve(&self, zone: &str) -> bool {
        self.is_served() || self.is_alone(zone)
    }

    /// Takes in that the instance at `address` says that it stops.
    pub(super) fn leaves(&self, address: SocketAddr, now: Instant) {
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|_, at| *at + FORGET > now);
        leaving.insert(address, now);
    }

    /// Whether the instance at `address` was heard within `span`.
    pub fn was_heard(&self, address: SocketAddr, span: Duration) -> bool {
        let now = Boot.now();
        let leaving = self.leaving.borrow().get(&address).copied();
        if leaving.is_some_and(|at| at + span > now) {
            return true;
        }
        let table = self.table.borrow();
        let same = |p: &&Peer| p.address == address;
        table.values().filter(same).any(|p| p.was_heard(now, span))
    }

    /// Whether other instances are known in other zones than `zone`, and none of them
    /// is heard any more.
    fn is_alone(&self, zone: &str) -> bool {
        let now = Boot.now();
        let table = self.table.borrow();
        let far = |p: &&Peer| !p.zone.is_empty() && p.zone != zone;
        let lately = |p: &Peer| p.heard.is_some_and(|at| at + ALONE > now);
        table.values().any(|p| far(&p)) && !table.values().filter(far).any(lately)
    }

    /// Whether somebody is heard who serves.
    fn is_served(&self) -> bool {
        let now = Boot.now();
        let heard = |p: &&Peer| p.heard.is_some_and(|at| at + HEARD > now);
        let table = self.table.borrow();
        table
            .values()
            .filter(heard)
            .any(|p| p.service == Service::Able)
    }

    /// Whether an instance in `zone` that hands its sessions over has nobody left who
    /// serves them: its zone is cut off, and nobody in it can serve.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.is_alone(zone) && !self.is_served()
    }

    /// Which `count` instances hold the connections to `service`: where to reach them,
    /// those of the own availability zone first, else in a random order. Nobody, if `own`
    /// is one of them; whether it is able is told from the others.
    pub fn holders(&self, service: &str, count: usize, own: Candidate<'_>) -> Vec<SocketAddr> {
        let now = Boot.now();
        let table = self.table.borrow();
        let alive = table.iter().filter(|(_, p)| p.was_heard(now, LOST));
        let mut candidates: Vec<_> = alive
            .map(|(name, peer)| Candidate {
                name,
                zone: &peer.zone,
                weight: peer.weight,
                able: peer.service != Service::Unable,
            })
            .collect();
        // Where others can serve, this instance goes on trying; only where nobody can, it
        // does not serve for itself what others hold.
        let able = candidates.iter().any(|c| c.able);
        candidates.push(Candidate { able, ..own });
        let chosen = holders::choose(service, &candidates, count);
        if chosen.contains(&own.name) {
            return Vec::new();
        }
        let mut peers: Vec<_> = chosen.iter().filter_map(|name| table.get(*name)).collect();
        peers.shuffle(&mut rand::rng());
        // A hop inside the zone is shorter, and a cut of another zone breaks no session.
        peers.sort_by_key(|peer| peer.zone != own.zone);
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Names of the instances that were heard lately.
    pub fn names(&self) -> Vec<String> {
        let now = Boot.now();
        let table = self.table.borrow();
        let heard = |p: &Peer| p.heard.is_some_and(|at| at + HEARD > now);
        let names = table.iter().filter(|(_, p)| heard(p));
        names.map(|(name, _)| name.clone()).collect()
    }
}
