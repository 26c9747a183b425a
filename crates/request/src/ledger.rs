//! The ledger of request ids, a table written in the transaction of the request.
//!
//! A row has an id and a tag: the fingerprint of the statement, a space, and the
//! command tag of its first run. [`crate::Once`] decides the order of the
//! statements that this module writes.

use std::time::Duration;

/// Time for which an id is accepted; a repeat of an older one is refused.
pub const RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Largest accepted lead of an id's time over this instance's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Time beyond [`RETENTION`] for which rows are kept.
///
/// An instance may accept an id that has nearly expired and insert its row only
/// when the request gets a connection, while the clock of a cleaning instance runs
/// ahead. If the row of the first run were deleted by then, the request would run
/// twice.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of rows that one cleaning deletes, to keep its locks short.
pub const CLEAN_ROWS: u64 = 1_000;
/// Time between two cleanings of a database.
pub const CLEAN_INTERVAL: Duration = Duration::from_secs(600);
/// Time until the next cleaning after one that reached [`CLEAN_ROWS`].
pub const CLEAN_PAUSE: Duration = Duration::from_secs(5);
/// Constraint that an insert violates if the ledger has the id.
pub const CONSTRAINT: &str = "dandelionlink_request_pkey";
/// Statement that creates the ledger in a database.
pub const TABLE: &str = "CREATE TABLE IF NOT EXISTS dandelionlink_request (\
    id uuid CONSTRAINT dandelionlink_request_pkey PRIMARY KEY, \
    tag text NOT NULL)";

/// Reasons why a request id is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The id has no time, so an id that was deleted can't be told from a new one.
    #[error("a request id must be a UUID of version 7")]
    Version,
    /// The ledger may have deleted the id, so that its request could run twice.
    #[error("the request id is older than the ledger keeps ids")]
    Expired,
    /// The time of the id is too far in the future, so cleaning would keep the id
    /// longer than others.
    #[error("the request id is from the future")]
    Future,
    /// The id was used with another statement.
    #[error("the request id was used for another statement")]
    Reused,
    /// The row in the ledger has another format.
    #[error("the ledger's row of the request id can't be read")]
    Unreadable,
}

/// A request id: a UUID of version 7, which starts with a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Id(u128);

impl Id {
    /// Checks an id; `now` is the time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the id can't guarantee that its request runs once.
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

/// The fingerprint of a statement and its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

/// Returns the statement that inserts the id, run first in the transaction.
///
/// A concurrent repeat waits at this statement until the first run has committed
/// or rolled back.
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

/// Returns the statement that inserts the id in the caller's open transaction.
///
/// The statement inserts no row if the ledger has the id: an error would abort the
/// caller's transaction.
pub fn insert_within(id: Id, digest: Digest) -> String {
    insert(id, digest) + " ON CONFLICT (id) DO NOTHING"
}

/// Returns the statement that records the command tag, run last before `COMMIT`.
pub fn record(id: Id, digest: Digest, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!(
        "UPDATE dandelionlink_request SET tag = '{:016x} {tag}' WHERE id = '{}'",
        digest.0,
        id.hex()
    )
}

/// Returns the query for the tag of the first run.
pub fn find(id: Id) -> String {
    format!(
        "SELECT tag FROM dandelionlink_request WHERE id = '{}'",
        id.hex()
    )
}

/// Returns the statement that deletes up to [`CLEAN_ROWS`] rows whose ids every
/// instance refuses; `now` is the time since the Unix epoch.
///
/// Any instance may run the statement, also several at once. Ids start with their
/// time, so the oldest ids come first in the primary key.
pub fn clean(now: Duration) -> String {
    let bound = now.saturating_sub(RETENTION + RETENTION_MARGIN).as_millis() << 80;
    format!(
        "DELETE FROM dandelionlink_request WHERE id IN (\
         SELECT id FROM dandelionlink_request WHERE id < '{bound:032x}' \
         ORDER BY id LIMIT {CLEAN_ROWS} FOR UPDATE SKIP LOCKED)"
    )
}

/// Returns the time until the next cleaning after one that deleted `deleted` rows.
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

/// Returns true if an error of the server means that the ledger has the id.
pub fn is_repeat(sqlstate: &str, constraint: &str) -> bool {
    sqlstate == "23505" && constraint == CONSTRAINT
}

/// Returns the command tag of the first run from the answer to [`find`], or `None`
/// if there is no row.
///
/// # Errors
///
/// Returns [`Error::Reused`] if the first run was of another statement, and
/// [`Error::Unreadable`] if the tag is malformed.
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
