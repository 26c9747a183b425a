//! Layout of the catalogue in the store: one key per tenant, database and entry.
//!
//! | key | value |
//! | --- | --- |
//! | `dandelionlink/catalog/head` | [`Head`] |
//! | `dandelionlink/catalog/tenant/NAME` | [`Tenant`](crate::Tenant) |
//! | `dandelionlink/catalog/database/NAME` | [`Database`](crate::Database) |
//! | `dandelionlink/catalog/entry/NAME` | [`Entry`](crate::Entry) |
//! | `dandelionlink/revision/NUMBER` | [`Record`](crate::history::Record) |
//!
//! Every value is a JSON object with a `format` number beside its fields. A
//! change writes the affected keys and the head in one transaction, so a range
//! read of [`PREFIX`] at one revision always returns a consistent catalogue.

use std::{fmt, str::FromStr};

use model::name;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{Catalog, fault::Problem, head::Head, rules};

/// Prefix of the keys of the catalogue in force, including the head.
pub const PREFIX: &str = "dandelionlink/catalog/";

/// Prefix of the keys of the history's records.
///
/// The prefix sorts after `dandelionlink/primary/`, so that the key range that
/// every instance mirrors, from the catalogue to the primaries, excludes the
/// history.
pub const HISTORY: &str = "dandelionlink/revision/";

/// Format number of the values that this version writes, and the newest one
/// that it reads.
pub const FORMAT: u64 = 1;

/// Maximum bytes of a value; the platform's store accepts up to a megabyte.
pub const MAX_VALUE: usize = 1_000_000;

/// Width of a zero-padded number in a key, so that keys sort numerically.
const DIGITS: usize = 20;

/// A key of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The head.
    Head,
    /// A tenant.
    Tenant(name::Tenant),
    /// A database.
    Database(name::Database),
    /// An entry.
    Entry(name::Entry),
    /// Record of the change with this number.
    History(u64),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head => write!(f, "{PREFIX}head"),
            Self::Tenant(name) => write!(f, "{PREFIX}tenant/{name}"),
            Self::Database(name) => write!(f, "{PREFIX}database/{name}"),
            Self::Entry(name) => write!(f, "{PREFIX}entry/{name}"),
            Self::History(number) => write!(f, "{HISTORY}{number:0DIGITS$}"),
        }
    }
}

/// A string that is not a key of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a key of the catalogue")]
pub struct KeyError(pub String);

impl FromStr for Key {
    type Err = KeyError;

    /// ```
    /// use catalog::layout::Key;
    /// let key: Key = "dandelionlink/catalog/entry/calendar".parse().unwrap();
    /// assert_eq!(key.to_string(), "dandelionlink/catalog/entry/calendar");
    /// assert!("dandelionlink/catalog/entry/".parse::<Key>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, KeyError> {
        parse_key(text).ok_or_else(|| KeyError(text.to_owned()))
    }
}

fn parse_key(text: &str) -> Option<Key> {
    if let Some(number) = text.strip_prefix(HISTORY) {
        let is_number = number.len() == DIGITS && number.bytes().all(|b| b.is_ascii_digit());
        return is_number.then(|| number.parse().ok().map(Key::History))?;
    }
    let rest = text.strip_prefix(PREFIX)?;
    if rest == "head" {
        return Some(Key::Head);
    }
    match rest.split_once('/')? {
        ("tenant", name) => name::Tenant::new(name).ok().map(Key::Tenant),
        ("database", name) => name::Database::new(name).ok().map(Key::Database),
        ("entry", name) => name::Entry::new(name).ok().map(Key::Entry),
        _ => None,
    }
}

/// A key and value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last write of the key.
    pub revision: u64,
}

/// The catalogue in the store at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The catalogue.
    pub catalog: Catalog,
    /// Metadata of the last change; none if nothing was ever applied.
    pub head: Option<Head>,
    /// Revision of the catalogue; 0 if nothing was ever applied.
    pub revision: u64,
}

/// Reason why keys and values of the store can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A newer version wrote the value. An instance must keep its current
    /// catalogue in force until the instance is upgraded.
    #[error("`{key}` has format {format}, this version reads up to {FORMAT}; upgrade it")]
    Newer {
        /// The key of the value.
        key: Key,
        /// The value's format.
        format: u64,
    },
    /// The key is unknown to this version.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The value is not the JSON object that belongs to its key.
    #[error("the value of `{key}` is invalid: {source}")]
    Value {
        /// The key of the value.
        key: Key,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The value has no format number.
    #[error("the value of `{0}` has no `format` number")]
    Format(Key),
    /// The store holds catalogue values but no head.
    #[error("the store holds catalogue values but no head")]
    NoHead,
    /// The values can be decoded but violate the catalogue's rules.
    #[error("the catalogue in the store violates the rules: {}", join_messages(.0))]
    Rules(Vec<Problem>),
}

fn join_messages(faults: &[Problem]) -> String {
    let lines: Vec<_> = faults.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

/// Encodes the value of `key`.
pub(crate) fn encode_value<T: Serialize>(key: &Key, content: &T) -> Result<Vec<u8>, Error> {
    let value_error = |source| Error::Value {
        key: key.clone(),
        source,
    };
    let mut json = serde_json::to_value(content).map_err(value_error)?;
    if let Value::Object(object) = &mut json {
        object.insert("format".to_owned(), FORMAT.into());
    }
    serde_json::to_vec(&json).map_err(value_error)
}

/// Decodes the value of `key`.
pub(crate) fn decode_value<T: DeserializeOwned>(key: &Key, bytes: &[u8]) -> Result<T, Error> {
    let value_error = |source| Error::Value {
        key: key.clone(),
        source,
    };
    let mut json: Value = serde_json::from_slice(bytes).map_err(value_error)?;
    let format = json
        .as_object_mut()
        .and_then(|object| object.remove("format"))
        .and_then(|format| format.as_u64())
        .ok_or_else(|| Error::Format(key.clone()))?;
    if format > FORMAT {
        return Err(Error::Newer {
            key: key.clone(),
            format,
        });
    }
    serde_json::from_value(json).map_err(value_error)
}

/// Encodes `catalog` as keys and values, without a head.
///
/// # Errors
///
/// [`Error::Value`] if serialization fails, which doesn't happen for the types
/// of a catalogue.
pub fn encode(catalog: &Catalog) -> Result<Vec<(Key, Vec<u8>)>, Error> {
    let mut pairs = Vec::new();
    for (name, tenant) in &catalog.tenants {
        let key = Key::Tenant(name.clone());
        let bytes = encode_value(&key, tenant)?;
        pairs.push((key, bytes));
    }
    for (name, database) in &catalog.databases {
        let key = Key::Database(name.clone());
        let bytes = encode_value(&key, database)?;
        pairs.push((key, bytes));
    }
    for (name, entry) in &catalog.entries {
        let key = Key::Entry(name.clone());
        let bytes = encode_value(&key, entry)?;
        pairs.push((key, bytes));
    }
    Ok(pairs)
}

/// Decodes the catalogue from all pairs under [`PREFIX`] at one revision.
///
/// ```
/// let snapshot = catalog::layout::decode(&[]).unwrap();
/// assert_eq!(snapshot.revision, 0);
/// ```
///
/// # Errors
///
/// [`Error`] for the first invalid key or value; the catalogue is decoded
/// completely or not at all.
pub fn decode(pairs: &[Pair]) -> Result<Snapshot, Error> {
    let head_key = Key::Head.to_string();
    let Some(head_pair) = pairs.iter().find(|pair| pair.key == head_key) else {
        return match pairs.first() {
            Some(_) => Err(Error::NoHead),
            None => Ok(Snapshot::default()),
        };
    };
    // The head is decoded first: a newer version may have keys that this
    // version does not know, and `Newer` is a clearer error than `Key`.
    let head: Head = decode_value(&Key::Head, &head_pair.value)?;

    let mut catalog = Catalog::default();
    for pair in pairs {
        insert(&mut catalog, pair)?;
    }
    let faults: Vec<_> = rules::faults(&catalog)
        .into_iter()
        .map(|(_, what)| what)
        .collect();
    if !faults.is_empty() {
        return Err(Error::Rules(faults));
    }
    Ok(Snapshot {
        catalog,
        head: Some(head),
        revision: head_pair.revision,
    })
}

fn insert(catalog: &mut Catalog, pair: &Pair) -> Result<(), Error> {
    let key: Key = pair.key.parse()?;
    match &key {
        Key::Head => {}
        Key::Tenant(name) => {
            let tenant = decode_value(&key, &pair.value)?;
            catalog.tenants.insert(name.clone(), tenant);
        }
        Key::Database(name) => {
            let database = decode_value(&key, &pair.value)?;
            catalog.databases.insert(name.clone(), database);
        }
        Key::Entry(name) => {
            let entry = decode_value(&key, &pair.value)?;
            catalog.entries.insert(name.clone(), entry);
        }
        Key::History(_) => return Err(KeyError(pair.key.clone()).into()),
    }
    Ok(())
}
