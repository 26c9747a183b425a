//! Names of the prepared statements of an upstream connection.

use std::collections::HashMap;

use bytes::Bytes;

use crate::message::{Access, Prepared};

/// Total length of the texts at which a connection counts as full.
const MAX_TEXT_BYTES: usize = 256 << 10;

/// Number of statements at which a connection counts as full.
const MAX_STATEMENTS: usize = 4_096;

/// The statements that are prepared on a connection, with their names.
///
/// A statement is prepared once for all sessions that use the connection. It is looked up by its whole
/// text: with a hash of the text in its place, callers can choose statements that take each other's
/// name.
///
/// ```
/// use bytes::Bytes;
/// use proxy::{connection::prepared::Names, message::{Access, Prepared}};
///
/// let statement = Prepared { access: Access::Read, text: Bytes::from("shape") };
/// let mut names = Names::default();
/// assert_eq!(names.find(&statement), None);
/// assert_eq!(names.add(&statement), "r0");
/// assert_eq!(names.find(&statement).as_deref(), Some("r0"));
/// names.clear();
/// assert_eq!(names.add(&statement), "r1");
/// ```
#[derive(Debug, Default)]
pub struct Names {
    numbers: HashMap<Prepared, u64>,
    text_bytes: usize,
    /// Number of the next statement. No name is used twice, as the upstream may still know the
    /// statement that had it.
    next: u64,
}

impl Names {
    /// Returns the name of a statement that is prepared.
    pub fn find(&self, statement: &Prepared) -> Option<String> {
        let number = self.numbers.get(statement)?;
        Some(name(statement.access, *number))
    }

    /// Adds a statement, and returns its name.
    pub fn add(&mut self, statement: &Prepared) -> String {
        // The text is a part of the caller's input, which it would keep in memory.
        let text = Bytes::copy_from_slice(&statement.text);
        let added = Prepared {
            access: statement.access,
            text,
        };
        let number = self.next;
        self.next += 1;
        if self.numbers.insert(added, number).is_none() {
            self.text_bytes += statement.text.len();
        }
        name(statement.access, number)
    }

    /// Forgets all statements.
    pub fn clear(&mut self) {
        self.numbers.clear();
        self.text_bytes = 0;
    }

    /// Returns true if the connection has so many statements that they are to be dropped.
    pub fn is_full(&self) -> bool {
        self.numbers.len() >= MAX_STATEMENTS || self.text_bytes >= MAX_TEXT_BYTES
    }
}

fn name(access: Access, number: u64) -> String {
    match access {
        Access::Read => format!("r{number}"),
        Access::Write => format!("w{number}"),
    }
}
