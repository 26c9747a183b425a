//! Statements of open transactions, each of which stays on one connection.

use std::rc::Rc;

use bytes::Bytes;
use model::{Cause, Outcome, Report, name};
use ntex::time::sleep;

use super::{
    Core, Pin, Running,
    connection::Connection,
    dispatch::{Checkout, discard, send_command},
    exchange::{Answer, exchange, probe},
    group::Group,
    plan::{Plan, Probes},
    remote::{self, RemoteCompletion},
    run::{acknowledge, end, keep_open, refused, unknown},
    sink::{Mode, Recipient, Sink},
};
use crate::{
    forward::{Command, Seq},
    job::{Closes, End, Job},
};

/// Runs a statement of a transaction on a connection of this instance.
pub(super) async fn run_local(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    mut connection: Connection,
    group: &Rc<Group>,
) -> End {
    let owner = Rc::clone(&connection.owner);
    if owner.next(&mut connection, job.deadline).await.is_err() {
        discard(connection);
        return fail_transaction(core, job);
    }
    let behind = job.batch.closes == Closes::Transaction;
    let plan = Plan::in_transaction(
        &mut connection,
        &job.batch,
        Probes {
            before: false,
            behind,
        },
    );
    let mode = answer_mode(job);
    let mut sink = Sink::open(core, running, Recipient::Caller(job.caller), mode);
    running.sent.set(true);
    *running.connection.borrow_mut() = Some((connection.address, connection.conn.key().clone()));
    let sent = core.now();
    let mut choose_mode = |_: &Report| mode;
    let answer = tokio::select! {
        biased;
        answer = exchange(sent, &mut connection, plan, &mut sink, &mut choose_mode) => answer.ok(),
        () = sleep(job.deadline.since(sent)) => None,
    };
    *running.connection.borrow_mut() = None;
    running.close_if_cancelled(&mut connection);
    let Some(mut answer) = answer else {
        discard(connection);
        return connection_failed(core, job);
    };
    if answer.status == Some(b'I') && answer.behind.is_none() {
        answer.behind = probe(&connection).await.ok().flatten();
    }
    let checkout = Checkout::Connection(Box::new(connection));
    conclude(core, job, group, checkout, answer, sink).await
}

/// Runs a statement of a transaction on a connection of another instance.
pub(super) async fn run_remote(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    (to, pin): (&name::Instance, Seq),
    group: &Rc<Group>,
) -> End {
    let mut sink = Sink::open(
        core,
        running,
        Recipient::Caller(job.caller),
        answer_mode(job),
    );
    running.sent.set(true);
    *running.remote.borrow_mut() = Some((to.clone(), pin));
    let completion = remote::run_in_transaction(core, job, &mut sink, to, pin).await;
    *running.remote.borrow_mut() = None;
    match completion {
        RemoteCompletion::Answer(answer) => {
            let checkout = Checkout::Remote {
                to: to.clone(),
                pin,
            };
            conclude(core, job, group, checkout, answer, sink).await
        }
        RemoteCompletion::Refused(_) => fail_transaction(core, job),
        RemoteCompletion::Broken | RemoteCompletion::TimedOut => {
            send_command(core, to, Command::Leave { pin });
            connection_failed(core, job)
        }
    }
}

fn answer_mode(job: &Job) -> Mode {
    if job.request.is_some() {
        // The statement takes effect only when its id is committed with it.
        return Mode::Hold;
    }
    match job.batch.closes {
        Closes::Transaction => Mode::Hold,
        Closes::Nothing => Mode::Stream,
    }
}

/// Ends a statement whose connection failed while it ran.
fn connection_failed(core: &Core, job: &Job) -> End {
    // A transaction rolls back with its connection unless its COMMIT was sent.
    match job.batch.closes {
        Closes::Transaction => unknown(Cause::ConnectionLost),
        Closes::Nothing => fail_transaction(core, job),
    }
}

async fn conclude(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    checkout: Checkout,
    answer: Answer,
    sink: Sink<'_>,
) -> End {
    if answer.status != Some(b'I') {
        return keep_open(core, job, group, checkout, &answer, sink).await;
    }
    checkout.settle(&answer);
    let closes = job.batch.closes == Closes::Transaction;
    if answer.error.is_some() && !closes {
        return end(Outcome::Done, sink.finish(), Some(b'I'));
    }
    let mut end = acknowledge(core, job, group, answer.behind, sink).await;
    if answer.error.is_none() {
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end
}

/// Marks a transaction as failed after its connection was lost, which rolled it
/// back.
///
/// Until the caller ends the transaction, its statements are refused. If they
/// ran on their own, each would commit separately what belongs to one
/// transaction.
fn fail_transaction(core: &Core, job: &Job) -> End {
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

/// Answers a statement of a failed transaction.
pub(super) fn in_failed_transaction(core: &Core, job: &Job) -> End {
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
