//! The tables of an upstream and the log that is replayed into them.

use std::collections::BTreeMap;

use model::{Lsn, Position, Term};

/// The tables and their columns: a text key and a text value each.
pub(crate) const TABLES: [(&str, [&str; 2]); 2] = [
    ("kv", ["key", "value"]),
    ("dandelionlink_request", ["id", "tag"]),
];

/// Identifies a row: index in [`TABLES`] and primary key.
pub(crate) type RowKey = (usize, String);

/// Rows by table and key.
pub(crate) type Rows = BTreeMap<RowKey, String>;

/// A change of one row; `None` removes the row.
pub(crate) type Write = (RowKey, Option<String>);

/// One committed transaction in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Term of the primary that wrote the entry, and end of the log after the
    /// entry.
    pub(crate) position: Position,
    /// The changed rows.
    pub(crate) writes: Vec<Write>,
}

/// A log with the tables at its replayed position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    /// All received entries.
    pub(crate) entries: Vec<Entry>,
    /// Number of entries that are replayed into the tables.
    pub(crate) replayed: usize,
    /// The tables.
    pub(crate) rows: Rows,
}

impl Log {
    /// The position of the last entry received.
    pub(crate) fn received(&self) -> Position {
        self.entries
            .last()
            .map_or(Position::default(), |it| it.position)
    }

    /// The position of the last replayed entry.
    pub(crate) fn replayed_position(&self) -> Position {
        let last = self.replayed.checked_sub(1);
        last.map_or(Position::default(), |last| self.entries[last].position)
    }

    /// Appends an entry of `term` and replays the log to its end.
    pub(crate) fn append(&mut self, term: Term, writes: Vec<Write>) {
        let size = 24 + 16 * writes.len() as u64;
        let lsn = Lsn(self.received().lsn.0 + size);
        self.entries.push(Entry {
            position: Position { term, lsn },
            writes,
        });
        self.replay(self.entries.len());
    }

    /// Replays the log up to the first `count` entries.
    pub(crate) fn replay(&mut self, count: usize) {
        let count = count.min(self.entries.len());
        for entry in &self.entries[self.replayed.min(count)..count] {
            for (row_key, value) in &entry.writes {
                match value {
                    Some(value) => self.rows.insert(row_key.clone(), value.clone()),
                    None => self.rows.remove(row_key),
                };
            }
        }
        self.replayed = self.replayed.max(count);
    }

    /// Truncates this log to its common prefix with `leader`'s and rebuilds the
    /// tables.
    pub(crate) fn rewind(&mut self, leader: &Self) {
        let common = self
            .entries
            .iter()
            .zip(&leader.entries)
            .take_while(|(a, b)| a == b)
            .count();
        if common == self.entries.len() {
            return;
        }
        let replayed = self.replayed.min(common);
        self.entries.truncate(common);
        self.rows.clear();
        self.replayed = 0;
        self.replay(replayed);
    }
}
