//! Checks that the catalogue in force matches a written revision and never reverts.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use fleet::{Action, Scope};
use wire::{Change, Revision};

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An instance applied a revision that is not newer than its last one.
    Reverted {
        /// The instance's slot.
        slot: usize,
        /// The revision that was in force.
        from: Revision,
        /// The revision that was applied.
        to: Revision,
    },
    /// An instance started with a revision older than that of every reachable peer.
    StartedBehind {
        /// The instance's slot.
        slot: usize,
        /// The lowest revision of the reachable peers.
        peers: Revision,
        /// The revision that was applied.
        to: Revision,
    },
    /// The catalogue in force is not that of any one revision of the store.
    Inconsistent {
        /// The instance's slot.
        slot: usize,
        /// The revision under which the instance applied the catalogue.
        revision: Revision,
    },
}

type Catalog = BTreeMap<Arc<str>, Bytes>;

#[derive(Debug, Clone, Default)]
struct State {
    applied: Revision,
    /// The lowest revision of the reachable peers when the process started.
    floor: Revision,
    catalog: Catalog,
}

/// Checks the catalogues that instances apply.
#[derive(Debug, Default)]
pub struct Monitor {
    states: Vec<State>,
    written: BTreeMap<Revision, Catalog>,
    violations: Vec<Violation>,
}

impl Monitor {
    /// Violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The catalogue revision in force at a slot.
    pub fn applied(&self, slot: usize) -> Revision {
        self.states
            .get(slot)
            .map_or(Revision::NONE, |state| state.applied)
    }

    /// Records that a process started at a slot, while `floor` was the lowest
    /// revision of the reachable peers.
    pub fn note_start(&mut self, slot: usize, floor: Revision) {
        if self.states.len() <= slot {
            self.states.resize(slot + 1, State::default());
        }
        self.states[slot] = State {
            floor,
            ..State::default()
        };
    }

    /// Records the catalogue that the store holds at `revision`.
    pub fn note_write(&mut self, revision: Revision, catalog: BTreeMap<Arc<str>, Bytes>) {
        self.written.insert(revision, catalog);
    }

    /// Records an action of a process.
    pub fn note_action(&mut self, slot: usize, action: &Action) {
        if let Action::Catalog {
            revision,
            scope,
            changes,
        } = action
        {
            self.check_applied(slot, *revision, *scope, changes);
        }
    }

    fn check_applied(&mut self, slot: usize, to: Revision, scope: Scope, changes: &[Change]) {
        let state = &mut self.states[slot];
        let (from, peers) = (state.applied, state.floor);
        if to <= from {
            self.violations.push(Violation::Reverted { slot, from, to });
        } else if from == Revision::NONE && to < peers {
            let violation = Violation::StartedBehind { slot, peers, to };
            self.violations.push(violation);
        }
        state.applied = to;
        if self.written.is_empty() {
            return;
        }
        if scope == Scope::Whole {
            state.catalog.clear();
        }
        for change in changes {
            match &change.value {
                Some(value) => state.catalog.insert(change.key.clone(), value.clone()),
                None => state.catalog.remove(&change.key),
            };
        }
        if self.written.get(&to) != Some(&state.catalog) {
            let violation = Violation::Inconsistent { slot, revision: to };
            self.violations.push(violation);
        }
    }
}
