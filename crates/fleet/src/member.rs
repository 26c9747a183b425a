//! A member, as this instance sees it.

use clock::Instant;
use wire::{Node, Record, State, View};

use crate::Lifecycle;

/// Reachability of a member's zone from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// A member of the zone answers, or none was asked.
    Open,
    /// No member of the zone answers.
    CutOff,
}

/// A member, as this instance sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Identifier of the member.
    pub node: Node,
    /// Name, zone, address, incarnation and state of the member.
    pub record: Record,
    /// Time since which the member has this state.
    pub since: Instant,
    /// State in the platform's list, unless the list is distrusted.
    pub listed: Option<Lifecycle>,
    /// Reachability of the member's zone.
    pub path: Path,
    /// The member's last view, with the time of receipt.
    pub view: Option<(View, Instant)>,
}

impl Member {
    /// Returns true if the member may be given new work.
    pub fn is_available(&self) -> bool {
        self.record.state == State::Alive
            && self.path == Path::Open
            && self.listed != Some(Lifecycle::Leaving)
    }

    /// Returns true if the member is neither suspect nor gone.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.record.state, State::Alive | State::Leaving)
    }
}
