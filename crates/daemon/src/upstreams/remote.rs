//! Commands sent to holders of connections, and their answers.

use std::rc::Rc;

use clock::Instant;
use model::{Cause, Report, name};
use ntex::time::sleep;
use route::Verdict;
use session::Floor;
use tokio::sync::mpsc;

use super::{
    Core,
    choose::Destination,
    connections::Refused,
    control::Status,
    dispatch::{Checkout, Completion, Dispatch, send_command},
    exchange::Answer,
    sink::{Mode, Sink},
};
use crate::{
    forward::{Command, Finish, In, Out, Proof, Response, Run, Seq},
    job::{Job, WINDOW},
};

/// Capacity of a command's answer channel: the window of parts, plus the
/// messages before and after them.
const ANSWER_CAPACITY: usize = WINDOW + 4;

/// A message or event that concerns a pending command.
#[derive(Debug)]
pub(super) enum Delivery {
    /// A response from the holder.
    Response(Response),
    /// The command was not sent.
    Unsent,
    /// The stream ended; the command may have run.
    Down,
}

/// A command that waits for its answers.
pub(super) struct Pending {
    to: name::Instance,
    answers: mpsc::Sender<Delivery>,
}

/// Delivers responses and stream events to the tasks of pending commands.
///
/// A response without a pending command is dropped.
pub(super) fn handle(core: &Rc<Core>, input: In) {
    match input {
        In::Answered { seq, response } => deliver(core, seq, Delivery::Response(response)),
        In::Unsent { seq } => deliver(core, seq, Delivery::Unsent),
        In::Leaving { to } => {
            core.leaving.borrow_mut().insert(to);
        }
        In::Left { to, upto } => end_pending(core, &to, upto, || Delivery::Unsent),
        In::Down { to, upto } => end_pending(core, &to, upto, || Delivery::Down),
        In::Members(_) | In::Asked { .. } | In::Gone { .. } => {}
    }
}

/// Ends the pending commands to an instance up to `upto`, the last one that its
/// stream carried.
///
/// Later commands may already have been sent on the next stream.
fn end_pending(core: &Rc<Core>, to: &name::Instance, upto: Seq, delivery: impl Fn() -> Delivery) {
    let lost: Vec<_> = {
        let pending = core.pending.borrow();
        let matching = pending
            .iter()
            .filter(|(seq, it)| it.to == *to && **seq <= upto);
        matching.map(|(seq, _)| *seq).collect()
    };
    for seq in lost {
        deliver(core, seq, delivery());
    }
    super::run::fail_pins(core, to, upto);
}

fn deliver(core: &Core, seq: Seq, delivery: Delivery) {
    let answers = core.pending.borrow().get(&seq).map(|it| it.answers.clone());
    if let Some(answers) = answers
        && answers.try_send(delivery).is_err()
    {
        core.pending.borrow_mut().remove(&seq);
    }
}

/// A pending command and the receiver of its answers; dropping it unregisters
/// the command.
struct Call {
    core: Rc<Core>,
    seq: Seq,
    answers: mpsc::Receiver<Delivery>,
}

impl Call {
    async fn open(core: &Rc<Core>, to: &name::Instance, command: Command) -> Self {
        let seq = core.next_seq();
        let (sender, answers) = mpsc::channel(ANSWER_CAPACITY);
        let pending = Pending {
            to: to.clone(),
            answers: sender,
        };
        core.pending.borrow_mut().insert(seq, pending);
        core.outs
            .send(Out::Ask {
                to: to.clone(),
                seq,
                command,
            })
            .await;
        Self {
            core: Rc::clone(core),
            seq,
            answers,
        }
    }

    async fn next(&mut self) -> Delivery {
        self.answers.recv().await.unwrap_or(Delivery::Down)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.core.pending.borrow_mut().remove(&self.seq);
    }
}

/// The holder could not be reached, which is no evidence about the upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unreachable;

/// Probes an upstream or has it execute an order, through the holder `to`.
pub(super) async fn status(
    core: &Rc<Core>,
    to: &name::Instance,
    command: Command,
) -> Result<Status, Unreachable> {
    let sent = core.now();
    let mut call = Call::open(core, to, command).await;
    match call.next().await {
        Delivery::Response(Response::Status(result)) => Ok(result.map(|report| (sent, report))),
        Delivery::Response(_) | Delivery::Unsent | Delivery::Down => Err(Unreachable),
    }
}

fn left_us(core: &Core, deadline: Instant) -> u64 {
    u64::try_from(deadline.since(core.now()).as_micros()).unwrap_or(u64::MAX)
}

impl Dispatch<'_> {
    /// Runs the batch at the holder `to`.
    pub(super) async fn run_remote(
        &mut self,
        to: &name::Instance,
        sink: &mut Sink<'_>,
    ) -> Completion {
        let (core, job) = (self.core, self.job);
        let proof = self.proof();
        if proof != Proof::None {
            // No part of the answer is passed on before its proof.
            self.verdict = Verdict::Unproved;
            sink.set_mode(Mode::Discard);
        }
        let run = Run {
            upstream: self.destination.upstream().clone(),
            scope: (*job.scope).clone(),
            batch: job.batch.clone(),
            settings: (*job.settings).clone(),
            proof,
            left_us: left_us(core, job.deadline),
        };
        let sent = core.now();
        let command = Command::Run(Box::new(run));
        let call = Call::open(core, to, command).await;
        let pin = call.seq;
        self.running.sent.set(true);
        *self.running.remote.borrow_mut() = Some((to.clone(), pin));
        let mut choose_mode = |report: &Report| self.choose_mode(sent, report);
        let completion = receive(job, sink, call, to, sent, &mut choose_mode).await;
        *self.running.remote.borrow_mut() = None;
        match completion {
            RemoteCompletion::Answer(answer) => Completion::Answer(
                answer,
                Checkout::Remote {
                    to: to.clone(),
                    pin,
                },
            ),
            RemoteCompletion::Refused(refused) => Completion::Refused(refused),
            RemoteCompletion::Broken => Completion::Broken,
            RemoteCompletion::TimedOut => Completion::TimedOut,
        }
    }

    fn proof(&self) -> Proof {
        if !self.is_read() {
            return Proof::None;
        }
        if let Destination::Confirmed(_, round) = self.destination {
            return Proof::Covering(round.position);
        }
        // An older status report can't bound the age of the data.
        let aged = matches!(self.read.freshness, model::Freshness::Age(_));
        match self.read.floor {
            Floor::Known(floor) if !aged && self.read.seen.is_none() => Proof::Covering(floor),
            _ => Proof::Fresh,
        }
    }
}

/// The end of a command at a holder.
pub(super) enum RemoteCompletion {
    Answer(Answer),
    Refused(Refused),
    Broken,
    TimedOut,
}

/// Runs a statement of an open transaction at its holder.
pub(super) async fn run_in_transaction(
    core: &Rc<Core>,
    job: &Job,
    sink: &mut Sink<'_>,
    to: &name::Instance,
    pin: Seq,
) -> RemoteCompletion {
    let left_us = left_us(core, job.deadline);
    let sent = core.now();
    let command = Command::Within {
        pin,
        batch: job.batch.clone(),
        left_us,
    };
    let call = Call::open(core, to, command).await;
    let mode = sink.mode();
    receive(job, sink, call, to, sent, &mut |_| mode).await
}

async fn receive(
    job: &Job,
    sink: &mut Sink<'_>,
    mut call: Call,
    to: &name::Instance,
    sent: Instant,
    choose_mode: &mut dyn FnMut(&Report) -> Mode,
) -> RemoteCompletion {
    let core = Rc::clone(&call.core);
    let seq = call.seq;
    let mut before = None;
    loop {
        let delivery = tokio::select! {
            biased;
            delivery = call.next() => delivery,
            () = sleep(job.deadline.since(core.now())) => {
                send_command(&core, to, Command::Cancel { of: seq });
                return RemoteCompletion::TimedOut;
            }
        };
        let response = match delivery {
            Delivery::Response(response) => response,
            Delivery::Unsent => {
                return RemoteCompletion::Refused(Refused {
                    cause: Cause::NoUpstream,
                    retry_after: None,
                });
            }
            Delivery::Down => return RemoteCompletion::Broken,
        };
        match response {
            Response::Before(report) => {
                before = report;
                let mode = report.as_ref().map_or(Mode::Discard, &mut *choose_mode);
                sink.set_mode(mode);
            }
            Response::Chunk(bytes) => {
                sink.push_rows(&bytes).await;
                send_command(&core, to, Command::Taken { of: seq });
            }
            Response::End(finish) => {
                return RemoteCompletion::Answer(answer(*finish, before, sent, sink));
            }
            Response::Refused {
                cause,
                retry_after_us,
            } => {
                let retry_after = retry_after_us.map(std::time::Duration::from_micros);
                return RemoteCompletion::Refused(Refused { cause, retry_after });
            }
            Response::Broken | Response::Status(_) | Response::Leaving | Response::Bye => {
                return RemoteCompletion::Broken;
            }
        }
    }
}

fn answer(finish: Finish, before: Option<Report>, sent: Instant, sink: &mut Sink<'_>) -> Answer {
    sink.push_bytes(&finish.bytes);
    Answer {
        status: finish.status,
        error: finish.error,
        before,
        behind: finish.behind,
        sent,
        spoiled: finish.spoiled,
    }
}
