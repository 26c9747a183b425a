//! Which statement a caller's cancel key means right now.

use std::collections::HashMap;

use pool::Handle;

/// The key a caller got at connect: process number and secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// The process number.
    pub process: i32,
    /// The secret.
    pub secret: i32,
}

/// The statements in flight of all callers.
///
/// A cancel that comes after its statement ended finds nothing. Were the key
/// bound to a connection instead, it would hit whoever uses that one next.
#[derive(Debug, Default)]
pub struct Table {
    running: HashMap<Key, Handle>,
}

impl Table {
    /// The caller's statement was sent.
    pub fn start(&mut self, key: Key, handle: Handle) {
        self.running.insert(key, handle);
    }

    /// The statement ended; an older one's end changes nothing.
    pub fn end(&mut self, key: Key, handle: Handle) {
        if self.running.get(&key) == Some(&handle) {
            self.running.remove(&key);
        }
    }

    /// The statement to cancel. Its connection must be discarded, because the
    /// upstream may act on the cancel after the statement ended.
    pub fn cancel(&self, key: Key) -> Option<Handle> {
        self.running.get(&key).copied()
    }
}
