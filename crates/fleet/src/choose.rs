//! Whom an instance asks next.

use model::name;
use rand::{Rng, seq::IndexedRandom};
use wire::{Node, State};

use crate::Fleet;

/// Of this many heartbeats one goes to a member of another zone.
const REMOTE_ONE_IN: u32 = 4;
/// Of this many heartbeats one may go to a suspect, to find it back.
const SUSPECT_ONE_IN: u32 = 8;
/// How often a random choice among a zone's members is tried.
const ATTEMPTS: usize = 16;

impl Fleet {
    /// Whom the next heartbeat goes to.
    pub(crate) fn choose_target(&mut self) -> Option<Node> {
        if self.rng.random_ratio(1, SUSPECT_ONE_IN)
            && let Some(suspect) = self.choose_suspect()
        {
            return Some(suspect);
        }
        let remote = self.rng.random_ratio(1, REMOTE_ONE_IN);
        let wanted = |state: State| matches!(state, State::Alive | State::Leaving);
        let found = if remote {
            self.choose_remote(wanted)
        } else {
            self.choose_local(wanted)
        };
        found
            .or_else(|| self.choose_local(wanted))
            .or_else(|| self.choose_remote(wanted))
            .or_else(|| self.choose_local(|state| state != State::Gone))
            .or_else(|| self.choose_remote(|state| state != State::Gone))
    }

    /// A member that is suspected here.
    ///
    /// Picked among all members alike, one of hundreds would be asked once in
    /// many minutes; and where all others know better, only its own answer
    /// clears it.
    fn choose_suspect(&mut self) -> Option<Node> {
        let members = self.table.members();
        let suspects = members.filter(|it| it.record.state == State::Suspect);
        let suspects: Vec<Node> = suspects.map(|it| it.node).collect();
        suspects.choose(&mut self.rng).copied()
    }

    pub(crate) fn choose_local(&mut self, wanted: impl Fn(State) -> bool) -> Option<Node> {
        let zone = self.conf.zone.clone();
        self.choose_in_zone(&zone, wanted)
    }

    /// A member of another zone: the zone first, so that each is heard of alike.
    pub(crate) fn choose_remote(&mut self, wanted: impl Fn(State) -> bool) -> Option<Node> {
        let zones = self.table.zones().count();
        if zones < 2 {
            return None;
        }
        for _ in 0..ATTEMPTS / 4 {
            let at = self.rng.random_range(0..zones);
            let zone = self.table.zones().nth(at)?.clone();
            if zone == self.conf.zone {
                continue;
            }
            if let Some(node) = self.choose_in_zone(&zone, &wanted) {
                return Some(node);
            }
        }
        None
    }

    pub(crate) fn choose_in_zone(
        &mut self,
        zone: &name::Zone,
        wanted: impl Fn(State) -> bool,
    ) -> Option<Node> {
        let nodes = self.table.nodes(zone);
        if nodes.is_empty() {
            return None;
        }
        for _ in 0..ATTEMPTS {
            let node = nodes[self.rng.random_range(0..nodes.len())];
            let state = self.table.find(node)?.record.state;
            if node != self.node && wanted(state) {
                return Some(node);
            }
        }
        None
    }
}
