//! Records of past changes, bounded in number and size.

use serde::{Deserialize, Serialize};

use crate::{
    change::Change,
    head::Head,
    layout::{self, Key, Pair},
};

/// How many records the store keeps; the next change removes the oldest.
pub const MAX_RECORDS: u64 = 1_000;

/// The most bytes of a record that tell what changed. With [`MAX_RECORDS`] it bounds
/// the history to 64 MB, however large the changes are.
pub const MAX_CHANGES_BYTES: usize = 64_000;

/// A past change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Who made it and why.
    pub head: Head,
    /// The catalogue's revision that it was planned from.
    pub from: u64,
    /// What it changed, up to [`MAX_CHANGES_BYTES`] bytes of it.
    pub changes: Vec<Change>,
    /// How many changes were left out for want of room.
    pub omitted: usize,
}

impl Record {
    pub(crate) fn new(head: Head, from: u64, changes: &[Change]) -> Self {
        let mut remaining = MAX_CHANGES_BYTES;
        let mut kept = Vec::new();
        for change in changes {
            let len = serde_json::to_string(change).map_or(usize::MAX, |json| json.len());
            if len > remaining {
                break;
            }
            remaining -= len;
            kept.push(change.clone());
        }
        Self {
            head,
            from,
            omitted: changes.len() - kept.len(),
            changes: kept,
        }
    }

    /// Reads a record from its key and value.
    ///
    /// # Errors
    ///
    /// [`layout::Error`] where the pair is not a record of the history.
    pub fn decode(pair: &Pair) -> Result<Self, layout::Error> {
        let key: Key = pair.key.parse()?;
        match key {
            Key::History(_) => layout::decode_value(&key, &pair.value),
            _ => Err(layout::KeyError(pair.key.clone()).into()),
        }
    }
}
