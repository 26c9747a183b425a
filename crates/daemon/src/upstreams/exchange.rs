//! Sending a batch on a connection and reading its whole answer.

use std::collections::VecDeque;

use clock::Instant;
use model::Report;
use pg::Frame;
use upstream::Error;

use super::{
    connection::Connection,
    plan::{Audience, Item, Plan},
    sink::{Mode, Sink},
};

/// The answer to a batch, apart from the messages passed to the caller.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// The transaction status after the batch; `None` if the batch has not
    /// ended.
    pub(super) status: Option<u8>,
    /// The SQLSTATE of the batch's error, if any.
    pub(super) error: Option<String>,
    /// The status report queried before the batch.
    pub(super) before: Option<Report>,
    /// The status report queried after the batch.
    pub(super) behind: Option<Report>,
    /// The time at which the batch and its probes were sent.
    pub(super) sent: Instant,
    /// True if one of the proxy's own statements was refused, which leaves the
    /// connection in a state that the proxy does not know.
    pub(super) spoiled: bool,
}

/// Chooses what to do with an answer from the status report that precedes it.
pub(super) type ChooseMode<'a> = &'a mut dyn FnMut(&Report) -> Mode;

/// Sends `plan` and reads the whole answer into `sink`.
///
/// # Errors
///
/// [`Error`] if the connection failed; the batch may have run.
pub(super) async fn exchange(
    now: Instant,
    connection: &mut Connection,
    plan: Plan,
    sink: &mut Sink<'_>,
    choose_mode: ChooseMode<'_>,
) -> Result<Answer, Error> {
    connection.conn.send(&plan.bytes)?;
    let mut answer = Answer {
        sent: now,
        ..Answer::default()
    };
    let mut items = plan.items;
    while let Some(item) = items.pop_front() {
        match item {
            Item::Internal => answer.spoiled |= read_status_row(connection).await?.is_err(),
            Item::StatusBefore => {
                answer.before = status(connection).await?;
                let mode = answer
                    .before
                    .as_ref()
                    .map_or(Mode::Discard, &mut *choose_mode);
                sink.set_mode(mode);
            }
            Item::StatusBehind => answer.behind = status(connection).await?,
            Item::Query => read_query(connection, sink, &mut answer).await?,
            Item::Synthetic(bytes) => sink.push_bytes(bytes),
            Item::Synced => answer.status = Some(read_sync(connection, sink).await?),
            other => {
                if let Some(error) = read_message(connection, sink, &other).await? {
                    answer.error = Some(error);
                    skip_to_sync(connection, &mut items);
                }
            }
        }
    }
    Ok(answer)
}

/// Drops the expected messages up to the next Sync, which the upstream skips
/// after an error.
fn skip_to_sync(connection: &mut Connection, items: &mut VecDeque<Item>) {
    while let Some(item) = items.front() {
        if matches!(item, Item::Synced) {
            return;
        }
        items.pop_front();
    }
    connection.skipping = true;
}

/// Receives the next message that belongs to an answer, passing on asynchronous
/// notices.
async fn next_frame(connection: &Connection, sink: &mut Sink<'_>) -> Result<Frame, Error> {
    loop {
        let frame = connection.conn.recv().await?;
        match frame.tag() {
            b'N' | b'S' => sink.push(&frame).await,
            b'A' => {}
            b'G' | b'H' | b'W' => return Err(unexpected(&frame)),
            _ => return Ok(frame),
        }
    }
}

fn unexpected(frame: &Frame) -> Error {
    Error::Protocol(pg::Error::Unexpected(char::from(frame.tag())))
}

fn error_state(frame: &Frame) -> String {
    pg::error_state(frame.body()).unwrap_or_default().to_owned()
}

/// Reads the answer to one message of the extended protocol. Returns the
/// SQLSTATE if the message was refused.
async fn read_message(
    connection: &mut Connection,
    sink: &mut Sink<'_>,
    item: &Item,
) -> Result<Option<String>, Error> {
    loop {
        let frame = next_frame(connection, sink).await?;
        if frame.tag() == b'E' {
            sink.push(&frame).await;
            return Ok(Some(error_state(&frame)));
        }
        let last = match (item, frame.tag()) {
            (Item::Parsed(hash, audience), b'1') => {
                connection.prepared.insert(*hash);
                if *audience == Audience::Caller {
                    sink.push(&frame).await;
                }
                return Ok(None);
            }
            (Item::Single, b'2' | b'3' | b'T' | b'n') => true,
            (Item::Described, b't') => false,
            (Item::Described, b'T' | b'n') => true,
            (Item::Executed, b'D') => false,
            (Item::Executed, b'C' | b'I' | b's') => true,
            _ => return Err(unexpected(&frame)),
        };
        sink.push(&frame).await;
        if last {
            return Ok(None);
        }
    }
}

async fn read_query(
    connection: &Connection,
    sink: &mut Sink<'_>,
    answer: &mut Answer,
) -> Result<(), Error> {
    loop {
        let frame = next_frame(connection, sink).await?;
        match frame.tag() {
            b'Z' => {
                answer.status = Some(transaction_status(&frame)?);
                return Ok(());
            }
            b'E' => {
                answer.error = Some(error_state(&frame));
                sink.push(&frame).await;
            }
            b'T' | b'D' | b'C' | b'I' => sink.push(&frame).await,
            _ => return Err(unexpected(&frame)),
        }
    }
}

async fn read_sync(connection: &mut Connection, sink: &mut Sink<'_>) -> Result<u8, Error> {
    connection.skipping = false;
    loop {
        let frame = next_frame(connection, sink).await?;
        match frame.tag() {
            b'Z' => return transaction_status(&frame),
            // The Sync commits an implicit transaction, and the commit failed.
            b'E' => sink.push(&frame).await,
            _ => return Err(unexpected(&frame)),
        }
    }
}

fn transaction_status(frame: &Frame) -> Result<u8, Error> {
    match frame.body() {
        [error_state @ (b'I' | b'T' | b'E')] => Ok(*error_state),
        _ => Err(unexpected(frame)),
    }
}

/// Reads the status report of a probe; `None` inside a failed transaction.
async fn status(connection: &Connection) -> Result<Option<Report>, Error> {
    match read_status_row(connection).await? {
        Ok(Some(row)) => upstream::parse_report(&row).map(Some),
        Ok(None) | Err(Refused) => Ok(None),
    }
}

/// The upstream refused one of the proxy's own statements.
struct Refused;

/// Reads the answer to one of the proxy's own simple queries and returns its
/// first row.
async fn read_status_row(connection: &Connection) -> Result<Result<Option<Frame>, Refused>, Error> {
    let mut row = None;
    let mut refused = false;
    loop {
        let frame = connection.conn.recv().await?;
        match frame.tag() {
            b'D' if row.is_none() => row = Some(frame),
            b'E' => refused = true,
            b'Z' if refused => return Ok(Err(Refused)),
            b'Z' => return Ok(Ok(row)),
            _ => {}
        }
    }
}

/// Queries the status on a connection with nothing in flight.
///
/// # Errors
///
/// [`Error`] if the connection failed.
pub(super) async fn probe(connection: &Connection) -> Result<Option<Report>, Error> {
    connection
        .conn
        .run(&[upstream::PROBE.to_owned()])
        .await
        .and_then(|rows| rows.first().map(upstream::parse_report).transpose())
}
