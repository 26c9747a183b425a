//! The callers: they ask steadily, repeat what is unknown, and roam.

use std::{collections::HashMap, time::Duration};

use check::{Answer, Event, Operation, Request};
use clock::Instant;
use model::{Freshness, Outcome, Position, Repeat, Term, name};
use rand::Rng;

use super::{End, Happening, Logic, World, instance::Arrival, numbered};

/// How long a caller waits before it repeats a write with an unknown outcome.
const REPEAT: Duration = Duration::from_millis(20);
/// How often it does so.
const REPEATS: u32 = 8;

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
pub(super) struct Errand {
    pub(super) caller: usize,
    pub(super) request: Request,
    pub(super) operation: Operation,
    pub(super) kind: Kind,
    pub(super) token: Option<Position>,
    pub(super) roamed: bool,
    /// What a read looks for.
    pub(super) look: Option<Operation>,
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
    pace: Duration,
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
struct Open {
    caller: usize,
    operation: Operation,
    kind: Kind,
    asked: Instant,
    left: u32,
}

/// All that the callers remember.
#[derive(Debug, Default)]
pub(super) struct Desk {
    load: Option<Load>,
    callers: Vec<Caller>,
    open: HashMap<Request, Open>,
    requests: u64,
    operations: u64,
    acknowledgements: Vec<Acknowledgement>,
    tally: Tally,
}

impl World {
    /// Lets callers ask from `from` on.
    pub fn start_load(&mut self, from: Instant, load: Load) {
        self.desk.load = Some(load);
        for zone in 0..self.site.zones {
            for _ in 0..load.callers {
                let instance = self.instance_near(zone);
                let caller = self.desk.callers.len();
                self.desk.callers.push(Caller {
                    zone,
                    instance,
                    token: None,
                    script: Vec::new(),
                    results: Vec::new(),
                    pace: load.interval,
                });
                let offset = load.interval.mul_f64(self.rng.random());
                let at = from + offset;
                self.timer.subscribe(at, Happening::Caller(caller));
            }
        }
    }

    /// Lets a caller in a zone say a script from `from` on, roaming at each
    /// line, with `pace` between an answer and the next line.
    pub fn run_script(&mut self, from: Instant, zone: usize, pace: Duration, script: &[Command]) {
        let instance = self.instance_near(zone);
        let caller = self.desk.callers.len();
        let script = script.iter().rev().copied().collect();
        self.desk.callers.push(Caller {
            zone,
            instance,
            token: None,
            script,
            results: Vec::new(),
            pace,
        });
        self.timer.subscribe(from, Happening::Caller(caller));
    }

    /// What the callers with scripts were told.
    pub fn results(&self) -> Vec<&[CommandResult]> {
        let scripted = self.desk.callers.iter().map(|c| &c.results[..]);
        scripted.collect()
    }

    fn next_line(&mut self, caller: usize) -> bool {
        let Some(line) = self.desk.callers[caller].script.last() else {
            return false;
        };
        match *line {
            Command::Write(number) => {
                self.ask(caller, Operation(number), Kind::Write, REPEATS, true);
            }
            Command::Read(number) => {
                let kind = Kind::Read(Freshness::Session);
                self.ask(caller, Operation(number), kind, 0, true);
            }
        }
        true
    }

    /// Notes the answer to a caller's line, and goes on to the next.
    fn line_answered(&mut self, open: &Open, outcome: Outcome, end: End) {
        let repeats = matches!(outcome, Outcome::Unknown(_)) && open.kind == Kind::Write;
        if repeats && open.left > 0 && self.logic != Logic::Naive {
            return;
        }
        let caller = &mut self.desk.callers[open.caller];
        let Some(line) = caller.script.pop() else {
            return;
        };
        caller.results.push(CommandResult {
            command: line,
            outcome,
            found: end.found.is_some(),
        });
        let pace = caller.pace;
        self.after(pace, Happening::Caller(open.caller));
    }

    /// Lets no caller ask anything new.
    pub fn stop_load(&mut self) {
        self.desk.load = None;
    }

    /// The writes that were acknowledged.
    pub fn acknowledgements(&self) -> &[Acknowledgement] {
        &self.desk.acknowledgements
    }

    /// How many requests ended how.
    pub fn tally(&self) -> Tally {
        self.desk.tally
    }

    fn instance_near(&mut self, zone: usize) -> usize {
        let all = 0..self.instances.len();
        let live: Vec<_> = all.filter(|&i| self.instances[i].up).collect();
        let near: Vec<_> = live
            .iter()
            .copied()
            .filter(|&i| self.instances[i].zone == zone)
            .collect();
        let choice = if near.is_empty() { &live } else { &near };
        choice[self.rng.random_range(0..choice.len())]
    }

    pub(super) fn call(&mut self, caller: usize) {
        if self.next_line(caller) {
            return;
        }
        let Some(load) = self.desk.load else {
            return;
        };
        self.after(load.interval, Happening::Caller(caller));
        let kind = match self.rng.random_range(0..100) < load.read_percent {
            false => Kind::Write,
            true if self.rng.random_ratio(1, 4) => Kind::Read(Freshness::Current),
            true => Kind::Read(Freshness::Session),
        };
        self.desk.operations += 1;
        let operation = Operation(self.desk.operations);
        let roams = self.rng.random_range(0..100) < load.roam_percent;
        self.ask(caller, operation, kind, REPEATS, roams);
    }

    pub(super) fn repeat(&mut self, caller: usize, operation: Operation, left: u32) {
        self.ask(caller, operation, Kind::Write, left, true);
    }

    fn ask(&mut self, caller: usize, operation: Operation, kind: Kind, left: u32, roams: bool) {
        let zone = self.desk.callers[caller].zone;
        let before = self.desk.callers[caller].instance;
        let stays = !roams && self.instances[before].up;
        let instance = match stays {
            true => before,
            false => self.instance_near(zone),
        };
        let stays = instance == before;
        self.desk.callers[caller].instance = instance;
        self.desk.requests += 1;
        let request = Request(self.desk.requests);
        let open = Open {
            caller,
            operation,
            kind,
            asked: self.now,
            left,
        };
        self.desk.open.insert(request, open);
        self.tell_asked(caller, request, operation, kind, instance);
        // One in four that roam come with nothing but their name.
        let bare = !stays && self.rng.random_ratio(1, 4);
        let token = self.desk.callers[caller].token.filter(|_| !bare);
        let errand = Errand {
            caller,
            request,
            operation,
            kind,
            token,
            roamed: !stays,
            look: (kind != Kind::Write).then_some(operation),
        };
        let span = self.site.caller_latency;
        self.later(instance, span, Arrival::Errand(errand));
    }

    fn tell_asked(
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
        self.tell(Event::Asked {
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
        end: End,
    ) {
        let Some(open) = self.desk.open.remove(&request) else {
            return;
        };
        let session = check::Session(open.caller as u64);
        self.tell(Event::Answered {
            request,
            session,
            answer,
        });
        let caller = &mut self.desk.callers[open.caller];
        if let Some(token) = token {
            caller.token = Some(caller.token.map_or(token, |t| session::join(t, token)));
        }
        let zone = caller.zone;
        match answer.outcome {
            Outcome::Done => {
                self.desk.tally.done += 1;
                if let (Kind::Write, Some(term)) = (open.kind, end.term) {
                    self.desk.acknowledgements.push(Acknowledgement {
                        asked: open.asked,
                        at: self.now,
                        term,
                        zone,
                    });
                }
            }
            Outcome::NotRun(_) => self.desk.tally.not_run += 1,
            Outcome::Unknown(_) => {
                self.desk.tally.unknown += 1;
                self.repeat_later(&open);
            }
        }
        self.line_answered(&open, answer.outcome, end);
    }

    fn repeat_later(&mut self, open: &Open) {
        if open.kind != Kind::Write || open.left == 0 || self.logic == Logic::Naive {
            return;
        }
        let happening = Happening::Repeat {
            caller: open.caller,
            operation: open.operation,
            left: open.left - 1,
        };
        self.after(REPEAT, happening);
    }
}
