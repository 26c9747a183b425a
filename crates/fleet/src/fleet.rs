//! State machine of one instance's membership and mirror.

use std::net::SocketAddr;

use clock::{Instant, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{Mark, Message, Node, Record, State, Update, View};

use crate::{
    Action, Call, Conf, Event, Member, Mirror, Notice, Table,
    activation::Activation,
    event::Store,
    gossip::{Detail, Gossip},
    list::List,
    probe::{self, Probes},
    pull::{self, Pulls},
    push::{self, Push},
    rank,
    relay::{self, Relay},
};

/// Time that a new or resumed instance listens to peers before it accepts
/// answers of the store: a store restored from a backup may be older than the
/// peers' mirrors.
const DISCOVERY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Time without a step after which an instance counts as paused. All its timers
/// are then due at once, and peers that answered during the pause would look
/// silent.
const PAUSE_MIN: std::time::Duration = std::time::Duration::from_secs(5);

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Due {
    /// The next heartbeat.
    Heartbeat,
    /// Timeout of a probe.
    Probe(u32),
    /// The next push round.
    Push,
    /// Timeout of a pull.
    Pull(Call),
    /// Check of the store, or timeout of a call; contains the timer's
    /// generation.
    Relay(u64),
    /// End of the discovery period.
    Discovery,
    /// The next batch of a survey.
    Survey,
}

/// Progress of collecting peers' state after a start or a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    Waiting,
    Done,
}

/// Membership and mirror of one instance.
///
/// ```
/// use clock::Instant;
/// use fleet::{Conf, Event, Fleet};
/// use model::name;
///
/// let conf = Conf {
///     name: name::Instance::new("nl-1").unwrap(),
///     zone: name::Zone::new("nl-west-a").unwrap(),
///     address: "127.0.0.1:7000".parse().unwrap(),
///     started_ms: 1_790_000_000_000,
///     format: 1,
///     relays: Conf::RELAYS,
///     seeds: vec![],
///     seed: 7,
/// };
/// let (mut fleet, actions) = Fleet::open(conf, Instant::ZERO);
/// assert!(!actions.is_empty());
/// fleet.step(Instant::from_millis(900), Event::Wake);
/// assert!(fleet.applied() == wire::Revision::NONE);
/// ```
#[derive(Debug)]
pub struct Fleet {
    pub(crate) conf: Conf,
    pub(crate) node: Node,
    pub(crate) incarnation: u64,
    pub(crate) state: State,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) timer: Timer<Due>,
    pub(crate) table: Table,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) mirror: Mirror,
    pub(crate) activation: Activation,
    pub(crate) push: Push,
    pub(crate) pulls: Pulls,
    pub(crate) relay: Relay,
    pub(crate) list: List,
    pub(crate) discovery: Discovery,
    pub(crate) last_step: Instant,
    calls: u64,
    wake: Option<Instant>,
    pub(crate) out: Vec<Action>,
}

impl Fleet {
    /// Creates the state of an instance, and returns the first actions with it.
    pub fn open(conf: Conf, now: Instant) -> (Self, Vec<Action>) {
        let node = Node::of(&conf.name);
        let mut fleet = Self {
            node,
            incarnation: conf.incarnation(),
            state: State::Alive,
            rng: ChaCha8Rng::seed_from_u64(conf.seed ^ node.number()),
            timer: Timer::default(),
            table: Table::default(),
            gossip: Gossip::default(),
            probes: Probes::default(),
            mirror: Mirror::default(),
            activation: Activation::default(),
            push: Push::open(),
            pulls: Pulls::open(now),
            relay: Relay::default(),
            list: List::default(),
            discovery: Discovery::Waiting,
            last_step: now,
            calls: 0,
            wake: None,
            out: Vec::new(),
            conf,
        };
        fleet.publish_record(now);
        fleet
            .timer
            .subscribe(now + DISCOVERY_TIMEOUT, Due::Discovery);
        fleet.schedule_first_heartbeat(now);
        fleet.ping_seeds();
        let actions = fleet.finish(now);
        (fleet, actions)
    }

    /// Processes an event at `now` and returns the actions to take.
    ///
    /// Time must not go back. Timers that are due are handled before the event.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        self.last_step = now;
        for due in self.timer.expired(now) {
            self.on_due(now, due);
        }
        self.on_event(now, event);
        self.finish(now)
    }

    /// Identifier of this instance.
    pub fn node(&self) -> Node {
        self.node
    }

    /// The members, this instance included.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The mirrored keys.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The revision of the catalogue in force.
    pub fn applied(&self) -> wire::Revision {
        self.activation.applied()
    }

    /// Available members by descending rendezvous weight for `key`.
    pub fn rank(&self, key: &str) -> Vec<&Member> {
        rank(key, self.table.members())
    }

    /// Relays of `zone`, as seen from this instance.
    pub fn relays(&self, zone: &model::name::Zone) -> Vec<&Member> {
        let mut ranked = rank(relay::KEY, self.table.zone(zone));
        ranked.truncate(self.conf.relays);
        ranked
    }

    fn on_due(&mut self, now: Instant, due: Due) {
        match due {
            Due::Heartbeat => self.on_heartbeat_due(now),
            Due::Probe(probe) => self.on_probe_timeout(now, probe),
            Due::Push => self.on_push_due(now),
            Due::Pull(call) => self.on_pull_failed(now, call),
            Due::Relay(timer_generation) => self.on_relay_due(now, timer_generation),
            Due::Discovery => self.finish_discovery(now),
            Due::Survey => self.on_survey_due(now),
        }
    }

    fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Wake => {}
            Event::Message {
                from,
                address,
                message,
            } => self.on_message(now, from, address, message),
            Event::Answer { call, message } => self.on_answer(now, call, message),
            Event::Failed(call) => self.on_pull_failed(now, call),
            Event::Asked { stream, message } => self.on_asked(now, stream, message),
            Event::Store { call, answer } => self.on_store(now, call, answer),
            Event::Instances(listings) => self.on_list(now, &listings),
            Event::Refused(revision) => {
                let action = self.activation.refuse(revision);
                self.out.extend(action);
            }
            Event::Survey => self.start_survey(now),
            Event::Leave => self.leave(now),
            Event::Stop => self.stop(now),
        }
    }

    pub(crate) fn record(&self) -> Record {
        Record {
            name: self.conf.name.clone(),
            zone: self.conf.zone.clone(),
            address: self.conf.address,
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    pub(crate) fn publish_record(&mut self, now: Instant) {
        let record = self.record();
        self.table.merge_record(now, &record);
        self.gossip.enqueue(self.node, Detail::Record);
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        if self.state >= State::Leaving {
            return;
        }
        self.state = State::Leaving;
        self.publish_record(now);
        self.start_push(now);
    }

    /// Announces the stop to peers, so that they need not detect missed
    /// heartbeats.
    fn stop(&mut self, now: Instant) {
        self.state = State::Gone;
        let record = self.record();
        self.table.merge_record(now, &record);
        let mark = Mark {
            node: self.node,
            incarnation: self.incarnation,
            state: State::Gone,
        };
        let view = self.view();
        for to in self.push_targets(push::GOODBYE_FANOUT) {
            let message = Message::Rumour {
                view,
                delta: None,
                updates: vec![Update::Mark(mark)],
            };
            self.send(to, message);
        }
        self.stop_relay();
        self.timer = Timer::default();
    }

    pub(crate) fn view(&self) -> View {
        let applied = self.activation.applied();
        let held = self.activation.held().is_some();
        View {
            revision: self.mirror.revision(),
            digest: self.mirror.digest(),
            applied: held.then_some(applied),
            members: self.table.digest(),
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    pub(crate) fn notice(&mut self, notice: Notice) {
        self.out.push(Action::Notice(notice));
    }

    pub(crate) fn call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    pub(crate) fn ask_store(&mut self, request: crate::Request) -> Call {
        let call = self.call();
        self.out.push(Action::Store(Store { call, request }));
        call
    }

    fn detect_pause(&mut self, now: Instant) {
        let pause = now.since(self.last_step);
        if pause < PAUSE_MIN {
            return;
        }
        // Milliseconds of a pause fit in 64 bits.
        self.notice(Notice::Paused(pause.as_millis() as u64));
        self.timer = Timer::default();
        self.probes = Probes::default();
        self.pulls = Pulls::open(now);
        self.push = Push::open();
        self.stop_relay();
        self.discovery = Discovery::Waiting;
        self.timer
            .subscribe(now + DISCOVERY_TIMEOUT, Due::Discovery);
        self.timer.subscribe(now, Due::Heartbeat);
    }

    /// Accepts answers of the store from now on, and puts the mirrored
    /// catalogue in force.
    pub(crate) fn finish_discovery(&mut self, now: Instant) {
        if self.discovery == Discovery::Done {
            return;
        }
        self.discovery = Discovery::Done;
        self.apply_catalog();
        self.update_relay(now);
    }

    /// Puts the mirrored catalogue in force if it is complete and its format is
    /// supported.
    pub(crate) fn apply_catalog(&mut self) {
        if self.discovery == Discovery::Waiting {
            return;
        }
        let action = self.activation.evaluate(&self.mirror, self.conf.format);
        self.out.extend(action);
    }

    fn finish(&mut self, now: Instant) -> Vec<Action> {
        let next = self.timer.next();
        let due = self.wake.is_none_or(|wake| wake <= now);
        if let Some(at) = next
            && (due || self.wake != next)
        {
            self.wake = next;
            self.out.push(Action::Wake(at));
        }
        std::mem::take(&mut self.out)
    }

    /// Estimated memory of this instance's control state, in bytes.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.table.state_bytes()
            + self.mirror.state_bytes()
            + self.gossip.state_bytes()
            + self.probes.state_bytes()
            + self.pulls.state_bytes()
    }
}

const _: () = assert!(probe::HEARTBEAT_INTERVAL.as_millis() < PAUSE_MIN.as_millis());
const _: () = assert!(pull::TIMEOUT.as_millis() < PAUSE_MIN.as_millis());
