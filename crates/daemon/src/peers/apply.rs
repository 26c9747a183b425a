//! Assembles the catalogue from replicated keys.

use std::collections::BTreeMap;

use bytes::Bytes;
use catalog::layout::{self, Pair, Snapshot};
use fleet::Scope;
use wire::Change;

use super::full_key;

/// Keys of the catalogue in force.
#[derive(Debug, Default)]
pub(super) struct AppliedCatalog {
    keys: BTreeMap<String, (u64, Bytes)>,
}

impl AppliedCatalog {
    /// Decodes the catalogue that results from `changes`, which replaces the
    /// previous one only if it is complete and valid.
    ///
    /// # Errors
    ///
    /// Fault of the new catalogue; the previous one stays.
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
