//! Execution of commands that other instances send to this holder.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use model::{Cause, Report};
use ntex::time::sleep;

use super::{
    Core, Running,
    connection::Connection,
    connections::Refused,
    dispatch::{discard, request},
    exchange::{Answer, exchange},
    group::Group,
    plan::{Plan, Probes},
    sink::{Mode, Recipient, Sink},
};
use crate::{
    forward::{Command, Conn, Finish, In, Out, Proof, Response, Run, Seq},
    job::{Batch, Closes, Need},
};

/// Longest age at which a connection's last status report replaces a new probe.
const MAX_STATUS_AGE: Duration = Duration::from_millis(50);

/// Handles a command of another instance, or the end of its stream.
pub(super) fn handle(core: &Rc<Core>, input: In) {
    match input {
        // Dropped: `Bye` proves to the sender that the command did not run.
        In::Asked { .. } if core.closed.get() => {}
        In::Asked { conn, seq, command } => {
            // Counted before the command waits for a connection: a drain that
            // did not count it would end and report the command as not run,
            // although it could still run.
            core.peer_commands.set(core.peer_commands.get() + 1);
            ntex::rt::spawn(carry_out(Rc::clone(core), conn, seq, command));
        }
        In::Gone { conn } => end_peer(core, conn),
        _ => {}
    }
}

/// Ends the transactions and batches of an instance whose stream `conn` has
/// ended.
///
/// Otherwise its transactions would hold connections and locks until their idle
/// timeout.
fn end_peer(core: &Rc<Core>, conn: Conn) {
    let peer_connections: Vec<_> = {
        let peer_connections = core.peer_connections.borrow();
        peer_connections
            .keys()
            .filter(|(it, _)| *it == conn)
            .copied()
            .collect()
    };
    for key in peer_connections {
        if let Some(connection) = core.peer_connections.borrow_mut().remove(&key) {
            discard(*connection);
        }
    }
    let peer_batches: Vec<_> = {
        let peer_batches = core.peer_batches.borrow();
        let matching = peer_batches.iter().filter(|((it, _), _)| *it == conn);
        matching.map(|(_, running)| Rc::clone(running)).collect()
    };
    for running in peer_batches {
        running.abandon();
    }
}

async fn carry_out(core: Rc<Core>, conn: Conn, seq: Seq, command: Command) {
    execute(&core, conn, seq, command).await;
    core.peer_commands.set(core.peer_commands.get() - 1);
}

async fn execute(core: &Rc<Core>, conn: Conn, seq: Seq, command: Command) {
    match command {
        Command::Run(run) => run_for_peer(core, conn, seq, *run).await,
        Command::Within {
            pin,
            batch,
            left_us,
        } => {
            run_in_transaction(core, (conn, seq), pin, &batch, left_us).await;
        }
        Command::Leave { pin } => {
            if let Some(connection) = core.peer_connections.borrow_mut().remove(&(conn, pin)) {
                discard(*connection);
            }
        }
        Command::Taken { of } => {
            let running = core.peer_batches.borrow().get(&(conn, of)).cloned();
            if let Some(running) = running {
                running.note_taken();
            }
        }
        Command::Cancel { of } => {
            let running = core.peer_batches.borrow().get(&(conn, of)).cloned();
            if let Some(running) = running {
                running.send_cancel();
            }
        }
        Command::Probe { database, upstream } => {
            let response = match group_if_holder(core, &database, &upstream) {
                Some(group) => status_response(group.probe(core, &upstream).await),
                None => NOT_HELD,
            };
            respond(core, conn, seq, response).await;
        }
        Command::Order {
            database,
            upstream,
            order,
        } => {
            let response = match group_if_holder(core, &database, &upstream) {
                Some(group) => status_response(group.order(core, &upstream, order).await),
                None => NOT_HELD,
            };
            respond(core, conn, seq, response).await;
        }
    }
}

/// The response if this instance holds no connection to the upstream. It is no
/// evidence about the upstream.
const NOT_HELD: Response = Response::Refused {
    cause: Cause::NoUpstream,
    retry_after_us: None,
};

fn status_response(result: Option<Result<Report, failover::Fault>>) -> Response {
    result.map_or(NOT_HELD, Response::Status)
}

/// Returns the group if this instance holds connections to the upstream.
///
/// A command is never forwarded again: two instances with different views would
/// forward it back and forth.
fn group_if_holder(
    core: &Core,
    database: &model::name::Database,
    upstream: &model::name::Upstream,
) -> Option<Rc<Group>> {
    let group = core.group(database)?;
    let member = group.member(upstream)?;
    member.is_holder().then_some(group)
}

async fn respond(core: &Core, conn: Conn, seq: Seq, response: Response) {
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

async fn run_for_peer(core: &Rc<Core>, conn: Conn, seq: Seq, run: Run) {
    let deadline = core.now() + Duration::from_micros(run.left_us);
    let response = match acquire(core, &run, deadline).await {
        Ok(connection) => run_on(core, conn, seq, &run, connection, deadline).await,
        Err(refused) => refusal(refused),
    };
    respond(core, conn, seq, response).await;
}

async fn acquire(core: &Core, run: &Run, deadline: Instant) -> Result<Connection, Refused> {
    let unavailable = Refused {
        cause: Cause::NoUpstream,
        retry_after: None,
    };
    let group = core.group(&run.scope.database).ok_or(unavailable)?;
    let member = group
        .member(&run.upstream)
        .filter(|it| it.is_holder())
        .ok_or(unavailable)?;
    let request = request(core, &member, &run.scope, deadline);
    let asked = core.now();
    let connection = member.connections.acquire(request).await?;
    let meter = core.meters.of(&run.scope.tenant, &run.scope.entry);
    meter.note_queued(core.now().since(asked));
    if connection.conn.is_closed() {
        discard(connection);
        return Err(unavailable);
    }
    Ok(connection)
}

async fn run_on(
    core: &Rc<Core>,
    conn: Conn,
    seq: Seq,
    run: &Run,
    mut connection: Connection,
    deadline: Instant,
) -> Response {
    let known = connection
        .seen
        .filter(|(sent, report)| is_sufficient(core, run.proof, *sent, report));
    if let Some((_, report)) = known {
        respond(core, conn, seq, Response::Before(Some(report))).await;
    }
    let probes = Probes {
        before: run.proof != Proof::None && known.is_none(),
        behind: run.batch.need != Need::Begin,
    };
    let plan = Plan::standalone(&mut connection, &run.batch, &run.settings, probes);
    let answer = run_plan(core, (conn, seq), &mut connection, plan, deadline).await;
    let Some((answer, bytes)) = answer else {
        discard(connection);
        return Response::Broken;
    };
    keep_or_release(core, (conn, seq), connection, &answer);
    Response::End(Box::new(finish(answer, bytes)))
}

/// Returns true if a connection's last status report satisfies `proof`.
fn is_sufficient(core: &Core, proof: Proof, sent: Instant, report: &Report) -> bool {
    match proof {
        Proof::None | Proof::Fresh => false,
        Proof::Covering(floor) => {
            core.now().since(sent) < MAX_STATUS_AGE && route::position(report).covers(floor)
        }
    }
}

/// Runs a plan and streams the answer to the peer. Returns `None` if the
/// connection failed or the deadline passed.
async fn run_plan(
    core: &Rc<Core>,
    (conn, seq): (Conn, Seq),
    connection: &mut Connection,
    plan: Plan,
    deadline: Instant,
) -> Option<(Answer, bytes::Bytes)> {
    let running = Rc::new(Running::open(seq));
    *running.connection.borrow_mut() = Some((connection.address, connection.conn.key().clone()));
    core.peer_batches
        .borrow_mut()
        .insert((conn, seq), Rc::clone(&running));
    let mut sink = Sink::open(core, &running, Recipient::Peer(conn), Mode::Stream);
    // The status report precedes the answer that it proves. If the ring is full
    // the report is left out, and the other instance discards the unproven
    // answer.
    let mut choose_mode = |report: &Report| {
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
    let answer = {
        let exchanging = exchange(sent, connection, plan, &mut sink, &mut choose_mode);
        tokio::select! {
            biased;
            answer = exchanging => answer.ok(),
            () = sleep(deadline.since(sent)) => None,
            () = running.wait_abandoned() => None,
        }
    };
    core.peer_batches.borrow_mut().remove(&(conn, seq));
    running.close_if_cancelled(connection);
    if answer.is_none() {
        let (address, key) = (connection.address, connection.conn.key().clone());
        ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
    }
    let answer = answer?;
    if let Some(report) = answer.behind.or(answer.before) {
        connection.seen = Some((sent, report));
    }
    Some((answer, sink.finish()))
}

fn keep_or_release(core: &Core, key: (Conn, Seq), connection: Connection, answer: &Answer) {
    if answer.spoiled {
        return discard(connection);
    }
    let owner = Rc::clone(&connection.owner);
    if answer.status != Some(b'I') {
        owner.hold(&connection);
        core.peer_connections
            .borrow_mut()
            .insert(key, Box::new(connection));
    } else {
        owner.release(connection);
    }
}

fn finish(answer: Answer, bytes: bytes::Bytes) -> Finish {
    Finish {
        status: answer.status,
        error: answer.error,
        behind: answer.behind,
        spoiled: answer.spoiled,
        bytes,
    }
}

async fn run_in_transaction(
    core: &Rc<Core>,
    key: (Conn, Seq),
    pin: Seq,
    batch: &Batch,
    left_us: u64,
) {
    let (conn, seq) = key;
    let deadline = core.now() + Duration::from_micros(left_us);
    let connection = core.peer_connections.borrow_mut().remove(&(conn, pin));
    let response = match connection {
        Some(connection) => {
            continue_transaction(core, key, pin, batch, *connection, deadline).await
        }
        None => Response::Broken,
    };
    respond(core, conn, seq, response).await;
}

async fn continue_transaction(
    core: &Rc<Core>,
    (conn, seq): (Conn, Seq),
    pin: Seq,
    batch: &Batch,
    mut connection: Connection,
    deadline: Instant,
) -> Response {
    let owner = Rc::clone(&connection.owner);
    if owner.next(&mut connection, deadline).await.is_err() {
        discard(connection);
        return Response::Broken;
    }
    let behind = batch.closes == Closes::Transaction;
    let plan = Plan::in_transaction(
        &mut connection,
        batch,
        Probes {
            before: false,
            behind,
        },
    );
    let Some((mut answer, bytes)) =
        run_plan(core, (conn, seq), &mut connection, plan, deadline).await
    else {
        discard(connection);
        return Response::Broken;
    };
    if answer.status == Some(b'I') && answer.behind.is_none() {
        answer.behind = super::exchange::probe(&connection).await.ok().flatten();
    }
    // The transaction stays registered under the command that began it.
    keep_or_release(core, (conn, pin), connection, &answer);
    Response::End(Box::new(finish(answer, bytes)))
}
