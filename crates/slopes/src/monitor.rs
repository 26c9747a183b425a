//! Checks that the configuration in force is whole and never reverts.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use fleet::{Action, Scope};
use wire::{Change, Revision};

/// A promise that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An instance put a revision in force that is not newer than its last.
    Reverted {
        /// The instance's slot.
        slot: usize,
        /// What was in force.
        from: Revision,
        /// What was put in force.
        to: Revision,
    },
    /// An instance started with less than every peer it could reach had.
    StartedBehind {
        /// The instance's slot.
        slot: usize,
        /// The least that any peer had.
        peers: Revision,
        /// What was put in force.
        to: Revision,
    },
    /// The catalogue in force is not that of any one revision of the store.
    Inconsistent {
        /// The instance's slot.
        slot: usize,
        /// The revision it was put in force under.
        revision: Revision,
    },
}

type Catalog = BTreeMap<Arc<str>, Bytes>;

#[derive(Debug, Clone, Default)]
struct State {
    applied: Revision,
    /// The least that any peer within reach had when the process started.
    floor: Revision,
    catalog: Catalog,
}

/// Watches the catalogues that instances put in force.
#[derive(Debug, Default)]
pub struct Monitor {
    states: Vec<State>,
    written: BTreeMap<Revision, Catalog>,
    violations: Vec<Violation>,
}

impl Monitor {
    /// What was broken so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The catalogue revision in force at a slot.
    pub fn applied(&self, slot: usize) -> Revision {
        self.states
            .get(slot)
            .map_or(Revision::NONE, |state| state.applied)
    }

    /// A process started at a slot, while the peers it reaches had at least
    /// `floor` in force.
    pub fn note_start(&mut self, slot: usize, floor: Revision) {
        if self.states.len() <= slot {
            self.states.resize(slot + 1, State::default());
        }
        self.states[slot] = State {
            floor,
            ..State::default()
        };
    }

    /// The store holds this catalogue at `revision`.
    pub fn note_write(&mut self, revision: Revision, catalog: BTreeMap<Arc<str>, Bytes>) {
        self.written.insert(revision, catalog);
    }

    /// A process took an action.
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
