//! Relaying of answers to the caller.

use bytes::BytesMut;
use model::Outcome;

use super::{
    Stream,
    serve::{End, Session, send},
};
use crate::job::{self, Command, Part};

/// `CommandComplete` message of a `COMMIT`.
const COMMIT_COMPLETE: &[u8] = b"C\0\0\0\x0bCOMMIT\0";

/// Recipient of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recipient {
    /// The caller.
    Caller,
    /// The proxy, which ran the batch for itself.
    Proxy,
}

/// Relays the answer to the running request, part by part.
pub(super) async fn relay(
    session: &mut Session,
    io: &Stream,
    recipient: Recipient,
) -> Result<(), End> {
    loop {
        let part = tokio::select! {
            biased;
            part = next(session) => part?,
            () = disconnected(io) => return Err(End::Gone),
        };
        match part {
            Part::Chunk(bytes) => {
                if recipient == Recipient::Caller {
                    send(io, &bytes).await?;
                }
                let taken = Command::Taken {
                    caller: session.caller,
                    seq: session.seq,
                };
                session.shared.commands.send(taken).await;
            }
            Part::End(end) => return finish(session, io, *end, recipient).await,
        }
    }
}

async fn next(session: &mut Session) -> Result<Part, End> {
    let Some(parts) = &mut session.parts else {
        return Err(End::Gone);
    };
    loop {
        let (seq, part) = parts.recv().await.ok_or(End::Gone)?;
        if seq == session.seq {
            return Ok(part);
        }
    }
}

/// Waits until the caller has closed its connection.
async fn disconnected(io: &Stream) {
    io.on_disconnect().await;
}

async fn finish(
    session: &mut Session,
    io: &Stream,
    end: job::End,
    recipient: Recipient,
) -> Result<(), End> {
    let now = session.shared.clock.now();
    for event in end.events {
        session.state.step(now, event);
    }
    let done = end.outcome == Outcome::Done;
    let commit = done
        && end
            .bytes
            .windows(COMMIT_COMPLETE.len())
            .any(|it| it == COMMIT_COMPLETE);
    let ready = session.note_batch_end(end.status, end.changes, commit);
    if recipient == Recipient::Proxy {
        return Ok(());
    }
    let mut buf = BytesMut::from(&end.bytes[..]);
    append_outcome(&mut buf, end.outcome, end.retry_after);
    session.put_token(&mut buf);
    if let Some(status) = ready {
        pg::ready(&mut buf, status);
    }
    send(io, &buf).await
}

/// Reports a request to the caller that never left the instance.
pub(super) async fn not_run(
    session: &mut Session,
    io: &Stream,
    outcome: Outcome,
) -> Result<(), End> {
    let mut buf = BytesMut::new();
    append_outcome(&mut buf, outcome, None);
    if let Some(status) = session.note_refused() {
        pg::ready(&mut buf, status);
    }
    send(io, &buf).await
}

fn append_outcome(buf: &mut BytesMut, outcome: Outcome, retry_after: Option<std::time::Duration>) {
    let Some(state) = outcome.sqlstate() else {
        return;
    };
    let hint = retry_after.map(|it| format!("retry_after_ms={}", it.as_millis()));
    let text = match outcome {
        Outcome::Done => return,
        Outcome::NotRun(cause) => format!("not run: {cause}"),
        Outcome::Unknown(cause) => format!("unknown whether it ran: {cause}"),
    };
    pg::error(buf, state, &text, hint.as_deref());
}
