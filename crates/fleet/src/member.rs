//! One member, as this instance knows it.

use clock::Instant;
use wire::{Node, Record, State, View};

use crate::Lifecycle;

/// Whether a member's zone answers this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Someone there answers, or nobody was asked.
    Open,
    /// Nobody there answers.
    CutOff,
}

/// One member, as this instance knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its short name.
    pub node: Node,
    /// Its name, zone, address, incarnation and state.
    pub record: Record,
    /// Since when it has this state.
    pub since: Instant,
    /// What the platform's list says of it, unless the list is distrusted.
    pub listed: Option<Lifecycle>,
    /// Whether its zone answers this instance.
    pub path: Path,
    /// What it held when it was last heard, and when that was.
    pub view: Option<(View, Instant)>,
}

impl Member {
    /// Whether it may be given new work.
    pub fn is_available(&self) -> bool {
        self.record.state == State::Alive
            && self.path == Path::Open
            && self.listed != Some(Lifecycle::Leaving)
    }

    /// Whether it is worth sending to: it is not known to be away.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.record.state, State::Alive | State::Leaving)
    }
}
