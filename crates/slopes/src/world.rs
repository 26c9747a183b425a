//! A fleet in virtual time: passes messages in a seeded queue with delay and loss.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use clock::Instant;
use fleet::{Action, Call, Conf, Event, Fleet, Notice};
use model::name;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Message, Record, Revision};

use crate::{
    Count, Monitor, Setup, Store, count,
    queue::{Item, Queue},
};

/// Connect timeout of an instance.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
const PORT: u16 = 7_000;

/// A hook that changes the actions of an instance, to inject a defect.
pub type Tamper = fn(usize, &mut Vec<Action>);

/// A place at which one instance runs, one process after another.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) zone: usize,
    pub(crate) partition: u8,
    /// Number of processes started at this slot.
    generation: u32,
    fleet: Option<Fleet>,
    /// End of a pause of the process by its machine; timers and answers wait until
    /// then.
    paused_until: Option<Instant>,
    /// The catalogue revision in force, and the time at which it was applied.
    applied: (Revision, Instant),
    count: Count,
}

/// Many instances, the queue of their messages, and the store.
#[derive(Debug)]
pub struct World {
    setup: Setup,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    queue: Queue,
    pub(crate) slots: Vec<Slot>,
    streams: BTreeMap<u64, (usize, u32, Call)>,
    last_stream: u64,
    pub(crate) watches: BTreeMap<(usize, Call), u32>,
    /// The platform's store.
    pub store: Store,
    /// If true, the store fails all calls.
    pub store_down: bool,
    /// Network partition of the store.
    pub store_partition: u8,
    /// Checks the catalogues that instances apply.
    pub monitor: Monitor,
    /// Notices to operators, each with the slot of its instance.
    pub notices: Vec<(usize, Notice)>,
    /// Hook that injects defects into instances.
    pub tamper: Option<Tamper>,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Wall-clock time spent in steps.
    pub step_time: Duration,
    /// Number of steps.
    pub steps: u64,
    counted_since: Instant,
    /// While true, a request for the member table returns all running instances.
    is_warming_up: bool,
}

impl World {
    /// Creates a world without running instances.
    pub fn open(setup: Setup) -> Self {
        let slots = (0..setup.nodes).map(|slot| Slot {
            zone: slot % setup.zones,
            partition: 0,
            generation: 0,
            fleet: None,
            paused_until: None,
            applied: (Revision::NONE, Instant::ZERO),
            count: Count::default(),
        });
        Self {
            setup,
            now: Instant::ZERO,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: Queue::default(),
            slots: slots.collect(),
            streams: BTreeMap::new(),
            last_stream: 0,
            watches: BTreeMap::new(),
            store: Store::default(),
            store_down: false,
            store_partition: 0,
            monitor: Monitor::default(),
            notices: Vec::new(),
            tamper: None,
            loss: setup.loss,
            step_time: Duration::ZERO,
            steps: 0,
            counted_since: Instant::ZERO,
            is_warming_up: false,
        }
    }

    /// Starts all instances with the full member table, and runs for `span` so
    /// that the rumours of the start end.
    pub fn warm_up(&mut self, span: Duration) {
        self.is_warming_up = true;
        for slot in 0..self.slots.len() {
            self.start(slot);
        }
        self.run(Duration::from_secs(3));
        self.is_warming_up = false;
        self.run(span);
    }

    /// Current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Number of slots.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns true if the world has no slot.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The instance that runs at a slot, if any.
    pub fn fleet(&self, slot: usize) -> Option<&Fleet> {
        self.slots[slot].fleet.as_ref()
    }

    /// Zone number of a slot.
    pub fn zone(&self, slot: usize) -> usize {
        self.slots[slot].zone
    }

    /// The catalogue revision in force at a slot, and the time at which it was
    /// applied.
    pub fn applied(&self, slot: usize) -> (Revision, Instant) {
        self.slots[slot].applied
    }

    /// The slots with a running instance.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.slots.len()).filter(|&slot| self.slots[slot].fleet.is_some())
    }

    /// Traffic of an instance since the counts were reset.
    pub fn count(&self, slot: usize) -> Count {
        self.slots[slot].count
    }

    /// Number of open watches at the store.
    pub fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Time of the last reset of the counts.
    pub fn counted_since(&self) -> Instant {
        self.counted_since
    }

    /// Resets the counts of messages, bytes, store calls and steps.
    pub fn reset_counts(&mut self) {
        self.counted_since = self.now;
        for slot in &mut self.slots {
            slot.count = Count::default();
        }
        self.store.calls = 0;
        self.step_time = Duration::ZERO;
        self.steps = 0;
    }

    /// Settings of a process that starts at `slot` now.
    pub fn conf(&self, slot: usize) -> Conf {
        let zone = format!("zone-{}", self.slots[slot].zone);
        let seeds = [1, self.setup.zones, 2 * self.setup.zones + 1];
        Conf {
            name: instance_name(slot),
            zone: name::Zone::new(&zone).expect("a zone's number makes a name"),
            address: address(slot),
            started_ms: 1_790_000_000_000 + self.now.as_micros() / 1_000,
            format: 1,
            relays: Conf::RELAYS,
            seeds: seeds
                .iter()
                .map(|step| address((slot + step) % self.slots.len()))
                .collect(),
            seed: self.setup.seed,
        }
    }

    /// Starts a new process at a slot.
    pub fn start(&mut self, slot: usize) {
        let conf = self.conf(slot);
        self.start_with(slot, conf);
    }

    /// Starts a new process at a slot with the given settings.
    pub fn start_with(&mut self, slot: usize, conf: Conf) {
        let floor = self.lowest_reachable_revision(slot);
        self.monitor.note_start(slot, floor);
        self.slots[slot].generation += 1;
        let (fleet, actions) = Fleet::open(conf, self.now);
        self.slots[slot].fleet = Some(fleet);
        self.slots[slot].applied = (Revision::NONE, self.now);
        self.apply_actions(slot, actions);
    }

    /// Kills the process at a slot, without messages to its peers.
    pub fn kill(&mut self, slot: usize) {
        self.slots[slot].fleet = None;
        self.watches.retain(|&(owner, _), _| owner != slot);
    }

    /// Pauses the process at a slot, as a machine may; timers and answers wait
    /// until the end of the pause, other events are lost.
    pub fn pause(&mut self, slot: usize, span: Duration) {
        self.slots[slot].paused_until = Some(self.now + span);
    }

    /// Puts a slot in a network partition; messages pass only within a partition.
    pub fn set_partition(&mut self, slot: usize, partition: u8) {
        self.slots[slot].partition = partition;
    }

    /// Returns true if a slot is in the store's partition.
    pub fn reaches_store(&self, slot: usize) -> bool {
        self.slots[slot].partition == self.store_partition
    }

    /// Delivers an event to the instance at a slot.
    pub fn deliver_event(&mut self, slot: usize, event: Event) {
        self.step(slot, event);
    }

    /// Processes all items that arrive within `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, item)) = self.queue.pop(end) {
            self.now = at;
            self.dispatch(item);
        }
        self.now = end;
    }

    /// Runs until `done`, which is checked every 5 ms, or until `timeout`; returns
    /// the time that passed, or `None` after a timeout.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < timeout {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(5));
        }
        done(self).then(|| self.now.since(start))
    }

    fn dispatch(&mut self, item: Item) {
        match item {
            Item::Wake(slot, generation) => {
                if self.is_running(slot, generation) {
                    self.step(slot, Event::Wake);
                }
            }
            Item::Datagram(from, to, message) => self.deliver(from, to, message),
            Item::Ask(from, generation, call, to, message) => {
                self.deliver_request(from, generation, call, to, message);
            }
            Item::Answer(slot, generation, call, messages) => {
                for message in messages {
                    if self.is_running(slot, generation) {
                        let bytes = count::stream(&message);
                        self.slots[slot].count.add_received(bytes);
                        self.step(slot, Event::Answer { call, message });
                    }
                }
            }
            Item::Failed(slot, generation, call) => {
                if self.is_running(slot, generation) {
                    self.step(slot, Event::Failed(call));
                }
            }
            Item::Call(slot, generation, call, request) => {
                self.serve_store(slot, generation, call, request);
            }
            Item::Store(slot, generation, call, answer) => {
                if self.is_running(slot, generation) {
                    self.step(slot, Event::Store { call, answer });
                }
            }
        }
    }

    fn is_running(&self, slot: usize, generation: u32) -> bool {
        self.slots[slot].fleet.is_some() && self.slots[slot].generation == generation
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.slots[to].fleet.is_none() || !self.is_connected(from, to) {
            return;
        }
        self.slots[to].count.add_received(count::datagram(&message));
        let event = Event::Message {
            from: wire::Node::of(&instance_name(from)),
            address: address(from),
            message,
        };
        self.step(to, event);
    }

    fn deliver_request(
        &mut self,
        from: usize,
        generation: u32,
        call: Call,
        to: usize,
        ask: Message,
    ) {
        if self.slots[to].fleet.is_none() || !self.is_connected(from, to) {
            let at = self.now + Duration::from_micros(CONNECT_TIMEOUT_US);
            self.queue_at(at, Item::Failed(from, generation, call));
            return;
        }
        self.slots[to].count.add_received(count::request(&ask));
        if self.is_warming_up && matches!(ask, Message::Members { .. }) {
            let table = Message::Table(self.records());
            let item = Item::Answer(from, generation, call, vec![table]);
            self.queue_at(self.now + Duration::from_millis(1), item);
            return;
        }
        self.last_stream += 1;
        let stream = self.last_stream;
        self.streams.insert(stream, (from, generation, call));
        let message = ask;
        self.step(to, Event::Asked { stream, message });
    }

    fn records(&self) -> Vec<Record> {
        let fleets = self.slots.iter().filter_map(|slot| slot.fleet.as_ref());
        let own = fleets.filter_map(|fleet| fleet.table().find(fleet.node()));
        own.map(|member| member.record.clone()).collect()
    }

    fn step(&mut self, slot: usize, event: Event) {
        if let Some(until) = self.slots[slot].paused_until {
            if self.now < until {
                self.postpone(slot, until, event);
                return;
            }
            self.slots[slot].paused_until = None;
        }
        let Some(fleet) = self.slots[slot].fleet.as_mut() else {
            return;
        };
        let start = std::time::Instant::now();
        let actions = fleet.step(self.now, event);
        self.step_time += start.elapsed();
        self.steps += 1;
        self.apply_actions(slot, actions);
    }

    fn postpone(&mut self, slot: usize, until: Instant, event: Event) {
        let generation = self.slots[slot].generation;
        let item = match event {
            Event::Wake => Item::Wake(slot, generation),
            Event::Store { call, answer } => Item::Store(slot, generation, call, answer),
            Event::Answer { call, message } => Item::Answer(slot, generation, call, vec![message]),
            // The socket buffer of a paused process overflows, and peers time out.
            _ => return,
        };
        self.queue_at(until, item);
    }

    fn apply_actions(&mut self, slot: usize, mut actions: Vec<Action>) {
        if let Some(tamper) = self.tamper {
            tamper(slot, &mut actions);
        }
        for action in actions {
            self.monitor.note_action(slot, &action);
            self.apply_action(slot, action);
        }
    }

    fn apply_action(&mut self, slot: usize, action: Action) {
        let generation = self.slots[slot].generation;
        match action {
            Action::Send { to, message } => self.send(slot, to, message),
            Action::Ask { call, to, message } => {
                let to = slot_at(to);
                self.slots[slot].count.add_sent(count::request(&message));
                let delay = self.delay(slot, to) * 2 + self.retransmit_delay();
                let item = Item::Ask(slot, generation, call, to, message);
                self.queue_in(delay, item);
            }
            Action::Reply { stream, messages } => self.reply(slot, stream, messages),
            Action::Store(store) => {
                let item = Item::Call(slot, generation, store.call, store.request);
                let delay = self.store_delay(slot);
                self.queue_in(delay, item);
            }
            Action::Catalog { revision, .. } => {
                self.slots[slot].applied = (revision, self.now);
            }
            Action::Notice(notice) => self.notices.push((slot, notice)),
            Action::Wake(at) => self.queue_at(at, Item::Wake(slot, generation)),
            Action::Primary(_) | Action::Member(_) | Action::Zone { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = slot_at(to);
        self.slots[from].count.add_sent(count::datagram(&message));
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.delay(from, to);
        self.queue_in(delay, Item::Datagram(from, to, message));
    }

    fn reply(&mut self, from: usize, stream: u64, messages: Vec<Message>) {
        let Some((to, generation, call)) = self.streams.remove(&stream) else {
            return;
        };
        for message in &messages {
            self.slots[from].count.add_sent(count::stream(message));
        }
        let delay = self.delay(from, to) + self.retransmit_delay();
        self.queue_in(delay, Item::Answer(to, generation, call, messages));
    }

    fn lowest_reachable_revision(&self, slot: usize) -> Revision {
        let peers = self.running().filter(|&peer| {
            peer != slot && self.is_connected(slot, peer) && self.slots[peer].paused_until.is_none()
        });
        peers
            .map(|peer| self.slots[peer].applied.0)
            .min()
            .unwrap_or(Revision::NONE)
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        self.slots[a].partition == self.slots[b].partition
    }

    pub(crate) fn queue_in(&mut self, micros: u64, item: Item) {
        self.queue_at(self.now + Duration::from_micros(micros), item);
    }

    fn queue_at(&mut self, at: Instant, item: Item) {
        self.queue.push(at.max(self.now), item);
    }
}

/// Name of the instance at a slot.
fn instance_name(slot: usize) -> name::Instance {
    name::Instance::new(&format!("instance-{slot}")).expect("a slot's number makes a name")
}

fn address(slot: usize) -> SocketAddr {
    let bytes = (slot as u32).to_be_bytes();
    SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], PORT))
}

fn slot_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, a, b, c] = address.ip().octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}
