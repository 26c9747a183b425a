//! Instances never go back to an older revision of the catalogue.

use std::collections::{HashMap, HashSet};

use model::name;

use crate::{Event, Violation};

/// Checks that an instance never goes back to an older revision and applies
/// only revisions that the store accepted.
///
/// A restarted instance may begin with any accepted revision.
#[derive(Debug, Default)]
pub struct Revision {
    accepted: HashSet<u64>,
    applied: HashMap<name::Instance, u64>,
}

impl Revision {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Accepted { revision } => {
                self.accepted.insert(*revision);
                None
            }
            Event::Crashed { instance } | Event::Stopped { instance } => {
                self.applied.remove(instance);
                None
            }
            Event::Applied { instance, revision } => self.applied(instance, *revision),
            _ => None,
        }
    }

    fn applied(&mut self, instance: &name::Instance, revision: u64) -> Option<Violation> {
        let from = self.applied.insert(instance.clone(), revision);
        if !self.accepted.contains(&revision) {
            return Some(Violation::NeverAccepted {
                instance: instance.clone(),
                revision,
            });
        }
        let from = from.filter(|&from| from > revision)?;
        Some(Violation::Reverted {
            instance: instance.clone(),
            from,
            to: revision,
        })
    }
}
