//! Activation of the catalogue's revisions.

use wire::{Change, Revision};

use crate::{Action, Head, Mirror, Notice, event::Scope, keys};

/// A revision that is mirrored but not in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The revision.
    pub revision: Revision,
    /// Reason why the revision is not in force.
    pub reason: Reason,
}

/// Reason why a revision is not in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// This version does not support the revision's format.
    Format(u16),
    /// There is no readable head.
    NoHead,
    /// Keys were written after the head, so the change was not made in one
    /// transaction.
    Incomplete,
    /// The catalogue was read and refused as invalid.
    Refused,
}

/// The catalogue's revision in force, and the one that is held back.
#[derive(Debug, Default)]
pub(crate) struct Activation {
    applied: Revision,
    /// Revision in force before, restored if `applied` is refused.
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

    /// Puts the mirrored catalogue in force if it is valid and its format is at
    /// most `format`; otherwise holds the revision back.
    pub(crate) fn evaluate(&mut self, mirror: &Mirror, format: u16) -> Option<Action> {
        if mirror.catalog_revision() == 0 {
            return None;
        }
        match validate(mirror, format) {
            Ok(revision) => self.activate(mirror, revision),
            Err(reason) => self.hold(mirror, reason),
        }
    }

    /// Restores the previous revision after the catalogue of `revision` was
    /// refused.
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
