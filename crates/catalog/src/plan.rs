//! Plans a change as one conditional transaction on the store.

use std::collections::BTreeMap;

use crate::{
    Catalog,
    change::{self, Change},
    head::{Head, Id},
    history::{self, Record},
    layout::{self, Key, MAX_VALUE, Snapshot},
};

/// Maximum operations in a transaction: etcd's default `--max-txn-ops`.
pub const MAX_OPS: usize = 128;

/// Maximum bytes of keys and values in a transaction: etcd's default
/// `--max-request-bytes` of 1.5 MiB less room for the request's framing.
pub const MAX_BYTES: usize = 1_400_000;

/// A condition on the revision of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// Required modification revision; 0 if the key must not exist.
    pub revision: u64,
}

/// A key and value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// Writes and deletions that take effect atomically if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The values to write.
    pub puts: Vec<Put>,
    /// The keys to remove.
    pub deletes: Vec<String>,
}

impl Txn {
    /// Number of writes and deletions.
    pub fn ops(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }

    /// Total bytes of keys and values.
    pub fn bytes(&self) -> usize {
        let puts: usize = self.puts.iter().map(|p| p.key.len() + p.value.len()).sum();
        let deletes: usize = self.deletes.iter().map(String::len).sum();
        puts + deletes
    }
}

/// Metadata of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Random id of the change.
    pub change: Id,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub message: String,
    /// Time of the proposal, as RFC 3339 text.
    pub time: String,
}

/// A change that is ready to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Snapshot that the change was planned from.
    pub from: Snapshot,
    /// Catalogue that the change puts in force.
    pub to: Catalog,
    /// Head that the change writes.
    pub head: Head,
    /// Changed subjects.
    pub changes: Vec<Change>,
    /// Transaction to send.
    pub txn: Txn,
}

/// Reason why a change can't be planned.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The proposed catalogue equals the one in force.
    #[error("nothing to change: the catalogue in force is the same")]
    Same,
    /// A value exceeds [`MAX_VALUE`].
    #[error("`{key}` takes {bytes} bytes, the store holds up to {MAX_VALUE}; split it")]
    TooLarge {
        /// The key of the value.
        key: Key,
        /// Size of the value.
        bytes: usize,
    },
    /// The change has more operations than [`MAX_OPS`].
    #[error(
        "the change touches {ops} keys, one transaction takes up to {MAX_OPS}; apply it with `--in-parts`"
    )]
    TooMany {
        /// Keys written and deleted.
        ops: usize,
    },
    /// The change has more bytes than [`MAX_BYTES`].
    #[error(
        "the change takes {bytes} bytes, one transaction takes up to {MAX_BYTES}; apply it with `--in-parts`"
    )]
    TooMuch {
        /// Bytes of keys and values.
        bytes: usize,
    },
    /// A value can't be serialized.
    #[error(transparent)]
    Layout(#[from] layout::Error),
}

/// Plans the change from `from` to `to`. The transaction writes only the keys
/// that differ, the head and the change's record, on condition that the head
/// is unchanged since it was read. Of two plans from one revision, at most one
/// takes effect.
///
/// # Errors
///
/// [`Error`] if there is nothing to change or the change exceeds a limit.
pub fn plan(from: &Snapshot, to: &Catalog, proposal: Proposal) -> Result<Plan, Error> {
    if from.catalog == *to {
        return Err(Error::Same);
    }
    build(from, to, proposal, epoch(from))
}

/// Plans the change from `from` to `to`, which may be equal, in a new epoch.
///
/// A store that was restored from a backup has a lower revision than the one
/// in force at the instances, which never go back to a lower revision. An
/// operator declares the restored store valid by raising the epoch.
///
/// # Errors
///
/// [`Error`] if the change exceeds a limit.
pub fn renew(from: &Snapshot, to: &Catalog, proposal: Proposal) -> Result<Plan, Error> {
    build(from, to, proposal, epoch(from) + 1)
}

fn epoch(from: &Snapshot) -> u32 {
    from.head.as_ref().map_or(0, |head| head.epoch)
}

fn build(from: &Snapshot, to: &Catalog, proposal: Proposal, epoch: u32) -> Result<Plan, Error> {
    let changes = change::diff(&from.catalog, to);
    let number = from.head.as_ref().map_or(0, |head| head.number) + 1;
    let head = Head {
        number,
        change: proposal.change,
        author: proposal.author,
        message: proposal.message,
        epoch,
        time: proposal.time,
    };
    let record = Record::new(head.clone(), from.revision, &changes);

    let mut old: BTreeMap<_, _> = layout::encode(&from.catalog)?.into_iter().collect();
    let mut puts = layout::encode(to)?;
    puts.retain(|(key, value)| old.remove(key).as_ref() != Some(value));
    puts.push((Key::Head, layout::encode_value(&Key::Head, &head)?));
    let record_key = Key::History(number);
    let record_value = layout::encode_value(&record_key, &record)?;
    puts.push((record_key, record_value));

    let mut deletes: Vec<_> = old.keys().map(Key::to_string).collect();
    deletes.extend(expired_record(number).map(|key| key.to_string()));

    let txn = Txn {
        compares: vec![Compare {
            key: Key::Head.to_string(),
            revision: from.revision,
        }],
        puts: into_puts(puts)?,
        deletes,
    };
    check_size(&txn)?;
    Ok(Plan {
        from: from.clone(),
        to: to.clone(),
        head,
        changes,
        txn,
    })
}

/// The record to remove when the record of change `number` is written.
fn expired_record(number: u64) -> Option<Key> {
    let oldest = number.checked_sub(history::MAX_RECORDS)?;
    (oldest > 0).then_some(Key::History(oldest))
}

fn check_size(txn: &Txn) -> Result<(), Error> {
    let ops = txn.ops();
    if ops > MAX_OPS {
        return Err(Error::TooMany { ops });
    }
    let bytes = txn.bytes();
    if bytes > MAX_BYTES {
        return Err(Error::TooMuch { bytes });
    }
    Ok(())
}

fn into_puts(pairs: Vec<(Key, Vec<u8>)>) -> Result<Vec<Put>, Error> {
    let mut puts = Vec::new();
    for (key, value) in pairs {
        if value.len() > MAX_VALUE {
            let bytes = value.len();
            return Err(Error::TooLarge { key, bytes });
        }
        puts.push(Put {
            key: key.to_string(),
            value,
        });
    }
    Ok(puts)
}
