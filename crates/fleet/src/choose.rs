//! Random choice of peers.

use model::name;
use rand::{Rng, seq::IndexedRandom};
use wire::{Node, State};

use crate::Fleet;

/// One in this many heartbeats goes to a member of another zone.
const REMOTE_ONE_IN: u32 = 4;
/// One in this many heartbeats goes to a suspect if there is one, so that a
/// recovery is noticed.
const SUSPECT_ONE_IN: u32 = 8;
/// Number of random draws from a zone's members to find a suitable one.
const ATTEMPTS: usize = 16;

impl Fleet {
    /// Chooses the target of the next heartbeat.
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

    /// Chooses a member that this instance suspects.
    ///
    /// Among hundreds of members, a suspect chosen uniformly would be pinged
    /// once in many minutes. If no other instance suspects the member, only the
    /// member's own answer clears the suspicion.
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

    /// Chooses a member of another zone: first the zone, then the member, so
    /// that all zones are probed equally often.
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
