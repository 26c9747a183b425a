//! One database group with its instances, callers and store, in virtual time.
//!
//! The decisions are the real ones; what stands around them is small: logs,
//! latencies, a record. Faults are put in by the bench or the test.

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

/// Something that happens at its moment.
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

/// What is done to the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An upstream's process dies; its host refuses connections.
    Crash(usize),
    /// An upstream's host goes silent.
    Silence(usize),
    /// An upstream comes back with the log and role that it had.
    Restart(usize),
    /// An upstream does nothing for a while and does not know it.
    Stall(usize, Duration),
    /// A zone is parted from every other place.
    Isolate(usize),
    /// All partitions end.
    Heal,
    /// The store stops answering.
    StoreDown,
    /// The store takes this much longer for each call.
    StoreSlow(Duration),
    /// The store loses this many answers after the calls took effect.
    LoseAnswers(u32),
    /// The store is as usual.
    StoreUp,
    /// An instance dies and starts anew, knowing nothing.
    Kill(usize),
    /// An instance does nothing for a while and does not know it.
    Pause(usize, Duration),
    /// The instance that next sends such a message dies on sending it.
    KillOn(Step),
    /// The instance that next sends such a message does nothing for a while
    /// after sending it, and does not know it.
    PauseOn(Step, Duration),
}

/// What the instances do with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Logic {
    /// The real decisions.
    Real,
    /// All goes to upstream 0 and its answer is passed on; nothing is retried,
    /// and nobody is promoted.
    Naive,
    /// Broken: a write is acknowledged as soon as the primary ran it.
    AcknowledgeUnreplicated,
    /// Broken: what callers present as their token is ignored, and a session
    /// is taken for one that has written nothing.
    IgnoreTokens,
    /// Broken: an answer is given out without its proof.
    Unverified,
    /// Broken: a broken connection is taken for a request that did not run.
    ClaimNotRun,
    /// Broken: upstreams do not look into the ledger of request ids.
    NoLedger,
}

/// How a request ended, beyond its outcome.
#[derive(Debug, Clone, Copy, Default)]
struct Detail {
    term: Option<Term>,
    found: Option<check::Operation>,
}

/// A step of a change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The claim is sent to the store.
    Claim,
    /// The group is ordered to be fenced.
    Fence,
    /// The chosen upstream is ordered to lead.
    Promote,
    /// The new primary is sent to the store.
    Record,
}

/// When a term's change of primary reached its steps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Milestones {
    /// The claim was sent.
    pub claim_sent: Option<Instant>,
    /// The claimant learned that it had the claim.
    pub claimed: Option<Instant>,
    /// The promotion was ordered.
    pub ordered: Option<Instant>,
    /// The upstream leads.
    pub promoted: Option<Instant>,
}

/// One database group and all that stands around it.
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
    /// The checkers.
    pub suite: Suite,
    /// The steps of each term's change of primary.
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
    /// Opens a group that upstream 0 leads in term 1, with idle callers.
    pub fn open(site: Site, seed: u64) -> Self {
        Self::open_with(site, seed, Logic::Real)
    }

    /// Opens a group whose instances follow another logic than the real one.
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

    /// The moment it is.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Lets a fault happen at a moment.
    pub fn schedule(&mut self, at: Instant, fault: Fault) {
        self.timer.subscribe(at, Occurrence::Fault(fault));
    }

    /// Runs to a moment.
    pub fn run(&mut self, until: Instant) {
        while let Some(at) = self.timer.next().filter(|&at| at <= until) {
            self.now = at;
            for occurrence in self.timer.expired(at) {
                self.process(occurrence);
            }
        }
        self.now = until;
    }

    /// Tells the checkers what the current primary's log has, and ends.
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

    /// The upstream that leads by its own word, in the highest term.
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

    /// Sends over the network; nothing comes of it if it is lost.
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
