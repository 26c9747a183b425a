//! An instance's copy of the store, in the order in which the changes arrived.
//!
//! A follower is sent the changes after the last sequence number that it received, with only
//! the newest value of each key. Each item keeps its revision in the store, so that an instance
//! which lags behind never overwrites a newer item.

use std::{
    collections::{BTreeMap, HashSet},
    ops::Bound,
};

use bytes::Bytes;

use crate::edge::{Change, Item};

/// Maximum number of deleted keys that are remembered: more than the instances and upstreams
/// that leave between two answers.
const MAX_TOMBSTONES: usize = 1_024;

/// A part of the store that is read and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The operators' catalogue.
    Catalog,
    /// The list of upstreams.
    Upstreams,
    /// The primary's record of each group, and the proof lease.
    Records,
}

/// All sections.
pub const SECTIONS: [Section; 3] = [Section::Upstreams, Section::Catalog, Section::Records];

/// The newest known state of a key.
#[derive(Debug, Clone)]
struct Entry {
    /// `None` if the key was deleted.
    value: Option<Bytes>,
    revision: u64,
    /// Sequence number of the last change.
    seq: u64,
}

impl Entry {
    fn size(&self, key: &str) -> usize {
        key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// The sequence number and the known revisions of a mirror: equal versions have equal contents.
pub(crate) type Version = (u64, [u64; SECTIONS.len()]);

/// An instance's copy of the store.
///
/// ```
/// use proxy::{edge::{Change, Item}, mirror::Mirror};
///
/// let item = |revision| Item { key: "k".into(), value: "v".into(), revision };
/// let mut mirror = Mirror::default();
/// assert!(mirror.apply(&Change::Put(item(7))));
/// assert!(!mirror.apply(&Change::Put(item(6))), "older");
/// assert_eq!(mirror.changes_since(0), Some(vec![Change::Put(item(7))]));
/// assert_eq!(mirror.changes_since(mirror.seq()), Some(vec![]));
/// ```
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Entry>,
    /// The keys by the sequence number of their newest change.
    order: BTreeMap<u64, String>,
    seq: u64,
    /// Deletions up to this sequence number may have been dropped.
    dropped_seq: u64,
    tombstones: usize,
    /// Bytes of all keys and values.
    size: usize,
    /// The newest revision of the store among dropped deletions.
    dropped_revision: u64,
    /// The revision of the store up to which each section is complete.
    known: [u64; SECTIONS.len()],
}

impl Mirror {
    /// Sequence number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Bytes of all keys and values.
    pub fn size(&self) -> usize {
        self.size
    }

    /// The current version.
    pub(crate) fn version(&self) -> Version {
        (self.seq, self.known)
    }

    /// Records that all changes of `section` up to the store's revision `at` have been applied.
    pub fn advance(&mut self, section: Section, at: u64) {
        let known = &mut self.known[section as usize];
        *known = at.max(*known);
    }

    /// The revision of the store up to which all sections are complete.
    pub fn min_known(&self) -> u64 {
        self.known.into_iter().min().unwrap_or(0)
    }

    /// Applies a change. Returns true if it is newer than the known state of its key.
    pub fn apply(&mut self, change: &Change) -> bool {
        let (key, value, revision) = match change {
            Change::Put(item) => (&item.key, Some(item.value.clone()), item.revision),
            Change::Gone(key, revision) => (key, None, *revision),
        };
        let known = self.entries.get(key);
        if known.is_some_and(|entry| entry.revision >= revision) {
            return false;
        }
        self.size += key.len() + value.as_ref().map_or(0, Bytes::len);
        self.size -= known.map_or(0, |entry| entry.size(key));
        let was_deleted = known.is_some_and(|entry| entry.value.is_none());
        self.tombstones += usize::from(value.is_none());
        self.tombstones -= usize::from(was_deleted);
        if let Some(known) = known {
            self.order.remove(&known.seq);
        }
        self.seq += 1;
        self.order.insert(self.seq, key.clone());
        let entry = Entry {
            value,
            revision,
            seq: self.seq,
        };
        self.entries.insert(key.clone(), entry);
        if self.tombstones > MAX_TOMBSTONES {
            self.drop_tombstones();
        }
        true
    }

    /// Drops the remembered deletions.
    fn drop_tombstones(&mut self) {
        let deleted = self.entries.values().filter(|entry| entry.value.is_none());
        let newest = deleted.map(|entry| entry.revision).max();
        self.dropped_revision = self.dropped_revision.max(newest.unwrap_or(0));
        self.entries.retain(|_, entry| entry.value.is_some());
        let sizes = self.entries.iter().map(|(key, entry)| entry.size(key));
        self.size = sizes.sum();
        let entries = &self.entries;
        self.order.retain(|_, key| entries.contains_key(key));
        self.tombstones = 0;
        self.dropped_seq = self.seq;
    }

    /// Returns a key's item.
    pub fn item(&self, key: &str) -> Option<Item> {
        let (key, entry) = self.entries.get_key_value(key)?;
        Some(Item {
            key: key.clone(),
            value: entry.value.clone()?,
            revision: entry.revision,
        })
    }

    /// Returns the revision of a key's item, if the key exists.
    pub fn revision(&self, key: &str) -> Option<u64> {
        let entry = self.entries.get(key)?;
        entry.value.as_ref().map(|_| entry.revision)
    }

    /// The revision of the store up to which a section is complete; zero if the section was
    /// never read.
    pub fn known(&self, section: Section) -> u64 {
        self.known[section as usize]
    }

    /// Returns the known keys under `prefix` that are missing from `present` as deletions.
    /// `present` was read at the store's revision `at`, and is complete.
    pub fn missing(&self, prefix: &str, present: &[Item], at: u64) -> Vec<Change> {
        self.absent(prefix, present)
            .filter(|(_, entry)| entry.revision <= at)
            .map(|(key, _)| Change::Gone(key.clone(), at))
            .collect()
    }

    /// Returns the known keys under `prefix` that are missing from `present`.
    pub fn absent_keys(&self, prefix: &str, present: &[Item]) -> Vec<String> {
        let absent = self.absent(prefix, present);
        absent.map(|(key, _)| key.clone()).collect()
    }

    /// The existing entries under `prefix` that are missing from `present`.
    fn absent(&self, prefix: &str, present: &[Item]) -> impl Iterator<Item = (&String, &Entry)> {
        let present: HashSet<_> = present.iter().map(|item| &*item.key).collect();
        let under = self
            .entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let under = under.take_while(move |(key, _)| key.starts_with(prefix));
        let existing = under.filter(|(_, entry)| entry.value.is_some());
        existing.filter(move |(key, _)| !present.contains(&***key))
    }

    /// Forgets an existing key without remembering a deletion, so that an item of any revision is
    /// accepted again.
    pub fn forget(&mut self, key: &str) {
        if self.revision(key).is_none() {
            return;
        }
        if let Some(entry) = self.entries.remove(key) {
            self.order.remove(&entry.seq);
            self.size -= entry.size(key);
            self.seq += 1;
        }
    }

    /// Returns the changes after the store's revision `at`, and all items under `listed`: that
    /// prefix is read from time to time rather than watched, so no revision tells up to where
    /// it is complete. Returns `None` if a later deletion may have been dropped, so that
    /// everything has to be sent.
    pub fn changes_after(&self, at: u64, listed: &str) -> Option<Vec<Change>> {
        if at < self.dropped_revision {
            return None;
        }
        let newer = self
            .order
            .values()
            .filter_map(|key| self.entries.get_key_value(key));
        let newer = newer.filter(|(key, entry)| entry.revision > at || key.starts_with(listed));
        Some(newer.map(change).collect())
    }

    /// Returns the changes after the sequence number `seq`, oldest first, or `None` if some of
    /// them have been dropped, so that everything has to be sent.
    pub fn changes_since(&self, seq: u64) -> Option<Vec<Change>> {
        if seq < self.dropped_seq && seq != 0 || seq > self.seq {
            return None;
        }
        let newer = self.order.range(seq + 1..);
        let newer = newer.filter_map(|(_, key)| self.entries.get_key_value(key));
        Some(newer.map(change).collect())
    }
}

fn change((key, entry): (&String, &Entry)) -> Change {
    match &entry.value {
        None => Change::Gone(key.clone(), entry.revision),
        Some(value) => Change::Put(Item {
            key: key.clone(),
            value: value.clone(),
            revision: entry.revision,
        }),
    }
}
