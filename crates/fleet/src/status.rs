//! What operators see of the fleet from one instance.

use clock::Instant;
use model::name;
use wire::{Revision, State};

use crate::{Fleet, Held};

/// How an instance stands with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// It is no relay and asks nothing of the store.
    Off,
    /// It asked the store and waits.
    Starting,
    /// It watches the store.
    On,
    /// The store does not answer, or is refused because it is behind.
    Failing,
}

/// Members of a zone, counted by state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: name::Zone,
    /// How many answer and take work.
    pub alive: usize,
    /// How many do not answer.
    pub suspect: usize,
    /// How many finish what runs.
    pub leaving: usize,
    /// Who watches the store, as seen from here.
    pub relays: Vec<name::Instance>,
}

/// What operators see of the fleet from one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The revision mirrored.
    pub mirrored: Revision,
    /// The catalogue's revision in force.
    pub applied: Revision,
    /// The revision that is mirrored and not in force, and why.
    pub held: Option<Held>,
    /// How this instance stands with the store.
    pub watch: Watch,
    /// Members by zone.
    pub zones: Vec<ZoneStatus>,
}

/// Where a member stands, to a `wait` for a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It was heard since the survey began, and has this catalogue in force.
    Applied(Revision),
    /// It was not heard since.
    Missing,
}

impl Fleet {
    /// How this instance stands with the store.
    pub fn watch(&self) -> Watch {
        self.relay.status()
    }

    /// What operators see from here.
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

    /// What each member but this one was heard to hold since `since`, by name.
    ///
    /// A view tells the revision mirrored, and the one in force where another
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
