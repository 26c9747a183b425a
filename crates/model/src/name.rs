//! Typed names, so that a tenant's name can't be passed for a database's.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The longest name accepted anywhere, in bytes.
pub const MAX_LEN: usize = 63;

/// Reason a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    #[error("a name has at most {MAX_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[error("a name is made of a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

fn validate(text: &str) -> Result<Arc<str>, Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Error::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(Arc::from(text)),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns an [`Error`] if `text` is not a valid name.
            pub fn new(text: &str) -> Result<Self, Error> {
                validate(text).map(Self)
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    )*};
}

names! {
    /// Name of a database: one replicated group of upstreams.
    Database;
    /// Name of a catalogue entry, which callers give as the database to connect to.
    Entry;
    /// Name of one running process of the proxy.
    Instance;
    /// Name of a client account, which owns entries and users.
    Tenant;
    /// Name of one database server of a group.
    Upstream;
    /// Name of an availability zone.
    Zone;
}
