//! Copy of the store's keys that only advances.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem::size_of,
    sync::Arc,
};

use bytes::Bytes;
use wire::{Change, Revision};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::keys;

/// Number of removed keys that are remembered, so that a peer that missed their
/// removal catches up by a delta.
const REMOVED_MAX: usize = 1_024;

/// Reason why changes were rejected, all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The changes lead to a revision that is not newer.
    #[error("revision {to} is not newer than {held}")]
    NotNewer {
        /// Mirrored revision.
        held: Revision,
        /// Revision to which the changes lead.
        to: Revision,
    },
    /// The changes start from another revision than the mirrored one.
    #[error("the changes start from {from}, not from {held}")]
    Gap {
        /// Mirrored revision.
        held: Revision,
        /// Revision from which the changes start.
        from: Revision,
    },
    /// The changes are not sorted by key, or some are newer than the revision
    /// to which they lead.
    #[error("the changes are out of order")]
    Order,
    /// The resulting keys would not match the digest sent with the changes.
    #[error("the keys do not match the digest sent with them")]
    Digest,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Value {
    revision: u64,
    bytes: Bytes,
}

/// The keys of one revision of the store.
///
/// ```
/// use fleet::Mirror;
/// use wire::{Change, Revision};
///
/// let mut mirror = Mirror::default();
/// let to = Revision { epoch: 0, number: 7 };
/// let change = Change { key: "primary/a".into(), revision: 7, value: Some("x".into()) };
/// mirror.advance(Revision::NONE, to, None, &[change]).unwrap();
/// assert_eq!(mirror.revision(), to);
/// assert!(mirror.advance(Revision::NONE, to, None, &[]).is_err());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    revision: Revision,
    digest: u64,
    values: BTreeMap<Arc<str>, Value>,
    removed: BTreeMap<Arc<str>, u64>,
    /// Keys by the revision that wrote or removed them, by which a delta is
    /// found without a scan of all keys.
    recent: BTreeSet<(u64, Arc<str>)>,
    /// Removals up to this revision may have been pruned.
    floor: u64,
    /// Newest revision that wrote or removed a key of the catalogue.
    catalog_revision: u64,
}

impl Mirror {
    /// Mirrored revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of all keys, revisions and values.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns true if the mirror has no keys.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Revision that wrote `key`, and the key's value.
    pub fn find(&self, key: &str) -> Option<(u64, &Bytes)> {
        let value = self.values.get(key)?;
        Some((value.revision, &value.bytes))
    }

    /// Newest revision that changed the catalogue.
    pub(crate) fn catalog_revision(&self) -> u64 {
        self.catalog_revision
    }

    /// Applies `changes`, which lead from the mirrored revision to `to`.
    ///
    /// # Errors
    ///
    /// Any [`Error`] leaves the mirror unchanged.
    pub fn advance(
        &mut self,
        from: Revision,
        to: Revision,
        digest: Option<u64>,
        changes: &[Change],
    ) -> Result<(), Error> {
        let held = self.revision;
        if to <= held {
            return Err(Error::NotNewer { held, to });
        }
        if from != held {
            return Err(Error::Gap { held, from });
        }
        check_order(to, changes)?;
        let sum = changes.iter().fold(self.digest, |sum, change| {
            let before = self.values.get(&change.key);
            let before = before.map_or(0, |value| digest_of(&change.key, value));
            let after = change.value.as_ref().map_or(0, |bytes| {
                digest_of_parts(&change.key, change.revision, bytes)
            });
            sum.wrapping_sub(before).wrapping_add(after)
        });
        if digest.is_some_and(|digest| digest != sum) {
            return Err(Error::Digest);
        }
        for change in changes {
            self.put(change);
        }
        self.digest = sum;
        self.revision = to;
        self.prune_removed();
        Ok(())
    }

    /// Replaces all keys by `changes`, the keys of revision `to`, and returns
    /// the differences.
    ///
    /// # Errors
    ///
    /// Any [`Error`] leaves the mirror unchanged.
    pub fn replace(
        &mut self,
        to: Revision,
        digest: Option<u64>,
        changes: &[Change],
    ) -> Result<Vec<Change>, Error> {
        let held = self.revision;
        if to < held {
            return Err(Error::NotNewer { held, to });
        }
        check_order(to, changes)?;
        let mut next = Self {
            revision: to,
            floor: to.number,
            ..Self::default()
        };
        for change in changes {
            next.put(change);
        }
        next.digest = next.values.iter().fold(0, |sum, (key, value)| {
            sum.wrapping_add(digest_of(key, value))
        });
        if digest.is_some_and(|digest| digest != next.digest) {
            return Err(Error::Digest);
        }
        let differences = self.differences(&next);
        let catalog_revision = differences
            .iter()
            .filter(|change| change.key.starts_with(keys::CATALOG))
            .map(|change| change.revision)
            .max();
        next.catalog_revision = next.catalog_revision.max(catalog_revision.unwrap_or(0));
        *self = next;
        Ok(differences)
    }

    /// Returns the changes that lead from `from` to the mirrored revision,
    /// sorted by key, and the revision to which they apply: `from`, or `None`
    /// if every key is returned.
    pub fn since(&self, from: Revision) -> (Option<Revision>, Vec<Change>) {
        let nothing = from == Revision::NONE;
        if nothing || from.epoch != self.revision.epoch || from.number < self.floor {
            return (None, self.all());
        }
        let first = (from.number + 1, Arc::from(""));
        let recent = self.recent.range(first..);
        let mut changes: Vec<_> = recent
            .map(|(revision, key)| match self.values.get(key) {
                Some(value) => change_of(key, value),
                None => removal(key, *revision),
            })
            .collect();
        changes.sort_by(|a, b| a.key.cmp(&b.key));
        (Some(from), changes)
    }

    /// All keys, sorted.
    pub fn all(&self) -> Vec<Change> {
        let values = self.values.iter();
        values.map(|(key, value)| change_of(key, value)).collect()
    }

    /// Estimated memory of the mirror in bytes, with B-tree nodes two thirds
    /// full.
    pub fn state_bytes(&self) -> usize {
        let slot = size_of::<Arc<str>>() + size_of::<Value>();
        let values = self.values.iter().map(|(key, value)| {
            // An `Arc` and the shared part of a `Bytes` each have two counters.
            slot * 3 / 2 + key.len() + 16 + value.bytes.len() + 32
        });
        let removed = self.removed.keys().map(|key| 24 * 3 / 2 + key.len() + 16);
        let recent = self.recent.len() * size_of::<(u64, Arc<str>)>() * 3 / 2;
        size_of::<Self>() + values.sum::<usize>() + removed.sum::<usize>() + recent
    }

    fn put(&mut self, change: &Change) {
        if change.key.starts_with(keys::CATALOG) {
            self.catalog_revision = self.catalog_revision.max(change.revision);
        }
        self.remove(&change.key);
        self.recent.insert((change.revision, change.key.clone()));
        match &change.value {
            Some(bytes) => {
                let value = Value {
                    revision: change.revision,
                    bytes: bytes.clone(),
                };
                self.values.insert(change.key.clone(), value);
            }
            None => {
                self.removed.insert(change.key.clone(), change.revision);
            }
        }
    }

    /// Drops a key and the record of its removal.
    fn remove(&mut self, key: &Arc<str>) {
        let value = self.values.remove(key).map(|value| value.revision);
        let removed = self.removed.remove(key);
        for revision in value.into_iter().chain(removed) {
            self.recent.remove(&(revision, key.clone()));
        }
    }

    fn prune_removed(&mut self) {
        if self.removed.len() <= REMOVED_MAX {
            return;
        }
        let mut revisions: Vec<_> = self.removed.values().copied().collect();
        revisions.sort_unstable();
        self.floor = revisions[revisions.len() / 2];
        let floor = self.floor;
        self.removed.retain(|_, revision| *revision > floor);
        let (values, removed) = (&self.values, &self.removed);
        self.recent
            .retain(|(_, key)| values.contains_key(key) || removed.contains_key(key));
    }

    fn differences(&self, next: &Self) -> Vec<Change> {
        let written = next
            .values
            .iter()
            .filter(|&(key, value)| self.values.get(key) != Some(value))
            .map(|(key, value)| change_of(key, value));
        let removed = self
            .values
            .keys()
            .filter(|&key| !next.values.contains_key(key))
            .map(|key| removal(key, next.revision.number));
        let mut changes: Vec<_> = written.chain(removed).collect();
        changes.sort_by(|a, b| a.key.cmp(&b.key));
        changes
    }
}

/// Checks that no key occurs twice, which would make the digest wrong, and that
/// no change is newer than `to`.
fn check_order(to: Revision, changes: &[Change]) -> Result<(), Error> {
    let sorted = changes.windows(2).all(|pair| pair[0].key < pair[1].key);
    let known = changes.iter().all(|change| change.revision <= to.number);
    if sorted && known {
        Ok(())
    } else {
        Err(Error::Order)
    }
}

fn change_of(key: &Arc<str>, value: &Value) -> Change {
    Change {
        key: key.clone(),
        revision: value.revision,
        value: Some(value.bytes.clone()),
    }
}

fn removal(key: &Arc<str>, revision: u64) -> Change {
    Change {
        key: key.clone(),
        revision,
        value: None,
    }
}

fn digest_of(key: &str, value: &Value) -> u64 {
    digest_of_parts(key, value.revision, &value.bytes)
}

fn digest_of_parts(key: &str, revision: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64_with_seed(key.as_bytes(), revision))
}
