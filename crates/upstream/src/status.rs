//! The status query of an upstream and the row that answers it.

use model::{Lsn, Position, Report, Role, Term};
use pg::Frame;

use crate::Error;

/// Status query, whose only row [`parse_report`] reads.
///
/// A single statement returns all columns, so that the position and the term
/// belong together. `dandelionlink.term` is the highest term of any order that
/// the upstream accepted, `dandelionlink.log_term` the term of the log that the
/// upstream writes or receives.
pub const PROBE: &str = "SELECT pg_is_in_recovery(), \
    coalesce(nullif(current_setting('dandelionlink.term', true), ''), '0'), \
    coalesce(nullif(current_setting('dandelionlink.log_term', true), ''), '0'), \
    CASE WHEN pg_is_in_recovery() \
    THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_flush_lsn() END, \
    CASE WHEN pg_is_in_recovery() \
    THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END";

/// Decodes the row that answers [`PROBE`].
///
/// # Errors
///
/// Returns [`Error::Status`] if the row is malformed.
pub fn parse_report(row: &Frame) -> Result<Report, Error> {
    let [role, fenced, term, received, replayed] = columns(row.body())?;
    let role = match role {
        "t" => Role::Replica,
        "f" => Role::Primary,
        _ => return Err(Error::Status("the role")),
    };
    let fenced = fenced
        .parse()
        .map(Term)
        .map_err(|_| Error::Status("the fenced term"))?;
    let term = term
        .parse()
        .map(Term)
        .map_err(|_| Error::Status("the log's term"))?;
    let received = Position {
        term,
        lsn: lsn(received)?,
    };
    Ok(Report {
        role,
        fenced,
        received,
        replayed: lsn(replayed)?,
    })
}

fn lsn(text: &str) -> Result<Lsn, Error> {
    text.parse().map_err(|_| Error::Status("a log position"))
}

/// Returns the five columns of the row as text.
fn columns(body: &[u8]) -> Result<[&str; 5], Error> {
    let mut found = [""; 5];
    let (count, mut rest) = body
        .split_first_chunk::<2>()
        .ok_or(Error::Status("the row"))?;
    if u16::from_be_bytes(*count) != 5 {
        return Err(Error::Status("the number of columns"));
    }
    for column in &mut found {
        let (length, tail) = rest
            .split_first_chunk::<4>()
            .ok_or(Error::Status("a column"))?;
        let length = u32::from_be_bytes(*length) as usize;
        let (text, tail) = tail
            .split_at_checked(length)
            .ok_or(Error::Status("a column"))?;
        *column = std::str::from_utf8(text).map_err(|_| Error::Status("a column"))?;
        rest = tail;
    }
    Ok(found)
}
