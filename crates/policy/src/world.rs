//! Simulation of one database group with its instances, callers and store, in
//! virtual time.
//!
//! The instances run the real decision logic; upstreams, network and store are
//! simple fakes. Faults are scheduled by the caller of the simulation.

mod caller;
mod instance;
mod platform;
mod upstream;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use check::{Event, Suite};
use clock::{Instant, Timer};
use failover::{Call, Timing};
use model::{Phase, Position, Record, Term, name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    net::{Net, Place, Transport},
    server::{Condition, Follow, Server},
    site::Site,
};

pub use caller::{Acknowledgement, Caller, Command, CommandResult, Kind, Load, Tally};
pub use instance::Instance;
pub use platform::Store;

use caller::Clients;
use instance::Arrival;
use upstream::Message;

/// Scheduled event of the simulation.
#[derive(Debug)]
enum Occurrence {
    Tick {
        instance: usize,
        incarnation: u32,
    },
    AtServer {
        server: usize,
        from: usize,
        message: Message,
    },
    AtInstance {
        instance: usize,
        incarnation: u32,
        arrival: Arrival,
    },
    AtStore {
        from: usize,
        call: Call,
        message: platform::Message,
    },
    Stream {
        follower: usize,
        follow: Follow,
        upto: usize,
    },
    Connect {
        follower: usize,
    },
    Caller(usize),
    Repeat {
        caller: usize,
        operation: check::Operation,
        repeats_left: u32,
    },
    Answer {
        request: check::Request,
        answer: check::Answer,
        token: Option<Position>,
        detail: Detail,
    },
    Start {
        instance: usize,
    },
    Resume,
    Fault(Fault),
}

/// Injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An upstream's process crashes; its host refuses connections.
    Crash(usize),
    /// An upstream's host stops answering.
    Silence(usize),
    /// An upstream restarts with the log and role that it had.
    Restart(usize),
    /// An upstream stalls for a while without noticing.
    Stall(usize, Duration),
    /// A zone is partitioned from every other place.
    Isolate(usize),
    /// All partitions are removed.
    Heal,
    /// The store stops answering.
    StoreDown,
    /// The store takes this much longer for each call.
    StoreSlow(Duration),
    /// The store loses this many answers after the calls took effect.
    LoseAnswers(u32),
    /// The store works normally again.
    StoreUp,
    /// An instance dies and later restarts without any state.
    Kill(usize),
    /// An instance is paused for a while without noticing.
    Pause(usize, Duration),
    /// The next instance that sends a message of this step dies right after
    /// sending.
    KillOn(Step),
    /// The next instance that sends a message of this step is paused right
    /// after sending, without noticing.
    PauseOn(Step, Duration),
}

/// Logic by which the instances handle requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Logic {
    /// The real logic.
    Real,
    /// All requests go to upstream 0 and its answers are passed on; no retries,
    /// no promotion.
    Naive,
    /// Broken: a write is acknowledged as soon as the primary ran it.
    AcknowledgeUnreplicated,
    /// Broken: tokens of callers are ignored; each session counts as one
    /// without writes.
    IgnoreTokens,
    /// Broken: answers are returned without being checked.
    Unverified,
    /// Broken: a lost connection is reported as a request that did not run.
    ClaimNotRun,
    /// Broken: upstreams don't check the ledger of request ids.
    NoLedger,
}

/// Details of a request's end beyond its outcome.
#[derive(Debug, Clone, Copy, Default)]
struct Detail {
    term: Option<Term>,
    found: Option<check::Operation>,
}

/// Step of a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The claim is sent to the store.
    Claim,
    /// The upstreams are ordered to fence.
    Fence,
    /// The chosen upstream is ordered to become primary.
    Promote,
    /// The record of the new primary is sent to the store.
    Record,
}

/// Times at which the takeover of a term reached its steps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Milestones {
    /// Time at which the claim was sent.
    pub claim_sent: Option<Instant>,
    /// Time at which the claimant received the grant.
    pub claimed: Option<Instant>,
    /// Time at which the promotion was ordered.
    pub ordered: Option<Instant>,
    /// Time at which the upstream became primary.
    pub promoted: Option<Instant>,
}

/// Simulated database group with its instances, callers and store.
#[derive(Debug)]
pub struct World {
    /// The deployment.
    pub site: Site,
    /// The upstreams.
    pub servers: Vec<Server>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The platform's store.
    pub store: Store,
    /// The consistency checkers.
    pub suite: Suite,
    /// Times of the takeover steps by term.
    pub milestones: HashMap<Term, Milestones>,
    now: Instant,
    timer: Timer<Occurrence>,
    net: Net,
    rng: ChaCha8Rng,
    names: Vec<name::Upstream>,
    database: name::Database,
    stream_ends: HashMap<usize, Instant>,
    clients: Clients,
    timing: Timing,
    connecting: HashSet<usize>,
    step_fault: Option<(Step, Option<Duration>)>,
    logic: Logic,
}

fn numbered<T>(prefix: &str, number: usize, make: fn(&str) -> Result<T, name::Error>) -> T {
    make(&format!("{prefix}{number}")).expect("a generated name is valid")
}

impl World {
    /// Opens a group with upstream 0 as primary in term 1 and without load.
    pub fn open(site: Site, seed: u64) -> Self {
        Self::open_with(site, seed, Logic::Real)
    }

    /// Opens a group whose instances use the given logic.
    pub fn open_with(site: Site, seed: u64, logic: Logic) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let net = Net::open(site, ChaCha8Rng::seed_from_u64(rng.random()));
        let first = Term(1);
        let leader = Follow {
            leader: 0,
            term: first,
        };
        let servers = (0..site.upstreams)
            .map(|u| Server::open(u % site.zones, first, (u > 0).then_some(leader)))
            .collect();
        let names: Vec<_> = (0..site.upstreams)
            .map(|u| numbered("u", u, name::Upstream::new))
            .collect();
        let record = Record {
            term: first,
            phase: Phase::Led {
                upstream: names[0].clone(),
            },
            fork: model::Lsn(0),
            attempt: 0,
        };
        let mut world = Self {
            site,
            servers,
            instances: Vec::new(),
            store: Store::open(record),
            suite: Suite::default(),
            milestones: HashMap::new(),
            now: Instant::ZERO,
            timer: Timer::default(),
            net,
            rng,
            names,
            database: numbered("db", 0, name::Database::new),
            stream_ends: HashMap::new(),
            clients: Clients::default(),
            timing: Timing::default(),
            connecting: HashSet::new(),
            step_fault: None,
            logic,
        };
        for instance in 0..site.instances {
            world.start(instance);
        }
        world.resume_watches();
        world
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules a fault.
    pub fn schedule(&mut self, at: Instant, fault: Fault) {
        self.timer.subscribe(at, Occurrence::Fault(fault));
    }

    /// Runs the simulation up to a point in time.
    pub fn run(&mut self, until: Instant) {
        while let Some(at) = self.timer.next().filter(|&at| at <= until) {
            self.now = at;
            for occurrence in self.timer.expired(at) {
                self.process(occurrence);
            }
        }
        self.now = until;
    }

    /// Reports the final log of the current primary to the checkers and ends
    /// the run.
    pub fn finish(&mut self) {
        let leaders = self.servers.iter().filter(|s| s.condition == Condition::Up);
        let Some(leader) = leaders.max_by_key(|s| s.position()) else {
            return;
        };
        let persisted: Vec<_> = leader.log().iter().filter_map(|e| e.operation).collect();
        for operation in persisted {
            self.record(Event::Persisted { operation });
        }
        self.record(Event::LogComplete);
    }

    /// Returns the index of the upstream that reports itself as primary in the
    /// highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |u: &usize| self.servers[*u].role() == model::Role::Primary;
        (0..self.servers.len())
            .filter(leads)
            .max_by_key(|&u| self.servers[u].position().term)
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Tick {
                instance,
                incarnation,
            } => self.tick(instance, incarnation),
            Occurrence::AtServer {
                server,
                from,
                message,
            } => self.at_server(server, from, message),
            Occurrence::AtInstance {
                instance,
                incarnation,
                arrival,
            } => self.at_instance(instance, incarnation, arrival),
            Occurrence::AtStore {
                from,
                call,
                message,
            } => self.at_store(from, call, message),
            Occurrence::Stream {
                follower,
                follow,
                upto,
            } => self.streamed(follower, follow, upto),
            Occurrence::Connect { follower } => self.connect(follower),
            Occurrence::Caller(caller) => self.send_next(caller),
            Occurrence::Repeat {
                caller,
                operation,
                repeats_left,
            } => self.repeat(caller, operation, repeats_left),
            Occurrence::Answer {
                request,
                answer,
                token,
                detail,
            } => self.answered(request, answer, token, detail),
            Occurrence::Resume => self.resume_watches(),
            Occurrence::Start { instance } => self.start(instance),
            Occurrence::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(u) => self.crash(u),
            Fault::Silence(u) => self.servers[u].condition = Condition::Silent,
            Fault::Restart(u) => self.restart(u),
            Fault::Stall(u, span) => self.servers[u].stalled_until = self.now + span,
            Fault::Isolate(zone) => self.net.isolate(zone),
            Fault::Heal => self.net.heal(),
            Fault::StoreDown => self.store.down = true,
            Fault::StoreSlow(extra) => self.store.extra_latency = extra,
            Fault::LoseAnswers(count) => self.store.answers_to_lose = count,
            Fault::StoreUp => self.store.recover(),
            Fault::Kill(i) => self.kill(i),
            Fault::Pause(i, span) => self.instances[i].paused_until = self.now + span,
            Fault::KillOn(step) => self.step_fault = Some((step, None)),
            Fault::PauseOn(step, span) => self.step_fault = Some((step, Some(span))),
        }
    }

    fn record(&mut self, event: Event) {
        self.suite.observe(self.now, &event);
    }

    fn schedule_after(&mut self, span: Duration, occurrence: Occurrence) {
        self.timer.subscribe(self.now + span, occurrence);
    }

    /// Sends over the network; returns false if the message is lost.
    fn send(
        &mut self,
        from: Place,
        to: Place,
        transport: Transport,
        occurrence: Occurrence,
    ) -> bool {
        match self.net.send(from, to, transport) {
            Some(span) => {
                self.schedule_after(span, occurrence);
                true
            }
            None => false,
        }
    }

    fn server_place(&self, server: usize) -> Place {
        Place::Zone(self.servers[server].zone)
    }

    fn instance_place(&self, instance: usize) -> Place {
        Place::Zone(self.instances[instance].zone)
    }

    fn upstream_index(&self, upstream: &name::Upstream) -> usize {
        let found = self.names.iter().position(|name| name == upstream);
        found.expect("the group was opened with these names")
    }
}
