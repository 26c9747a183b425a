//! Commands to the holders of connections, and their answers.

use std::rc::Rc;

use clock::Instant;
use model::{Cause, Report, name};
use ntex::time::sleep;
use route::Verdict;
use session::Floor;
use tokio::sync::mpsc;

use super::{
    Core,
    choose::Way,
    control::Status,
    exchange::Heard,
    lines::Refused,
    sink::{Mode, Sink},
    site::{Errand, Held, Ran, tell},
};
use crate::{
    forward::{Command, Finish, In, Out, Proof, Response, Run, Seq},
    job::{Job, WINDOW},
};

/// Answers that may wait for the task of one command: the window, and those
/// around it.
const ANSWERS: usize = WINDOW + 4;

/// What comes for a command.
#[derive(Debug)]
pub(super) enum Came {
    /// An answer.
    Response(Response),
    /// The command never left.
    Unsent,
    /// The stream ended: the command may have run.
    Down,
}

/// A command on its way.
pub(super) struct Pending {
    to: name::Instance,
    answers: mpsc::Sender<Came>,
}

/// Hands what comes for a command to the task that waits for it.
///
/// A late answer finds no taker.
pub(super) fn take(core: &Rc<Core>, input: In) {
    match input {
        In::Answered { seq, response } => hand(core, seq, Came::Response(response)),
        In::Unsent { seq } => hand(core, seq, Came::Unsent),
        In::Leaving { to } => {
            core.leaving.borrow_mut().insert(to);
        }
        In::Left { to, upto } => end_all(core, &to, upto, || Came::Unsent),
        In::Down { to, upto } => end_all(core, &to, upto, || Came::Down),
        In::Members(_) | In::Asked { .. } | In::Gone { .. } => {}
    }
}

/// Ends the commands to an instance up to the last that its stream carried.
///
/// Later ones may be on their way on the next stream already.
fn end_all(core: &Rc<Core>, to: &name::Instance, upto: Seq, came: impl Fn() -> Came) {
    let lost: Vec<_> = {
        let pending = core.pending.borrow();
        let of = pending
            .iter()
            .filter(|(seq, it)| it.to == *to && **seq <= upto);
        of.map(|(seq, _)| *seq).collect()
    };
    for seq in lost {
        hand(core, seq, came());
    }
    super::run::lose_pins(core, to, upto);
}

fn hand(core: &Core, seq: Seq, came: Came) {
    let answers = core.pending.borrow().get(&seq).map(|it| it.answers.clone());
    if let Some(answers) = answers
        && answers.try_send(came).is_err()
    {
        core.pending.borrow_mut().remove(&seq);
    }
}

/// A command whose answers are waited for; dropping it forgets them.
struct Asking {
    core: Rc<Core>,
    seq: Seq,
    answers: mpsc::Receiver<Came>,
}

impl Asking {
    async fn open(core: &Rc<Core>, to: &name::Instance, command: Command) -> Self {
        let seq = core.next_seq();
        let (sender, answers) = mpsc::channel(ANSWERS);
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

    async fn next(&mut self) -> Came {
        self.answers.recv().await.unwrap_or(Came::Down)
    }
}

impl Drop for Asking {
    fn drop(&mut self) {
        self.core.pending.borrow_mut().remove(&self.seq);
    }
}

/// The way to an upstream failed, which says nothing of the upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lost;

/// Asks an upstream for its status, or has it carry out an order, by way of
/// the holder `to`.
pub(super) async fn status(
    core: &Rc<Core>,
    to: &name::Instance,
    command: Command,
) -> Result<Status, Lost> {
    let sent = core.now();
    let mut asking = Asking::open(core, to, command).await;
    match asking.next().await {
        Came::Response(Response::Status(result)) => Ok(result.map(|report| (sent, report))),
        Came::Response(_) | Came::Unsent | Came::Down => Err(Lost),
    }
}

fn left_us(core: &Core, deadline: Instant) -> u64 {
    u64::try_from(deadline.since(core.now()).as_micros()).unwrap_or(u64::MAX)
}

impl Errand<'_> {
    /// Runs the batch at the holder `to`.
    pub(super) async fn run_there(&mut self, to: &name::Instance, sink: &mut Sink<'_>) -> Ran {
        let (core, job) = (self.core, self.job);
        let proof = self.proof();
        if proof != Proof::None {
            // Nothing is passed on before its proof has come.
            self.verdict = Verdict::Unproved;
            sink.set_mode(Mode::Discard);
        }
        let run = Run {
            upstream: self.way.upstream().clone(),
            scope: (*job.scope).clone(),
            batch: job.batch.clone(),
            settings: (*job.settings).clone(),
            proof,
            left_us: left_us(core, job.deadline),
        };
        let sent = core.now();
        let command = Command::Run(Box::new(run));
        let asking = Asking::open(core, to, command).await;
        let pin = asking.seq;
        self.running.sent.set(true);
        *self.running.remote.borrow_mut() = Some((to.clone(), pin));
        let mut judge = |report: &Report| self.judge(sent, report);
        let ran = converse(job, sink, asking, to, sent, &mut judge).await;
        *self.running.remote.borrow_mut() = None;
        match ran {
            Talk::Heard(heard) => Ran::Heard(
                heard,
                Held::Remote {
                    to: to.clone(),
                    pin,
                },
            ),
            Talk::Refused(refused) => Ran::Refused(refused),
            Talk::Broken => Ran::Broken,
            Talk::Late => Ran::Late,
        }
    }

    fn proof(&self) -> Proof {
        if !self.reads() {
            return Proof::None;
        }
        if let Way::Confirmed(_, round) = self.way {
            return Proof::Covering(round.position);
        }
        // An age can't be judged by an old status.
        let aged = matches!(self.read.freshness, model::Freshness::Age(_));
        match self.read.floor {
            Floor::Known(floor) if !aged && self.read.seen.is_none() => Proof::Covering(floor),
            _ => Proof::Fresh,
        }
    }
}

/// How a conversation with a holder ended.
pub(super) enum Talk {
    Heard(Heard),
    Refused(Refused),
    Broken,
    Late,
}

/// Goes on with a transaction at its holder.
pub(super) async fn within(
    core: &Rc<Core>,
    job: &Job,
    sink: &mut Sink<'_>,
    to: &name::Instance,
    pin: Seq,
) -> Talk {
    let left_us = left_us(core, job.deadline);
    let sent = core.now();
    let command = Command::Within {
        pin,
        batch: job.batch.clone(),
        left_us,
    };
    let asking = Asking::open(core, to, command).await;
    let mode = sink.mode();
    converse(job, sink, asking, to, sent, &mut |_| mode).await
}

async fn converse(
    job: &Job,
    sink: &mut Sink<'_>,
    mut asking: Asking,
    to: &name::Instance,
    sent: Instant,
    judge: &mut dyn FnMut(&Report) -> Mode,
) -> Talk {
    let core = Rc::clone(&asking.core);
    let seq = asking.seq;
    let mut before = None;
    loop {
        let came = tokio::select! {
            biased;
            came = asking.next() => came,
            () = sleep(job.deadline.since(core.now())) => {
                tell(&core, to, Command::Cancel { of: seq });
                return Talk::Late;
            }
        };
        let response = match came {
            Came::Response(response) => response,
            Came::Unsent => {
                return Talk::Refused(Refused {
                    cause: Cause::NoUpstream,
                    retry_after: None,
                });
            }
            Came::Down => return Talk::Broken,
        };
        match response {
            Response::Before(report) => {
                before = report;
                let mode = report.as_ref().map_or(Mode::Discard, &mut *judge);
                sink.set_mode(mode);
            }
            Response::Chunk(bytes) => {
                sink.take(&bytes).await;
                tell(&core, to, Command::Taken { of: seq });
            }
            Response::End(finish) => return Talk::Heard(heard(*finish, before, sent, sink)),
            Response::Refused {
                cause,
                retry_after_us,
            } => {
                let retry_after = retry_after_us.map(std::time::Duration::from_micros);
                return Talk::Refused(Refused { cause, retry_after });
            }
            Response::Broken | Response::Status(_) | Response::Leaving | Response::Bye => {
                return Talk::Broken;
            }
        }
    }
}

fn heard(finish: Finish, before: Option<Report>, sent: Instant, sink: &mut Sink<'_>) -> Heard {
    sink.give(&finish.bytes);
    Heard {
        status: finish.status,
        error: finish.error,
        before,
        behind: finish.behind,
        sent,
        spoiled: finish.spoiled,
    }
}
