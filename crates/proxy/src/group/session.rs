//! Count of the sessions on a group.

use std::rc::Rc;

use super::Group;

/// Counts a session that is served here, until it is dropped.
#[derive(Debug)]
pub struct SessionGuard(Rc<Group>);

impl SessionGuard {
    /// Counts one more session on `group`.
    pub fn new(group: Rc<Group>) -> Self {
        group.sessions.set(group.sessions.get() + 1);
        group.activate();
        Self(group)
    }
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        let sessions = &self.0.sessions;
        sessions.set(sessions.get() - 1);
    }
}
