//! Which instances there are, which ones hold a service's connections, and which ones are
//! relays. The answers are cached and recomputed only for instances that joined, left or
//! changed.

use std::{
    cell::{Cell, RefCell},
    mem,
    net::SocketAddr,
    time::Duration,
};

use admit::{
    holders::{self, Candidate},
    placement::Placement,
    relays,
};
use clock::{Boot, Instant};
use rand::seq::SliceRandom;

use super::{
    heartbeat::{RELAY_FORMAT, StoreContact, UpstreamKey},
    peer::{Peer, Relay},
    table::{LOST_HEARTBEATS, Peers, STALE_HEARTBEATS},
};
use crate::node::ServiceState;

/// Time after which an instance that is neither heard nor listed in the store is dropped: three
/// of the longest pauses between two heartbeats.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(16);

/// Pause between two refreshes, unless a change is known.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);

/// Roles that the last refresh assigned to a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// The peer's weight and whether it can serve, if it may hold connections.
    holder: Option<(u32, bool)>,
    /// The peer's weight and whether it reaches the store, if it may be a relay of this zone.
    relay: Option<(u32, bool)>,
    heard: bool,
}

/// Peers that have become heard, and peers that have become silent.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub(crate) joined: Vec<String>,
    pub(crate) silent: Vec<String>,
}

/// The cached view of all instances.
#[derive(Debug, Default)]
pub(super) struct Membership {
    refreshed_at: Cell<Instant>,
    is_stale: Cell<bool>,
    count: Cell<usize>,
    holders: RefCell<Placement>,
    relays: RefCell<Placement>,
    changes: RefCell<Changes>,
    refreshes: Cell<u64>,
}

impl Membership {
    /// Makes the next access refresh the view.
    pub(super) fn mark_stale(&self) {
        self.is_stale.set(true);
    }

    /// Returns true if a refresh is due.
    fn is_due(&self, now: Instant) -> bool {
        self.is_stale.replace(false) || self.refreshed_at.get() + REFRESH_INTERVAL <= now
    }

    /// Removes a peer.
    pub(super) fn remove(&self, name: &str, peer: &Peer) {
        self.holders.borrow_mut().remove(name);
        self.relays.borrow_mut().remove(name);
        if peer.roles.heard {
            self.changes.borrow_mut().silent.push(name.to_owned());
        }
        self.mark_stale();
    }

    /// Sets a peer's roles and updates what depends on them.
    fn set_roles(&self, name: &str, peer: &mut Peer, roles: Roles) {
        let old = mem::replace(&mut peer.roles, roles);
        if old == roles {
            return;
        }
        if old.holder != roles.holder {
            update_placement(&self.holders, name, &peer.zone, roles.holder);
        }
        if old.relay != roles.relay {
            update_placement(&self.relays, name, &peer.zone, roles.relay);
        }
        if old.heard != roles.heard {
            let mut changes = self.changes.borrow_mut();
            match roles.heard {
                true => changes.joined.push(name.to_owned()),
                false => changes.silent.push(name.to_owned()),
            }
        }
    }
}

fn update_placement(
    placement: &RefCell<Placement>,
    name: &str,
    zone: &str,
    role: Option<(u32, bool)>,
) {
    let mut placement = placement.borrow_mut();
    match role {
        Some((weight, able)) => placement.put(&Candidate {
            name,
            zone,
            weight,
            able,
        }),
        None => placement.remove(name),
    }
}

impl Peers {
    /// Refreshes the view if that is due.
    fn refresh(&self) {
        if !self.membership.is_due(Boot.now()) {
            return;
        }
        self.membership.refreshed_at.set(Boot.now());
        self.membership
            .refreshes
            .set(self.membership.refreshes.get() + 1);
        let now = self.unstalled_now();
        let mut table = self.table.borrow_mut();
        table.retain(|name, peer| {
            let stays = peer.listed || peer.heard.is_some_and(|at| at + FORGET_AFTER > now);
            if !stays {
                self.membership.remove(name, peer);
            }
            stays
        });
        let unreached = self.unreached_zones(&table);
        let unreached: Vec<String> = unreached.into_iter().map(str::to_owned).collect();
        for (name, peer) in table.iter_mut() {
            let is_alive = peer.was_heard(now, LOST_HEARTBEATS);
            let is_reachable = peer.is_frequent() || !unreached.contains(&peer.zone);
            let holds = is_alive && is_reachable;
            let is_near = is_alive && peer.format >= RELAY_FORMAT && peer.zone == self.zone;
            let roles = Roles {
                holder: holds.then_some((peer.weight, peer.service != ServiceState::Unable)),
                relay: is_near.then_some((
                    relays::weight(peer.weight),
                    peer.store != StoreContact::Unreachable,
                )),
                heard: peer.was_heard(now, STALE_HEARTBEATS),
            };
            self.membership.set_roles(name, peer, roles);
        }
        self.membership.is_stale.set(false);
        self.membership.count.set(table.len() + 1);
    }

    /// Number of known instances, this one included.
    pub fn count(&self) -> usize {
        self.refresh();
        self.membership.count.get()
    }

    /// Number of refreshes, and number of times that an instance's rank among the holders of a
    /// service was computed.
    pub fn counters(&self) -> (u64, u64) {
        let scores = self.membership.holders.borrow().score_count()
            + self.membership.relays.borrow().score_count();
        (self.membership.refreshes.get(), scores)
    }

    /// Takes the changes since the last call.
    pub(crate) fn take_changes(&self) -> Changes {
        self.refresh();
        self.membership.changes.take()
    }

    /// Addresses of the relays of this zone, the first one first; `None` stands for this
    /// instance.
    pub fn relays(&self, own: Candidate<'_>) -> Vec<Option<SocketAddr>> {
        self.refresh();
        let mut placement = self.membership.relays.borrow_mut();
        placement.put(&Candidate {
            weight: relays::weight(own.weight),
            ..own
        });
        let table = self.table.borrow();
        let chosen = placement.holders(relays::ROLE, relays::COUNT).iter();
        chosen
            .map(|name| table.get(&**name).map(|peer| peer.address))
            .collect()
    }

    /// All relays that are heard, of all zones, and `own`.
    pub(crate) fn all_relays(&self, own: Candidate<'_>) -> Vec<Relay> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let relays = |p: &Peer| p.is_relay && p.is_frequent() && p.was_heard(now, LOST_HEARTBEATS);
        let relays = table.iter().filter(|(_, p)| relays(p));
        let relays = relays.map(|(name, peer)| Relay {
            name: name.clone(),
            zone: peer.zone.clone(),
            weight: peer.weight,
            able: peer.store != StoreContact::Unreachable,
        });
        let own = Relay {
            name: own.name.to_owned(),
            zone: own.zone.to_owned(),
            weight: own.weight,
            able: own.able,
        };
        relays.chain([own]).collect()
    }

    /// Addresses of the relays that read the catalogue for all others; `None` stands for `own`.
    pub(crate) fn readers(&self, own: Candidate<'_>) -> Vec<Option<SocketAddr>> {
        let relays = self.all_relays(own);
        let candidates: Vec<_> = relays.iter().map(Relay::candidate).collect();
        let readers = relays::readers(&candidates).into_iter();
        readers.map(|name| self.address(name)).collect()
    }

    /// Addresses of the `count` instances that hold the connections to `service`: those of this
    /// zone first, among them those at which no request waits for one of the `upstreams`, and in
    /// random order within that. Empty if `own` is one of them. The ability of `own` to serve
    /// follows from that of the others.
    pub fn holders(
        &self,
        service: &str,
        count: usize,
        own: Candidate<'_>,
        upstreams: &[UpstreamKey],
    ) -> Vec<SocketAddr> {
        let chosen = self.holder_names(service, count, own);
        if chosen.iter().any(|name| name == own.name) {
            return Vec::new();
        }
        let table = self.table.borrow();
        let mut peers: Vec<_> = chosen.iter().filter_map(|name| table.get(name)).collect();
        peers.shuffle(&mut rand::rng());
        // A hop inside the zone is shorter, and no session breaks if another zone is cut off.
        let now = self.unstalled_now();
        peers.sort_by_key(|peer| (peer.zone != own.zone, peer.is_queueing(upstreams, now)));
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Addresses of those among `holders`, which hold the connections to `service`, that serve
    /// sessions of `account`, in order. Instances after `own` are left out.
    pub(crate) fn account_holders(
        &self,
        service: &str,
        account: &str,
        holders: &[String],
        own: &str,
    ) -> Vec<SocketAddr> {
        let holders: Vec<_> = holders.iter().map(String::as_str).collect();
        let order = holders::account_holders(service, account, &holders).into_iter();
        let table = self.table.borrow();
        order
            .take_while(|name| *name != own)
            .filter_map(|name| Some(table.get(name)?.address))
            .collect()
    }

    /// Names of the `count` instances that hold the connections to `service`, in order.
    pub fn holder_names(&self, service: &str, count: usize, own: Candidate<'_>) -> Vec<String> {
        self.refresh();
        let mut placement = self.membership.holders.borrow_mut();
        // If another instance can serve, this one counts as able and keeps trying. If none can,
        // this one counts as unable, so that it doesn't serve sessions that others hold.
        let able = placement.has_other_able(own.name);
        placement.put(&Candidate { able, ..own });
        let chosen = placement.holders(service, count).iter();
        chosen.map(|name| name.to_string()).collect()
    }

    /// Returns true if most of the listed instances have never been heard.
    pub(crate) fn is_mostly_unheard(&self) -> bool {
        let table = self.table.borrow();
        let listed = table.values().filter(|p| p.listed);
        let (silent, heard): (Vec<_>, Vec<_>) = listed.partition(|p| p.heard.is_none());
        silent.len() > heard.len()
    }

    /// Names of the instances that were recently heard.
    pub fn names(&self) -> Vec<String> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = |p: &Peer| p.was_heard(now, STALE_HEARTBEATS);
        let names = table.iter().filter(|(_, p)| heard(p));
        names.map(|(name, _)| name.clone()).collect()
    }
}
