//! Records of past changes, limited in number and size.

use serde::{Deserialize, Serialize};

use crate::{
    change::Change,
    head::Head,
    layout::{self, Key, Pair},
};

/// Number of records in the store; a further change removes the oldest one.
pub const MAX_RECORDS: u64 = 1_000;

/// Maximum bytes of a record's changes. With [`MAX_RECORDS`], this limits the
/// history to 64 MB.
pub const MAX_CHANGES_BYTES: usize = 64_000;

/// A past change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Author, reason and number of the change.
    pub head: Head,
    /// Revision that the change was planned from.
    pub from: u64,
    /// Changed subjects, truncated to [`MAX_CHANGES_BYTES`] bytes.
    pub changes: Vec<Change>,
    /// Number of changes dropped by the truncation.
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

    /// Decodes a record from its key and value.
    ///
    /// # Errors
    ///
    /// [`layout::Error`] if the pair is not a record of the history.
    pub fn decode(pair: &Pair) -> Result<Self, layout::Error> {
        let key: Key = pair.key.parse()?;
        match key {
            Key::History(_) => layout::decode_value(&key, &pair.value),
            _ => Err(layout::KeyError(pair.key.clone()).into()),
        }
    }
}
