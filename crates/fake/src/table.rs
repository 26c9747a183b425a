//! The tables of an upstream and the log that makes them.

use std::collections::BTreeMap;

use model::{Lsn, Position, Term};

/// The tables that exist; each maps a text to a text.
pub(crate) const TABLES: [(&str, [&str; 2]); 2] = [
    ("kv", ["key", "value"]),
    ("dandelionlink_request", ["id", "tag"]),
];

/// A row's place: the table and the primary key.
pub(crate) type RowKey = (usize, String);

/// Rows by table and key.
pub(crate) type Rows = BTreeMap<RowKey, String>;

/// A change of one row; `None` removes it.
pub(crate) type Write = (RowKey, Option<String>);

/// One committed transaction in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    /// The term of the primary that wrote it, and the log's end after it.
    pub(crate) position: Position,
    /// What it changed.
    pub(crate) writes: Vec<Write>,
}

/// A log, and the tables as far as it was replayed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    /// All that was received.
    pub(crate) entries: Vec<Entry>,
    /// How many of the entries the tables show.
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

    /// The position that the tables show.
    pub(crate) fn replayed_position(&self) -> Position {
        let last = self.replayed.checked_sub(1);
        last.map_or(Position::default(), |last| self.entries[last].position)
    }

    /// Writes an entry at the end, in `term`, and shows it at once.
    pub(crate) fn append(&mut self, term: Term, writes: Vec<Write>) {
        let size = 24 + 16 * writes.len() as u64;
        let lsn = Lsn(self.received().lsn.0 + size);
        self.entries.push(Entry {
            position: Position { term, lsn },
            writes,
        });
        self.replay(self.entries.len());
    }

    /// Shows the entries up to the first `count`.
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

    /// Makes this log begin as `leader`'s does, dropping what is not in it.
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
