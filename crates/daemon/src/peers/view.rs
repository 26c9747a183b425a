//! State of the fleet and of the catalogue in force for operators.

use std::collections::BTreeSet;

use clock::Instant;
use fleet::{Held, Notice, Reason, Watch};
use model::name;
use view::{Doubt, Health, Revision};
use wire::State;

use super::Peers;
use crate::introspect::{self, millis};

/// State that the duty keeps only for operators.
#[derive(Debug, Default)]
pub(super) struct Diagnostics {
    /// Time at which the catalogue was put in force.
    applied: Option<Instant>,
    /// Last refused catalogue and the reason.
    refused: Option<(wire::Revision, String)>,
    /// Revision of the store and the newer one held here, after the store has
    /// gone back.
    store_older: Option<(wire::Revision, wire::Revision)>,
}

impl Diagnostics {
    /// Notes that a catalogue was put in force.
    pub(super) fn applied(&mut self, now: Instant) {
        self.applied = Some(now);
        self.refused = None;
    }

    /// Notes that a catalogue was refused.
    pub(super) fn refused(&mut self, revision: wire::Revision, reason: String) {
        self.refused = Some((revision, reason));
    }

    /// Notes a notice of the fleet state machine.
    pub(super) fn note(&mut self, notice: &Notice) {
        match notice {
            Notice::StoreBehind { store, held } => self.store_older = Some((*store, *held)),
            Notice::StoreBack => self.store_older = None,
            _ => {}
        }
    }
}

impl Peers {
    /// State of the duty for operators.
    pub(super) fn view(&self) -> introspect::Fleet {
        let now = self.clock.now();
        let applied = self.diagnostics.applied.unwrap_or(now);
        introspect::Fleet {
            revision: revision(self.fleet.applied()),
            applied_ms_ago: millis(now.since(applied)),
            members: self.members_view(now),
            doubts: self.doubts(),
        }
    }

    fn members_view(&self, now: Instant) -> Vec<view::Member> {
        let status = self.fleet.status();
        let others = self.fleet.table().members();
        let others = others.filter(|it| it.node != self.fleet.node());
        let member = |it: &fleet::Member| {
            let heard = it.view.map_or(it.since, |(_, heard)| heard.max(it.since));
            let reported = it.view.map(|(view, _)| in_force(&status, &view));
            view::Member {
                instance: it.record.name.clone(),
                zone: it.record.zone.clone(),
                address: it.record.address,
                health: health(it.record.state),
                revision: reported.map(revision),
                heard_ms_ago: millis(now.since(heard)),
            }
        };
        let mut members: Vec<_> = others.map(member).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    fn doubts(&self) -> Vec<Doubt> {
        let status = self.fleet.status();
        let mut doubts = Vec::new();
        if status.applied == wire::Revision::NONE {
            doubts.push(Doubt::NoCatalog);
        }
        doubts.extend(status.held.map(|held| self.held(held)));
        let store_older = self
            .diagnostics
            .store_older
            .filter(|_| status.watch != Watch::On);
        doubts.extend(store_older.map(|(shown, held)| Doubt::StoreOlder {
            shown: revision(shown),
            held: revision(held),
        }));
        doubts.extend(self.silent_zones());
        doubts
    }

    fn held(&self, held: Held) -> Doubt {
        let reason = match held.reason {
            Reason::Format(format) => {
                return Doubt::Newer {
                    revision: revision(held.revision),
                    format: format.into(),
                };
            }
            Reason::NoHead => "it has no readable head".to_owned(),
            Reason::Incomplete => {
                "keys were written behind its head, so it was not made in one transaction"
                    .to_owned()
            }
            Reason::Refused => self.diagnostics.refused.as_ref().map_or_else(
                || "it can't be read".to_owned(),
                |(_, reason)| reason.clone(),
            ),
        };
        Doubt::Unfit {
            revision: revision(held.revision),
            reason,
        }
    }

    fn silent_zones(&self) -> Vec<Doubt> {
        let table = self.fleet.table();
        let Some(own) = table.find(self.fleet.node()) else {
            return Vec::new();
        };
        let states = |zone| table.zone(zone).map(|it| it.record.state).collect();
        let zones = table.zones().map(|zone| (zone.clone(), states(zone)));
        silent_zones(&own.record.zone, zones)
    }
}

/// Returns the zones in which no instance answers, by the states of each zone's
/// instances. Instances that left by themselves are not missed.
fn silent_zones(
    own: &name::Zone,
    zones: impl Iterator<Item = (name::Zone, Vec<State>)>,
) -> Vec<Doubt> {
    let mut silent = BTreeSet::new();
    let mut heard = 0;
    for (zone, states) in zones.filter(|(zone, _)| zone != own) {
        if states.contains(&State::Alive) || states.contains(&State::Leaving) {
            heard += 1;
        } else if states.contains(&State::Suspect) {
            silent.insert(zone);
        }
    }
    let alone = heard == 0 && !silent.is_empty();
    let alone = alone.then(|| Doubt::ZoneAlone { zone: own.clone() });
    let silent = silent.into_iter().map(|zone| Doubt::ZoneSilent { zone });
    alone.into_iter().chain(silent).collect()
}

/// Returns the revision of the catalogue that another instance has in force.
///
/// An instance without `applied` reports only the revision up to which it
/// mirrors the store, and each change of a primary raises that revision as
/// well. Shown unchanged, it would suggest that this instance, which has the
/// same catalogue, lacks a change.
fn in_force(own: &fleet::Status, reported: &wire::View) -> wire::Revision {
    if let Some(applied) = reported.applied {
        return applied;
    }
    let known = own.applied <= reported.revision && reported.revision <= own.mirrored;
    if known && own.held.is_none() {
        return own.applied;
    }
    reported.revision
}

fn revision(of: wire::Revision) -> Revision {
    Revision {
        epoch: of.epoch,
        number: of.number,
    }
}

fn health(state: State) -> Health {
    match state {
        State::Alive => Health::Alive,
        State::Suspect => Health::Suspect,
        State::Leaving => Health::Leaving,
        State::Gone => Health::Dead,
    }
}

#[cfg(test)]
mod tests;
