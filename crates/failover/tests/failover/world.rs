//! A simulated group with its network and store, in virtual time.
//!
//! The model covers what the decisions depend on: messages that take time, get
//! lost or meet a cut; upstreams with a log; a record changed by
//! compare-and-swap; callers that write at each instance.

pub(crate) mod check;
pub(crate) mod instance;
pub(crate) mod net;
pub(crate) mod store;
pub(crate) mod upstream;

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use failover::{Action, Call, Entry, Event, Order, State, Timing, quorum};
use model::{Record, Report, name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use check::Check;
use instance::Instance;
use net::{Host, Net};
use store::Store;
use upstream::Server;

/// Sizes, latencies and faulty variants of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) zones: usize,
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    pub(crate) zone_latency: Duration,
    pub(crate) store_latency: Duration,
    pub(crate) promotion_time: Duration,
    pub(crate) write_interval: Duration,
    pub(crate) has_record: bool,
    pub(crate) quorum_size: usize,
    pub(crate) reports_term_early: bool,
    pub(crate) fence_lingers: bool,
    pub(crate) ignores_fences: bool,
    pub(crate) timing: Timing,
}

impl Setup {
    pub(crate) fn umurage() -> Self {
        Self {
            zones: 3,
            instances: 3,
            upstreams: 3,
            zone_latency: Duration::from_micros(500),
            store_latency: Duration::from_millis(3),
            promotion_time: Duration::from_millis(50),
            write_interval: Duration::from_millis(5),
            has_record: true,
            quorum_size: 3,
            reports_term_early: false,
            fence_lingers: false,
            ignores_fences: false,
            timing: Timing::default(),
        }
    }

    pub(crate) fn stalgenoot() -> Self {
        Self {
            zones: 4,
            instances: 4,
            zone_latency: Duration::from_micros(1_500),
            ..Self::umurage()
        }
    }
}

/// Lag of the platform's list of instances.
const MEMBERS_LAG: Duration = Duration::from_secs(2);

/// A scheduled step of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum Task {
    Step(usize, Event),
    Wake(usize, Instant, u32),
    Request(usize, usize, Call, Option<Order>),
    Promoted(usize, usize, Call, model::Term),
    Read(usize, Call),
    Swap(usize, Call, u64, Record),
    IssueWrite(usize, u32),
    Write(usize, usize, u64, model::Term),
    Written(
        usize,
        usize,
        u64,
        Instant,
        Option<(model::Position, Report)>,
    ),
    Poll(usize, usize, Instant),
    Polled(usize, usize, Instant, Report),
    PushLog(usize),
    ReceiveLog(usize, usize, model::Term, usize),
    Stall(Host, Duration),
    UpdateMembers,
}

/// Fault to inject when the state machine of an instance enters a state.
#[derive(Debug, Clone)]
pub(crate) struct Injection {
    pub(crate) state: State,
    pub(crate) fault: InjectedFault,
}

/// Injected fault, and whether the messages of the state still leave.
#[derive(Debug, Clone, Copy)]
pub(crate) enum InjectedFault {
    DieBefore,
    DieAfter,
    Pause(Duration),
    StoreDown,
    LoseAnswers(u32),
}

pub(crate) struct World {
    pub(crate) setup: Setup,
    pub(crate) now: Instant,
    due: BTreeMap<(Instant, u64), Task>,
    sequence: u64,
    rng: ChaCha8Rng,
    pub(crate) net: Net,
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) check: Check,
    pub(crate) injections: Vec<Injection>,
    pub(crate) trace: Vec<(Instant, usize, State)>,
    writes: u64,
}

pub(crate) fn upstream_name(u: usize) -> name::Upstream {
    name::Upstream::new(&format!("u{u}")).unwrap()
}

pub(crate) fn zone_name(z: usize) -> name::Zone {
    name::Zone::new(&format!("z{z}")).unwrap()
}

impl World {
    pub(crate) fn open(setup: Setup, seed: u64) -> Self {
        let mut world = Self {
            now: Instant::ZERO,
            due: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            net: Net::default(),
            store: Store::open(setup.has_record),
            servers: (0..setup.upstreams).map(Server::open).collect(),
            instances: Vec::new(),
            check: Check::default(),
            injections: Vec::new(),
            trace: Vec::new(),
            writes: 0,
            setup,
        };
        for i in 0..world.setup.instances {
            let instance = Instance::open(&world.setup, i, seed, world.now);
            world.instances.push(instance);
            world.start(i);
        }
        for u in 0..world.setup.upstreams {
            world.schedule(Duration::ZERO, Task::PushLog(u));
        }
        world
    }

    /// Starts an instance, or restarts it after its predecessor died.
    pub(crate) fn start(&mut self, i: usize) {
        let members = self.members();
        self.schedule(Duration::ZERO, Task::Step(i, Event::Members(members)));
        self.schedule(MEMBERS_LAG, Task::UpdateMembers);
        let incarnation = self.instances[i].incarnation;
        let offset = self.rng.random_range(0..5_000);
        self.schedule(
            Duration::from_micros(offset),
            Task::IssueWrite(i, incarnation),
        );
    }

    /// Instances that the platform lists as live.
    fn members(&self) -> BTreeMap<name::Instance, name::Zone> {
        let live = |i: &usize| self.instances.get(*i).is_none_or(|p| p.group.is_some());
        let listed = (0..self.setup.instances).filter(live);
        listed
            .map(|i| (instance::instance_name(i), zone_name(i % self.setup.zones)))
            .collect()
    }

    /// Delivers the list of instances to all of them; the list lags behind
    /// deaths and starts.
    fn update_members(&mut self) {
        let members = self.members();
        for i in 0..self.instances.len() {
            self.step(i, Event::Members(members.clone()));
        }
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.instances[i].group = None;
        self.schedule(MEMBERS_LAG, Task::UpdateMembers);
    }

    pub(crate) fn restart(&mut self, i: usize) {
        let seed = self.rng.random();
        let incarnation = self.instances[i].incarnation + 1;
        self.instances[i] = Instance::open(&self.setup, i, seed, self.now);
        self.instances[i].incarnation = incarnation;
        self.start(i);
    }

    pub(crate) fn schedule(&mut self, wait: Duration, task: Task) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), task);
    }

    /// Sends a message, unless the link is cut.
    pub(crate) fn send(&mut self, from: Host, to: Host, task: Task) {
        self.send_later(Duration::ZERO, from, to, task);
    }

    pub(crate) fn send_later(&mut self, wait: Duration, from: Host, to: Host, task: Task) {
        if self.net.is_cut(from, to) {
            return;
        }
        let latency = self.net.latency(&self.setup, &mut self.rng, from, to);
        self.schedule(wait + latency, task);
    }

    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let task = entry.remove();
            self.now = at;
            self.run_task(task);
        }
        self.now = end;
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn run_task(&mut self, task: Task) {
        if let Some(until) = self.paused(&task) {
            self.schedule(until.since(self.now), task);
            return;
        }
        match task {
            Task::Step(i, event) => self.step(i, event),
            Task::Wake(i, at, incarnation) => self.wake(i, at, incarnation),
            Task::Request(i, u, call, order) => self.on_request(i, u, call, order),
            Task::Promoted(i, u, call, term) => self.promoted(i, u, call, term),
            Task::Read(i, call) => self.store_read(i, call),
            Task::Swap(i, call, expected, record) => {
                self.store_swap(i, call, expected, record);
            }
            Task::IssueWrite(i, incarnation) => self.issue_write(i, incarnation),
            Task::Write(i, u, id, term) => self.write(i, u, id, term),
            Task::Written(i, u, id, asked, result) => self.written(i, u, id, asked, result),
            Task::Poll(i, u, asked) => self.poll(i, u, asked),
            Task::Polled(i, u, asked, report) => self.polled(i, u, asked, &report),
            Task::PushLog(u) => self.push_periodically(u),
            Task::ReceiveLog(from, to, term, len) => self.receive_log(from, to, term, len),
            Task::Stall(host, span) => self.pause(host, span),
            Task::UpdateMembers => self.update_members(),
        }
    }

    /// Time until which the host that the task concerns is paused.
    fn paused(&self, task: &Task) -> Option<Instant> {
        let host = match task {
            Task::Step(i, _)
            | Task::Wake(i, ..)
            | Task::IssueWrite(i, _)
            | Task::Written(i, ..)
            | Task::Polled(i, ..) => Host::Instance(*i),
            Task::Request(_, u, ..)
            | Task::Promoted(_, u, ..)
            | Task::Write(_, u, ..)
            | Task::Poll(_, u, _)
            | Task::PushLog(u)
            | Task::ReceiveLog(_, u, ..) => Host::Server(*u),
            Task::Read(..) | Task::Swap(..) | Task::Stall(..) | Task::UpdateMembers => {
                return None;
            }
        };
        self.net.paused(host).filter(|until| *until > self.now)
    }

    pub(crate) fn pause(&mut self, host: Host, span: Duration) {
        self.net.pause(host, self.now + span);
    }

    /// Schedules random short stalls of hosts.
    pub(crate) fn schedule_stalls(&mut self, span: Duration) {
        let end = self.now + span;
        let instances = (0..self.instances.len()).map(|i| (Host::Instance(i), 120.0, 200));
        let servers = (0..self.servers.len()).map(|u| (Host::Server(u), 60.0, 250));
        for (host, every, longest) in instances.chain(servers).collect::<Vec<_>>() {
            let mut at = self.now;
            loop {
                let wait = -f64::ln(1.0 - self.rng.random::<f64>()) * every;
                at = at + Duration::from_secs_f64(wait);
                if at >= end {
                    break;
                }
                let span = Duration::from_millis(self.rng.random_range(10..longest));
                self.schedule(at.since(self.now), Task::Stall(host, span));
            }
        }
    }

    fn wake(&mut self, i: usize, at: Instant, incarnation: u32) {
        if self.instances[i].incarnation == incarnation && self.instances[i].wake == Some(at) {
            self.step(i, Event::Tick);
        }
    }

    pub(crate) fn step(&mut self, i: usize, event: Event) {
        let now = self.now;
        let Some(group) = self.instances[i].group.as_mut() else {
            return;
        };
        let before = group.state();
        let actions = group.step(now, event);
        let after = group.state();
        if before != after {
            self.trace.push((now, i, after));
            if self.inject(i, after) {
                return;
            }
        }
        self.update_quorum(i);
        for action in actions {
            self.act(i, action);
        }
    }

    /// Injects the first fault set for a state; returns true if no message may
    /// leave.
    fn inject(&mut self, i: usize, state: State) -> bool {
        let Some(at) = self.injections.iter().position(|t| t.state == state) else {
            return false;
        };
        match self.injections.remove(at).fault {
            InjectedFault::DieBefore => {
                self.instances[i].group = None;
                return true;
            }
            InjectedFault::DieAfter => {
                let incarnation = self.instances[i].incarnation;
                self.instances[i].dies_after_step = Some(incarnation);
            }
            InjectedFault::Pause(span) => self.pause(Host::Instance(i), span),
            InjectedFault::StoreDown => self.store.down = true,
            InjectedFault::LoseAnswers(answers) => self.store.answers_to_lose = answers,
        }
        false
    }

    fn act(&mut self, i: usize, action: Action) {
        let me = Host::Instance(i);
        match action {
            Action::Probe { call, upstream } => {
                let u = upstream::index(&upstream);
                self.send(me, Host::Server(u), Task::Request(i, u, call, None));
            }
            Action::Order {
                call,
                upstream,
                order,
            } => {
                let u = upstream::index(&upstream);
                self.send(me, Host::Server(u), Task::Request(i, u, call, Some(order)));
            }
            Action::SendEvidence { to, evidence } => {
                let j = instance::index(&to);
                let event = Event::Evidence {
                    from: instance::instance_name(i),
                    zone: zone_name(i % self.setup.zones),
                    evidence,
                };
                self.send(me, Host::Instance(j), Task::Step(j, event));
            }
            Action::Read { call } => self.send(me, Host::Store, Task::Read(i, call)),
            Action::Swap {
                call,
                expected,
                record,
            } => self.send(me, Host::Store, Task::Swap(i, call, expected, record)),
            Action::Announce(entry) => self.announce(i, &entry),
            Action::Wake { at } => {
                let incarnation = self.instances[i].incarnation;
                self.instances[i].wake = Some(at);
                self.schedule(at.since(self.now), Task::Wake(i, at, incarnation));
            }
        }
        if self.instances[i].dies_after_step == Some(self.instances[i].incarnation) {
            // The instance dies once the messages of this step have left.
            self.instances[i].dies_after_step = None;
            self.instances[i].dies_on_next_write = true;
        }
    }

    fn announce(&mut self, i: usize, entry: &Entry) {
        for j in (0..self.instances.len()).filter(|j| *j != i) {
            let event = Event::Announced(entry.clone());
            self.send(Host::Instance(i), Host::Instance(j), Task::Step(j, event));
        }
    }

    /// Returns the number of a new write.
    fn next_write(&mut self) -> u64 {
        self.writes += 1;
        self.writes
    }
}

/// Id of a write in the quorum of its instance.
pub(crate) fn id(write: u64) -> quorum::Id {
    quorum::Id(write)
}

impl World {
    /// Creates a deployment and runs it until callers write everywhere.
    pub(crate) fn running(setup: Setup, seed: u64) -> Self {
        let mut world = Self::open(setup, seed);
        world.run(Duration::from_secs(1));
        world
    }

    /// Time at which the first write issued at an instance since `since` was
    /// acknowledged.
    pub(crate) fn first_ack(&self, i: usize, since: Instant) -> Option<Instant> {
        let later = self.instances[i]
            .acked
            .iter()
            .filter(|(issued, _)| *issued >= since);
        later.map(|(_, acked)| *acked).min()
    }

    /// Time after `since` until writes are acknowledged at each of these
    /// instances again.
    pub(crate) fn gap(&self, instances: &[usize], since: Instant) -> Option<Duration> {
        let first_ack = instances.iter().map(|&i| self.first_ack(i, since));
        let first_ack: Option<Vec<Instant>> = first_ack.collect();
        Some(first_ack?.into_iter().max()?.since(since))
    }

    /// Time and instance of the first entry into a state since `since`.
    pub(crate) fn entered(&self, state: State, since: Instant) -> Option<(Instant, usize)> {
        let entry = self
            .trace
            .iter()
            .find(|(at, _, s)| *at >= since && *s == state);
        entry.map(|(at, i, _)| (*at, *i))
    }

    /// Asserts that no acknowledged write was lost and no invariant violated.
    pub(crate) fn verify(&mut self) {
        self.check.check_survival(&self.servers);
        assert_eq!(self.check.violations, []);
    }
}
