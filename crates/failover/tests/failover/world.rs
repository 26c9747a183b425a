//! A fake group, its network and its store, in virtual time.
//!
//! Only what the decisions meet: messages that take time, get lost or meet a
//! cut; upstreams with a log; a record changed by compare-and-swap; callers
//! that write at each instance.

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
use instance::Proxy;
use net::{Host, Net};
use store::Store;
use upstream::Server;

/// Sizes, latencies and habits of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) zones: usize,
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    pub(crate) between: Duration,
    pub(crate) store: Duration,
    pub(crate) promote: Duration,
    pub(crate) write_every: Duration,
    pub(crate) recorded: bool,
    pub(crate) majority_of: usize,
    pub(crate) eager: bool,
    pub(crate) lingering: bool,
    pub(crate) blind: bool,
    pub(crate) timing: Timing,
}

impl Setup {
    pub(crate) fn umurage() -> Self {
        Self {
            zones: 3,
            instances: 3,
            upstreams: 3,
            between: Duration::from_micros(500),
            store: Duration::from_millis(3),
            promote: Duration::from_millis(50),
            write_every: Duration::from_millis(5),
            recorded: true,
            majority_of: 3,
            eager: false,
            lingering: false,
            blind: false,
            timing: Timing::default(),
        }
    }

    pub(crate) fn stalgenoot() -> Self {
        Self {
            zones: 4,
            instances: 4,
            between: Duration::from_micros(1_500),
            ..Self::umurage()
        }
    }
}

/// How far the platform's list of instances lags.
const LIST_LAG: Duration = Duration::from_secs(2);

/// What can be due.
#[derive(Debug, Clone)]
pub(crate) enum Happening {
    Step(usize, Event),
    Wake(usize, Instant, u32),
    Ask(usize, usize, Call, Option<Order>),
    Promoted(usize, usize, Call, model::Term),
    Read(usize, Call),
    Swap(usize, Call, u64, Record),
    Caller(usize, u32),
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
    Beat(usize),
    Log(usize, usize, model::Term, usize),
    Stall(Host, Duration),
    List,
}

/// What to do to an instance when its machine enters a state.
#[derive(Debug, Clone)]
pub(crate) struct Trap {
    pub(crate) state: State,
    pub(crate) spring: Spring,
}

/// What springs, and whether the state's messages still leave.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Spring {
    DieBefore,
    DieAfter,
    Pause(Duration),
    StoreDown,
    LoseAnswers(u32),
}

pub(crate) struct World {
    pub(crate) setup: Setup,
    pub(crate) now: Instant,
    due: BTreeMap<(Instant, u64), Happening>,
    sequence: u64,
    rng: ChaCha8Rng,
    pub(crate) net: Net,
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) check: Check,
    pub(crate) traps: Vec<Trap>,
    pub(crate) trace: Vec<(Instant, usize, State)>,
    writes: u64,
}

pub(crate) fn upstream(u: usize) -> name::Upstream {
    name::Upstream::new(&format!("u{u}")).unwrap()
}

pub(crate) fn zone(z: usize) -> name::Zone {
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
            store: Store::open(setup.recorded),
            servers: (0..setup.upstreams).map(Server::open).collect(),
            proxies: Vec::new(),
            check: Check::default(),
            traps: Vec::new(),
            trace: Vec::new(),
            writes: 0,
            setup,
        };
        for i in 0..world.setup.instances {
            let proxy = Proxy::open(&world.setup, i, seed, world.now);
            world.proxies.push(proxy);
            world.start(i);
        }
        for u in 0..world.setup.upstreams {
            world.after(Duration::ZERO, Happening::Beat(u));
        }
        world
    }

    /// Lets an instance begin, or begin anew after its predecessor died.
    pub(crate) fn start(&mut self, i: usize) {
        let members = self.members();
        self.after(Duration::ZERO, Happening::Step(i, Event::Members(members)));
        self.after(LIST_LAG, Happening::List);
        let life = self.proxies[i].life;
        let offset = self.rng.random_range(0..5_000);
        self.after(Duration::from_micros(offset), Happening::Caller(i, life));
    }

    /// The instances that the platform lists as live.
    fn members(&self) -> BTreeMap<name::Instance, name::Zone> {
        let live = |i: &usize| self.proxies.get(*i).is_none_or(|p| p.group.is_some());
        let listed = (0..self.setup.instances).filter(live);
        listed
            .map(|i| (instance::instance(i), zone(i % self.setup.zones)))
            .collect()
    }

    /// Shows the list to all; it lags behind deaths and starts.
    fn list(&mut self) {
        let members = self.members();
        for i in 0..self.proxies.len() {
            self.step(i, Event::Members(members.clone()));
        }
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.proxies[i].group = None;
        self.after(LIST_LAG, Happening::List);
    }

    pub(crate) fn restart(&mut self, i: usize) {
        let seed = self.rng.random();
        let life = self.proxies[i].life + 1;
        self.proxies[i] = Proxy::open(&self.setup, i, seed, self.now);
        self.proxies[i].life = life;
        self.start(i);
    }

    pub(crate) fn after(&mut self, wait: Duration, happening: Happening) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), happening);
    }

    /// Sends a message, unless the way is cut.
    pub(crate) fn send(&mut self, from: Host, to: Host, happening: Happening) {
        self.send_later(Duration::ZERO, from, to, happening);
    }

    pub(crate) fn send_later(
        &mut self,
        wait: Duration,
        from: Host,
        to: Host,
        happening: Happening,
    ) {
        if self.net.cut(from, to) {
            return;
        }
        let latency = self.net.latency(&self.setup, &mut self.rng, from, to);
        self.after(wait + latency, happening);
    }

    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let happening = entry.remove();
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(until) = self.paused(&happening) {
            self.after(until.since(self.now), happening);
            return;
        }
        match happening {
            Happening::Step(i, event) => self.step(i, event),
            Happening::Wake(i, at, life) => self.wake(i, at, life),
            Happening::Ask(i, u, call, order) => self.ask(i, u, call, order),
            Happening::Promoted(i, u, call, term) => self.promoted(i, u, call, term),
            Happening::Read(i, call) => self.store_read(i, call),
            Happening::Swap(i, call, expected, record) => {
                self.store_swap(i, call, expected, record);
            }
            Happening::Caller(i, life) => self.caller(i, life),
            Happening::Write(i, u, id, term) => self.write(i, u, id, term),
            Happening::Written(i, u, id, asked, result) => self.written(i, u, id, asked, result),
            Happening::Poll(i, u, asked) => self.poll(i, u, asked),
            Happening::Polled(i, u, asked, report) => self.polled(i, u, asked, &report),
            Happening::Beat(u) => self.beat(u),
            Happening::Log(from, to, term, len) => self.log(from, to, term, len),
            Happening::Stall(host, span) => self.pause(host, span),
            Happening::List => self.list(),
        }
    }

    /// Until when the host to which this happens is paused.
    fn paused(&self, happening: &Happening) -> Option<Instant> {
        let host = match happening {
            Happening::Step(i, _)
            | Happening::Wake(i, ..)
            | Happening::Caller(i, _)
            | Happening::Written(i, ..)
            | Happening::Polled(i, ..) => Host::Proxy(*i),
            Happening::Ask(_, u, ..)
            | Happening::Promoted(_, u, ..)
            | Happening::Write(_, u, ..)
            | Happening::Poll(_, u, _)
            | Happening::Beat(u)
            | Happening::Log(_, u, ..) => Host::Server(*u),
            Happening::Read(..) | Happening::Swap(..) | Happening::Stall(..) | Happening::List => {
                return None;
            }
        };
        self.net.paused(host).filter(|until| *until > self.now)
    }

    pub(crate) fn pause(&mut self, host: Host, span: Duration) {
        self.net.pause(host, self.now + span);
    }

    /// Ordinary jitter: now and then a host stalls for a moment.
    pub(crate) fn stalls(&mut self, span: Duration) {
        let end = self.now + span;
        let proxies = (0..self.proxies.len()).map(|i| (Host::Proxy(i), 120.0, 200));
        let servers = (0..self.servers.len()).map(|u| (Host::Server(u), 60.0, 250));
        for (host, every, longest) in proxies.chain(servers).collect::<Vec<_>>() {
            let mut at = self.now;
            loop {
                let wait = -f64::ln(1.0 - self.rng.random::<f64>()) * every;
                at = at + Duration::from_secs_f64(wait);
                if at >= end {
                    break;
                }
                let span = Duration::from_millis(self.rng.random_range(10..longest));
                self.after(at.since(self.now), Happening::Stall(host, span));
            }
        }
    }

    fn wake(&mut self, i: usize, at: Instant, life: u32) {
        if self.proxies[i].life == life && self.proxies[i].wake == Some(at) {
            self.step(i, Event::Tick);
        }
    }

    pub(crate) fn step(&mut self, i: usize, event: Event) {
        let now = self.now;
        let Some(group) = self.proxies[i].group.as_mut() else {
            return;
        };
        let before = group.state();
        let actions = group.step(now, event);
        let after = group.state();
        if before != after {
            self.trace.push((now, i, after));
            if self.spring(i, after) {
                return;
            }
        }
        self.primary(i);
        for action in actions {
            self.act(i, action);
        }
    }

    /// Springs the first trap set for a state; true if nothing may leave.
    fn spring(&mut self, i: usize, state: State) -> bool {
        let Some(at) = self.traps.iter().position(|t| t.state == state) else {
            return false;
        };
        match self.traps.remove(at).spring {
            Spring::DieBefore => {
                self.proxies[i].group = None;
                return true;
            }
            Spring::DieAfter => {
                let life = self.proxies[i].life;
                self.proxies[i].dying = Some(life);
            }
            Spring::Pause(span) => self.pause(Host::Proxy(i), span),
            Spring::StoreDown => self.store.down = true,
            Spring::LoseAnswers(answers) => self.store.lose = answers,
        }
        false
    }

    fn act(&mut self, i: usize, action: Action) {
        let me = Host::Proxy(i);
        match action {
            Action::Probe { call, upstream } => {
                let u = upstream::number(&upstream);
                self.send(me, Host::Server(u), Happening::Ask(i, u, call, None));
            }
            Action::Order {
                call,
                upstream,
                order,
            } => {
                let u = upstream::number(&upstream);
                self.send(me, Host::Server(u), Happening::Ask(i, u, call, Some(order)));
            }
            Action::SendEvidence { to, evidence } => {
                let j = instance::number(&to);
                let event = Event::Evidence {
                    from: instance::instance(i),
                    zone: zone(i % self.setup.zones),
                    evidence,
                };
                self.send(me, Host::Proxy(j), Happening::Step(j, event));
            }
            Action::Read { call } => self.send(me, Host::Store, Happening::Read(i, call)),
            Action::Swap {
                call,
                expected,
                record,
            } => self.send(me, Host::Store, Happening::Swap(i, call, expected, record)),
            Action::Announce(entry) => self.announce(i, &entry),
            Action::Wake { at } => {
                let life = self.proxies[i].life;
                self.proxies[i].wake = Some(at);
                self.after(at.since(self.now), Happening::Wake(i, at, life));
            }
        }
        if self.proxies[i].dying == Some(self.proxies[i].life) {
            // Dies once the messages of this step have left.
            self.proxies[i].dying = None;
            self.proxies[i].doomed = true;
        }
    }

    fn announce(&mut self, i: usize, entry: &Entry) {
        for j in (0..self.proxies.len()).filter(|j| *j != i) {
            let event = Event::Announced(entry.clone());
            self.send(Host::Proxy(i), Host::Proxy(j), Happening::Step(j, event));
        }
    }

    /// A number for a new write.
    fn number(&mut self) -> u64 {
        self.writes += 1;
        self.writes
    }
}

/// The id under which a write waits at its instance.
pub(crate) fn id(write: u64) -> quorum::Id {
    quorum::Id(write)
}

impl World {
    /// Opens a deployment and lets it run until callers write everywhere.
    pub(crate) fn running(setup: Setup, seed: u64) -> Self {
        let mut world = Self::open(setup, seed);
        world.run(Duration::from_secs(1));
        world
    }

    /// When the first write issued at an instance since a moment was
    /// acknowledged.
    pub(crate) fn landed(&self, i: usize, since: Instant) -> Option<Instant> {
        let later = self.proxies[i]
            .acked
            .iter()
            .filter(|(issued, _)| *issued >= since);
        later.map(|(_, acked)| *acked).min()
    }

    /// How long after a moment writes landed at each of these instances again.
    pub(crate) fn gap(&self, proxies: &[usize], since: Instant) -> Option<Duration> {
        let landed = proxies.iter().map(|&i| self.landed(i, since));
        let landed: Option<Vec<Instant>> = landed.collect();
        Some(landed?.into_iter().max()?.since(since))
    }

    /// When a state was first entered since a moment, and by whom.
    pub(crate) fn entered(&self, state: State, since: Instant) -> Option<(Instant, usize)> {
        let entry = self
            .trace
            .iter()
            .find(|(at, _, s)| *at >= since && *s == state);
        entry.map(|(at, i, _)| (*at, *i))
    }

    /// Checks that nothing acknowledged was lost and no promise was broken.
    pub(crate) fn verify(&mut self) {
        self.check.survived(&self.servers);
        assert_eq!(self.check.violations, []);
    }
}
