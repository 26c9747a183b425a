//! Which statement a caller's cancel key means right now.
//!
//! A cancel reaches the upstream on a connection of its own and hits whatever
//! its target runs by then. On the way it can be overtaken by the end of its
//! statement and by the next statement, which it would end in its stead. So
//! nothing is sent on a connection while a cancel for it is under way: the
//! server closes the cancel's own connection once it has passed the cancel on,
//! and that is its answer.

use std::collections::HashMap;

use pool::{Handle, conn::Generation};

/// The key a caller got at connect: process number and secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// The process number.
    pub process: i32,
    /// The secret.
    pub secret: i32,
}

/// Whether a statement may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Now.
    Open,
    /// When [`Table::answered`] names it.
    Closed,
}

/// The statements in flight of all callers, and the cancels under way.
///
/// A cancel that comes after its statement ended finds nothing. Were the key
/// bound to a connection instead, it would hit whoever uses that one next.
///
/// ```
/// use pool::{Handle, conn::Generation};
/// use request::cancel::{Gate, Key, Table};
///
/// let key = Key { process: 1, secret: 2 };
/// let statement = |sequence| Handle { generation: Generation(1), sequence };
/// let mut table = Table::default();
/// assert_eq!(table.start(key, statement(1)), Gate::Open);
/// assert_eq!(table.cancel(key), Some(statement(1)));
/// table.end(key, statement(1));
/// assert_eq!(table.start(key, statement(2)), Gate::Closed);
/// assert_eq!(table.answered(Generation(1)), Some((key, statement(2))));
/// ```
#[derive(Debug, Default)]
pub struct Table {
    running: HashMap<Key, Handle>,
    pending_cancels: HashMap<Generation, u32>,
    unsent: HashMap<Generation, (Key, Handle)>,
}

impl Table {
    /// The caller's statement is to be sent.
    pub fn start(&mut self, key: Key, handle: Handle) -> Gate {
        if self.pending_cancels.contains_key(&handle.generation) {
            self.unsent.insert(handle.generation, (key, handle));
            return Gate::Closed;
        }
        self.running.insert(key, handle);
        Gate::Open
    }

    /// The statement ended; an older one's end changes nothing.
    pub fn end(&mut self, key: Key, handle: Handle) {
        if self.running.get(&key) == Some(&handle) {
            self.running.remove(&key);
        }
    }

    /// The statement to cancel; [`Table::answered`] must follow for its
    /// connection.
    pub fn cancel(&mut self, key: Key) -> Option<Handle> {
        let handle = self.running.get(&key).copied()?;
        *self.pending_cancels.entry(handle.generation).or_insert(0) += 1;
        Some(handle)
    }

    /// Takes out the caller's statement if it is held back: it was cancelled
    /// before it was sent, so it did not run.
    pub fn cancel_unsent(&mut self, key: Key) -> Option<Handle> {
        let mut unsent = self.unsent.iter();
        let (&generation, _) = unsent.find(|(_, (of, _))| *of == key)?;
        self.unsent.remove(&generation).map(|(_, handle)| handle)
    }

    /// The server closed the connection that carried a cancel, or that could
    /// not be opened. The statement that may be sent now, if one waits.
    pub fn answered(&mut self, generation: Generation) -> Option<(Key, Handle)> {
        let count = self.pending_cancels.get_mut(&generation)?;
        *count -= 1;
        if *count > 0 {
            return None;
        }
        self.pending_cancels.remove(&generation);
        let (key, handle) = self.unsent.remove(&generation)?;
        self.running.insert(key, handle);
        Some((key, handle))
    }

    /// Whether a connection may be given to another request: a cancel under
    /// way would hit that one.
    pub fn is_reusable(&self, generation: Generation) -> bool {
        !self.pending_cancels.contains_key(&generation)
    }

    /// The connection is gone, with what was held back for it.
    pub fn lost(&mut self, generation: Generation) {
        self.pending_cancels.remove(&generation);
        self.unsent.remove(&generation);
        self.running.retain(|_, it| it.generation != generation);
    }
}
