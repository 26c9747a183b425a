//! From the fleet's keys to a catalogue that can be put in force.

use std::collections::BTreeMap;

use bytes::Bytes;
use catalog::layout::{self, Pair, Snapshot};
use fleet::Scope;
use wire::Change;

use super::full_key;

/// The catalogue's keys as they are in force.
#[derive(Debug, Default)]
pub(super) struct AppliedCatalog {
    keys: BTreeMap<String, (u64, Bytes)>,
}

impl AppliedCatalog {
    /// Reads the catalogue that `changes` lead to; only if it is whole and
    /// right does it take the place of the last one.
    ///
    /// # Errors
    ///
    /// What is wrong with it; the last one stays.
    pub(super) fn apply(
        &mut self,
        scope: Scope,
        changes: &[Change],
    ) -> Result<Snapshot, layout::Error> {
        let mut keys = match scope {
            Scope::Whole => BTreeMap::new(),
            Scope::Delta => self.keys.clone(),
        };
        for change in changes {
            let key = full_key(&change.key);
            match &change.value {
                Some(value) => keys.insert(key, (change.revision, value.clone())),
                None => keys.remove(&key),
            };
        }
        let pair = |(key, (revision, value)): (&String, &(u64, Bytes))| Pair {
            key: key.clone(),
            value: value.to_vec(),
            revision: *revision,
        };
        let pairs: Vec<_> = keys.iter().map(pair).collect();
        let snapshot = layout::decode(&pairs)?;
        self.keys = keys;
        Ok(snapshot)
    }
}
