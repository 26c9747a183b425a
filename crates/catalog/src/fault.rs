//! What can be wrong with a catalogue, and where.

use std::{fmt, net::SocketAddr};

use model::name;

use crate::{ReadFreshness, scram};

/// Something that the catalogue declares.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// The catalogue itself.
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

/// An item, or one field of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// What the catalogue declares.
    pub item: Item,
    /// The field, or none for the item as a whole.
    pub field: Option<&'static str>,
}

impl Place {
    /// One field of `item`.
    pub fn field(item: Item, field: &'static str) -> Self {
        Self {
            item,
            field: Some(field),
        }
    }

    /// `item` as a whole.
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

/// A kind of TOML value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A text in quotes.
    String,
    /// A whole number.
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

/// Why a catalogue is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key that a catalogue does not have there.
    #[error("unknown key `{key}` in {item}; its keys are {}", quoted_list(known))]
    UnknownKey {
        /// Where the key stands.
        item: Item,
        /// The key.
        key: String,
        /// The keys allowed there.
        known: &'static [&'static str],
    },
    /// A key that must be there is not.
    #[error("{item} has no `{key}`; add it")]
    Missing {
        /// Where the key is missing.
        item: Item,
        /// The key.
        key: &'static str,
    },
    /// A value is of another kind.
    #[error("{place} must be {expected}, not a TOML {found}")]
    Kind {
        /// The value.
        place: Place,
        /// What it must be.
        expected: Kind,
        /// TOML's word for what it is.
        found: &'static str,
    },
    /// A number is outside its bounds.
    #[error("{place} must be from {min} to {max}, not {found}")]
    Range {
        /// The value.
        place: Place,
        /// The least allowed.
        min: u32,
        /// The greatest allowed.
        max: u32,
        /// What the text says.
        found: String,
    },
    /// A word is none of those allowed.
    #[error("{place} must be one of {}, not `{found}`", quoted_list(allowed))]
    Choice {
        /// The value.
        place: Place,
        /// The words allowed.
        allowed: &'static [&'static str],
        /// What the text says.
        found: String,
    },
    /// A text is not a name.
    #[error("`{found}`, as {role}: {why}")]
    Name {
        /// What the name is for.
        role: &'static str,
        /// What the text says.
        found: String,
        /// Why it is not a name.
        why: name::Error,
    },
    /// A text that PostgreSQL takes for an identifier is unfit.
    #[error("{place} must have from 1 to {max} bytes and no control characters", max = name::MAX_LEN)]
    Identifier {
        /// The value.
        place: Place,
    },
    /// A text is not an address that a connection can be opened to.
    #[error("{place} must be an IP address with a port, such as 10.1.2.3:5432, not `{found}`")]
    Address {
        /// The value.
        place: Place,
        /// What the text says.
        found: String,
    },
    /// A user's verifier is unfit.
    #[error("{item}: {why}; `dandelionlink verifier` makes one")]
    Verifier {
        /// The user.
        item: Item,
        /// What is wrong with it.
        why: scram::Error,
    },
    /// A name leads nowhere.
    #[error(
        "{place} names `{name}`, which is not declared; nearest are {}",
        quoted_list(nearest)
    )]
    Dangling {
        /// Where the name stands.
        place: Place,
        /// The name.
        name: String,
        /// What could have been meant: the declared names most like it.
        nearest: Vec<String>,
    },
    /// A database without a server.
    #[error("{item} has no upstream; add a table `upstream.NAME` with its address")]
    NoUpstream {
        /// The database.
        item: Item,
    },
    /// Two upstreams at one address.
    #[error("{place} is {address}, which {other} has already; give each its own")]
    DuplicateAddress {
        /// The second.
        place: Place,
        /// The address.
        address: SocketAddr,
        /// The first.
        other: Item,
    },
    /// More statements at once than connections to run them on.
    #[error(
        "{place} is {slots}, above its {connections} connections; lower the one or raise the other"
    )]
    Slots {
        /// The upstream's slots.
        place: Place,
        /// Statements at once.
        slots: u16,
        /// Connections to run them on.
        connections: u16,
    },
    /// An entry may hold more connections than there are.
    #[error(
        "{place} is {asked}, but all upstreams of database `{database}` offer {offered}; ask for {offered} at most"
    )]
    Connections {
        /// The entry's limit.
        place: Place,
        /// What it asks for.
        asked: u16,
        /// Its database.
        database: name::Database,
        /// What the database's upstreams offer together.
        offered: u32,
    },
    /// An entry reads by age but does not say which.
    #[error("{item} has freshness `age` but no `staleness_ms`; add it")]
    StalenessMissing {
        /// The entry.
        item: Item,
    },
    /// An entry states an age that its reads never use.
    #[error(
        "{place} has no effect with freshness `{freshness}`; remove it, or use freshness `age`"
    )]
    StalenessUnused {
        /// The entry's staleness.
        place: Place,
        /// Its freshness.
        freshness: ReadFreshness,
    },
}

/// What a catalogue may do but its operator should know.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Lint {
    /// One upstream alone: nothing takes over from it.
    #[error(
        "{item} has a single upstream: no replica serves reads and nothing can take over from it"
    )]
    SingleUpstream {
        /// The database.
        item: Item,
    },
    /// An even group bears no more failures than the odd one below it.
    #[error("{item} has {count} upstreams: it bears no more failures than with {}", count - 1)]
    EvenUpstreams {
        /// The database.
        item: Item,
        /// Its upstreams.
        count: usize,
    },
    /// Every upstream is leaving.
    #[error("all upstreams of {item} are leaving: it gets no new work at all")]
    AllLeaving {
        /// The database.
        item: Item,
    },
    /// A tenant with entries but without users.
    #[error("{item} has no users: nobody can log in to its entries")]
    NoUser {
        /// The tenant.
        item: Item,
    },
}

/// A remark on a text, with where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The remark.
    pub kind: T,
}

/// Why a text is refused, and where.
pub type Fault = Located<Problem>;

/// What is doubtful in a text that is accepted, and where.
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
