//! Differences between two catalogues.

use std::{collections::BTreeMap, fmt};

use model::name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Catalog;

/// Placeholder for a user's verifier, which is a secret of its tenant.
const HIDDEN: &str = "(hidden)";

/// Item that a change concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A tenant.
    Tenant(name::Tenant),
    /// A database.
    Database(name::Database),
    /// An entry.
    Entry(name::Entry),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tenant(name) => write!(f, "tenant `{name}`"),
            Self::Database(name) => write!(f, "database `{name}`"),
            Self::Entry(name) => write!(f, "entry `{name}`"),
        }
    }
}

/// A field with different values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    /// Key of the field, prefixed with those of the enclosing tables: `a.b.c`.
    pub key: String,
    /// Old value; none if the field was absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// New value; none if the field is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("none");
        let after = self.after.as_deref().unwrap_or("none");
        write!(f, "{}: {before} -> {after}", self.key)
    }
}

/// Kind of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// The subject was added.
    Added,
    /// The subject was removed.
    Removed,
    /// These fields of the subject changed.
    Changed(Vec<Field>),
}

/// The difference of one subject between two catalogues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Item that changed.
    pub subject: Subject,
    /// Kind of the change.
    pub edit: Edit,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.edit {
            Edit::Added => write!(f, "+ {}", self.subject),
            Edit::Removed => write!(f, "- {}", self.subject),
            Edit::Changed(fields) => {
                write!(f, "~ {}", self.subject)?;
                fields
                    .iter()
                    .try_for_each(|field| write!(f, "\n    {field}"))
            }
        }
    }
}

/// Changes that turn `old` into `new`: tenants first, then databases, then
/// entries.
///
/// Verifiers are compared, but masked in the result.
///
/// ```
/// use catalog::{Catalog, change};
/// let old = Catalog::default();
/// let new = Catalog::parse("[tenant.yard]\nusers = {}").unwrap();
/// let changes = change::diff(&old, &new);
/// assert_eq!(changes[0].to_string(), "+ tenant `yard`");
/// ```
pub fn diff(old: &Catalog, new: &Catalog) -> Vec<Change> {
    let mut changes = compare(&old.tenants, &new.tenants, Subject::Tenant);
    changes.extend(compare(&old.databases, &new.databases, Subject::Database));
    changes.extend(compare(&old.entries, &new.entries, Subject::Entry));
    changes
}

fn compare<N: Ord + Clone, T: PartialEq + Serialize>(
    old: &BTreeMap<N, T>,
    new: &BTreeMap<N, T>,
    subject: fn(N) -> Subject,
) -> Vec<Change> {
    let mut changes = BTreeMap::new();
    for (name, before) in old {
        let edit = match new.get(name) {
            None => Edit::Removed,
            Some(after) if before == after => continue,
            Some(after) => Edit::Changed(changed_fields(before, after)),
        };
        changes.insert(name, edit);
    }
    for name in new.keys() {
        if !old.contains_key(name) {
            changes.insert(name, Edit::Added);
        }
    }
    let change = |(name, edit): (&N, Edit)| Change {
        subject: subject(name.clone()),
        edit,
    };
    changes.into_iter().map(change).collect()
}

fn changed_fields<T: Serialize>(before: &T, after: &T) -> Vec<Field> {
    let before = flatten(before);
    let after = flatten(after);
    let keys: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|&key| before.get(key) != after.get(key))
        .map(|key| Field {
            key: key.clone(),
            before: before.get(key).map(|value| masked(key, value)),
            after: after.get(key).map(|value| masked(key, value)),
        })
        .collect()
}

fn masked(key: &str, value: &str) -> String {
    let hidden = key.starts_with("users.");
    let text = if hidden { HIDDEN } else { value };
    text.to_owned()
}

fn flatten<T: Serialize>(value: &T) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    // All types of a catalogue serialize to JSON. If one failed to, the change
    // would still be reported, without its fields.
    let json = serde_json::to_value(value).unwrap_or(Value::Null);
    collect(&mut leaves, "", &json);
    leaves
}

fn collect(leaves: &mut BTreeMap<String, String>, key: &str, value: &Value) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let dot = if key.is_empty() { "" } else { "." };
                collect(leaves, &format!("{key}{dot}{name}"), value);
            }
        }
        Value::String(text) => {
            leaves.insert(key.to_owned(), text.clone());
        }
        other => {
            leaves.insert(key.to_owned(), other.to_string());
        }
    }
}
