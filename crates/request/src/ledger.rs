//! The ledger of request ids, written in the transaction of the request.
//!
//! A row is an id and a tag: a fingerprint of the statement, a space, and the
//! command tag of its first run. [`crate::Once`] sends these statements in
//! turn.

use std::time::Duration;

/// How long ids are kept; a repeat of an older one is refused.
pub const RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// How far ahead of this instance's clock an id's time may be.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// How much longer than [`RETENTION`] rows stay.
///
/// An instance takes an id that is nearly too old, and inserts it when its
/// request has got a connection; another one's clock may run ahead. Were the
/// row deleted by then, the request would run a second time.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(24 * 3_600);
/// The most rows that one cleaning deletes, so that it holds no lock for long.
pub const CLEAN_ROWS: u64 = 1_000;
/// The time between two cleanings of a database.
pub const CLEAN_INTERVAL: Duration = Duration::from_secs(600);
/// The time to the next cleaning when one found more than it could delete.
pub const CLEAN_PAUSE: Duration = Duration::from_secs(5);
/// The constraint whose violation means that the id is there.
pub const CONSTRAINT: &str = "dandelionlink_request_pkey";
/// What creates the ledger in a database.
pub const TABLE: &str = "CREATE TABLE IF NOT EXISTS dandelionlink_request (\
    id uuid CONSTRAINT dandelionlink_request_pkey PRIMARY KEY, \
    tag text NOT NULL)";

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
    /// Another statement ran under it.
    #[error("the request id was used for another statement")]
    Reused,
    /// The ledger's row was not written by this program.
    #[error("the ledger's row of the request id can't be read")]
    Unreadable,
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
        if made > now + MAX_CLOCK_SKEW {
            return Err(Error::Future);
        }
        Ok(Self(id))
    }

    fn hex(self) -> String {
        format!("{:032x}", self.0)
    }
}

/// The fingerprint of a statement with its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

/// Records the id; run first in the transaction of its own. A repeat that runs
/// at the same time waits here until the first has committed or rolled back.
///
/// ```
/// use std::time::Duration;
///
/// use request::ledger::{Digest, Id, insert};
///
/// let id = Id::new(7 << 76, Duration::ZERO).unwrap();
/// assert_eq!(
///     insert(id, Digest(9)),
///     "INSERT INTO dandelionlink_request (id, tag) \
///      VALUES ('00000000000070000000000000000000', '0000000000000009')"
/// );
/// ```
pub fn insert(id: Id, digest: Digest) -> String {
    format!(
        "INSERT INTO dandelionlink_request (id, tag) VALUES ('{}', '{:016x}')",
        id.hex(),
        digest.0
    )
}

/// Records the id in the caller's open transaction, before the statement.
///
/// It inserts no row if the id is there: an error would end the transaction
/// that the caller wants to go on with.
pub fn insert_within(id: Id, digest: Digest) -> String {
    insert(id, digest) + " ON CONFLICT (id) DO NOTHING"
}

/// Records the statement's command tag; run last before `COMMIT`.
pub fn record(id: Id, digest: Digest, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!(
        "UPDATE dandelionlink_request SET tag = '{:016x} {tag}' WHERE id = '{}'",
        digest.0,
        id.hex()
    )
}

/// Finds the first outcome: a row with its tag, or none.
pub fn find(id: Id) -> String {
    format!(
        "SELECT tag FROM dandelionlink_request WHERE id = '{}'",
        id.hex()
    )
}

/// Deletes up to [`CLEAN_ROWS`] rows that no instance takes ids of any more,
/// at a time since the Unix epoch.
///
/// Any instance may run it, several at once too. Ids begin with their time, so
/// the oldest are the first of the primary key.
pub fn clean(now: Duration) -> String {
    let bound = now.saturating_sub(RETENTION + RETENTION_MARGIN).as_millis() << 80;
    format!(
        "DELETE FROM dandelionlink_request WHERE id IN (\
         SELECT id FROM dandelionlink_request WHERE id < '{bound:032x}' \
         ORDER BY id LIMIT {CLEAN_ROWS} FOR UPDATE SKIP LOCKED)"
    )
}

/// When to clean again after a cleaning that deleted so many rows.
///
/// ```
/// use request::ledger::{CLEAN_INTERVAL, CLEAN_PAUSE, CLEAN_ROWS, next_cleaning};
///
/// assert_eq!(next_cleaning(CLEAN_ROWS), CLEAN_PAUSE);
/// assert_eq!(next_cleaning(3), CLEAN_INTERVAL);
/// ```
pub fn next_cleaning(deleted: u64) -> Duration {
    if deleted < CLEAN_ROWS {
        CLEAN_INTERVAL
    } else {
        CLEAN_PAUSE
    }
}

/// Whether a server's error says that the id is there already.
pub fn is_repeat(sqlstate: &str, constraint: &str) -> bool {
    sqlstate == "23505" && constraint == CONSTRAINT
}

/// Reads the tag that [`find`] asked for: the command tag of the first run, or
/// `None` if there is no row.
///
/// # Errors
///
/// [`Error::Reused`] if the first run was another statement's, and
/// [`Error::Unreadable`] if the row is not the ledger's.
pub fn parse_tag(digest: Digest, tag: Option<&str>) -> Result<Option<&str>, Error> {
    let Some(tag) = tag else {
        return Ok(None);
    };
    let (hash, first) = tag.split_once(' ').ok_or(Error::Unreadable)?;
    let hash = u64::from_str_radix(hash, 16).map_err(|_| Error::Unreadable)?;
    if hash != digest.0 {
        return Err(Error::Reused);
    }
    Ok(Some(first))
}
