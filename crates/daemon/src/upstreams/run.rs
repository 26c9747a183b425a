//! Execution of one request: retries, acknowledgement, and the reply to the
//! caller.

use std::rc::Rc;

use bytes::Bytes;
use model::{Cause, Outcome, Position, Repeat, Report, name};
use ntex::time::sleep;
use route::{Read, Target, Verdict};

use super::{
    Core, Pin, Running,
    choose::Destination,
    connections::Refused,
    dispatch::{Checkout, Completion, Dispatch, discard, send_command},
    exchange::Answer,
    group::Group,
    once,
    sink::{Mode, Recipient, Sink},
    transaction::{in_failed_transaction, run_local, run_remote},
};
use crate::{
    forward::{Command, Seq},
    job::{Caller, Closes, End, Job, Need, Part, Reply},
    meter::Server,
};

/// Highest number of attempts of a request, independent of its retry budget.
const MAX_ATTEMPTS: u32 = 8;

/// Runs one request and sends its final reply.
pub(super) async fn serve(core: Rc<Core>, mut job: Job) {
    let running = Rc::new(Running::open(job.seq));
    core.running
        .borrow_mut()
        .insert(job.caller, Rc::clone(&running));
    let end = run(&core, &mut job, &running).await;
    count(&core, &job, end.outcome);
    // If the caller disconnected while the request ran, a transaction that the
    // request began has to be ended here, since no other code path does so.
    let left = running.abandoned.get() && !core.running.borrow().contains_key(&job.caller);
    core.running.borrow_mut().remove(&job.caller);
    if left {
        release_caller(&core, job.caller);
    }
    let reply = Reply {
        caller: job.caller,
        seq: job.seq,
        part: Part::End(Box::new(end)),
    };
    core.replies.send(reply).await;
}

fn count(core: &Core, job: &Job, outcome: Outcome) {
    let now = core.now();
    job.meter.note_ended(outcome, now.since(job.began));
    if let Outcome::Unknown(cause) = outcome
        && job.meter.may_log(now)
    {
        let scope = &job.scope;
        log::warn!(
            duty = "upstreams", tenant = scope.tenant.as_str(), class = scope.entry.as_str(),
            database = scope.database.as_str();
            "request ended with unknown outcome: {cause}"
        );
    }
}

/// Cancels the running request of a disconnected caller and ends its
/// transaction.
pub(super) fn release_caller(core: &Rc<Core>, caller: Caller) {
    if let Some(running) = core.running.borrow_mut().remove(&caller) {
        running.abandon();
    }
    let pin = core.pins.borrow_mut().remove(&caller);
    match pin {
        Some(Pin::Open { connection, .. }) => discard(*connection),
        Some(Pin::Remote { to, pin, .. }) => send_command(core, &to, Command::Leave { pin }),
        Some(Pin::Failed) | None => {}
    }
}

/// Marks the transactions at the instance `to` as failed after its stream has
/// ended: the instance has rolled them back.
pub(super) fn fail_pins(core: &Core, to: &name::Instance, upto: Seq) {
    for pin in core.pins.borrow_mut().values_mut() {
        if matches!(pin, Pin::Remote { to: at, pin, .. } if at == to && *pin <= upto) {
            *pin = Pin::Failed;
        }
    }
}

/// Notes that the caller has consumed a part of its answer.
pub(super) fn note_taken(core: &Core, caller: Caller, seq: u64) {
    let running = core.running.borrow().get(&caller).cloned();
    if let Some(running) = running.filter(|it| it.seq == seq) {
        running
            .outstanding
            .set(running.outstanding.get().saturating_sub(1));
        running.progress.notify_one();
    }
}

/// Cancels the statement of a caller's request if the request still runs.
///
/// The sequence number is compared so that a late cancel does not hit the
/// caller's next statement.
pub(super) fn cancel(core: &Rc<Core>, caller: Caller, seq: u64) {
    let running = core.running.borrow().get(&caller).cloned();
    let Some(running) = running.filter(|it| it.seq == seq) else {
        return;
    };
    if let Some((to, of)) = running.remote.borrow().clone() {
        send_command(core, &to, Command::Cancel { of });
    }
    running.send_cancel();
}

async fn run(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>) -> End {
    match job.request {
        Some(tagged) => once::serve(core, job, running, tagged).await,
        None => run_batch(core, job, running).await,
    }
}

/// Runs the job's batch on the connection pinned by its caller, or on any
/// other.
pub(super) async fn run_batch(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>) -> End {
    let pin = core.pins.borrow_mut().remove(&job.caller);
    match pin {
        Some(Pin::Open { connection, group }) => {
            run_local(core, job, running, *connection, &group).await
        }
        Some(Pin::Remote { to, pin, group }) => {
            run_remote(core, job, running, (&to, pin), &group).await
        }
        Some(Pin::Failed) => in_failed_transaction(core, job),
        None => match core.group(&job.scope.database) {
            Some(group) => run_standalone(core, job, running, &group).await,
            None => refused(Cause::Catalogue, None),
        },
    }
}

pub(super) fn end(outcome: Outcome, bytes: Bytes, status: Option<u8>) -> End {
    End {
        outcome,
        bytes,
        status,
        events: Vec::new(),
        changes: Vec::new(),
        retry_after: None,
    }
}

pub(super) fn refused(cause: Cause, retry_after: Option<std::time::Duration>) -> End {
    End {
        retry_after,
        ..end(Outcome::NotRun(cause), Bytes::new(), Some(b'I'))
    }
}

pub(super) fn unknown(cause: Cause) -> End {
    end(Outcome::Unknown(cause), Bytes::new(), Some(b'I'))
}

/// The result of one attempt.
enum Attempt {
    /// The request has ended.
    Ended(End),
    /// The request did not run, or its answer is not valid: it is tried again.
    Retry,
    /// The upstream can't be reached; nothing was sent.
    Unsent(Refused),
}

/// Runs a request outside a transaction.
async fn run_standalone(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    group: &Rc<Group>,
) -> End {
    let mut read = Read {
        floor: job.floor,
        seen: job.seen,
        freshness: job.scope.class.freshness,
        began: job.began,
        deadline: job.deadline,
        fingerprint: job.batch.fingerprint,
        trust: route::Trust::Expected,
    };
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        let destination = match job.batch.need {
            Need::Read | Need::Setting => group.choose(core, &read).await,
            Need::Begin | Need::Write | Need::Alone => group.primary(core, job.deadline).await,
        };
        let destination = match destination {
            Ok(destination) => destination,
            Err(cause) => return refused(cause, None),
        };
        match attempt(core, job, running, group, &destination, &mut read).await {
            Attempt::Ended(end) => return end,
            Attempt::Retry => {
                job.meter.note_retried();
                attempts += 1;
            }
            Attempt::Unsent(refusal) => {
                if !group.wait_for_change(core, job).await {
                    return refused(refusal.cause, refusal.retry_after);
                }
            }
        }
    }
    refused(Cause::RetryBudget, None)
}

async fn attempt(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    group: &Rc<Group>,
    destination: &Destination,
    read: &mut Read,
) -> Attempt {
    let mut sink = Sink::open(core, running, Recipient::Caller(job.caller), Mode::Hold);
    let verdict = Verdict::Fresh;
    let mut dispatch = Dispatch {
        core,
        group,
        job,
        destination,
        read,
        running,
        verdict,
    };
    let completion = dispatch.run(&mut sink).await;
    let verdict = dispatch.verdict;
    match completion {
        Completion::Answer(answer, checkout) if verdict != Verdict::Fresh => {
            checkout.settle(&answer);
            job.meter.note_discarded();
            *read = read.discarded(destination.target());
            Attempt::Retry
        }
        Completion::Answer(answer, checkout) => {
            conclude(core, job, group, destination, checkout, answer, sink).await
        }
        Completion::Refused(refusal) if refusal.cause == Cause::NoUpstream => {
            // A read can go to another upstream than the unreachable replica.
            // An unreachable primary is being replaced.
            if matches!(destination, Destination::Replica(_)) {
                *read = read.discarded(Target::Replica);
            }
            Attempt::Unsent(refusal)
        }
        Completion::Refused(refusal) => Attempt::Ended(refused(refusal.cause, refusal.retry_after)),
        Completion::Broken => broken(job, destination, &sink),
        Completion::TimedOut => Attempt::Ended(unknown(Cause::Deadline)),
    }
}

/// Ends an attempt whose answer was read completely, or asks for another one.
async fn conclude(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    destination: &Destination,
    checkout: Checkout,
    answer: Answer,
    sink: Sink<'_>,
) -> Attempt {
    if answer.spoiled {
        checkout.discard();
        return Attempt::Ended(refused(Cause::ConnectionLost, None));
    }
    if answer.error.as_deref() == Some(route::READ_ONLY) && !sink.has_streamed() {
        checkout.settle(&answer);
        return read_only(core, job, group, destination).await;
    }
    let failed = answer.error.is_some();
    let commits = job.batch.closes == Closes::Transaction;
    if answer.status != Some(b'I') {
        return Attempt::Ended(keep_open(core, job, group, checkout, &answer, sink).await);
    }
    checkout.settle(&answer);
    let wrote = matches!(job.batch.need, Need::Write | Need::Alone | Need::Begin);
    if wrote && (!failed || commits) {
        let mut end = acknowledge(core, job, group, answer.behind, sink).await;
        if !failed {
            end.changes = std::mem::take(&mut job.batch.changes);
        }
        return Attempt::Ended(end);
    }
    let mut end = end(Outcome::Done, sink.finish(), Some(b'I'));
    if !failed {
        count_read(job, group, destination);
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end.events = session_events(group, destination, &answer);
    Attempt::Ended(end)
}

/// Ends a batch that leaves a transaction or the batch itself open: the caller
/// keeps the connection.
///
/// A text such as `COMMIT; BEGIN` ends a transaction as well. Its commit has to
/// be acknowledged like any other, or it could be lost with the primary.
pub(super) async fn keep_open(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    checkout: Checkout,
    answer: &Answer,
    sink: Sink<'_>,
) -> End {
    checkout.keep(core, job.caller, group);
    let commits = job.batch.closes == Closes::Transaction && answer.status.is_some();
    let mut end = if commits && answer.behind.is_some() {
        let end = acknowledge(core, job, group, answer.behind, sink).await;
        End {
            status: answer.status,
            ..end
        }
    } else {
        end(Outcome::Done, sink.finish(), answer.status)
    };
    if answer.error.is_none() {
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end
}

/// Counts a completed read by the role of the upstream that served it.
fn count_read(job: &Job, group: &Group, destination: &Destination) {
    if job.batch.need != Need::Read {
        return;
    }
    let server = match destination {
        Destination::Replica(upstream) => Server::Replica(group.router.borrow().lag(upstream)),
        Destination::Primary(_) | Destination::Confirmed(..) => Server::Primary,
    };
    job.meter.note_read(server);
}

/// The session events of a completed read.
fn session_events(
    group: &Group,
    destination: &Destination,
    answer: &Answer,
) -> Vec<session::Event> {
    let mut events = Vec::new();
    if let Destination::Confirmed(_, round) = destination {
        events.push(session::Event::ReadConfirmed(*round));
    }
    // A confirmed read may have seen more than its round confirmed. Unless that
    // is noted, the session's next read could go to a replica that lacks it.
    if let Some(report) = answer.behind {
        let confirmed = group.router.borrow().confirmed();
        let upto = route::position(&report);
        events.push(session::Event::Read { upto, confirmed });
    }
    events
}

/// Handles a statement refused by a read-only upstream, which proves that the
/// statement did not run.
async fn read_only(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    destination: &Destination,
) -> Attempt {
    match destination {
        Destination::Replica(_) => {
            let fingerprint = job.batch.fingerprint;
            let event = route::Event::Wrote { fingerprint };
            group.router.borrow_mut().step(core.now(), event);
            job.batch.need = Need::Write;
        }
        // The primary was fenced: wait for its replacement.
        Destination::Primary(_) | Destination::Confirmed(..) => {
            tokio::select! {
                () = group.changed.notified() => {}
                () = sleep(job.deadline.since(core.now())) => {}
            }
        }
    }
    if core.now() >= job.deadline {
        return Attempt::Ended(refused(Cause::NoUpstream, None));
    }
    Attempt::Retry
}

/// Withholds a write's answer until a majority holds the write.
pub(super) async fn acknowledge(
    core: &Rc<Core>,
    job: &Job,
    group: &Rc<Group>,
    behind: Option<Report>,
    sink: Sink<'_>,
) -> End {
    let Some(report) = behind else {
        return unknown(Cause::ConnectionLost);
    };
    let position: Position = report.received;
    match group.wait_acknowledged(core, position, job.deadline).await {
        Ok(()) => {
            let mut end = end(Outcome::Done, sink.finish(), Some(b'I'));
            end.events = vec![session::Event::Acknowledged(position)];
            end
        }
        Err(cause) => unknown(cause),
    }
}

/// Handles a connection that failed while the request ran on it.
fn broken(job: &Job, destination: &Destination, sink: &Sink<'_>) -> Attempt {
    let replica_read = matches!(destination, Destination::Replica(_));
    let repeatable = job.scope.class.repeat == Repeat::Idempotent || replica_read;
    // A request that may have begun a transaction or changed the session is not
    // repeated: the caller could not tell what the first run left behind.
    let is_plain = matches!(job.batch.need, Need::Read | Need::Write);
    if repeatable && is_plain && !sink.has_streamed() {
        return Attempt::Retry;
    }
    Attempt::Ended(unknown(Cause::ConnectionLost))
}
