//! Status of the membership and the mirror, as one instance sees it.

use clock::Instant;
use model::name;
use wire::{Revision, State};

use crate::{Fleet, Held};

/// State of an instance's watch of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// The instance is no relay and does not call the store.
    Off,
    /// The store was called and has not answered yet.
    Starting,
    /// The watch is established.
    On,
    /// The store does not answer, or is refused because it is behind.
    Failing,
}

/// Members of a zone, counted by state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: name::Zone,
    /// Number of members that answer and take work.
    pub alive: usize,
    /// Number of members that do not answer.
    pub suspect: usize,
    /// Number of members that finish their running work.
    pub leaving: usize,
    /// Relays of the zone, as seen from this instance.
    pub relays: Vec<name::Instance>,
}

/// Status of the membership and the mirror, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Mirrored revision.
    pub mirrored: Revision,
    /// Catalogue revision in force.
    pub applied: Revision,
    /// Revision that is mirrored and not in force, with the reason.
    pub held: Option<Held>,
    /// State of this instance's watch of the store.
    pub watch: Watch,
    /// Members by zone.
    pub zones: Vec<ZoneStatus>,
}

/// Reply of a member to a survey, for a `wait` for a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The member was heard since the survey began, and has this catalogue
    /// revision in force.
    Applied(Revision),
    /// The member was not heard since the survey began.
    Missing,
}

impl Fleet {
    /// State of this instance's watch of the store.
    pub fn watch(&self) -> Watch {
        self.relay.status()
    }

    /// Status as seen from this instance.
    pub fn status(&self) -> Status {
        Status {
            mirrored: self.mirror.revision(),
            applied: self.activation.applied(),
            held: self.activation.held(),
            watch: self.relay.status(),
            zones: self
                .table
                .zones()
                .map(|zone| self.zone_status(zone))
                .collect(),
        }
    }

    /// Replies received since `since` from all other members, by name.
    ///
    /// A view contains the mirrored revision, and the one in force if another
    /// is held back.
    pub fn survey_replies(&self, since: Instant) -> impl Iterator<Item = (&name::Instance, Reply)> {
        let members = self
            .table
            .members()
            .filter(|member| member.node != self.node && member.record.state != State::Gone);
        members.map(move |member| {
            let view = member.view.filter(|&(_, heard)| heard >= since);
            let reply = view.map_or(Reply::Missing, |(view, _)| {
                Reply::Applied(view.applied.unwrap_or(view.revision))
            });
            (&member.record.name, reply)
        })
    }

    fn zone_status(&self, zone: &name::Zone) -> ZoneStatus {
        let count = |state| {
            let members = self.table.zone(zone);
            members
                .filter(|member| member.record.state == state)
                .count()
        };
        let relays = self.relays(zone);
        ZoneStatus {
            zone: zone.clone(),
            alive: count(State::Alive),
            suspect: count(State::Suspect),
            leaving: count(State::Leaving),
            relays: relays
                .iter()
                .map(|member| member.record.name.clone())
                .collect(),
        }
    }
}
