//! A change as one conditional transaction on the store.

use std::collections::BTreeMap;

use crate::{
    Catalog,
    change::{self, Change},
    head::{Head, Id},
    history::{self, Record},
    layout::{self, Key, MAX_VALUE, Snapshot},
};

/// The most operations in a transaction: etcd's default `--max-txn-ops`.
pub const MAX_OPS: usize = 128;

/// The most bytes of keys and values in a transaction, below etcd's default
/// `--max-request-bytes` of 1.5 MiB with room for the request's frame.
pub const MAX_BYTES: usize = 1_400_000;

/// A condition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision at which it must have been last written; 0: not there.
    pub revision: u64,
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// Writes and removals that take effect all together, if all compares hold.
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
    /// How many operations take effect.
    pub fn ops(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }

    /// How many bytes its keys and values have.
    pub fn bytes(&self) -> usize {
        let puts: usize = self.puts.iter().map(|p| p.key.len() + p.value.len()).sum();
        let deletes: usize = self.deletes.iter().map(String::len).sum();
        puts + deletes
    }
}

/// Who proposes a change, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The change's mark, drawn at random.
    pub change: Id,
    /// Who proposes it.
    pub author: String,
    /// Why.
    pub message: String,
    /// When, as RFC 3339 text.
    pub time: String,
}

/// A change that is ready to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What it was planned from.
    pub from: Snapshot,
    /// What is in force by it.
    pub to: Catalog,
    /// The head that it writes.
    pub head: Head,
    /// What it changes.
    pub changes: Vec<Change>,
    /// How it is written.
    pub txn: Txn,
}

/// Why a change can't be planned.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The catalogue in force is the one proposed.
    #[error("nothing to change: the catalogue in force is the same")]
    Same,
    /// A value is larger than the store holds.
    #[error("`{key}` takes {bytes} bytes, the store holds up to {MAX_VALUE}; split it")]
    TooLarge {
        /// The key of the value.
        key: Key,
        /// The value's size.
        bytes: usize,
    },
    /// More keys than one transaction takes.
    #[error(
        "the change touches {ops} keys, one transaction takes up to {MAX_OPS}; apply it with `--in-parts`"
    )]
    TooMany {
        /// Keys written and removed.
        ops: usize,
    },
    /// More bytes than one transaction takes.
    #[error(
        "the change takes {bytes} bytes, one transaction takes up to {MAX_BYTES}; apply it with `--in-parts`"
    )]
    TooMuch {
        /// Bytes of keys and values.
        bytes: usize,
    },
    /// A value has no JSON form.
    #[error(transparent)]
    Layout(#[from] layout::Error),
}

/// Plans the change from `from` to `to`: only the keys that differ, the head
/// and the record of the change, on condition that the head is still the one
/// that was read. Two plans from one revision thus never both take effect.
///
/// # Errors
///
/// [`Error`] where there is nothing to change or it does not fit the store.
pub fn plan(from: &Snapshot, to: &Catalog, proposal: Proposal) -> Result<Plan, Error> {
    if from.catalog == *to {
        return Err(Error::Same);
    }
    build(from, to, proposal, epoch(from))
}

/// Plans the change from `from` to `to`, if any, in a new epoch.
///
/// A store that was restored from a backup shows a lower revision than the one
/// that instances hold, and they rightly refuse to go back. Only an operator
/// can tell that it is to be believed, and does so by raising the epoch.
///
/// # Errors
///
/// [`Error`] where the change does not fit the store.
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

/// The record that makes room for that of change `number`.
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
