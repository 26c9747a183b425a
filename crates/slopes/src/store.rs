//! A fake of the platform's store: revisions, range reads and watches.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use fleet::{Answer, HEAD};
use wire::Change;

/// A fake of the platform's store, limited to the keys that the fleet mirrors.
///
/// The store answers at once; the [`crate::World`] adds the delay.
#[derive(Debug, Clone, Default)]
pub struct Store {
    revision: u64,
    values: BTreeMap<Arc<str>, (u64, Bytes)>,
    history: Vec<(u64, Vec<Change>)>,
    compacted: u64,
    /// Requests, and events sent to watches, since the counts were reset.
    pub calls: u64,
}

impl Store {
    /// The revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes keys in one transaction; `None` removes a key.
    pub fn write(&mut self, changes: &[(&str, Option<&[u8]>)]) -> u64 {
        self.revision += 1;
        let mut written = Vec::new();
        for &(key, value) in changes {
            let key: Arc<str> = key.into();
            let value = value.map(Bytes::copy_from_slice);
            match &value {
                Some(value) => {
                    let value = (self.revision, value.clone());
                    self.values.insert(key.clone(), value);
                }
                None => {
                    self.values.remove(&key);
                }
            }
            written.push(Change {
                key,
                revision: self.revision,
                value,
            });
        }
        self.history.push((self.revision, written));
        self.revision
    }

    /// Writes catalogue keys and the catalogue's head, as the operators' tool does.
    pub fn apply(&mut self, format: u16, epoch: u32, changes: &[(&str, Option<&[u8]>)]) -> u64 {
        let head = fleet::Head {
            format,
            epoch,
            change: format!("change-{}", self.revision + 1),
        };
        let head = serde_json::to_vec(&head).unwrap_or_default();
        let mut all = changes.to_vec();
        all.push((HEAD, Some(&head)));
        self.write(&all)
    }

    /// Restores the state at `revision`, as from a backup.
    pub fn restore(&mut self, revision: u64) {
        let history = std::mem::take(&mut self.history);
        self.values.clear();
        for (at, changes) in history {
            if at > revision {
                break;
            }
            for change in &changes {
                match &change.value {
                    Some(value) => {
                        let value = (at, value.clone());
                        self.values.insert(change.key.clone(), value);
                    }
                    None => {
                        self.values.remove(&change.key);
                    }
                }
            }
            self.history.push((at, changes));
        }
        self.revision = revision;
    }

    /// Compacts the history up to `revision`.
    pub fn compact(&mut self, revision: u64) {
        self.compacted = revision;
        self.history.retain(|&(at, _)| at > revision);
    }

    /// The current keys, with the revision of the last write and the value of each.
    pub fn values(&self) -> &BTreeMap<Arc<str>, (u64, Bytes)> {
        &self.values
    }

    pub(crate) fn range(&self) -> Answer {
        let changes = self.values.iter().map(|(key, (revision, value))| Change {
            key: key.clone(),
            revision: *revision,
            value: Some(value.clone()),
        });
        Answer::Range {
            revision: self.revision,
            changes: changes.collect(),
        }
    }

    pub(crate) fn head(&self) -> Answer {
        Answer::Head {
            revision: self.revision,
            written: self.values.get(HEAD).map(|&(revision, _)| revision),
        }
    }

    /// Answers that a watch from revision `from` gets at once.
    pub(crate) fn watch(&self, from: u64) -> Vec<Answer> {
        if from <= self.compacted {
            return vec![Answer::Compacted];
        }
        let mut answers = vec![Answer::Watching {
            revision: self.revision,
        }];
        answers.extend(self.changes_from(from));
        answers
    }

    pub(crate) fn changes_from(&self, from: u64) -> impl Iterator<Item = Answer> {
        let past = self.history.iter().filter(move |&&(at, _)| at >= from);
        past.map(|(revision, changes)| Answer::Changes {
            revision: *revision,
            changes: changes.clone(),
        })
    }
}
