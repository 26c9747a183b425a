//! Failover state machine of one database at one candidate instance.

mod actions;
mod guards;
mod periodic;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chart::Chart;
use clock::{Instant, Timer};
use model::{Lsn, Phase, Position, Record, Report, Term, name};

use crate::{
    detector::Detector,
    event::{Action, Call, Entry, Event, Fault, Member, Order, View},
    machine::{self, Machine, State},
    peers::{Peers, candidates},
    promotion::Promotion,
    register::{self, Register},
    timing::Timing,
};

/// Delay of a step after its timer from which the process counts as paused and
/// its earlier observations as stale.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);

/// Configuration of a [`Group`].
#[derive(Debug, Clone)]
pub struct Conf {
    /// Database whose primary the group manages.
    pub database: name::Database,
    /// Name of this instance.
    pub instance: name::Instance,
    /// Availability zone of this instance.
    pub zone: name::Zone,
    /// Upstreams of the group.
    pub upstreams: BTreeMap<name::Upstream, Member>,
    /// Number of candidates of the group: [`crate::CANDIDATES`], or fewer in a
    /// fleet with thousands of groups. All instances must use the same number.
    pub candidates: usize,
    /// Seed of attempt ids; must differ between any two starts of any instance.
    pub seed: u64,
    /// Intervals and time-outs.
    pub timing: Timing,
}

/// The known primary of the database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// Term of the primary.
    pub term: Term,
    /// Upstream that is the primary.
    pub upstream: name::Upstream,
    /// Log position at which this term branches off from the previous one.
    pub fork: Lsn,
    /// Time at which this instance learned of the primary.
    pub since: Instant,
}

#[derive(Debug, Clone, Copy)]
enum Alarm {
    Probe,
    Evidence,
    Due,
}

/// An order without an answer yet.
#[derive(Debug)]
struct PendingOrder {
    at: Instant,
    order: Order,
}

/// State machine that detects the failure of a database's primary and replaces
/// it.
///
/// [`Group::step`] takes each event and returns the actions to carry out. At an
/// instance that is not a candidate, the group only tracks the primary.
#[derive(Debug)]
pub struct Group {
    conf: Conf,
    chart: Chart<Machine>,
    state: State,
    timer: Timer<Alarm>,
    due_timer: Option<clock::Token>,
    wake: Option<Instant>,
    detectors: BTreeMap<name::Upstream, Detector>,
    peers: Peers,
    register: Register,
    primary: Option<Primary>,
    primary_changes: VecDeque<Instant>,
    promotion: Option<Promotion>,
    claim_attempt: Option<u128>,
    promoted_term: Option<Term>,
    pending_orders: BTreeMap<name::Upstream, PendingOrder>,
    sent_evidence: (View, Option<Term>),
    contested_since: Option<Instant>,
    unconfirmed: Option<(Position, Instant)>,
    suspected: bool,
    last_step: Instant,
    actions: Vec<Action>,
}

impl Group {
    /// Creates the group. The caller passes [`Event::Members`] next, and
    /// [`Event::Tick`] whenever [`Action::Wake`] asks for it.
    ///
    /// # Errors
    ///
    /// [`chart::Error`] if the built-in chart is invalid, which the tests of
    /// the crate rule out.
    pub fn open(conf: Conf, now: Instant) -> Result<Self, chart::Error> {
        let chart = machine::chart()?;
        let detectors = conf
            .upstreams
            .keys()
            .map(|u| (u.clone(), Detector::open(now)));
        Ok(Self {
            state: chart.initial(),
            chart,
            timer: Timer::default(),
            due_timer: None,
            wake: None,
            detectors: detectors.collect(),
            peers: Peers::default(),
            register: Register::open(conf.instance.clone(), conf.seed),
            primary: None,
            primary_changes: VecDeque::new(),
            promotion: None,
            claim_attempt: None,
            promoted_term: None,
            pending_orders: BTreeMap::new(),
            sent_evidence: (View::Unsure, None),
            contested_since: None,
            unconfirmed: None,
            suspected: false,
            last_step: now,
            actions: Vec::new(),
            conf,
        })
    }

    /// The primary, as far as this instance knows.
    pub fn primary(&self) -> Option<&Primary> {
        self.primary.as_ref()
    }

    /// Latest term known from the store's record; above the term of
    /// [`Group::primary`] while the newer term is only claimed.
    pub fn term(&self) -> Option<Term> {
        let known = self.register.known().map(|entry| entry.record.term);
        let primary = self.primary.as_ref().map(|primary| primary.term);
        known.max(primary)
    }

    /// Current state of the state machine.
    pub fn state(&self) -> State {
        self.state
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        self.handle(now, event);
        for alarm in self.timer.expired(now) {
            self.on_alarm(now, alarm);
        }
        if let Some(action) = self.register.expire(now, &self.conf.timing) {
            self.actions.push(action);
        }
        self.check(now);
        self.last_step = now;
        self.set_wake();
        std::mem::take(&mut self.actions)
    }

    fn detect_pause(&mut self, now: Instant) {
        let expected = self.wake.unwrap_or(now).max(self.last_step);
        if now.since(expected) < PAUSE_THRESHOLD {
            return;
        }
        self.peers.clear();
        for detector in self.detectors.values_mut() {
            detector.reset_silence(now);
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => {}
            Event::Members(members) => self.set_members(now, &members),
            Event::Upstreams(upstreams) => self.set_upstreams(now, upstreams),
            Event::Answer {
                call,
                upstream,
                result,
            } => self.on_answer(now, call, &upstream, result),
            Event::Evidence {
                from,
                zone,
                evidence,
            } => self.peers.receive(now, from, zone, evidence),
            Event::Read { call, result } => {
                let step = self.register.on_read(now, &self.conf.timing, call, result);
                self.on_store_step(now, step);
            }
            Event::Swapped { call, result } => {
                let step = self
                    .register
                    .on_swapped(now, &self.conf.timing, call, result);
                self.on_store_step(now, step);
            }
            Event::Watched(entry) => {
                let outcome = self.register.on_watched(entry);
                self.on_store_step(now, (outcome, None));
            }
            Event::Announced(entry) => self.on_announced(now, &entry),
        }
    }

    fn set_members(&mut self, now: Instant, members: &BTreeMap<name::Instance, name::Zone>) {
        let conf = &self.conf;
        let zones = conf.upstreams.values().map(|m| m.zone.clone()).collect();
        let ranked = candidates(&conf.database, members, &zones, conf.candidates);
        let before = self.peers.contains(&conf.instance);
        self.peers.set(ranked);
        let after = self.peers.contains(&self.conf.instance);
        if after && !before {
            self.timer.subscribe(now, Alarm::Probe);
            self.timer.subscribe(now, Alarm::Evidence);
            if self.state == State::Reading {
                let read = self.register.read(now, &self.conf.timing);
                self.actions.push(read);
            }
        }
    }

    fn set_upstreams(&mut self, now: Instant, upstreams: BTreeMap<name::Upstream, Member>) {
        self.detectors.retain(|u, _| upstreams.contains_key(u));
        for upstream in upstreams.keys() {
            let detector = self.detectors.entry(upstream.clone());
            detector.or_insert_with(|| Detector::open(now));
        }
        self.conf.upstreams = upstreams;
    }

    fn on_answer(
        &mut self,
        now: Instant,
        call: Call,
        upstream: &name::Upstream,
        result: Result<Report, Fault>,
    ) {
        let Some(detector) = self.detectors.get_mut(upstream) else {
            return;
        };
        detector.on_answer(now, &self.conf.timing, call, result);
        if detector.needs_confirmation() {
            self.probe(now, upstream);
        }
        let Some(promotion) = &mut self.promotion else {
            return;
        };
        match result {
            Ok(report) => promotion.on_report(upstream, &report),
            Err(Fault::Fenced(term)) => promotion.on_fenced(term),
            Err(Fault::Refused | Fault::Broken | Fault::Timeout | Fault::Full) => {}
        }
    }

    fn on_store_step(&mut self, now: Instant, step: (Option<register::Outcome>, Option<Action>)) {
        let (outcome, action) = step;
        self.actions.extend(action);
        let Some(outcome) = outcome else {
            return;
        };
        if let Some(entry) = self.register.known().cloned() {
            self.adopt_primary(now, &entry.record);
        }
        let is_swapping = matches!(self.state, State::Claiming | State::Recording);
        let event = match outcome {
            register::Outcome::Won if is_swapping => machine::Event::Won,
            register::Outcome::Absent => machine::Event::Absent,
            _ if !self.register.is_claim() => machine::Event::Led,
            _ if self.is_unrecorded() => machine::Event::Announced,
            _ => machine::Event::Claimed,
        };
        self.dispatch(now, event);
    }

    fn on_announced(&mut self, now: Instant, entry: &Entry) {
        if !self.adopt_primary(now, &entry.record) {
            return;
        }
        let superseded = self
            .register
            .known()
            .is_some_and(|k| k.record.term > entry.record.term);
        if !superseded {
            self.dispatch(now, machine::Event::Announced);
        }
    }

    /// Adopts the primary of a record if its term is higher than the known one.
    fn adopt_primary(&mut self, now: Instant, record: &Record) -> bool {
        let Phase::Led { upstream } = &record.phase else {
            return false;
        };
        if self.primary.as_ref().is_some_and(|l| l.term >= record.term) {
            return false;
        }
        if self.primary.is_some() {
            self.primary_changes.push_back(now);
        }
        if let Some(detector) = self.detectors.get_mut(upstream) {
            detector.reset_silence(now);
        }
        self.contested_since = None;
        self.unconfirmed = None;
        self.primary = Some(Primary {
            term: record.term,
            upstream: upstream.clone(),
            fork: record.fork,
            since: now,
        });
        true
    }

    /// Takes the transition of the chart for an event, if one applies, and runs
    /// its actions.
    fn dispatch(&mut self, now: Instant, event: machine::Event) {
        self.update_suspicion(now);
        let holds = |guard| self.guard_holds(now, guard);
        let Some((target, actions)) = self.chart.next(self.state, event, holds) else {
            return;
        };
        let actions = actions.to_vec();
        self.state = target;
        if let Some(token) = self.due_timer.take() {
            self.timer.cancel(token);
        }
        for action in actions {
            self.run_action(now, action);
        }
    }

    fn check(&mut self, now: Instant) {
        if !self.peers.contains(&self.conf.instance) {
            return;
        }
        let mut before = None;
        while before != Some(self.state) {
            before = Some(self.state);
            self.dispatch(now, machine::Event::Check);
        }
        self.send_changed_evidence(now);
    }

    fn set_wake(&mut self) {
        let times = [self.timer.next(), self.register.deadline()];
        let Some(at) = times.into_iter().flatten().min() else {
            return;
        };
        if self.wake.replace(at) != Some(at) || at <= self.last_step {
            self.actions.push(Action::Wake { at });
        }
    }
}
