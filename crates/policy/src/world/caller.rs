//! The callers: they ask steadily, repeat what is unknown, and roam.

use std::{collections::HashMap, time::Duration};

use check::{Answer, Event, Operation, Request};
use clock::Instant;
use model::{Freshness, Outcome, Position, Repeat, Term, name};
use rand::Rng;

use super::{Detail, Logic, Occurrence, World, instance::Arrival, numbered};

/// How long a caller waits before it repeats a write with an unknown outcome.
const REPEAT_DELAY: Duration = Duration::from_millis(20);
/// How often it does so.
const MAX_REPEATS: u32 = 8;

/// How the callers behave.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// How many callers each zone has.
    pub callers: usize,
    /// How long after one request a caller sends its next.
    pub interval: Duration,
    /// How many of a hundred requests are reads.
    pub read_percent: u32,
    /// How many of a hundred requests a caller sends to another instance than
    /// the one before.
    pub roam_percent: u32,
}

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A write with a request id.
    Write,
    /// A read.
    Read(Freshness),
}

/// A request on its way to an instance.
#[derive(Debug, Clone)]
pub(super) struct Submission {
    pub(super) caller: usize,
    pub(super) request: Request,
    pub(super) operation: Operation,
    pub(super) kind: Kind,
    pub(super) token: Option<Position>,
    pub(super) roamed: bool,
    /// What a read looks for.
    pub(super) lookup: Option<Operation>,
}

/// One line of a script, which a caller says after the one before is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Writes under this number.
    Write(u64),
    /// Looks whether what was written under this number is there.
    Read(u64),
}

/// What a caller was told to one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandResult {
    /// The line.
    pub command: Command,
    /// How it ended at last, repeats of unknown writes included.
    pub outcome: Outcome,
    /// Whether a look found what it looked for.
    pub found: bool,
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its availability zone.
    pub zone: usize,
    instance: usize,
    token: Option<Position>,
    script: Vec<Command>,
    results: Vec<CommandResult>,
    think_time: Duration,
}

/// A write that was acknowledged to its caller.
#[derive(Debug, Clone, Copy)]
pub struct Acknowledgement {
    /// When the caller sent the request that was acknowledged.
    pub asked: Instant,
    /// When the acknowledgement reached it.
    pub at: Instant,
    /// The term in which a majority held it.
    pub term: Term,
    /// The caller's zone.
    pub zone: usize,
}

/// How many requests ended how.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Done.
    pub done: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
}

#[derive(Debug)]
struct Pending {
    caller: usize,
    operation: Operation,
    kind: Kind,
    asked: Instant,
    repeats_left: u32,
}

/// All that the callers remember.
#[derive(Debug, Default)]
pub(super) struct Clients {
    load: Option<Load>,
    callers: Vec<Caller>,
    pending: HashMap<Request, Pending>,
    requests: u64,
    operations: u64,
    acknowledgements: Vec<Acknowledgement>,
    tally: Tally,
}

impl World {
    /// Lets callers ask from `from` on.
    pub fn start_load(&mut self, from: Instant, load: Load) {
        self.clients.load = Some(load);
        for zone in 0..self.site.zones {
            for _ in 0..load.callers {
                let instance = self.pick_instance(zone);
                let caller = self.clients.callers.len();
                self.clients.callers.push(Caller {
                    zone,
                    instance,
                    token: None,
                    script: Vec::new(),
                    results: Vec::new(),
                    think_time: load.interval,
                });
                let offset = load.interval.mul_f64(self.rng.random());
                let at = from + offset;
                self.timer.subscribe(at, Occurrence::Caller(caller));
            }
        }
    }

    /// Lets a caller in a zone say a script from `from` on, roaming at each
    /// line, with `pace` between an answer and the next line.
    pub fn run_script(
        &mut self,
        from: Instant,
        zone: usize,
        think_time: Duration,
        script: &[Command],
    ) {
        let instance = self.pick_instance(zone);
        let caller = self.clients.callers.len();
        let script = script.iter().rev().copied().collect();
        self.clients.callers.push(Caller {
            zone,
            instance,
            token: None,
            script,
            results: Vec::new(),
            think_time,
        });
        self.timer.subscribe(from, Occurrence::Caller(caller));
    }

    /// What the callers with scripts were told.
    pub fn results(&self) -> Vec<&[CommandResult]> {
        let scripted = self.clients.callers.iter().map(|c| &c.results[..]);
        scripted.collect()
    }

    fn next_command(&mut self, caller: usize) -> bool {
        let Some(command) = self.clients.callers[caller].script.last() else {
            return false;
        };
        match *command {
            Command::Write(number) => {
                self.send_request(caller, Operation(number), Kind::Write, MAX_REPEATS, true);
            }
            Command::Read(number) => {
                let kind = Kind::Read(Freshness::Session);
                self.send_request(caller, Operation(number), kind, 0, true);
            }
        }
        true
    }

    /// Notes the answer to a caller's line, and goes on to the next.
    fn record_result(&mut self, pending: &Pending, outcome: Outcome, detail: Detail) {
        let repeats = matches!(outcome, Outcome::Unknown(_)) && pending.kind == Kind::Write;
        if repeats && pending.repeats_left > 0 && self.logic != Logic::Naive {
            return;
        }
        let caller = &mut self.clients.callers[pending.caller];
        let Some(command) = caller.script.pop() else {
            return;
        };
        caller.results.push(CommandResult {
            command,
            outcome,
            found: detail.found.is_some(),
        });
        let think_time = caller.think_time;
        self.schedule_after(think_time, Occurrence::Caller(pending.caller));
    }

    /// Lets no caller ask anything new.
    pub fn stop_load(&mut self) {
        self.clients.load = None;
    }

    /// The writes that were acknowledged.
    pub fn acknowledgements(&self) -> &[Acknowledgement] {
        &self.clients.acknowledgements
    }

    /// How many requests ended how.
    pub fn tally(&self) -> Tally {
        self.clients.tally
    }

    fn pick_instance(&mut self, zone: usize) -> usize {
        let all = 0..self.instances.len();
        let running: Vec<_> = all.filter(|&i| self.instances[i].up).collect();
        let near: Vec<_> = running
            .iter()
            .copied()
            .filter(|&i| self.instances[i].zone == zone)
            .collect();
        let choice = if near.is_empty() { &running } else { &near };
        choice[self.rng.random_range(0..choice.len())]
    }

    pub(super) fn send_next(&mut self, caller: usize) {
        if self.next_command(caller) {
            return;
        }
        let Some(load) = self.clients.load else {
            return;
        };
        self.schedule_after(load.interval, Occurrence::Caller(caller));
        let kind = match self.rng.random_range(0..100) < load.read_percent {
            false => Kind::Write,
            true if self.rng.random_ratio(1, 4) => Kind::Read(Freshness::Current),
            true => Kind::Read(Freshness::Session),
        };
        self.clients.operations += 1;
        let operation = Operation(self.clients.operations);
        let roams = self.rng.random_range(0..100) < load.roam_percent;
        self.send_request(caller, operation, kind, MAX_REPEATS, roams);
    }

    pub(super) fn repeat(&mut self, caller: usize, operation: Operation, repeats_left: u32) {
        self.send_request(caller, operation, Kind::Write, repeats_left, true);
    }

    fn send_request(
        &mut self,
        caller: usize,
        operation: Operation,
        kind: Kind,
        repeats_left: u32,
        roams: bool,
    ) {
        let zone = self.clients.callers[caller].zone;
        let before = self.clients.callers[caller].instance;
        let stays = !roams && self.instances[before].up;
        let instance = match stays {
            true => before,
            false => self.pick_instance(zone),
        };
        let stays = instance == before;
        self.clients.callers[caller].instance = instance;
        self.clients.requests += 1;
        let request = Request(self.clients.requests);
        let pending = Pending {
            caller,
            operation,
            kind,
            asked: self.now,
            repeats_left,
        };
        self.clients.pending.insert(request, pending);
        self.record_asked(caller, request, operation, kind, instance);
        // One in four that roam come with nothing but their name.
        let is_tokenless = !stays && self.rng.random_ratio(1, 4);
        let token = self.clients.callers[caller].token.filter(|_| !is_tokenless);
        let submission = Submission {
            caller,
            request,
            operation,
            kind,
            token,
            roamed: !stays,
            lookup: (kind != Kind::Write).then_some(operation),
        };
        let span = self.site.caller_latency;
        self.deliver_after(instance, span, Arrival::Submission(submission));
    }

    fn record_asked(
        &mut self,
        caller: usize,
        request: Request,
        operation: Operation,
        kind: Kind,
        instance: usize,
    ) {
        let freshness = match kind {
            Kind::Write => Freshness::Session,
            Kind::Read(freshness) => freshness,
        };
        self.record(Event::Asked {
            request,
            operation,
            session: check::Session(caller as u64),
            instance: numbered("i", instance, name::Instance::new),
            database: self.database.clone(),
            freshness,
            repeat: Repeat::Once,
        });
    }

    pub(super) fn answered(
        &mut self,
        request: Request,
        answer: Answer,
        token: Option<Position>,
        detail: Detail,
    ) {
        let Some(pending) = self.clients.pending.remove(&request) else {
            return;
        };
        let session = check::Session(pending.caller as u64);
        self.record(Event::Answered {
            request,
            session,
            answer,
        });
        let caller = &mut self.clients.callers[pending.caller];
        if let Some(token) = token {
            caller.token = Some(caller.token.map_or(token, |t| session::join(t, token)));
        }
        let zone = caller.zone;
        match answer.outcome {
            Outcome::Done => {
                self.clients.tally.done += 1;
                if let (Kind::Write, Some(term)) = (pending.kind, detail.term) {
                    self.clients.acknowledgements.push(Acknowledgement {
                        asked: pending.asked,
                        at: self.now,
                        term,
                        zone,
                    });
                }
            }
            Outcome::NotRun(_) => self.clients.tally.not_run += 1,
            Outcome::Unknown(_) => {
                self.clients.tally.unknown += 1;
                self.schedule_repeat(&pending);
            }
        }
        self.record_result(&pending, answer.outcome, detail);
    }

    fn schedule_repeat(&mut self, pending: &Pending) {
        if pending.kind != Kind::Write || pending.repeats_left == 0 || self.logic == Logic::Naive {
            return;
        }
        let occurrence = Occurrence::Repeat {
            caller: pending.caller,
            operation: pending.operation,
            repeats_left: pending.repeats_left - 1,
        };
        self.schedule_after(REPEAT_DELAY, occurrence);
    }
}
