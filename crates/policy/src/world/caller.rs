//! Simulated callers, which send requests, repeat writes with an unknown
//! outcome and roam between instances.

use std::{collections::HashMap, time::Duration};

use check::{Answer, Event, Operation, Request};
use clock::Instant;
use model::{Freshness, Outcome, Position, Repeat, Term, name};
use rand::Rng;

use super::{Detail, Logic, Occurrence, World, instance::Arrival, numbered};

/// Delay before a caller repeats a write with an unknown outcome.
const REPEAT_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of repeats of a write.
const MAX_REPEATS: u32 = 8;

/// Load that the callers generate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of callers per zone.
    pub callers: usize,
    /// Time between two requests of a caller.
    pub interval: Duration,
    /// Share of the requests that read.
    pub read_percent: u32,
    /// Share of the requests for which the caller chooses an instance anew.
    pub roam_percent: u32,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A write with a request id.
    Write,
    /// A read.
    Read(Freshness),
}

/// Request on its way to an instance.
#[derive(Debug, Clone)]
pub(super) struct Submission {
    pub(super) caller: usize,
    pub(super) request: Request,
    pub(super) operation: Operation,
    pub(super) kind: Kind,
    pub(super) token: Option<Position>,
    pub(super) roamed: bool,
    /// Operation whose presence a read checks.
    pub(super) lookup: Option<Operation>,
}

/// Command of a script; a caller sends it after the answer to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Writes under this number.
    Write(u64),
    /// Reads whether the write of this number is present.
    Read(u64),
}

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandResult {
    /// The command.
    pub command: Command,
    /// Final outcome, after repeats of unknown writes.
    pub outcome: Outcome,
    /// True if a read found its operation.
    pub found: bool,
}

/// Simulated caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Availability zone of the caller.
    pub zone: usize,
    instance: usize,
    token: Option<Position>,
    script: Vec<Command>,
    results: Vec<CommandResult>,
    think_time: Duration,
}

/// Write that was acknowledged to its caller.
#[derive(Debug, Clone, Copy)]
pub struct Acknowledgement {
    /// Time at which the caller sent the acknowledged request.
    pub asked: Instant,
    /// Time at which the acknowledgement reached the caller.
    pub at: Instant,
    /// Term in which a majority confirmed the write.
    pub term: Term,
    /// Zone of the caller.
    pub zone: usize,
}

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Requests that were done.
    pub done: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
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

/// State of all callers.
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
    /// Starts the load at `from`.
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

    /// Runs a script from `from` on as a caller in `zone` that roams at each
    /// command and waits for `think_time` between an answer and the next
    /// command.
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

    /// Returns the results of each scripted caller.
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

    /// Records the result of a caller's command and schedules the next one.
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

    /// Stops the load; repeats and scripts go on.
    pub fn stop_load(&mut self) {
        self.clients.load = None;
    }

    /// Returns the acknowledged writes.
    pub fn acknowledgements(&self) -> &[Acknowledgement] {
        &self.clients.acknowledgements
    }

    /// Returns the number of requests by outcome.
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
        // One in four requests to a new instance presents no token.
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
