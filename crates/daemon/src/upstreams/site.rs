//! Where a batch runs: on a connection of this instance, or at a holder.

use std::{num::NonZeroU32, rc::Rc};

use model::{Cause, Report, name};
use ntex::time::sleep;
use pool::pool::{Limits, Request};
use route::{Read, Verdict};

use super::{
    Core, Pin, Running,
    choose::Way,
    exchange::{Heard, exchange},
    group::{Group, Member},
    line::Line,
    lines::Refused,
    plan::{Plan, Probes},
    sink::{Mode, Sink},
};
use crate::{
    forward::{Command, Seq},
    job::{Caller, Job, Need, Scope},
};

/// What became of a batch.
pub(super) enum Ran {
    /// Its whole answer came.
    Heard(Heard, Held),
    /// It did not run.
    Refused(Refused),
    /// Its connection failed: it may have run.
    Broken,
    /// Its deadline came first: it may have run, or yet run.
    Late,
}

/// What a batch leaves behind.
pub(super) enum Held {
    /// A connection of this instance.
    Line(Box<Line>),
    /// A connection of the holder `to`, which the command `pin` runs on.
    Remote {
        /// The holder.
        to: name::Instance,
        /// The command.
        pin: Seq,
    },
}

impl Held {
    /// Gives the connection back behind a whole answer.
    pub(super) fn settle(self, heard: &Heard) {
        if heard.status != Some(b'I') || heard.spoiled {
            return self.discard();
        }
        // A holder gives its connection back itself.
        if let Self::Line(line) = self {
            let home = Rc::clone(&line.home);
            home.release(*line);
        }
    }

    /// Closes the connection.
    pub(super) fn discard(self) {
        if let Self::Line(line) = self {
            discard(*line);
        }
    }

    /// Keeps the connection for the caller's open transaction.
    pub(super) fn keep(self, core: &Core, caller: Caller, group: &Rc<Group>) {
        let group = Rc::clone(group);
        let pin = match self {
            Self::Line(line) => {
                line.home.hold(&line);
                Pin::Open { line, group }
            }
            Self::Remote { to, pin } => Pin::Remote { to, pin, group },
        };
        core.pins.borrow_mut().insert(caller, pin);
    }
}

/// Closes a connection that is not fit for another request.
pub(super) fn discard(line: Line) {
    let home = Rc::clone(&line.home);
    home.forget(line.ticket);
    home.discard(line);
}

/// A request for a connection.
pub(super) fn request(
    core: &Core,
    member: &Member,
    scope: &Scope,
    deadline: clock::Instant,
) -> Request {
    Request {
        ticket: core.ticket(),
        entry: scope.entry.clone(),
        limits: Limits {
            connections: member.entry_part(scope.connections),
            queue: scope.queue,
        },
        tenant: scope.tenant.clone(),
        weight: NonZeroU32::MIN,
        priority: scope.class.priority,
        deadline,
    }
}

/// A batch on its way to an upstream, with what judges its answer.
pub(super) struct Errand<'a> {
    pub(super) core: &'a Rc<Core>,
    pub(super) group: &'a Rc<Group>,
    pub(super) job: &'a Job,
    pub(super) way: &'a Way,
    pub(super) read: &'a Read,
    pub(super) running: &'a Rc<Running>,
    /// What the status ahead of the answer says of it.
    pub(super) verdict: Verdict,
}

impl Errand<'_> {
    /// What is done with the answer, if it passes.
    fn mode(&self) -> Mode {
        match self.job.batch.need {
            Need::Read => Mode::Stream,
            _ => Mode::Hold,
        }
    }

    /// Whether the batch only reads.
    pub(super) fn reads(&self) -> bool {
        matches!(self.job.batch.need, Need::Read | Need::Setting)
    }

    /// Whether a status that came before proves that the answer will pass.
    fn proves(&self, report: &Report) -> bool {
        self.check(report) == Verdict::Fresh
    }

    /// What a status says of an answer that came behind it on one connection.
    ///
    /// The round that confirmed a primary may be another one's: the primary
    /// was perhaps replaced after it had been chosen and before the round. A
    /// read that goes to the replaced one would miss what the new one has
    /// acknowledged, so it has to have reached the round's own place.
    fn check(&self, report: &Report) -> Verdict {
        if let Way::Confirmed(_, round) = self.way {
            let position = route::position(report);
            let same = position.term == round.position.term;
            let holds = same && position.covers(round.position);
            return if holds {
                Verdict::Fresh
            } else {
                Verdict::Deposed
            };
        }
        let router = self.group.router.borrow();
        let now = self.core.now();
        router.verify(now, report, self.read, self.way.target())
    }

    /// Judges the answer by the status ahead of it.
    pub(super) fn judge(&mut self, sent: clock::Instant, report: &Report) -> Mode {
        let now = self.core.now();
        self.group.report(now, self.way.upstream(), sent, *report);
        self.verdict = self.check(report);
        if self.verdict == Verdict::Fresh {
            self.mode()
        } else {
            Mode::Discard
        }
    }

    /// Runs the batch on a connection of this instance.
    async fn run_here(&mut self, member: &Member, sink: &mut Sink<'_>) -> Ran {
        let (core, job) = (self.core, self.job);
        let request = request(core, member, &job.scope, job.deadline);
        let asked = core.now();
        let mut line = match member.lines.acquire(request).await {
            Ok(line) => line,
            Err(refusal) => return Ran::Refused(refusal),
        };
        job.meter.note_queued(core.now().since(asked));
        if line.conn.is_closed() {
            discard(line);
            return Ran::Refused(Refused {
                cause: Cause::NoUpstream,
                retry_after: None,
            });
        }
        let proved = line
            .seen
            .as_ref()
            .is_some_and(|(_, report)| self.proves(report));
        let probes = Probes {
            before: self.reads() && !proved,
            behind: job.batch.need != Need::Begin,
        };
        let plan = Plan::fresh(&mut line, &job.batch, &job.settings, probes);
        self.running.sent.set(true);
        *self.running.line.borrow_mut() = Some((line.address, line.conn.key().clone()));
        let sent = core.now();
        let mut judge = |report: &Report| self.judge(sent, report);
        let heard = tokio::select! {
            biased;
            heard = exchange(sent, &mut line, plan, sink, &mut judge) => Some(heard),
            () = sleep(job.deadline.since(sent)) => None,
        };
        *self.running.line.borrow_mut() = None;
        self.running.spare(&mut line);
        match heard {
            Some(Ok(heard)) => {
                if let Some(report) = heard.behind.or(heard.before) {
                    line.seen = Some((heard.sent, report));
                }
                Ran::Heard(heard, Held::Line(Box::new(line)))
            }
            Some(Err(_)) => {
                discard(line);
                Ran::Broken
            }
            None => {
                let (address, key) = (line.address, line.conn.key().clone());
                ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
                discard(line);
                Ran::Late
            }
        }
    }

    /// Runs the batch where the upstream's connections are held.
    pub(super) async fn run(&mut self, sink: &mut Sink<'_>) -> Ran {
        let unreachable = Refused {
            cause: Cause::NoUpstream,
            retry_after: None,
        };
        let Some(member) = self.group.member(self.way.upstream()) else {
            return Ran::Refused(unreachable);
        };
        sink.set_mode(self.mode());
        let ran = match member.holder(self.core) {
            Holder::Here => self.run_here(&member, sink).await,
            Holder::There(to) => self.run_there(&to, sink).await,
            Holder::Nowhere => Ran::Refused(unreachable),
        };
        if let Ran::Heard(heard, _) = &ran
            && let Some(report) = heard.behind
        {
            self.group
                .report(self.core.now(), self.way.upstream(), heard.sent, report);
        }
        ran
    }
}

/// Which instance holds connections to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Holder {
    /// This one.
    Here,
    /// Another one.
    There(name::Instance),
    /// None that is known.
    Nowhere,
}

/// Sends a command that has no answer.
pub(super) fn tell(core: &Rc<Core>, to: &name::Instance, command: Command) {
    let seq = core.next_seq();
    let core = Rc::clone(core);
    let to = to.clone();
    ntex::rt::spawn(async move {
        core.outs
            .send(crate::forward::Out::Ask { to, seq, command })
            .await;
    });
}
