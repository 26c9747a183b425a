//! Splits a change that one transaction can't hold.
//!
//! Each part leads from one whole, faultless catalogue to the next, and the
//! last one to the catalogue wanted. What others need comes first: tenants and
//! databases are added before entries, and removed after them. A change that
//! has no such way, because what stands between would break the rules, is
//! refused: only its operator can tell which half may wait.

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

/// Operations of each transaction besides the part's own keys: the head, the
/// record, and the record that is removed.
const OVERHEAD_OPS: usize = 3;

/// Bytes of the head and the record: what changed, and twice the proposal.
const OVERHEAD_BYTES: usize = MAX_CHANGES_BYTES + 32_000;

/// Why a change can't be split.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// What stands between two parts would break the rules.
    #[error("the change can't be split: after `{after}`, {fault}; split it by hand")]
    Rules {
        /// The last subject of the part.
        after: Subject,
        /// The first rule broken.
        fault: Box<Problem>,
    },
    /// A value has no JSON form.
    #[error(transparent)]
    Layout(#[from] layout::Error),
}

/// The catalogues to put in force one after the other to come from `from` to
/// `to`; none where they are the same.
///
/// ```
/// use catalog::{Catalog, parts};
/// let to = Catalog::parse("[tenant.yard]\nusers = {}").unwrap();
/// assert_eq!(parts::split(&Catalog::default(), &to).unwrap(), [to]);
/// ```
///
/// # Errors
///
/// [`Error::Rules`] where a catalogue between would break the rules.
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

/// Where a change comes in the order of the parts.
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

/// The bytes of the key and value that `subject` has in `to`.
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

/// Makes `subject` in `now` what it is in `to`.
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
