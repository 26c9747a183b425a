//! The ledger of request ids, written in the transaction of the request.

use std::time::Duration;

/// How long ids are kept; a repeat of an older one is refused.
pub const RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// How far ahead of this instance's clock an id's time may be.
pub const AHEAD: Duration = Duration::from_secs(300);
/// The constraint whose violation means that the id is there.
pub const CONSTRAINT: &str = "dandelionlink_request_pkey";
/// What creates the ledger in a database.
pub const TABLE: &str = "CREATE TABLE IF NOT EXISTS dandelionlink_request (\
    id uuid CONSTRAINT dandelionlink_request_pkey PRIMARY KEY, \
    digest bytea NOT NULL, tag text)";

/// Why an id is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It carries no time, so nobody could tell whether it was forgotten.
    #[error("a request id must be a UUID of version 7")]
    Version,
    /// The ledger may have forgotten it: run now, it could run twice.
    #[error("the request id is older than the ledger keeps ids")]
    Expired,
    /// It would outlive the ledger's cleaning.
    #[error("the request id is from the future")]
    Future,
}

/// A request id: a UUID of version 7, which begins with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Id(u128);

impl Id {
    /// Checks an id against the time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// [`Error`] tells why the id can't promise a single run.
    pub fn new(id: u128, now: Duration) -> Result<Self, Error> {
        if id >> 76 & 0xf != 7 {
            return Err(Error::Version);
        }
        let made = Duration::from_millis((id >> 80) as u64);
        if made + RETENTION < now {
            return Err(Error::Expired);
        }
        if made > now + AHEAD {
            return Err(Error::Future);
        }
        Ok(Self(id))
    }

    fn hex(self) -> String {
        format!("{:032x}", self.0)
    }
}

/// Records the id; run first in the transaction. A repeat that runs at the
/// same time waits here until the first has committed or rolled back.
pub fn insert(id: Id, digest: u64) -> String {
    format!(
        "INSERT INTO dandelionlink_request (id, digest) VALUES ('{}', '\\x{digest:016x}')",
        id.hex()
    )
}

/// Records the statement's tag; run last before `COMMIT`.
pub fn record(id: Id, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!(
        "UPDATE dandelionlink_request SET tag = '{tag}' WHERE id = '{}'",
        id.hex()
    )
}

/// Finds the first outcome, after the rollback that a repeat ends in.
pub fn find(id: Id) -> String {
    format!(
        "SELECT digest, tag FROM dandelionlink_request WHERE id = '{}'",
        id.hex()
    )
}

/// Whether a server's error says that the id is there already.
pub fn is_repeat(sqlstate: &str, constraint: &str) -> bool {
    sqlstate == "23505" && constraint == CONSTRAINT
}

/// What a repeat finds in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found<'a> {
    /// The first run, with its command tag.
    First(&'a str),
    /// Another statement ran under this id.
    Different,
    /// Nothing: the first run was rolled back after all.
    Nothing,
}

/// Reads the row that [`find`] asked for: its digest and its tag.
pub fn found<'a>(digest: u64, row: Option<(u64, &'a str)>) -> Found<'a> {
    match row {
        None => Found::Nothing,
        Some((first, tag)) if first == digest => Found::First(tag),
        Some(_) => Found::Different,
    }
}
