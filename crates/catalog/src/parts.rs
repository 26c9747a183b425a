//! Splits a change that is too large for one transaction.
//!
//! Each part leads from one valid catalogue to the next; the last part results
//! in the target catalogue. Parts are ordered by dependency: tenants and
//! databases are added before entries and removed after them. A change with an
//! invalid intermediate catalogue is rejected, because only the operator can
//! decide in which order its parts may take effect.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    Catalog, Problem,
    change::{self, Change, Edit, Subject},
    history::MAX_CHANGES_BYTES,
    layout::{self, Key},
    plan::{MAX_BYTES, MAX_OPS},
    rules,
};

/// Operations of each transaction beside the part's own keys: the head, the
/// new record and the removed record.
const OVERHEAD_OPS: usize = 3;

/// Bytes reserved for the head and the record: the record's changes and two
/// copies of the proposal.
const OVERHEAD_BYTES: usize = MAX_CHANGES_BYTES + 32_000;

/// Reason why a change can't be split.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An intermediate catalogue would violate the rules.
    #[error("the change can't be split: after `{after}`, {fault}; split it by hand")]
    Rules {
        /// Last subject of the part that results in that catalogue.
        after: Subject,
        /// First violation.
        fault: Box<Problem>,
    },
    /// A value can't be serialized.
    #[error(transparent)]
    Layout(#[from] layout::Error),
}

/// Catalogues to put in force one after the other to get from `from` to `to`;
/// none if the two are equal.
///
/// ```
/// use catalog::{Catalog, parts};
/// let to = Catalog::parse("[tenant.yard]\nusers = {}").unwrap();
/// assert_eq!(parts::split(&Catalog::default(), &to).unwrap(), [to]);
/// ```
///
/// # Errors
///
/// [`Error::Rules`] if an intermediate catalogue would violate the rules.
pub fn split(from: &Catalog, to: &Catalog) -> Result<Vec<Catalog>, Error> {
    let mut changes = change::diff(from, to);
    changes.sort_by_key(apply_order);

    let mut parts = Vec::new();
    let mut now = from.clone();
    let mut ops = OVERHEAD_OPS;
    let mut bytes = OVERHEAD_BYTES;
    let mut last = None;
    for change in &changes {
        let size = size(to, &change.subject)?;
        let is_full = ops + 1 > MAX_OPS || bytes + size > MAX_BYTES;
        if is_full && let Some(last) = last {
            check(&now, last)?;
            parts.push(now.clone());
            ops = OVERHEAD_OPS;
            bytes = OVERHEAD_BYTES;
        }
        apply_change(&mut now, to, &change.subject);
        ops += 1;
        bytes += size;
        last = Some(&change.subject);
    }
    if last.is_some() {
        parts.push(now);
    }
    Ok(parts)
}

/// Sort key of a change.
fn apply_order(change: &Change) -> u8 {
    match (&change.subject, &change.edit) {
        (Subject::Tenant(_), Edit::Added | Edit::Changed(_)) => 0,
        (Subject::Database(_), Edit::Added | Edit::Changed(_)) => 1,
        (Subject::Entry(_), Edit::Added | Edit::Changed(_)) => 2,
        (Subject::Entry(_), Edit::Removed) => 3,
        (Subject::Database(_), Edit::Removed) => 4,
        (Subject::Tenant(_), Edit::Removed) => 5,
    }
}

fn check(catalog: &Catalog, last: &Subject) -> Result<(), Error> {
    match rules::faults(catalog).into_iter().next() {
        None => Ok(()),
        Some((_, fault)) => Err(Error::Rules {
            after: last.clone(),
            fault: Box::new(fault),
        }),
    }
}

/// Bytes of the key and value of `subject` in `to`.
fn size(to: &Catalog, subject: &Subject) -> Result<usize, Error> {
    match subject {
        Subject::Tenant(name) => encoded_size(&Key::Tenant(name.clone()), to.tenants.get(name)),
        Subject::Database(name) => {
            encoded_size(&Key::Database(name.clone()), to.databases.get(name))
        }
        Subject::Entry(name) => encoded_size(&Key::Entry(name.clone()), to.entries.get(name)),
    }
}

fn encoded_size<T: Serialize>(key: &Key, content: Option<&T>) -> Result<usize, Error> {
    let value = content.map(|content| layout::encode_value(key, content));
    let value = value.transpose()?;
    Ok(key.to_string().len() + value.map_or(0, |value| value.len()))
}

/// Copies `subject` from `to` to `now`, or removes it if `to` lacks it.
fn apply_change(now: &mut Catalog, to: &Catalog, subject: &Subject) {
    match subject {
        Subject::Tenant(name) => set(&mut now.tenants, name, to.tenants.get(name)),
        Subject::Database(name) => set(&mut now.databases, name, to.databases.get(name)),
        Subject::Entry(name) => set(&mut now.entries, name, to.entries.get(name)),
    }
}

fn set<N: Ord + Clone, T: Clone>(all: &mut BTreeMap<N, T>, name: &N, value: Option<&T>) {
    match value {
        Some(value) => all.insert(name.clone(), value.clone()),
        None => all.remove(name),
    };
}
