//! Errors and warnings about a catalogue, with their locations.

use std::{fmt, net::SocketAddr};

use model::name;

use crate::{ReadFreshness, scram};

/// An item declared in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// The catalogue as a whole.
    Catalog,
    /// A tenant.
    Tenant(name::Tenant),
    /// A login of a tenant.
    User(name::Tenant, String),
    /// A database group.
    Database(name::Database),
    /// An upstream of a group.
    Upstream(name::Database, name::Upstream),
    /// An entry.
    Entry(name::Entry),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalog => f.write_str("the catalogue"),
            Self::Tenant(name) => write!(f, "tenant `{name}`"),
            Self::User(tenant, user) => write!(f, "user `{user}` of tenant `{tenant}`"),
            Self::Database(name) => write!(f, "database `{name}`"),
            Self::Upstream(database, name) => {
                write!(f, "upstream `{name}` of database `{database}`")
            }
            Self::Entry(name) => write!(f, "entry `{name}`"),
        }
    }
}

/// An item or one of its fields.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The item.
    pub item: Item,
    /// The field; none for the item as a whole.
    pub field: Option<&'static str>,
}

impl Place {
    /// Place of one field of `item`.
    pub fn field(item: Item, field: &'static str) -> Self {
        Self {
            item,
            field: Some(field),
        }
    }

    /// Place of `item` as a whole.
    pub fn whole(item: Item) -> Self {
        Self { item, field: None }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field {
            Some(field) => write!(f, "`{field}` of {}", self.item),
            None => self.item.fmt(f),
        }
    }
}

/// Type of a TOML value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A string.
    String,
    /// An integer.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// A table.
    Table,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::String => "a string",
            Self::Integer => "an integer",
            Self::Boolean => "true or false",
            Self::Table => "a table",
        })
    }
}

/// Reason why a catalogue is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key is not defined for its table.
    #[error("unknown key `{key}` in {item}; its keys are {}", quoted_list(known))]
    UnknownKey {
        /// Item whose table has the key.
        item: Item,
        /// The key.
        key: String,
        /// Keys allowed in the table.
        known: &'static [&'static str],
    },
    /// A required key is missing.
    #[error("{item} has no `{key}`; add it")]
    Missing {
        /// Item whose table lacks the key.
        item: Item,
        /// The key.
        key: &'static str,
    },
    /// A value has the wrong type.
    #[error("{place} must be {expected}, not a TOML {found}")]
    Kind {
        /// The value.
        place: Place,
        /// Required type.
        expected: Kind,
        /// TOML's name for the actual type.
        found: &'static str,
    },
    /// A number is out of range.
    #[error("{place} must be from {min} to {max}, not {found}")]
    Range {
        /// The value.
        place: Place,
        /// Least value allowed.
        min: u32,
        /// Greatest value allowed.
        max: u32,
        /// Value in the text.
        found: String,
    },
    /// A value is not among the words allowed.
    #[error("{place} must be one of {}, not `{found}`", quoted_list(allowed))]
    Choice {
        /// The value.
        place: Place,
        /// Words allowed.
        allowed: &'static [&'static str],
        /// Value in the text.
        found: String,
    },
    /// A string is not a valid name.
    #[error("`{found}`, as {role}: {why}")]
    Name {
        /// Key that the name stands under.
        role: &'static str,
        /// Value in the text.
        found: String,
        /// Reason why the string is not a name.
        why: name::Error,
    },
    /// A string is not a valid PostgreSQL identifier.
    #[error("{place} must have from 1 to {max} bytes and no control characters", max = name::MAX_LEN)]
    Identifier {
        /// The value.
        place: Place,
    },
    /// A string is not an address that a connection can be opened to.
    #[error("{place} must be an IP address with a port, such as 10.1.2.3:5432, not `{found}`")]
    Address {
        /// The value.
        place: Place,
        /// Value in the text.
        found: String,
    },
    /// A user's verifier is malformed.
    #[error("{item}: {why}; `dandelionlink verifier` makes one")]
    Verifier {
        /// The user.
        item: Item,
        /// Reason why the verifier is malformed.
        why: scram::Error,
    },
    /// A name refers to an item that is not declared.
    #[error(
        "{place} names `{name}`, which is not declared; nearest are {}",
        quoted_list(nearest)
    )]
    Dangling {
        /// Place of the reference.
        place: Place,
        /// The name.
        name: String,
        /// Declared names most similar to `name`.
        nearest: Vec<String>,
    },
    /// A database has no upstream.
    #[error("{item} has no upstream; add a table `upstream.NAME` with its address")]
    NoUpstream {
        /// The database.
        item: Item,
    },
    /// Two upstreams have the same address.
    #[error("{place} is {address}, which {other} has already; give each its own")]
    DuplicateAddress {
        /// Address field of the second upstream.
        place: Place,
        /// The address.
        address: SocketAddr,
        /// The first upstream.
        other: Item,
    },
    /// An upstream has more slots than connections.
    #[error(
        "{place} is {slots}, above its {connections} connections; lower the one or raise the other"
    )]
    Slots {
        /// The upstream's slots.
        place: Place,
        /// Number of slots.
        slots: u16,
        /// Number of connections.
        connections: u16,
    },
    /// An entry's limit exceeds the connections of its database.
    #[error(
        "{place} is {asked}, but all upstreams of database `{database}` offer {offered}; ask for {offered} at most"
    )]
    Connections {
        /// Field of the entry's limit.
        place: Place,
        /// The entry's limit.
        asked: u16,
        /// The entry's database.
        database: name::Database,
        /// Sum of the connections of the database's upstreams.
        offered: u32,
    },
    /// An entry with freshness `age` has no `staleness_ms`.
    #[error("{item} has freshness `age` but no `staleness_ms`; add it")]
    StalenessMissing {
        /// The entry.
        item: Item,
    },
    /// An entry has a `staleness_ms` that its freshness does not use.
    #[error(
        "{place} has no effect with freshness `{freshness}`; remove it, or use freshness `age`"
    )]
    StalenessUnused {
        /// Field of the entry's staleness.
        place: Place,
        /// The entry's freshness.
        freshness: ReadFreshness,
    },
}

/// A permitted but questionable declaration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Lint {
    /// A database has a single upstream, so that failover is impossible.
    #[error("{item} has a single upstream: there is no replica for reads or failover")]
    SingleUpstream {
        /// The database.
        item: Item,
    },
    /// A database has an even number of upstreams and tolerates no more failures
    /// than with one fewer.
    #[error("{item} has {count} upstreams: the group tolerates no more failures than with {}", count - 1)]
    EvenUpstreams {
        /// The database.
        item: Item,
        /// Number of upstreams.
        count: usize,
    },
    /// All upstreams of a database are leaving.
    #[error("all upstreams of {item} are leaving, so that the database gets no new work")]
    AllLeaving {
        /// The database.
        item: Item,
    },
    /// A tenant with entries has no users.
    #[error("{item} has no users: no caller can log in to its entries")]
    NoUser {
        /// The tenant.
        item: Item,
    },
}

/// An error or warning with its location in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// The error or warning.
    pub kind: T,
}

/// An error in a catalogue's text.
pub type Fault = Located<Problem>;

/// A warning about a catalogue's text.
pub type Warning = Located<Lint>;

impl<T: fmt::Display> fmt::Display for Located<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)
    }
}

fn quoted_list<T: fmt::Display>(words: &[T]) -> String {
    if words.is_empty() {
        return "none".to_owned();
    }
    let words: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ")
}
