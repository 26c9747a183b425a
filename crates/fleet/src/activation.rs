//! Which revision of the catalogue is in force.

use wire::{Change, Revision};

use crate::{Action, Head, Mirror, Notice, event::Scope, keys};

/// A revision that is mirrored but not in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The revision.
    pub revision: Revision,
    /// Why it is held.
    pub reason: Reason,
}

/// Why a revision is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is written in a format that this version does not know.
    Format(u16),
    /// There is no readable head.
    NoHead,
    /// Keys were written after the head: a change not made in one transaction.
    Incomplete,
    /// The catalogue was read and refused.
    Refused,
}

/// The catalogue's revision in force and the one that is held back.
#[derive(Debug, Default)]
pub(crate) struct Activation {
    applied: Revision,
    /// The one before, kept until the next, in case `applied` is refused.
    previous: Revision,
    refused: Option<Revision>,
    held: Option<Held>,
}

impl Activation {
    pub(crate) fn applied(&self) -> Revision {
        self.applied
    }

    pub(crate) fn held(&self) -> Option<Held> {
        self.held
    }

    /// Looks at what the mirror holds now, understanding formats up to `format`.
    pub(crate) fn evaluate(&mut self, mirror: &Mirror, format: u16) -> Option<Action> {
        if mirror.catalog_revision() == 0 {
            return None;
        }
        match validate(mirror, format) {
            Ok(revision) => self.activate(mirror, revision),
            Err(reason) => self.hold(mirror, reason),
        }
    }

    /// The catalogue of `revision` was read and can't be put in force.
    pub(crate) fn refuse(&mut self, revision: Revision) -> Option<Action> {
        if revision != self.applied {
            return None;
        }
        self.applied = self.previous;
        self.refused = Some(revision);
        let held = Held {
            revision,
            reason: Reason::Refused,
        };
        self.held = Some(held);
        Some(Action::Notice(Notice::Held(held)))
    }

    fn activate(&mut self, mirror: &Mirror, revision: Revision) -> Option<Action> {
        if revision <= self.applied || self.refused == Some(revision) {
            return None;
        }
        let (scope, changes) = changes_since(mirror, self.applied);
        self.previous = self.applied;
        self.applied = revision;
        self.held = None;
        Some(Action::Catalog {
            revision,
            scope,
            changes,
        })
    }

    fn hold(&mut self, mirror: &Mirror, reason: Reason) -> Option<Action> {
        let held = Held {
            revision: mirror.revision(),
            reason,
        };
        let reported = self.held.replace(held).map(|held| held.reason);
        (reported != Some(reason)).then_some(Action::Notice(Notice::Held(held)))
    }
}

fn validate(mirror: &Mirror, format: u16) -> Result<Revision, Reason> {
    let (written, value) = mirror.find(keys::HEAD).ok_or(Reason::NoHead)?;
    let head = Head::parse(value).ok_or(Reason::NoHead)?;
    if head.format > format {
        return Err(Reason::Format(head.format));
    }
    if mirror.catalog_revision() > written {
        return Err(Reason::Incomplete);
    }
    Ok(Revision {
        epoch: mirror.revision().epoch,
        number: written,
    })
}

fn changes_since(mirror: &Mirror, applied: Revision) -> (Scope, Vec<Change>) {
    let (from, mut changes) = mirror.since(applied);
    changes.retain(|change| change.key.starts_with(keys::CATALOG));
    match from {
        Some(_) => (Scope::Delta, changes),
        None => (Scope::Whole, changes),
    }
}
