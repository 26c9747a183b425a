//! What a holder of connections does for other instances.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use model::{Cause, Report};
use ntex::time::sleep;

use super::{
    Core, Running,
    exchange::{Heard, exchange},
    group::Group,
    line::Line,
    lines::Refused,
    plan::{Plan, Probes},
    sink::{Mode, Sink, To},
    site::{discard, request},
};
use crate::{
    forward::{Command, Conn, Finish, In, Out, Proof, Response, Run, Seq},
    job::{Batch, Closes, Need},
};

/// How old the last status of a connection may be to stand in for a new one.
const SEEN_AGE: Duration = Duration::from_millis(50);

/// Takes what another instance asks, or that it is gone.
pub(super) fn take(core: &Rc<Core>, input: In) {
    match input {
        // What comes after the last words is proved not to have run.
        In::Asked { .. } if core.closed.get() => {}
        In::Asked { conn, seq, command } => {
            // Counted from here: a command that waits for a connection would
            // otherwise be told as not begun, and then run.
            core.taken.set(core.taken.get() + 1);
            ntex::rt::spawn(carry_out(Rc::clone(core), conn, seq, command));
        }
        In::Gone { conn } => gone(core, conn),
        _ => {}
    }
}

/// The instance that asked on `conn` is gone: what it left is ended.
///
/// Its transactions would otherwise hold their connections and their locks
/// until they are found idle.
fn gone(core: &Rc<Core>, conn: Conn) {
    let guests: Vec<_> = {
        let guests = core.guests.borrow();
        guests
            .keys()
            .filter(|(it, _)| *it == conn)
            .copied()
            .collect()
    };
    for key in guests {
        if let Some(line) = core.guests.borrow_mut().remove(&key) {
            discard(*line);
        }
    }
    let hosted: Vec<_> = {
        let hosted = core.hosted.borrow();
        let of = hosted.iter().filter(|((it, _), _)| *it == conn);
        of.map(|(_, running)| Rc::clone(running)).collect()
    };
    for running in hosted {
        running.cancel();
    }
}

async fn carry_out(core: Rc<Core>, conn: Conn, seq: Seq, command: Command) {
    carry(&core, conn, seq, command).await;
    core.taken.set(core.taken.get() - 1);
}

async fn carry(core: &Rc<Core>, conn: Conn, seq: Seq, command: Command) {
    match command {
        Command::Run(run) => host(core, conn, seq, *run).await,
        Command::Within {
            pin,
            batch,
            left_us,
        } => {
            within(core, (conn, seq), pin, &batch, left_us).await;
        }
        Command::Leave { pin } => {
            if let Some(line) = core.guests.borrow_mut().remove(&(conn, pin)) {
                discard(*line);
            }
        }
        Command::Taken { of } => {
            let running = core.hosted.borrow().get(&(conn, of)).cloned();
            if let Some(running) = running {
                running.take_one();
            }
        }
        Command::Cancel { of } => {
            let running = core.hosted.borrow().get(&(conn, of)).cloned();
            if let Some(running) = running {
                running.hit();
            }
        }
        Command::Probe { database, upstream } => {
            let response = match held(core, &database, &upstream) {
                Some(group) => told(group.probe(core, &upstream).await),
                None => NOT_HELD,
            };
            answer(core, conn, seq, response).await;
        }
        Command::Order {
            database,
            upstream,
            order,
        } => {
            let response = match held(core, &database, &upstream) {
                Some(group) => told(group.order(core, &upstream, order).await),
                None => NOT_HELD,
            };
            answer(core, conn, seq, response).await;
        }
    }
}

/// The answer of an instance that holds no connection to the upstream: it says
/// nothing of the upstream itself.
const NOT_HELD: Response = Response::Refused {
    cause: Cause::NoUpstream,
    retry_after_us: None,
};

fn told(result: Option<Result<Report, failover::Fault>>) -> Response {
    result.map_or(NOT_HELD, Response::Status)
}

/// The group, if this instance holds connections to the upstream.
///
/// A command is never passed on a second time: two instances whose views
/// differ would pass it to and fro.
fn held(
    core: &Core,
    database: &model::name::Database,
    upstream: &model::name::Upstream,
) -> Option<Rc<Group>> {
    let group = core.group(database)?;
    let member = group.member(upstream)?;
    member.holds().then_some(group)
}

async fn answer(core: &Core, conn: Conn, seq: Seq, response: Response) {
    core.outs
        .send(Out::Answer {
            conn,
            seq,
            response,
        })
        .await;
}

fn refusal(Refused { cause, retry_after }: Refused) -> Response {
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    Response::Refused {
        cause,
        retry_after_us: retry_after.map(micros),
    }
}

async fn host(core: &Rc<Core>, conn: Conn, seq: Seq, run: Run) {
    let deadline = core.now() + Duration::from_micros(run.left_us);
    let response = match acquire(core, &run, deadline).await {
        Ok(line) => run_on(core, conn, seq, &run, line, deadline).await,
        Err(refused) => refusal(refused),
    };
    answer(core, conn, seq, response).await;
}

async fn acquire(core: &Core, run: &Run, deadline: Instant) -> Result<Line, Refused> {
    let none = Refused {
        cause: Cause::NoUpstream,
        retry_after: None,
    };
    let group = core.group(&run.scope.database).ok_or(none)?;
    let member = group
        .member(&run.upstream)
        .filter(|it| it.holds())
        .ok_or(none)?;
    let request = request(core, &member, &run.scope, deadline);
    let asked = core.now();
    let line = member.lines.acquire(request).await?;
    let meter = core.meters.of(&run.scope.tenant, &run.scope.entry);
    meter.note_queued(core.now().since(asked));
    if line.conn.is_closed() {
        discard(line);
        return Err(none);
    }
    Ok(line)
}

async fn run_on(
    core: &Rc<Core>,
    conn: Conn,
    seq: Seq,
    run: &Run,
    mut line: Line,
    deadline: Instant,
) -> Response {
    let known = line
        .seen
        .filter(|(sent, report)| stands_in(core, run.proof, *sent, report));
    if let Some((_, report)) = known {
        answer(core, conn, seq, Response::Before(Some(report))).await;
    }
    let probes = Probes {
        before: run.proof != Proof::None && known.is_none(),
        behind: run.batch.need != Need::Begin,
    };
    let plan = Plan::fresh(&mut line, &run.batch, &run.settings, probes);
    let heard = talk(core, (conn, seq), &mut line, plan, deadline).await;
    let Some((heard, bytes)) = heard else {
        discard(line);
        return Response::Broken;
    };
    keep_or_release(core, (conn, seq), line, &heard);
    Response::End(Box::new(finish(heard, bytes)))
}

/// Whether the last status of a connection proves enough.
fn stands_in(core: &Core, proof: Proof, sent: Instant, report: &Report) -> bool {
    match proof {
        Proof::None | Proof::Fresh => false,
        Proof::Covering(floor) => {
            core.now().since(sent) < SEEN_AGE && route::position(report).covers(floor)
        }
    }
}

/// Sends a plan and passes the answer on; `None` when the connection failed
/// or the deadline came first.
async fn talk(
    core: &Rc<Core>,
    (conn, seq): (Conn, Seq),
    line: &mut Line,
    plan: Plan,
    deadline: Instant,
) -> Option<(Heard, bytes::Bytes)> {
    let running = Rc::new(Running::open(seq));
    *running.line.borrow_mut() = Some((line.address, line.conn.key().clone()));
    core.hosted
        .borrow_mut()
        .insert((conn, seq), Rc::clone(&running));
    let mut sink = Sink::open(core, &running, To::Peer(conn), Mode::Stream);
    // The status goes ahead of the answer that it proves. Should the ring be
    // full, it is left out, and the other instance drops the answer unproved.
    let mut judge = |report: &Report| {
        let response = Response::Before(Some(*report));
        match core.outs.push(Out::Answer {
            conn,
            seq,
            response,
        }) {
            Ok(()) => Mode::Stream,
            Err(_) => {
                metrics::counter!("dandelionlink_ring_full_total", "ring" => "outs").increment(1);
                Mode::Discard
            }
        }
    };
    let sent = core.now();
    let heard = {
        let talking = exchange(sent, line, plan, &mut sink, &mut judge);
        tokio::select! {
            biased;
            heard = talking => heard.ok(),
            () = sleep(deadline.since(sent)) => None,
            () = running.cancelled_now() => None,
        }
    };
    core.hosted.borrow_mut().remove(&(conn, seq));
    running.spare(line);
    if heard.is_none() {
        let (address, key) = (line.address, line.conn.key().clone());
        ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
    }
    let heard = heard?;
    if let Some(report) = heard.behind.or(heard.before) {
        line.seen = Some((sent, report));
    }
    Some((heard, sink.finish()))
}

fn keep_or_release(core: &Core, key: (Conn, Seq), line: Line, heard: &Heard) {
    if heard.spoiled {
        return discard(line);
    }
    let home = Rc::clone(&line.home);
    if heard.status != Some(b'I') {
        home.hold(&line);
        core.guests.borrow_mut().insert(key, Box::new(line));
    } else {
        home.release(line);
    }
}

fn finish(heard: Heard, bytes: bytes::Bytes) -> Finish {
    Finish {
        status: heard.status,
        error: heard.error,
        behind: heard.behind,
        spoiled: heard.spoiled,
        bytes,
    }
}

async fn within(core: &Rc<Core>, key: (Conn, Seq), pin: Seq, batch: &Batch, left_us: u64) {
    let (conn, seq) = key;
    let deadline = core.now() + Duration::from_micros(left_us);
    let line = core.guests.borrow_mut().remove(&(conn, pin));
    let response = match line {
        Some(line) => go_on(core, key, pin, batch, *line, deadline).await,
        None => Response::Broken,
    };
    answer(core, conn, seq, response).await;
}

async fn go_on(
    core: &Rc<Core>,
    (conn, seq): (Conn, Seq),
    pin: Seq,
    batch: &Batch,
    mut line: Line,
    deadline: Instant,
) -> Response {
    let home = Rc::clone(&line.home);
    if home.next(&mut line, deadline).await.is_err() {
        discard(line);
        return Response::Broken;
    }
    let behind = batch.closes == Closes::Transaction;
    let plan = Plan::within(
        &mut line,
        batch,
        Probes {
            before: false,
            behind,
        },
    );
    let Some((mut heard, bytes)) = talk(core, (conn, seq), &mut line, plan, deadline).await else {
        discard(line);
        return Response::Broken;
    };
    if heard.status == Some(b'I') && heard.behind.is_none() {
        heard.behind = super::exchange::ask(&line).await.ok().flatten();
    }
    // The transaction keeps the number of the command that began it.
    keep_or_release(core, (conn, pin), line, &heard);
    Response::End(Box::new(finish(heard, bytes)))
}
