//! Whether an instance can serve callers.

use clock::{Boot, Instant};
use serde::{Deserialize, Serialize};

use super::{LAPSE_TOLERANCE, Node, Stage};
use crate::edge::Edge;

/// Ability of an instance to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceState {
    /// The instance has proved a primary recently, and reaches it.
    Able,
    /// No caller asked the instance recently, because other instances serve its sessions: it has no
    /// proof, and no reason for doubt.
    Idle,
    /// Callers asked the instance, and it can prove no primary.
    Unable,
}

impl<E: Edge> Node<E> {
    /// Returns true if no caller of this instance needed a primary recently: other instances serve
    /// its sessions, or it has none.
    pub fn is_idle(&self) -> bool {
        let now = Boot.now();
        !self.active().iter().any(|group| group.is_proof_wanted(now))
    }

    /// Returns true if the instance can take callers.
    ///
    /// An instance that can't serve while others may reports that, so that the balancer sends its
    /// zone's callers to another zone.
    pub fn is_ready(&self) -> bool {
        if self.stage.get() != Stage::Serving || !self.is_upstream_list_read.get() {
            return false;
        }
        if !self.catalog().accounts.is_empty() && !self.is_fresh(Boot.now()) {
            return false;
        }
        let groups = self.groups();
        let has_record = groups.iter().any(|group| group.stored_record().is_some());
        has_record && self.unable_since().is_none()
    }

    /// Returns the instance's ability to serve.
    pub fn service(&self) -> ServiceState {
        if self.is_idle() {
            return match self.peers.is_unserved() {
                true => ServiceState::Unable,
                false => ServiceState::Idle,
            };
        }
        match self.is_able() {
            true => ServiceState::Able,
            false => ServiceState::Unable,
        }
    }

    /// Returns true if some primary is reachable and proved, or was a moment ago.
    fn is_able(&self) -> bool {
        let now = Boot.now();
        self.active().iter().any(|group| {
            let proved = group.proof().until() + LAPSE_TOLERANCE > now;
            proved
                && group
                    .primary()
                    .is_some_and(|(member, _)| !member.is_failing())
        })
    }

    /// Returns the time since which this instance has been unable to serve while others may.
    pub fn unable_since(&self) -> Option<Instant> {
        let now = Boot.now();
        if self.service() != ServiceState::Unable || !self.peers.may_others_serve() {
            self.able_at.set(now);
            return None;
        }
        let since = self.able_at.get() + LAPSE_TOLERANCE;
        (since < now).then_some(since)
    }
}
