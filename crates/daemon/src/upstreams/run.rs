//! The life of one request at an instance.

use std::{
    cell::{Cell, RefCell},
    num::NonZeroU32,
    rc::Rc,
};

use bytes::Bytes;
use model::{Cause, Outcome, Position, Repeat, Report};
use ntex::time::sleep;
use pool::pool::{Limits, Request};
use route::{Read, Target, Verdict};
use tokio::sync::Notify;
use upstream::Error;

use super::{
    Core, Pin, Running,
    choose::Way,
    exchange::{Heard, ask, exchange},
    group::Group,
    line::{Fate, Line},
    lines::Refused,
    plan::{Plan, Probes},
    sink::{Mode, Sink},
};
use crate::job::{Caller, Closes, End, Job, Need, Part, Reply};

/// How often a request is tried at most, whatever its budget.
const MAX_TRIES: u32 = 8;

/// Runs one request and replies with its end.
pub(super) async fn serve(core: Rc<Core>, mut job: Job) {
    let running = Rc::new(Running {
        seq: job.seq,
        line: RefCell::default(),
        cancelled: Cell::new(false),
        hit: Cell::new(false),
        untaken: Cell::new(0),
        taken: Notify::new(),
    });
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
    let outcome = match outcome {
        Outcome::Done => "done",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown(_) => "unknown",
    };
    let tenant = job.scope.tenant.to_string();
    let entry = job.scope.entry.to_string();
    let took = core.now().since(job.began).as_secs_f64();
    metrics::histogram!(
        "dandelionlink_request_seconds",
        "tenant" => tenant,
        "entry" => entry,
        "outcome" => outcome
    )
    .record(took);
}

/// Ends what a caller that has gone left behind.
pub(super) fn leave(core: &Rc<Core>, caller: Caller) {
    if let Some(running) = core.running.borrow_mut().remove(&caller) {
        running.cancelled.set(true);
        running.taken.notify_waiters();
    }
    if let Some(Pin::Open { line, .. }) = core.pins.borrow_mut().remove(&caller) {
        discard(line);
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
pub(super) fn cancel(core: &Core, caller: Caller, seq: u64) {
    let running = core.running.borrow().get(&caller).cloned();
    let named = running.filter(|it| it.seq == seq).and_then(|it| {
        let line = it.line.borrow().clone();
        it.hit.set(line.is_some());
        line
    });
    if let Some((address, key)) = named {
        ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
    }
}

/// Keeps a connection from the next request while a cancel is on its way to
/// it: the cancel names the connection, not the statement.
fn spare(running: &Running, line: &mut Line) {
    if running.hit.get() {
        line.fate = Fate::Close;
    }
}

fn discard(line: Line) {
    let home = Rc::clone(&line.home);
    home.forget(line.ticket);
    home.discard(line);
}

async fn run(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>) -> End {
    let pin = core.pins.borrow_mut().remove(&job.caller);
    match pin {
        Some(Pin::Open { line, group }) => within(core, job, running, line, &group).await,
        Some(Pin::Failed) => failed(core, job),
        None => match core.group(&job.scope.database) {
            Some(group) => fresh(core, job, running, &group).await,
            None => refused(Cause::Catalogue, None),
        },
    }
}

fn end(outcome: Outcome, bytes: Bytes, status: Option<u8>) -> End {
    End {
        outcome,
        bytes,
        status,
        events: Vec::new(),
        changes: Vec::new(),
        retry_after: None,
    }
}

fn refused(cause: Cause, retry_after: Option<std::time::Duration>) -> End {
    End {
        retry_after,
        ..end(Outcome::NotRun(cause), Bytes::new(), Some(b'I'))
    }
}

fn unknown(cause: Cause) -> End {
    end(Outcome::Unknown(cause), Bytes::new(), Some(b'I'))
}

/// What became of one try.
enum Try {
    /// The request has ended.
    Ended(End),
    /// It did not run there, or what it brought does not hold: once more.
    Again,
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
    for _ in 0..MAX_TRIES {
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
            Try::Again => {}
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
    let Some(member) = group.member(way.upstream()) else {
        return Try::Again;
    };
    let request = Request {
        ticket: core.ticket(),
        entry: job.scope.entry.clone(),
        limits: Limits {
            connections: job.scope.connections,
            queue: job.scope.queue,
        },
        tenant: job.scope.tenant.clone(),
        weight: NonZeroU32::MIN,
        priority: job.scope.class.priority,
        deadline: job.deadline,
    };
    let mut line = match member.lines.acquire(request).await {
        Ok(line) => line,
        Err(Refused { cause, retry_after }) => {
            let read_only = matches!(way, Way::Replica(_));
            // A replica that can't be reached does not keep a read from others.
            if read_only && cause == Cause::NoUpstream && core.now() < job.deadline {
                *read = read.discarded(Target::Replica);
                return Try::Again;
            }
            return Try::Ended(refused(cause, retry_after));
        }
    };
    if line.conn.is_closed() {
        discard(line);
        return Try::Again;
    }
    let probes = probes(core, group, job, way, &line, read);
    let plan = Plan::fresh(&mut line, &job.batch, &job.settings, probes);
    let mode = match job.batch.need {
        Need::Read => Mode::Stream,
        _ => Mode::Hold,
    };
    let mut sink = Sink::open(core, running, job.caller, mode);
    let sent = core.now();
    let mut verdict = Verdict::Holds;
    let target = target(way);
    let mut judge = |report: &Report| {
        group.report(core.now(), way.upstream(), sent, *report);
        verdict = group
            .router
            .borrow()
            .verify(core.now(), report, read, target);
        if verdict == Verdict::Holds {
            mode
        } else {
            Mode::Discard
        }
    };
    *running.line.borrow_mut() = Some((line.address, line.conn.key().clone()));
    let deadline = job.deadline;
    let heard = tokio::select! {
        biased;
        heard = exchange(sent, &mut line, plan, &mut sink, &mut judge) => Some(heard),
        () = sleep(deadline.since(core.now())) => None,
    };
    *running.line.borrow_mut() = None;
    spare(running, &mut line);
    match heard {
        Some(Ok(heard)) => {
            note(core, group, way, &mut line, &heard);
            if probes.before && verdict != Verdict::Holds {
                settle(line, &heard);
                *read = read.discarded(target);
                return Try::Again;
            }
            conclude(core, job, group, way, line, heard, sink).await
        }
        Some(Err(error)) => {
            discard(line);
            broken(job, way, &sink, &error)
        }
        None => {
            let (address, key) = (line.address, line.conn.key().clone());
            ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
            discard(line);
            Try::Ended(unknown(Cause::Deadline))
        }
    }
}

fn target(way: &Way) -> Target {
    match way {
        Way::Replica(_) => Target::Replica,
        Way::Primary(_) | Way::Confirmed(..) => Target::Primary,
    }
}

/// Where the status is asked for on the connection of the request.
///
/// A position only goes forward while a connection lives, so the last status
/// that came on this one may prove enough, and spares the question ahead.
fn probes(core: &Core, group: &Group, job: &Job, way: &Way, line: &Line, read: &Read) -> Probes {
    let reads = matches!(job.batch.need, Need::Read | Need::Setting);
    if !reads {
        return Probes {
            before: false,
            behind: job.batch.need != Need::Begin,
        };
    }
    let proved = line.seen.as_ref().is_some_and(|(_, report)| {
        let verdict = group
            .router
            .borrow()
            .verify(core.now(), report, read, target(way));
        verdict == Verdict::Holds
    });
    let confirmed = matches!(way, Way::Confirmed(..));
    Probes {
        before: !proved && !confirmed,
        behind: true,
    }
}

/// Takes in the status that came with an answer.
fn note(core: &Core, group: &Group, way: &Way, line: &mut Line, heard: &Heard) {
    if let Some(report) = heard.behind.or(heard.before) {
        line.seen = Some((heard.sent, report));
    }
    if let Some(report) = heard.behind {
        group.report(core.now(), way.upstream(), heard.sent, report);
    }
}

/// Gives a connection back after an answer that is not passed on.
fn settle(line: Line, heard: &Heard) {
    let home = Rc::clone(&line.home);
    if heard.status == Some(b'I') && !heard.spoiled {
        home.release(line);
    } else {
        discard(line);
    }
}

/// What a whole answer means for the request.
async fn conclude(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    way: &Way,
    line: Line,
    heard: Heard,
    sink: Sink<'_>,
) -> Try {
    if heard.spoiled {
        discard(line);
        return Try::Ended(refused(Cause::ConnectionLost, None));
    }
    if heard.error.as_deref() == Some(route::READ_ONLY) && !sink.has_streamed() {
        settle(line, &heard);
        return read_only(core, job, group, way).await;
    }
    let failed = heard.error.is_some();
    let commits = job.batch.closes == Closes::Transaction;
    if heard.status != Some(b'I') {
        return Try::Ended(held(core, job, group, line, &heard, sink).await);
    }
    settle(line, &heard);
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
async fn held(
    core: &Rc<Core>,
    job: &mut Job,
    group: &Rc<Group>,
    line: Line,
    heard: &Heard,
    sink: Sink<'_>,
) -> End {
    line.home.hold(&line);
    let pin = Pin::Open {
        line,
        group: Rc::clone(group),
    };
    core.pins.borrow_mut().insert(job.caller, pin);
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

/// What a session learns from an answered read.
fn learnt(group: &Group, way: &Way, heard: &Heard) -> Vec<session::Event> {
    if let Way::Confirmed(_, round) = way {
        return vec![session::Event::ReadConfirmed(*round)];
    }
    let Some(report) = heard.behind else {
        return Vec::new();
    };
    let confirmed = group.router.borrow().confirmed();
    vec![session::Event::Read {
        upto: route::position(&report),
        confirmed,
    }]
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
async fn acknowledge(
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
fn broken(job: &Job, way: &Way, sink: &Sink<'_>, error: &Error) -> Try {
    let replica_read = matches!(way, Way::Replica(_));
    let repeatable = job.scope.class.repeat == Repeat::Idempotent || replica_read;
    // What may have begun a transaction or changed the connection is not
    // repeated: the caller could not tell what the first run left.
    let plain = matches!(job.batch.need, Need::Read | Need::Write);
    if repeatable && plain && !sink.has_streamed() && !matches!(error, Error::Protocol(_)) {
        return Try::Again;
    }
    Try::Ended(unknown(Cause::ConnectionLost))
}

/// A statement of an open transaction.
async fn within(
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
    let closes = job.batch.closes == Closes::Transaction;
    let plan = Plan::within(
        &mut line,
        &job.batch,
        Probes {
            before: false,
            behind: closes,
        },
    );
    let mode = if closes { Mode::Hold } else { Mode::Stream };
    let mut sink = Sink::open(core, running, job.caller, mode);
    *running.line.borrow_mut() = Some((line.address, line.conn.key().clone()));
    let sent = core.now();
    let mut judge = |_: &Report| mode;
    let heard = tokio::select! {
        biased;
        heard = exchange(sent, &mut line, plan, &mut sink, &mut judge) => Some(heard),
        () = sleep(job.deadline.since(sent)) => None,
    };
    *running.line.borrow_mut() = None;
    spare(running, &mut line);
    let Some(Ok(heard)) = heard else {
        discard(line);
        // Without its COMMIT a transaction rolls back with its connection.
        return if closes {
            unknown(Cause::ConnectionLost)
        } else {
            lost(core, job)
        };
    };
    if heard.status != Some(b'I') {
        return held(core, job, group, line, &heard, sink).await;
    }
    let behind = match heard.behind {
        Some(report) => Some(report),
        None => ask(&line).await.ok().flatten(),
    };
    home.release(line);
    if heard.error.is_some() && !closes {
        return end(Outcome::Done, sink.finish(), Some(b'I'));
    }
    let mut end = acknowledge(core, job, group, behind, sink).await;
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
fn failed(core: &Core, job: &Job) -> End {
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
