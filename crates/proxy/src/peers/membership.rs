//! Who there is, who holds what, and who asks the store: looked at anew only as far as
//! instances came, went or changed.

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
    heartbeat::{FORMAT, StoreContact},
    peer::{Peer, Relay},
    table::{LOST_HEARTBEATS, Peers, STALE_HEARTBEATS},
};
use crate::node::ServiceState;

/// How long an instance that is not heard stays known if the store does not list it: three
/// of the longest pauses between two beats.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(16);

/// The pause between two looks at who is heard, unless something is known to have changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);

/// What the last look took a peer for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Its weight and whether it can serve, if it may hold connections.
    holder: Option<(u32, bool)>,
    /// Its weight and whether it hears the store, if it may be this zone's relay.
    relay: Option<(u32, bool)>,
    heard: bool,
}

/// Which peers are heard now that were not before, and the other way round.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub(crate) joined: Vec<String>,
    pub(crate) silent: Vec<String>,
}

/// What is known of the fleet as a whole.
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
    /// Has the next look taken at once.
    pub(super) fn mark_stale(&self) {
        self.is_stale.set(true);
    }

    /// Whether it is time for a look.
    fn is_due(&self, now: Instant) -> bool {
        self.is_stale.replace(false) || self.refreshed_at.get() + REFRESH_INTERVAL <= now
    }

    /// Takes in that a peer is not known any more.
    pub(super) fn remove(&self, name: &str, peer: &Peer) {
        self.holders.borrow_mut().remove(name);
        self.relays.borrow_mut().remove(name);
        if peer.roles.heard {
            self.changes.borrow_mut().silent.push(name.to_owned());
        }
        self.mark_stale();
    }

    /// Takes in what a look shows of a peer.
    fn set_roles(&self, name: &str, peer: &mut Peer, roles: Roles) {
        let old = mem::replace(&mut peer.roles, roles);
        if old == roles {
            return;
        }
        if old.holder != roles.holder {
            update_board(&self.holders, name, &peer.zone, roles.holder);
        }
        if old.relay != roles.relay {
            update_board(&self.relays, name, &peer.zone, roles.relay);
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

fn update_board(board: &RefCell<Placement>, name: &str, zone: &str, role: Option<(u32, bool)>) {
    let mut board = board.borrow_mut();
    match role {
        Some((weight, able)) => board.put(&Candidate {
            name,
            zone,
            weight,
            able,
        }),
        None => board.remove(name),
    }
}

impl Peers {
    /// Looks who is heard, if it is time to.
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
            let is_reachable = peer.is_prompt() || !unreached.contains(&peer.zone);
            let holds = is_alive && is_reachable;
            let is_near = is_alive && peer.format >= FORMAT && peer.zone == self.zone;
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

    /// How many instances there are as far as is known, this one included.
    pub fn count(&self) -> usize {
        self.refresh();
        self.membership.count.get()
    }

    /// How often the whole table was looked through, and how often an instance's place
    /// among a service's holders was drawn.
    pub fn counters(&self) -> (u64, u64) {
        let draws = self.membership.holders.borrow().score_count()
            + self.membership.relays.borrow().score_count();
        (self.membership.refreshes.get(), draws)
    }

    /// Who is heard now and was not the last time this was asked, and the other way round.
    pub(crate) fn take_changes(&self) -> Changes {
        self.refresh();
        self.membership.changes.take()
    }

    /// Which instances of the own zone ask the store, the first one first: their
    /// addresses, `None` for the instance itself.
    pub fn relays(&self, own: Candidate<'_>) -> Vec<Option<SocketAddr>> {
        self.refresh();
        let mut board = self.membership.relays.borrow_mut();
        board.put(&Candidate {
            weight: relays::weight(own.weight),
            ..own
        });
        let table = self.table.borrow();
        let chosen = board.holders(relays::ROLE, relays::COUNT).iter();
        chosen
            .map(|name| table.get(&**name).map(|peer| peer.address))
            .collect()
    }

    /// All instances that ask the store for their zones, as far as they are heard, `own`
    /// among them.
    pub(crate) fn all_relays(&self, own: Candidate<'_>) -> Vec<Relay> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let relays = |p: &Peer| p.is_relay && p.is_prompt() && p.was_heard(now, LOST_HEARTBEATS);
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

    /// Which relays read the catalogue for all others: their addresses, `None` for `own`.
    pub(crate) fn readers(&self, own: Candidate<'_>) -> Vec<Option<SocketAddr>> {
        let relays = self.all_relays(own);
        let candidates: Vec<_> = relays.iter().map(Relay::candidate).collect();
        let readers = relays::readers(&candidates).into_iter();
        readers.map(|name| self.address(name)).collect()
    }

    /// Which `count` instances hold the connections to `service`: where to reach them,
    /// those of the own availability zone first, else in a random order. Nobody, if `own`
    /// is one of them; whether it is able is told from the others.
    pub fn holders(&self, service: &str, count: usize, own: Candidate<'_>) -> Vec<SocketAddr> {
        let chosen = self.holder_names(service, count, own);
        if chosen.iter().any(|name| name == own.name) {
            return Vec::new();
        }
        let table = self.table.borrow();
        let mut peers: Vec<_> = chosen.iter().filter_map(|name| table.get(name)).collect();
        peers.shuffle(&mut rand::rng());
        // A hop inside the zone is shorter, and a cut of another zone breaks no session.
        peers.sort_by_key(|peer| peer.zone != own.zone);
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Where to reach those of `holders`, which hold the connections to `service`, that serve
    /// sessions of `account`, its home first; those behind `own` are left out.
    pub(crate) fn homes(
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

    /// Which `count` instances hold the connections to `service`, the first one first.
    pub fn holder_names(&self, service: &str, count: usize, own: Candidate<'_>) -> Vec<String> {
        self.refresh();
        let mut board = self.membership.holders.borrow_mut();
        // Where others can serve, this instance goes on trying; only where nobody can, it
        // does not serve for itself what others hold.
        let able = board.has_other_able(own.name);
        board.put(&Candidate { able, ..own });
        let chosen = board.holders(service, count).iter();
        chosen.map(|name| name.to_string()).collect()
    }

    /// Whether most instances that are listed were never heard.
    pub(crate) fn is_mostly_unheard(&self) -> bool {
        let table = self.table.borrow();
        let listed = table.values().filter(|p| p.listed);
        let (silent, heard): (Vec<_>, Vec<_>) = listed.partition(|p| p.heard.is_none());
        silent.len() > heard.len()
    }

    /// Names of the instances that were heard lately.
    pub fn names(&self) -> Vec<String> {
        let now = self.unstalled_now();
        let table = self.table.borrow();
        let heard = |p: &Peer| p.was_heard(now, STALE_HEARTBEATS);
        let names = table.iter().filter(|(_, p)| heard(p));
        names.map(|(name, _)| name.clone()).collect()
    }
}
