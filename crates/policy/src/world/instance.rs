//! Simulated instance: runs the real decision logic and carries out its
//! actions.

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
    Fault, Logic, Occurrence, Step, World,
    caller::Submission,
    numbered, platform,
    upstream::{self, Reply},
};

use work::Work;

/// Interval at which an instance asks each upstream for its position.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an unanswered question for the position is repeated.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit of a confirmation round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(50);
/// Time until a killed instance restarts.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Input of an instance.
#[derive(Debug, Clone)]
pub(super) enum Arrival {
    /// Event of the failover group.
    Group(Decision),
    /// Record shown by the store's watch.
    Watched(Entry),
    /// Answer of an upstream to a write.
    Wrote(usize, Request, Reply),
    /// Answer of an upstream to a read, with its report and the operation
    /// found; `None` if the upstream could not be reached.
    Read(usize, Request, Option<(Report, Option<Operation>)>),
    /// Report of an upstream, with the time of the question.
    Polled(usize, Instant, Report),
    /// Request of a caller.
    Submission(Submission),
    /// Question of a restarted instance for the current primary.
    PrimaryQuery(usize),
    /// Timer to ask the upstreams for their positions.
    Observe,
    /// Timer to retry a read.
    Retry(Request),
    /// Deadline of a request.
    Expired(Request),
}

/// Simulated instance.
#[derive(Debug)]
pub struct Instance {
    /// Availability zone of the instance.
    pub zone: usize,
    /// True while the instance runs.
    pub up: bool,
    /// Incarnation, which changes with each crash; older events are ignored.
    pub incarnation: u32,
    /// Time until which the instance does nothing.
    pub paused_until: Instant,
    /// Failover logic of the group.
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
    /// Returns the record of the primary that the failover logic knows.
    fn record(&self) -> Option<Record> {
        let primary = self.group.primary()?;
        Some(Record {
            term: primary.term,
            phase: Phase::Led {
                upstream: primary.upstream.clone(),
            },
            fork: primary.fork,
            attempt: 0,
        })
    }
}

impl World {
    /// Starts an instance that has its settings but no other state.
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
        let group = Group::open(conf, self.now).expect("the built-in chart is valid");
        let mut router = Router::new(&zone_name, route::Conf::default());
        router.step(self.now, route::Event::Group(self.route_members()));
        let incarnation = self.instances.get(instance).map_or(0, |i| i.incarnation);
        let fresh = Instance {
            zone,
            up: true,
            incarnation,
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
        self.step_group(instance, Decision::Members(members));
        let offset = OBSERVE_INTERVAL.mul_f64(self.rng.random());
        self.deliver_after(instance, offset, Arrival::Observe);
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

    /// Kills an instance and schedules its restart.
    pub(super) fn kill(&mut self, instance: usize) {
        let node = &mut self.instances[instance];
        node.up = false;
        node.incarnation += 1;
        let requests: Vec<_> = node.work.keys().copied().collect();
        node.work.clear();
        node.sessions.clear();
        let name = node.name.clone();
        self.record(Event::Crashed { instance: name });
        for request in requests {
            self.drop_connection(request);
        }
        self.schedule_after(RESTART_DELAY, Occurrence::Start { instance });
    }

    pub(super) fn deliver_after(&mut self, instance: usize, span: Duration, arrival: Arrival) {
        let incarnation = self.instances[instance].incarnation;
        let occurrence = Occurrence::AtInstance {
            instance,
            incarnation,
            arrival,
        };
        self.schedule_after(span, occurrence);
    }

    pub(super) fn tick(&mut self, instance: usize, incarnation: u32) {
        let node = &mut self.instances[instance];
        if node.incarnation != incarnation || !node.up {
            return;
        }
        node.wake = None;
        if node.paused_until > self.now {
            let at = node.paused_until;
            let tick = Occurrence::Tick {
                instance,
                incarnation,
            };
            self.instances[instance].wake = Some(self.timer.subscribe(at, tick));
            return;
        }
        self.step_group(instance, Decision::Tick);
    }

    pub(super) fn at_instance(&mut self, instance: usize, incarnation: u32, arrival: Arrival) {
        let node = &self.instances[instance];
        if node.incarnation != incarnation || !node.up {
            return;
        }
        if node.paused_until > self.now {
            let wait = node.paused_until.since(self.now);
            return self.deliver_after(instance, wait, arrival);
        }
        match arrival {
            Arrival::Group(decision) => self.step_group(instance, decision),
            Arrival::Watched(entry) => self.watched(instance, entry),
            Arrival::Wrote(server, request, reply) => {
                self.write_answered(instance, server, request, reply)
            }
            Arrival::Read(server, request, answer) => {
                self.read_answered(instance, server, request, answer)
            }
            Arrival::Polled(server, asked, report) => self.polled(instance, server, asked, report),
            Arrival::Submission(submission) => self.accept(instance, submission),
            Arrival::PrimaryQuery(from) => self.answer_primary_query(instance, from),
            Arrival::Observe => self.observe(instance),
            Arrival::Retry(request) => self.choose(instance, request),
            Arrival::Expired(request) => self.expired(instance, request),
        }
    }

    /// Passes a watch event that the zone's relay received on to the zone.
    fn watched(&mut self, instance: usize, entry: Entry) {
        let zone = self.instances[instance].zone;
        for other in 0..self.instances.len() {
            if other != instance && self.instances[other].zone == zone {
                let arrival = Arrival::Group(Decision::Watched(entry.clone()));
                self.send_to_peer(instance, other, arrival);
            }
        }
        self.step_group(instance, Decision::Watched(entry));
    }

    fn send_to_peer(&mut self, from: usize, to: usize, arrival: Arrival) {
        let (source, target) = (self.instance_place(from), self.instance_place(to));
        let incarnation = self.instances[to].incarnation;
        let occurrence = Occurrence::AtInstance {
            instance: to,
            incarnation,
            arrival,
        };
        self.send(source, target, Transport::Datagram, occurrence);
    }

    /// Applies an event to the failover logic and carries out the resulting
    /// actions.
    pub(super) fn step_group(&mut self, instance: usize, decision: Decision) {
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
        self.adopt_primary(instance);
    }

    fn carry_out(&mut self, instance: usize, action: Action) {
        let step = self.note_step(&action);
        match action {
            Action::Probe { call, upstream } => {
                self.ask_server(instance, &upstream, upstream::Message::Group(call, None));
            }
            Action::Order {
                call,
                upstream,
                order,
            } => self.ask_server(
                instance,
                &upstream,
                upstream::Message::Group(call, Some(order)),
            ),
            Action::SendEvidence { to, evidence } => self.send_evidence(instance, &to, evidence),
            Action::Read { call } => self.ask_store(instance, call, platform::Message::Read),
            Action::Swap {
                call,
                expected,
                record,
            } => self.ask_store(instance, call, platform::Message::Swap(expected, record)),
            Action::Announce(entry) => self.announce(instance, &entry),
            Action::Wake { at } => self.set_timer(instance, at),
        }
        if let (Some(step), Some((on, pause))) = (step, self.step_fault)
            && step == on
        {
            self.step_fault = None;
            self.apply_fault(match pause {
                Some(span) => Fault::Pause(instance, span),
                None => Fault::Kill(instance),
            });
        }
    }

    /// Records the time at which a takeover reached a step.
    fn note_step(&mut self, action: &Action) -> Option<Step> {
        let now = self.now;
        match action {
            Action::Swap { record, .. } => {
                let milestones = self.milestones.entry(record.term).or_default();
                match record.phase {
                    Phase::Claimed { .. } => {
                        milestones.claim_sent.get_or_insert(now);
                        Some(Step::Claim)
                    }
                    Phase::Led { .. } => Some(Step::Record),
                }
            }
            Action::Order { order, .. } => match order {
                failover::Order::Fence { term } => {
                    let milestones = self.milestones.entry(*term).or_default();
                    milestones.claimed.get_or_insert(now);
                    Some(Step::Fence)
                }
                failover::Order::Promote { term } => {
                    let milestones = self.milestones.entry(*term).or_default();
                    milestones.ordered.get_or_insert(now);
                    Some(Step::Promote)
                }
                failover::Order::Follow { .. } => None,
            },
            _ => None,
        }
    }

    pub(super) fn ask_server(
        &mut self,
        instance: usize,
        to: &name::Upstream,
        message: upstream::Message,
    ) {
        let server = self.upstream_index(to);
        let (source, target) = (self.instance_place(instance), self.server_place(server));
        let occurrence = Occurrence::AtServer {
            server,
            from: instance,
            message,
        };
        self.send(source, target, Transport::Stream, occurrence);
    }

    fn send_evidence(&mut self, from: usize, to: &name::Instance, evidence: failover::Evidence) {
        let Some(to) = self.instances.iter().position(|i| i.name == *to) else {
            return;
        };
        let zone = numbered("z", self.instances[from].zone, name::Zone::new);
        let event = Decision::Evidence {
            from: self.instances[from].name.clone(),
            zone,
            evidence,
        };
        self.send_to_peer(from, to, Arrival::Group(event));
    }

    fn announce(&mut self, from: usize, entry: &Entry) {
        for to in (0..self.instances.len()).filter(|&to| to != from) {
            let arrival = Arrival::Group(Decision::Announced(entry.clone()));
            self.send_to_peer(from, to, arrival);
        }
    }

    fn set_timer(&mut self, instance: usize, at: Instant) {
        if let Some(token) = self.instances[instance].wake.take() {
            self.timer.cancel(token);
        }
        let incarnation = self.instances[instance].incarnation;
        let tick = Occurrence::Tick {
            instance,
            incarnation,
        };
        let token = self.timer.subscribe(at.max(self.now), tick);
        self.instances[instance].wake = Some(token);
    }

    /// Switches quorum and router to a new primary.
    fn adopt_primary(&mut self, instance: usize) {
        let node = &mut self.instances[instance];
        let term = node.group.primary().map_or(Term(0), |primary| primary.term);
        if term <= node.quorum.term() {
            return;
        }
        let Some(record) = node.record() else {
            return;
        };
        node.router.step(self.now, route::Event::Record(&record));
        let Some(primary) = record.leader().cloned() else {
            return;
        };
        let unconfirmed = node.quorum.replace_primary(record.term, primary);
        for Id(request) in unconfirmed {
            self.primary_replaced(instance, Request(request));
        }
    }
}
