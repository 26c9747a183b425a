//! Statements of open transactions, which stay on one connection.

use std::rc::Rc;

use bytes::Bytes;
use model::{Cause, Outcome, Report, name};
use ntex::time::sleep;

use super::{
    Core, Pin, Running,
    exchange::{Heard, ask, exchange},
    group::Group,
    line::Line,
    plan::{Plan, Probes},
    remote::{self, Talk},
    run::{acknowledge, end, keep_open, refused, unknown},
    sink::{Mode, Sink, To},
    site::{Held, discard, tell},
};
use crate::{
    forward::{Command, Seq},
    job::{Closes, End, Job},
};

/// A statement of a transaction on a connection of this instance.
pub(super) async fn within(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    mut line: Line,
    group: &Rc<Group>,
) -> End {
    let home = Rc::clone(&line.home);
    if home.next(&mut line, job.deadline).await.is_err() {
        discard(line);
        return lost(core, job);
    }
    let behind = job.batch.closes == Closes::Transaction;
    let plan = Plan::within(
        &mut line,
        &job.batch,
        Probes {
            before: false,
            behind,
        },
    );
    let mode = mode_within(job);
    let mut sink = Sink::open(core, running, To::Caller(job.caller), mode);
    running.sent.set(true);
    *running.line.borrow_mut() = Some((line.address, line.conn.key().clone()));
    let sent = core.now();
    let mut judge = |_: &Report| mode;
    let heard = tokio::select! {
        biased;
        heard = exchange(sent, &mut line, plan, &mut sink, &mut judge) => heard.ok(),
        () = sleep(job.deadline.since(sent)) => None,
    };
    *running.line.borrow_mut() = None;
    running.spare(&mut line);
    let Some(mut heard) = heard else {
        discard(line);
        return cut(core, job);
    };
    if heard.status == Some(b'I') && heard.behind.is_none() {
        heard.behind = ask(&line).await.ok().flatten();
    }
    let held = Held::Line(Box::new(line));
    conclude_within(core, job, group, held, heard, sink).await
}

/// A statement of a transaction on a connection of another instance.
pub(super) async fn within_remote(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    (to, pin): (&name::Instance, Seq),
    group: &Rc<Group>,
) -> End {
    let mut sink = Sink::open(core, running, To::Caller(job.caller), mode_within(job));
    running.sent.set(true);
    *running.remote.borrow_mut() = Some((to.clone(), pin));
    let talk = remote::within(core, job, &mut sink, to, pin).await;
    *running.remote.borrow_mut() = None;
    match talk {
        Talk::Heard(heard) => {
            let held = Held::Remote {
                to: to.clone(),
                pin,
            };
            conclude_within(core, job, group, held, heard, sink).await
        }
        Talk::Refused(_) => lost(core, job),
        Talk::Broken | Talk::Late => {
            tell(core, to, Command::Leave { pin });
            cut(core, job)
        }
    }
}

fn mode_within(job: &Job) -> Mode {
    if job.request.is_some() {
        // The statement does not count before its id is committed with it.
        return Mode::Hold;
    }
    match job.batch.closes {
        Closes::Transaction => Mode::Hold,
        Closes::Nothing => Mode::Stream,
    }
}

/// The connection of a transaction failed while a statement ran on it.
fn cut(core: &Core, job: &Job) -> End {
    // Without its COMMIT a transaction rolls back with its connection.
    match job.batch.closes {
        Closes::Transaction => unknown(Cause::ConnectionLost),
        Closes::Nothing => lost(core, job),
    }
}

async fn conclude_within(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    held: Held,
    heard: Heard,
    sink: Sink<'_>,
) -> End {
    if heard.status != Some(b'I') {
        return keep_open(core, job, group, held, &heard, sink).await;
    }
    held.settle(&heard);
    let closes = job.batch.closes == Closes::Transaction;
    if heard.error.is_some() && !closes {
        return end(Outcome::Done, sink.finish(), Some(b'I'));
    }
    let mut end = acknowledge(core, job, group, heard.behind, sink).await;
    if heard.error.is_none() {
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end
}

/// The transaction is gone with its connection: it rolled back.
///
/// Until the caller ends it, its statements are refused. Run on their own they
/// would commit one by one what the caller meant to be one transaction.
fn lost(core: &Core, job: &Job) -> End {
    if job.batch.closes == Closes::Transaction {
        return refused(Cause::ConnectionLost, None);
    }
    core.pins.borrow_mut().insert(job.caller, Pin::Failed);
    end(
        Outcome::NotRun(Cause::ConnectionLost),
        Bytes::new(),
        Some(b'E'),
    )
}

/// A statement of a transaction whose connection is gone.
pub(super) fn failed(core: &Core, job: &Job) -> End {
    if job.batch.closes == Closes::Transaction {
        let bytes = super::plan::rolled_back(&job.batch);
        return end(Outcome::Done, bytes, Some(b'I'));
    }
    core.pins.borrow_mut().insert(job.caller, Pin::Failed);
    let mut buf = bytes::BytesMut::new();
    let text = "current transaction is aborted, commands ignored until end of transaction block";
    pg::error(&mut buf, "25P02", text, None);
    end(Outcome::Done, buf.freeze(), Some(b'E'))
}
