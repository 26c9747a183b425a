//! An instance: the real decisions, and what carries their actions out.

mod duty;
mod work;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use check::{Event, Operation, Request};
use clock::{Instant, Token};
use failover::{
    Action, Conf, Entry, Group, Member, Quorum, Status, event::Event as Decision, quorum::Id,
};
use model::{Phase, Record, Report, Term, name};
use pool::Budget;
use rand::Rng;
use route::Router;
use session::{Round, Session};

use crate::net::Transport;

use super::{
    Fault, Happening, Logic, Step, World,
    caller::Errand,
    numbered, platform,
    upstream::{self, Reply},
};

use work::Work;

/// How often an instance asks each upstream for its position.
const OBSERVE: Duration = Duration::from_millis(50);
/// How long it waits for such an answer before it asks again.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a confirmation round may take.
const ROUND_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a killed instance is gone.
const REPLACED: Duration = Duration::from_secs(3);

/// What reaches an instance.
#[derive(Debug, Clone)]
pub(super) enum Arrival {
    /// Something for the failover.
    Group(Decision),
    /// The store's watch showed the record.
    Watched(Entry),
    /// An upstream's answer to a write.
    Wrote(usize, Request, Reply),
    /// An upstream's answer to a read, with the position asked ahead of it.
    Read(usize, Request, Option<(Report, Option<Operation>)>),
    /// An upstream's position, asked at this moment.
    Polled(usize, Instant, Report),
    /// A caller's request.
    Errand(Errand),
    /// An instance that starts asks who leads.
    WhoLeads(usize),
    /// The time to ask the upstreams for their positions.
    Observe,
    /// A read is to choose anew.
    Again(Request),
    /// A request's deadline.
    Expired(Request),
}

/// One instance of the system.
#[derive(Debug)]
pub struct Instance {
    /// Its availability zone.
    pub zone: usize,
    /// Whether it runs.
    pub up: bool,
    /// How often it was started.
    pub epoch: u32,
    /// Until when it does nothing at all.
    pub paused_until: Instant,
    /// Its failover.
    pub group: Group,
    name: name::Instance,
    quorum: Quorum,
    router: Router,
    round: Round,
    sessions: HashMap<usize, Session>,
    work: BTreeMap<Request, Work>,
    polls: HashMap<usize, Instant>,
    budget: Budget,
    wake: Option<Token>,
}

impl Instance {
    /// Who leads, as the failover knows it.
    fn record(&self) -> Option<Record> {
        let lead = self.group.primary()?;
        Some(Record {
            term: lead.term,
            phase: Phase::Led {
                upstream: lead.upstream.clone(),
            },
            fork: lead.fork,
            attempt: 0,
        })
    }
}

impl World {
    /// Starts an instance that knows nothing but its settings.
    pub(super) fn start(&mut self, instance: usize) {
        let zone = instance % self.site.zones;
        let members = self.members();
        let zone_name = numbered("z", zone, name::Zone::new);
        let name = numbered("i", instance, name::Instance::new);
        let conf = Conf {
            database: self.database.clone(),
            instance: name.clone(),
            zone: zone_name.clone(),
            upstreams: self.upstreams(),
            candidates: failover::CANDIDATES,
            seed: self.rng.random(),
            timing: self.timing.clone(),
        };
        let group = Group::open(conf, self.now).expect("the crate's chart is sound");
        let mut router = Router::new(&zone_name, route::Conf::default());
        router.step(self.now, route::Event::Group(self.route_members()));
        let epoch = self.instances.get(instance).map_or(0, |i| i.epoch);
        let fresh = Instance {
            zone,
            up: true,
            epoch,
            paused_until: Instant::ZERO,
            group,
            name,
            quorum: Quorum::open(self.servers.len(), Term(0), self.names[0].clone()),
            router,
            round: Round::new(ROUND_TIMEOUT),
            sessions: HashMap::new(),
            work: BTreeMap::new(),
            polls: HashMap::new(),
            budget: Budget::default(),
            wake: None,
        };
        if instance < self.instances.len() {
            self.instances[instance] = fresh;
        } else {
            self.instances.push(fresh);
        }
        self.decide(instance, Decision::Members(members));
        let offset = OBSERVE.mul_f64(self.rng.random());
        self.later(instance, offset, Arrival::Observe);
    }

    fn members(&self) -> BTreeMap<name::Instance, name::Zone> {
        let all = 0..self.site.instances;
        let member = |i: usize| {
            let zone = numbered("z", i % self.site.zones, name::Zone::new);
            (numbered("i", i, name::Instance::new), zone)
        };
        all.map(member).collect()
    }

    fn upstreams(&self) -> BTreeMap<name::Upstream, Member> {
        let members = self.names.iter().zip(&self.servers).map(|(name, server)| {
            let member = Member {
                zone: numbered("z", server.zone, name::Zone::new),
                status: Status::Active,
            };
            (name.clone(), member)
        });
        members.collect()
    }

    fn route_members(&self) -> Vec<route::Member> {
        let members = self.names.iter().zip(&self.servers);
        let member = |(name, server): (&name::Upstream, &crate::server::Server)| route::Member {
            upstream: name.clone(),
            zone: numbered("z", server.zone, name::Zone::new),
            slots: self.site.slots,
            state: route::State::Serving,
        };
        members.map(member).collect()
    }

    /// An instance dies; another takes its place a while later.
    pub(super) fn kill(&mut self, instance: usize) {
        let here = &mut self.instances[instance];
        here.up = false;
        here.epoch += 1;
        let gone: Vec<_> = here.work.keys().copied().collect();
        here.work.clear();
        here.sessions.clear();
        let name = here.name.clone();
        self.tell(Event::Crashed { instance: name });
        for request in gone {
            self.hang_up(request);
        }
        self.after(REPLACED, Happening::Start { instance });
    }

    pub(super) fn later(&mut self, instance: usize, span: Duration, arrival: Arrival) {
        let epoch = self.instances[instance].epoch;
        let happening = Happening::AtInstance {
            instance,
            epoch,
            arrival,
        };
        self.after(span, happening);
    }

    pub(super) fn tick(&mut self, instance: usize, epoch: u32) {
        let here = &mut self.instances[instance];
        if here.epoch != epoch || !here.up {
            return;
        }
        here.wake = None;
        if here.paused_until > self.now {
            let at = here.paused_until;
            let tick = Happening::Tick { instance, epoch };
            self.instances[instance].wake = Some(self.timer.subscribe(at, tick));
            return;
        }
        self.decide(instance, Decision::Tick);
    }

    pub(super) fn at_instance(&mut self, instance: usize, epoch: u32, arrival: Arrival) {
        let here = &self.instances[instance];
        if here.epoch != epoch || !here.up {
            return;
        }
        if here.paused_until > self.now {
            let wait = here.paused_until.since(self.now);
            return self.later(instance, wait, arrival);
        }
        match arrival {
            Arrival::Group(decision) => self.decide(instance, decision),
            Arrival::Watched(entry) => self.watched(instance, entry),
            Arrival::Wrote(server, request, reply) => self.wrote(instance, server, request, reply),
            Arrival::Read(server, request, answer) => self.read(instance, server, request, answer),
            Arrival::Polled(server, asked, report) => self.polled(instance, server, asked, report),
            Arrival::Errand(errand) => self.take(instance, errand),
            Arrival::WhoLeads(from) => self.who_leads(instance, from),
            Arrival::Observe => self.observe(instance),
            Arrival::Again(request) => self.choose(instance, request),
            Arrival::Expired(request) => self.expired(instance, request),
        }
    }

    /// The watch of a zone's relay: it tells its zone.
    fn watched(&mut self, instance: usize, entry: Entry) {
        let zone = self.instances[instance].zone;
        for other in 0..self.instances.len() {
            if other != instance && self.instances[other].zone == zone {
                let arrival = Arrival::Group(Decision::Watched(entry.clone()));
                self.pass(instance, other, arrival);
            }
        }
        self.decide(instance, Decision::Watched(entry));
    }

    fn pass(&mut self, from: usize, to: usize, arrival: Arrival) {
        let (here, there) = (self.instance_place(from), self.instance_place(to));
        let epoch = self.instances[to].epoch;
        let happening = Happening::AtInstance {
            instance: to,
            epoch,
            arrival,
        };
        self.send(here, there, Transport::Datagram, happening);
    }

    /// Lets the failover decide, and carries out what it asks for.
    pub(super) fn decide(&mut self, instance: usize, decision: Decision) {
        if self.logic == Logic::Naive {
            return;
        }
        let actions = self.instances[instance].group.step(self.now, decision);
        for action in actions {
            if !self.instances[instance].up {
                return;
            }
            self.carry_out(instance, action);
        }
        self.follow_lead(instance);
    }

    fn carry_out(&mut self, instance: usize, action: Action) {
        let step = self.mark(&action);
        match action {
            Action::Probe { call, upstream } => {
                self.ask_server(instance, &upstream, upstream::Ask::Group(call, None));
            }
            Action::Order {
                call,
                upstream,
                order,
            } => self.ask_server(instance, &upstream, upstream::Ask::Group(call, Some(order))),
            Action::SendEvidence { to, evidence } => self.tell_peer(instance, &to, evidence),
            Action::Read { call } => self.ask_store(instance, call, platform::Ask::Read),
            Action::Swap {
                call,
                expected,
                record,
            } => self.ask_store(instance, call, platform::Ask::Swap(expected, record)),
            Action::Announce(entry) => self.announce(instance, &entry),
            Action::Wake { at } => self.wake(instance, at),
        }
        if let (Some(step), Some((on, pause))) = (step, self.trap)
            && step == on
        {
            self.trap = None;
            self.fault(match pause {
                Some(span) => Fault::Pause(instance, span),
                None => Fault::Kill(instance),
            });
        }
    }

    /// Notes when a change of primary reached its steps.
    fn mark(&mut self, action: &Action) -> Option<Step> {
        let now = self.now;
        match action {
            Action::Swap { record, .. } => {
                let mark = self.milestones.entry(record.term).or_default();
                match record.phase {
                    Phase::Claimed { .. } => {
                        mark.claim_sent.get_or_insert(now);
                        Some(Step::Claim)
                    }
                    Phase::Led { .. } => Some(Step::Record),
                }
            }
            Action::Order { order, .. } => match order {
                failover::Order::Fence { term } => {
                    let mark = self.milestones.entry(*term).or_default();
                    mark.claimed.get_or_insert(now);
                    Some(Step::Fence)
                }
                failover::Order::Promote { term } => {
                    let mark = self.milestones.entry(*term).or_default();
                    mark.ordered.get_or_insert(now);
                    Some(Step::Promote)
                }
                failover::Order::Follow { .. } => None,
            },
            _ => None,
        }
    }

    pub(super) fn ask_server(&mut self, instance: usize, to: &name::Upstream, ask: upstream::Ask) {
        let server = self.index(to);
        let (here, there) = (self.instance_place(instance), self.server_place(server));
        let happening = Happening::AtServer {
            server,
            from: instance,
            ask,
        };
        self.send(here, there, Transport::Stream, happening);
    }

    fn tell_peer(&mut self, from: usize, to: &name::Instance, evidence: failover::Evidence) {
        let Some(to) = self.instances.iter().position(|i| i.name == *to) else {
            return;
        };
        let zone = numbered("z", self.instances[from].zone, name::Zone::new);
        let heard = Decision::Evidence {
            from: self.instances[from].name.clone(),
            zone,
            evidence,
        };
        self.pass(from, to, Arrival::Group(heard));
    }

    fn announce(&mut self, from: usize, entry: &Entry) {
        for to in (0..self.instances.len()).filter(|&to| to != from) {
            let arrival = Arrival::Group(Decision::Announced(entry.clone()));
            self.pass(from, to, arrival);
        }
    }

    fn wake(&mut self, instance: usize, at: Instant) {
        if let Some(token) = self.instances[instance].wake.take() {
            self.timer.cancel(token);
        }
        let epoch = self.instances[instance].epoch;
        let tick = Happening::Tick { instance, epoch };
        let token = self.timer.subscribe(at.max(self.now), tick);
        self.instances[instance].wake = Some(token);
    }

    /// Puts a new primary in force for writes and reads.
    fn follow_lead(&mut self, instance: usize) {
        let here = &mut self.instances[instance];
        let lead = here.group.primary().map_or(Term(0), |lead| lead.term);
        if lead <= here.quorum.term() {
            return;
        }
        let Some(record) = here.record() else {
            return;
        };
        here.router.step(self.now, route::Event::Record(&record));
        let Some(primary) = record.leader().cloned() else {
            return;
        };
        let given_up = here.quorum.replace_primary(record.term, primary);
        for Id(request) in given_up {
            self.replaced(instance, Request(request));
        }
    }
}
