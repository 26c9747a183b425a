//! Sending a batch on a connection and reading all that comes back.

use std::collections::VecDeque;

use clock::Instant;
use model::Report;
use pg::Frame;
use upstream::Error;

use super::{
    line::Line,
    plan::{Item, Plan, Show},
    sink::{Mode, Sink},
};

/// What came back for a batch.
#[derive(Debug, Default)]
pub(super) struct Heard {
    /// The transaction's state behind the batch; `None` when it goes on.
    pub(super) status: Option<u8>,
    /// The SQLSTATE of the batch's error, if it had one.
    pub(super) error: Option<String>,
    /// The status asked for ahead of the batch.
    pub(super) before: Option<Report>,
    /// The status asked for behind it.
    pub(super) behind: Option<Report>,
    /// When the questions were sent.
    pub(super) sent: Instant,
    /// Whether a statement of the proxy's own was refused, so that the state
    /// of the connection is not what it was made out to be.
    pub(super) spoiled: bool,
}

/// Whether an answer may be passed on, by the status ahead of it.
pub(super) type Judge<'a> = &'a mut dyn FnMut(&Report) -> Mode;

/// Sends `plan` and reads the whole answer into `sink`.
///
/// # Errors
///
/// [`Error`] when the connection failed on the way: what was sent may have run.
pub(super) async fn exchange(
    now: Instant,
    line: &mut Line,
    plan: Plan,
    sink: &mut Sink<'_>,
    judge: Judge<'_>,
) -> Result<Heard, Error> {
    line.conn.send(&plan.bytes)?;
    let mut heard = Heard {
        sent: now,
        ..Heard::default()
    };
    let mut items = plan.items;
    while let Some(item) = items.pop_front() {
        match item {
            Item::Hidden => heard.spoiled |= status_row(line).await?.is_err(),
            Item::StatusBefore => {
                heard.before = status(line).await?;
                let mode = heard.before.as_ref().map_or(Mode::Discard, &mut *judge);
                sink.set_mode(mode);
            }
            Item::StatusBehind => heard.behind = status(line).await?,
            Item::Query => query(line, sink, &mut heard).await?,
            Item::Given(bytes) => sink.give(bytes),
            Item::Synced => heard.status = Some(synced(line, sink).await?),
            other => {
                if let Some(error) = message(line, sink, &other).await? {
                    heard.error = Some(error);
                    skip(line, &mut items);
                }
            }
        }
    }
    Ok(heard)
}

/// Behind an error the upstream skips what it was sent, up to the next Sync.
fn skip(line: &mut Line, items: &mut VecDeque<Item>) {
    while let Some(item) = items.front() {
        if matches!(item, Item::Synced) {
            return;
        }
        items.pop_front();
    }
    line.skipping = true;
}

/// Waits for the next message that answers something, passing on the notices
/// that may come at any time.
async fn next(line: &Line, sink: &mut Sink<'_>) -> Result<Frame, Error> {
    loop {
        let frame = line.conn.recv().await?;
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

fn state(frame: &Frame) -> String {
    pg::error_state(frame.body()).unwrap_or_default().to_owned()
}

/// Reads the answer to one message of the extended protocol; `Some` with the
/// SQLSTATE when it was refused.
async fn message(
    line: &mut Line,
    sink: &mut Sink<'_>,
    item: &Item,
) -> Result<Option<String>, Error> {
    loop {
        let frame = next(line, sink).await?;
        if frame.tag() == b'E' {
            sink.push(&frame).await;
            return Ok(Some(state(&frame)));
        }
        let last = match (item, frame.tag()) {
            (Item::Parsed(hash, show), b'1') => {
                line.prepared.insert(*hash);
                if *show == Show::Caller {
                    sink.push(&frame).await;
                }
                return Ok(None);
            }
            (Item::One, b'2' | b'3' | b'T' | b'n') => true,
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

async fn query(line: &Line, sink: &mut Sink<'_>, heard: &mut Heard) -> Result<(), Error> {
    loop {
        let frame = next(line, sink).await?;
        match frame.tag() {
            b'Z' => {
                heard.status = Some(ready(&frame)?);
                return Ok(());
            }
            b'E' => {
                heard.error = Some(state(&frame));
                sink.push(&frame).await;
            }
            b'T' | b'D' | b'C' | b'I' => sink.push(&frame).await,
            _ => return Err(unexpected(&frame)),
        }
    }
}

async fn synced(line: &mut Line, sink: &mut Sink<'_>) -> Result<u8, Error> {
    line.skipping = false;
    loop {
        let frame = next(line, sink).await?;
        match frame.tag() {
            b'Z' => return ready(&frame),
            // An error of the commit that the Sync stands for.
            b'E' => sink.push(&frame).await,
            _ => return Err(unexpected(&frame)),
        }
    }
}

fn ready(frame: &Frame) -> Result<u8, Error> {
    match frame.body() {
        [state @ (b'I' | b'T' | b'E')] => Ok(*state),
        _ => Err(unexpected(frame)),
    }
}

/// The status that a probe brings; none inside a failed transaction.
async fn status(line: &Line) -> Result<Option<Report>, Error> {
    match status_row(line).await? {
        Ok(Some(row)) => upstream::parse_report(&row).map(Some),
        Ok(None) | Err(Refused) => Ok(None),
    }
}

/// The upstream refused a statement of the proxy's own.
struct Refused;

/// Reads the answer to a simple query of the proxy's own: its first row.
async fn status_row(line: &Line) -> Result<Result<Option<Frame>, Refused>, Error> {
    let mut row = None;
    let mut refused = false;
    loop {
        let frame = line.conn.recv().await?;
        match frame.tag() {
            b'D' if row.is_none() => row = Some(frame),
            b'E' => refused = true,
            b'Z' if refused => return Ok(Err(Refused)),
            b'Z' => return Ok(Ok(row)),
            _ => {}
        }
    }
}

/// Asks for the status on a connection with nothing in flight.
///
/// # Errors
///
/// [`Error`] when the connection failed.
pub(super) async fn ask(line: &Line) -> Result<Option<Report>, Error> {
    line.conn
        .run(&[upstream::PROBE.to_owned()])
        .await
        .and_then(|rows| rows.first().map(upstream::parse_report).transpose())
}
