//! Maps a caller's cancel key to the statement that runs for the caller.
//!
//! A cancel request is sent on a connection of its own and cancels the statement
//! that its target connection runs when the request arrives. If the statement has
//! ended by then and the next one has started, the wrong statement is cancelled.
//! No statement is therefore sent on a connection with a pending cancel. The server
//! answers a cancel request by closing its connection after the cancel was signalled.

use std::collections::HashMap;

use pool::{Handle, conn::Generation};

/// The cancel key of a caller, issued when the caller connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Process number.
    pub process: i32,
    /// Secret.
    pub secret: i32,
}

/// Tells when a statement may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// The statement may be sent now.
    Open,
    /// The statement may be sent when [`Table::answered`] returns it.
    Closed,
}

/// The running statements of all callers, and the pending cancels.
///
/// Keys map to statements and not to connections, so that a cancel that arrives
/// after the end of its statement has no effect on the next user of the connection.
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
    /// Notes that the caller's statement is ready to be sent.
    pub fn start(&mut self, key: Key, handle: Handle) -> Gate {
        if self.pending_cancels.contains_key(&handle.generation) {
            self.unsent.insert(handle.generation, (key, handle));
            return Gate::Closed;
        }
        self.running.insert(key, handle);
        Gate::Open
    }

    /// Notes the end of a statement; the end of an older one has no effect.
    pub fn end(&mut self, key: Key, handle: Handle) {
        if self.running.get(&key) == Some(&handle) {
            self.running.remove(&key);
        }
    }

    /// Returns the statement to cancel, if one runs.
    ///
    /// [`Table::answered`] must be called for its connection once the cancel
    /// request is answered.
    pub fn cancel(&mut self, key: Key) -> Option<Handle> {
        let handle = self.running.get(&key).copied()?;
        *self.pending_cancels.entry(handle.generation).or_insert(0) += 1;
        Some(handle)
    }

    /// Removes and returns the caller's statement if a pending cancel has kept the
    /// statement from being sent. Such a statement has not run.
    pub fn cancel_unsent(&mut self, key: Key) -> Option<Handle> {
        let mut unsent = self.unsent.iter();
        let (&generation, _) = unsent.find(|(_, (of, _))| *of == key)?;
        self.unsent.remove(&generation).map(|(_, handle)| handle)
    }

    /// Notes that the connection of a cancel request was closed by the server, or
    /// could not be opened.
    ///
    /// Returns the statement that may be sent now, if one waits.
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

    /// Returns true if no cancel is pending for the connection, so that another
    /// request may use the connection without being cancelled.
    pub fn is_reusable(&self, generation: Generation) -> bool {
        !self.pending_cancels.contains_key(&generation)
    }

    /// Removes a lost connection, its pending cancels and its unsent statement.
    pub fn lost(&mut self, generation: Generation) {
        self.pending_cancels.remove(&generation);
        self.unsent.remove(&generation);
        self.running.retain(|_, it| it.generation != generation);
    }
}
