//! The life of one request at an instance.

use std::rc::Rc;

use bytes::Bytes;
use model::{Cause, Outcome, Position, Repeat, Report, name};
use ntex::time::sleep;
use route::{Read, Target, Verdict};

use super::{
    Core, Pin, Running,
    choose::Way,
    exchange::Heard,
    group::Group,
    lines::Refused,
    once,
    sink::{Mode, Sink, To},
    site::{Errand, Held, Ran, discard, tell},
    within::{failed, within, within_remote},
};
use crate::{
    forward::{Command, Seq},
    job::{Caller, Closes, End, Job, Need, Part, Reply},
    meter::Server,
};

/// How often a request is tried at most, whatever its budget.
const MAX_TRIES: u32 = 8;

/// Runs one request and replies with its end.
pub(super) async fn serve(core: Rc<Core>, mut job: Job) {
    let running = Rc::new(Running::open(job.seq));
    core.running
        .borrow_mut()
        .insert(job.caller, Rc::clone(&running));
    let end = run(&core, &mut job, &running).await;
    count(&core, &job, end.outcome);
    // A caller that left while its request ran has nobody to end the
    // transaction that the request began.
    let left = running.cancelled.get() && !core.running.borrow().contains_key(&job.caller);
    core.running.borrow_mut().remove(&job.caller);
    if left {
        leave(&core, job.caller);
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
            "a request ended as unknown: {cause}"
        );
    }
}

/// Ends what a caller that has gone left behind.
pub(super) fn leave(core: &Rc<Core>, caller: Caller) {
    if let Some(running) = core.running.borrow_mut().remove(&caller) {
        running.cancel();
    }
    let pin = core.pins.borrow_mut().remove(&caller);
    match pin {
        Some(Pin::Open { line, .. }) => discard(*line),
        Some(Pin::Remote { to, pin, .. }) => tell(core, &to, Command::Leave { pin }),
        Some(Pin::Failed) | None => {}
    }
}

/// The stream to the instance `to` has ended, and it has ended the
/// transactions that this one had there.
pub(super) fn lose_pins(core: &Core, to: &name::Instance, upto: Seq) {
    for pin in core.pins.borrow_mut().values_mut() {
        if matches!(pin, Pin::Remote { to: at, pin, .. } if at == to && *pin <= upto) {
            *pin = Pin::Failed;
        }
    }
}

/// Notes that a caller has taken a part of its answer.
pub(super) fn taken(core: &Core, caller: Caller, seq: u64) {
    let running = core.running.borrow().get(&caller).cloned();
    if let Some(running) = running.filter(|it| it.seq == seq) {
        running.untaken.set(running.untaken.get().saturating_sub(1));
        running.taken.notify_one();
    }
}

/// Cancels the statement that a caller's request runs, if it still does.
///
/// The request's number is compared: a cancel that comes late must not hit
/// the statement after the one that it was meant for.
pub(super) fn cancel(core: &Rc<Core>, caller: Caller, seq: u64) {
    let running = core.running.borrow().get(&caller).cloned();
    let Some(running) = running.filter(|it| it.seq == seq) else {
        return;
    };
    if let Some((to, of)) = running.remote.borrow().clone() {
        tell(core, &to, Command::Cancel { of });
    }
    running.hit();
}

async fn run(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>) -> End {
    match job.request {
        Some(tagged) => once::serve(core, job, running, tagged).await,
        None => pass_to(core, job, running).await,
    }
}

/// Runs the job's batch on the connection that its caller holds, or on any.
pub(super) async fn pass_to(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>) -> End {
    let pin = core.pins.borrow_mut().remove(&job.caller);
    match pin {
        Some(Pin::Open { line, group }) => within(core, job, running, *line, &group).await,
        Some(Pin::Remote { to, pin, group }) => {
            within_remote(core, job, running, (&to, pin), &group).await
        }
        Some(Pin::Failed) => failed(core, job),
        None => match core.group(&job.scope.database) {
            Some(group) => fresh(core, job, running, &group).await,
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

/// What became of one try.
enum Try {
    /// The request has ended.
    Ended(End),
    /// It did not run there, or what it brought does not hold: once more.
    Again,
    /// The upstream can't be reached, and nothing was sent.
    Unsent(Refused),
}

/// A request outside a transaction.
async fn fresh(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>, group: &Rc<Group>) -> End {
    let mut read = Read {
        floor: job.floor,
        seen: job.seen,
        freshness: job.scope.class.freshness,
        began: job.began,
        deadline: job.deadline,
        fingerprint: job.batch.fingerprint,
        trust: route::Trust::Expected,
    };
    let mut tries = 0;
    while tries < MAX_TRIES {
        let way = match job.batch.need {
            Need::Read | Need::Setting => group.choose(core, &read).await,
            Need::Begin | Need::Write | Need::Alone => group.primary(core, job.deadline).await,
        };
        let way = match way {
            Ok(way) => way,
            Err(cause) => return refused(cause, None),
        };
        match attempt(core, job, running, group, &way, &mut read).await {
            Try::Ended(end) => return end,
            Try::Again => {
                job.meter.note_retried();
                tries += 1;
            }
            Try::Unsent(refusal) => {
                if !group.wait_for_news(core, job).await {
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
    way: &Way,
    read: &mut Read,
) -> Try {
    let mut sink = Sink::open(core, running, To::Caller(job.caller), Mode::Hold);
    let verdict = Verdict::Fresh;
    let mut errand = Errand {
        core,
        group,
        job,
        way,
        read,
        running,
        verdict,
    };
    let ran = errand.run(&mut sink).await;
    let verdict = errand.verdict;
    match ran {
        Ran::Heard(heard, held) if verdict != Verdict::Fresh => {
            held.settle(&heard);
            job.meter.note_discarded();
            *read = read.discarded(way.target());
            Try::Again
        }
        Ran::Heard(heard, held) => conclude(core, job, group, way, held, heard, sink).await,
        Ran::Refused(refusal) if refusal.cause == Cause::NoUpstream => {
            // A replica that can't be reached does not keep a read from others,
            // and a primary that can't be reached is being replaced.
            if matches!(way, Way::Replica(_)) {
                *read = read.discarded(Target::Replica);
            }
            Try::Unsent(refusal)
        }
        Ran::Refused(refusal) => Try::Ended(refused(refusal.cause, refusal.retry_after)),
        Ran::Broken => broken(job, way, &sink),
        Ran::Late => Try::Ended(unknown(Cause::Deadline)),
    }
}

/// What a whole answer means for the request.
async fn conclude(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    way: &Way,
    held: Held,
    heard: Heard,
    sink: Sink<'_>,
) -> Try {
    if heard.spoiled {
        held.discard();
        return Try::Ended(refused(Cause::ConnectionLost, None));
    }
    if heard.error.as_deref() == Some(route::READ_ONLY) && !sink.has_streamed() {
        held.settle(&heard);
        return read_only(core, job, group, way).await;
    }
    let failed = heard.error.is_some();
    let commits = job.batch.closes == Closes::Transaction;
    if heard.status != Some(b'I') {
        return Try::Ended(keep_open(core, job, group, held, &heard, sink).await);
    }
    held.settle(&heard);
    let wrote = matches!(job.batch.need, Need::Write | Need::Alone | Need::Begin);
    if wrote && (!failed || commits) {
        let mut end = acknowledge(core, job, group, heard.behind, sink).await;
        if !failed {
            end.changes = std::mem::take(&mut job.batch.changes);
        }
        return Try::Ended(end);
    }
    let mut end = end(Outcome::Done, sink.finish(), Some(b'I'));
    if !failed {
        count_read(job, group, way);
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end.events = learnt(group, way, &heard);
    Try::Ended(end)
}

/// The answer to a batch behind which a transaction, or the batch itself, is
/// still open: the caller keeps the connection.
///
/// A text such as `COMMIT; BEGIN` ends a transaction all the same. Its commit
/// is acknowledged as any other; it would be lost with the primary otherwise.
pub(super) async fn keep_open(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    held: Held,
    heard: &Heard,
    sink: Sink<'_>,
) -> End {
    held.keep(core, job.caller, group);
    let commits = job.batch.closes == Closes::Transaction && heard.status.is_some();
    let mut end = if commits && heard.behind.is_some() {
        let end = acknowledge(core, job, group, heard.behind, sink).await;
        End {
            status: heard.status,
            ..end
        }
    } else {
        end(Outcome::Done, sink.finish(), heard.status)
    };
    if heard.error.is_none() {
        end.changes = std::mem::take(&mut job.batch.changes);
    }
    end
}

/// Counts an answered read by who served it.
fn count_read(job: &Job, group: &Group, way: &Way) {
    if job.batch.need != Need::Read {
        return;
    }
    let server = match way {
        Way::Replica(upstream) => Server::Replica(group.router.borrow().lag(upstream)),
        Way::Primary(_) | Way::Confirmed(..) => Server::Primary,
    };
    job.meter.note_read(server);
}

/// What a session learns from an answered read.
fn learnt(group: &Group, way: &Way, heard: &Heard) -> Vec<session::Event> {
    let mut events = Vec::new();
    if let Way::Confirmed(_, round) = way {
        events.push(session::Event::ReadConfirmed(*round));
    }
    // Also a confirmed read may have shown more than its round confirmed.
    // Unnoted, the session's next read could go to a replica that lacks it.
    if let Some(report) = heard.behind {
        let confirmed = group.router.borrow().confirmed();
        let upto = route::position(&report);
        events.push(session::Event::Read { upto, confirmed });
    }
    events
}

/// A read-only upstream refused the statement, which proves that it did not run.
async fn read_only(core: &Rc<Core>, job: &mut Job, group: &Rc<Group>, way: &Way) -> Try {
    match way {
        Way::Replica(_) => {
            let fingerprint = job.batch.fingerprint;
            let event = route::Event::Wrote { fingerprint };
            group.router.borrow_mut().step(core.now(), event);
            job.batch.need = Need::Write;
        }
        // The primary was fenced: wait for the one that replaces it.
        Way::Primary(_) | Way::Confirmed(..) => {
            tokio::select! {
                () = group.changed.notified() => {}
                () = sleep(job.deadline.since(core.now())) => {}
            }
        }
    }
    if core.now() >= job.deadline {
        return Try::Ended(refused(Cause::NoUpstream, None));
    }
    Try::Again
}

/// Holds a write's answer back until a majority has the write.
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
    match group.acknowledged(core, position, job.deadline).await {
        Ok(()) => {
            let mut end = end(Outcome::Done, sink.finish(), Some(b'I'));
            end.events = vec![session::Event::Acknowledged(position)];
            end
        }
        Err(cause) => unknown(cause),
    }
}

/// The connection failed with the request on it.
fn broken(job: &Job, way: &Way, sink: &Sink<'_>) -> Try {
    let replica_read = matches!(way, Way::Replica(_));
    let repeatable = job.scope.class.repeat == Repeat::Idempotent || replica_read;
    // What may have begun a transaction or changed the connection is not
    // repeated: the caller could not tell what the first run left.
    let plain = matches!(job.batch.need, Need::Read | Need::Write);
    if repeatable && plain && !sink.has_streamed() {
        return Try::Again;
    }
    Try::Ended(unknown(Cause::ConnectionLost))
}
