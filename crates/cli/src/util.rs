//! Input and output shared by all commands.

use std::{
    fs,
    io::{self, Write},
    path::Path,
};

use catalog::{Catalog, Checked, change::Change};
use serde::Serialize;

use crate::error::{Error, Faults};

/// Prints a result. A closed pipe, as left by `head`, is not an error.
pub(crate) fn print(text: &str) -> Result<(), Error> {
    let mut wtr = io::stdout().lock();
    let done = wtr.write_all(text.as_bytes()).and_then(|()| wtr.flush());
    match done {
        Err(err) if err.kind() != io::ErrorKind::BrokenPipe => Err(err.into()),
        _ => Ok(()),
    }
}

/// Prints a result as JSON.
pub(crate) fn print_json<T: Serialize>(result: &T) -> Result<(), Error> {
    let mut text = serde_json::to_string_pretty(result)?;
    text.push('\n');
    print(&text)
}

/// Reads and parses a catalogue file.
pub(crate) fn read(path: &Path) -> Result<Checked, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    Catalog::check(&text).map_err(|error| {
        let path = path.to_owned();
        Error::Catalog(Faults { path, error })
    })
}

/// Prints the warnings about a file to standard error.
pub(crate) fn warn(path: &Path, checked: &Checked) {
    for warning in &checked.warnings {
        eprintln!("{}:{warning} (warning)", path.display());
    }
}

/// Replaces control characters in `text`.
///
/// Names and messages come from other operators and machines, and control
/// characters in them could manipulate the operator's terminal.
pub(crate) fn sanitize(text: &str) -> String {
    let shown = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(shown).collect()
}

/// Replaces control characters in `text` except line ends.
pub(crate) fn sanitize_lines(text: &str) -> String {
    let lines: Vec<_> = text.lines().map(sanitize).collect();
    lines.join("\n")
}

/// A human-readable table.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|&heading| heading.to_owned());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows
            .push(cells.iter().map(|cell| sanitize(cell)).collect());
    }

    /// The table as text; empty if the table has no rows.
    pub(crate) fn text(&self) -> String {
        if self.rows.len() == 1 {
            return String::new();
        }
        let columns = self.rows[0].len();
        let width = |at: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(at));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect();
            text += line.join("  ").trim_end();
            text.push('\n');
        }
        text
    }
}

/// Formats a value, or `-` for none.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Formats a duration in milliseconds with a suitable unit.
pub(crate) fn format_duration(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{ms} ms"),
        10_000..600_000 => format!("{} s", ms / 1_000),
        600_000..36_000_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// Formats each change on one line, followed by lines for its changed fields.
pub(crate) fn format_changes(changes: &[Change]) -> String {
    let line = |change: &Change| sanitize_lines(&change.to_string()) + "\n";
    changes.iter().map(line).collect()
}
