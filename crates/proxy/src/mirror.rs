//! What an instance knows of the store, in the order in which it learnt it.
//!
//! An instance that follows another one is told what changed behind the last number that
//! it was told, newest values only. Each item keeps the store's revision, so that an
//! instance which is behind never takes another one back.

use std::{
    collections::{BTreeMap, HashSet},
    ops::Bound,
};

use bytes::Bytes;

use crate::edge::{Change, Item};

/// How many deleted keys are remembered: more than instances and upstreams come and go
/// between two answers.
const MAX_TOMBSTONES: usize = 1_024;

/// A part of the store that is read and watched for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The operators' catalogue.
    Catalog,
    /// The list of upstreams.
    Upstreams,
    /// Who leads each group, and the era.
    Records,
}

/// All of them.
pub const SECTIONS: [Section; 3] = [Section::Upstreams, Section::Catalog, Section::Records];

/// The newest that is known of a key.
#[derive(Debug, Clone)]
struct Entry {
    /// `None` if it was deleted.
    value: Option<Bytes>,
    revision: u64,
    /// Counts what was learnt here.
    seq: u64,
}

/// What a mirror's contents are told apart by.
pub(crate) type Version = (u64, [u64; SECTIONS.len()]);

/// What an instance knows of the store.
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
    /// The keys in the order in which their newest values were learnt.
    order: BTreeMap<u64, String>,
    seq: u64,
    /// Deletions up to this number may be forgotten.
    dropped_seq: u64,
    tombstones: usize,
    /// The newest revision of the store at which a key was deleted that is forgotten.
    dropped_revision: u64,
    /// Up to which revision of the store each section is known.
    known: [u64; SECTIONS.len()],
}

impl Mirror {
    /// How much was learnt.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// How much was learnt, and up to which revision of each section it is all there is.
    pub(crate) fn version(&self) -> Version {
        (self.seq, self.known)
    }

    /// Notes that all changes of `section` up to the store's revision `at` were taken in.
    pub fn advance(&mut self, section: Section, at: u64) {
        let known = &mut self.known[section as usize];
        *known = at.max(*known);
    }

    /// Up to which revision of the store everything is known.
    pub fn min_known(&self) -> u64 {
        self.known.into_iter().min().unwrap_or(0)
    }

    /// Takes in a change; whether it is news.
    pub fn apply(&mut self, change: &Change) -> bool {
        let (key, value, revision) = match change {
            Change::Put(item) => (&item.key, Some(item.value.clone()), item.revision),
            Change::Gone(key, revision) => (key, None, *revision),
        };
        let known = self.entries.get(key);
        if known.is_some_and(|entry| entry.revision >= revision) {
            return false;
        }
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

    /// Forgets what was deleted.
    fn drop_tombstones(&mut self) {
        let deleted = self.entries.values().filter(|entry| entry.value.is_none());
        let newest = deleted.map(|entry| entry.revision).max();
        self.dropped_revision = self.dropped_revision.max(newest.unwrap_or(0));
        self.entries.retain(|_, entry| entry.value.is_some());
        let entries = &self.entries;
        self.order.retain(|_, key| entries.contains_key(key));
        self.tombstones = 0;
        self.dropped_seq = self.seq;
    }

    /// The item of a key.
    pub fn item(&self, key: &str) -> Option<Item> {
        let (key, entry) = self.entries.get_key_value(key)?;
        Some(Item {
            key: key.clone(),
            value: entry.value.clone()?,
            revision: entry.revision,
        })
    }

    /// The revision of a key's item, if there is one.
    pub fn revision(&self, key: &str) -> Option<u64> {
        let entry = self.entries.get(key)?;
        entry.value.as_ref().map(|_| entry.revision)
    }

    /// Up to which revision of the store a section is known, zero if it was never read.
    pub fn known(&self, section: Section) -> u64 {
        self.known[section as usize]
    }

    /// The keys under `prefix` that are missing among `present`, which was read when the
    /// store stood at `at`, as deletions.
    pub fn missing(&self, prefix: &str, present: &[Item], at: u64) -> Vec<Change> {
        let present: HashSet<_> = present.iter().map(|item| &*item.key).collect();
        let under = self
            .entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let under = under.take_while(|(key, _)| key.starts_with(prefix));
        let current = under.filter(|(_, entry)| entry.value.is_some() && entry.revision <= at);
        let missing = current.filter(|(key, _)| !present.contains(&***key));
        missing
            .map(|(key, _)| Change::Gone(key.clone(), at))
            .collect()
    }

    /// What changed in the store behind its revision `at`, and all under `listed`, which is read
    /// now and then and not watched, so that no revision tells up to where it is known; `None`
    /// if a deletion since may be forgotten, so that all has to be told.
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

    /// What was learnt behind number `seq`, oldest first; `None` if some of it is
    /// forgotten, so that all has to be told.
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
