//! Runs the failover state machines and passes their actions to the other
//! duties.

use std::collections::BTreeMap;

use catalog::layout::Snapshot;
use clock::{Clock, Instant};
use failover::{Action, Event, Group, Member, Status};
use model::{Phase as Change, Record, name};
use ntex::time::sleep;

use super::{Answer, Order, pace};
use crate::{
    duty::{self, Phase, Watch},
    introspect::{Primary, Requests},
    peers::{Command, Update},
    platform::{self, RecordResponse},
    ring,
};

/// Configuration of the control duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// This instance.
    pub(crate) instance: name::Instance,
    /// Availability zone of this instance.
    pub(crate) zone: name::Zone,
    /// Orders to the upstreams' duty.
    pub(crate) orders: ring::Sender<Order>,
    /// Answers of the upstreams' duty.
    pub(crate) answers: ring::Receiver<Answer>,
    /// Requests to the store's duty.
    pub(crate) store_requests: ring::Sender<platform::RecordRequest>,
    /// Answers of the store's duty.
    pub(crate) store_responses: ring::Receiver<RecordResponse>,
    /// Commands to the peers' duty.
    pub(crate) peer_commands: ring::Sender<Command>,
    /// Updates of the peers' duty.
    pub(crate) peer_updates: ring::Receiver<Update>,
    /// Requests of the operators' port.
    pub(crate) inquiries: Requests<Vec<Primary>>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
    /// Seed for the numbers of attempts.
    pub(crate) seed: u64,
}

/// The state of the duty.
struct Control {
    clock: Clock,
    instance: name::Instance,
    zone: name::Zone,
    seed: u64,
    orders: ring::Sender<Order>,
    store_requests: ring::Sender<platform::RecordRequest>,
    peer_commands: ring::Sender<Command>,
    members: BTreeMap<name::Instance, name::Zone>,
    groups: BTreeMap<name::Database, Slot>,
}

/// State machine of one database.
struct Slot {
    group: Group,
    wake: Option<Instant>,
    /// Term of the last primary that was announced to the other duties.
    announced: Option<model::Term>,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(mut conf: Conf) {
    let mut control = Control {
        clock: conf.clock,
        instance: conf.instance,
        zone: conf.zone,
        seed: conf.seed,
        orders: conf.orders,
        store_requests: conf.store_requests,
        peer_commands: conf.peer_commands,
        members: BTreeMap::new(),
        groups: BTreeMap::new(),
    };
    loop {
        let pause = control.pause();
        tokio::select! {
            () = duty::wait_for(&mut conf.watch, Phase::Stop) => return,
            Some(answer) = conf.answers.recv() => control.answer(answer),
            Some(response) = conf.store_responses.recv() => control.store_response(response),
            Some(update) = conf.peer_updates.recv() => control.update(update),
            Some(answer) = conf.inquiries.recv() => drop(answer.send(control.primaries())),
            () = sleep(pause) => control.tick(),
        }
    }
}

impl Control {
    /// State of the databases for operators.
    fn primaries(&self) -> Vec<Primary> {
        let primary = |(database, slot): (&name::Database, &Slot)| {
            let term = slot.group.term().unwrap_or_default();
            let primary = slot.group.primary().filter(|primary| primary.term == term);
            Primary {
                database: database.clone(),
                term,
                upstream: primary.map(|it| it.upstream.clone()),
            }
        };
        self.groups.iter().map(primary).collect()
    }

    /// Time until the next state machine is due.
    fn pause(&self) -> std::time::Duration {
        const MAX_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);
        let next = self.groups.values().filter_map(|slot| slot.wake).min();
        next.map_or(MAX_PAUSE, |at| at.since(self.clock.now()))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let due = self
            .groups
            .iter()
            .filter(|(_, slot)| slot.wake.is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for database in due {
            self.step(&database, Event::Tick);
        }
    }

    fn answer(&mut self, answer: Answer) {
        let Answer {
            database,
            call,
            upstream,
            result,
        } = answer;
        self.step(
            &database,
            Event::Answer {
                call,
                upstream,
                result,
            },
        );
    }

    fn store_response(&mut self, response: RecordResponse) {
        match response {
            RecordResponse::Read {
                database,
                call,
                result,
            } => {
                self.step(&database, Event::Read { call, result });
            }
            RecordResponse::Swapped {
                database,
                call,
                result,
            } => {
                self.step(&database, Event::Swapped { call, result });
            }
        }
    }

    fn update(&mut self, update: Update) {
        match update {
            Update::Members(members) => self.set_members(members),
            Update::Catalog(snapshot) => self.apply_catalog(&snapshot),
            Update::Primary { database, entry } => self.step(&database, Event::Watched(entry)),
            Update::Evidence {
                from,
                zone,
                evidence,
            } => {
                let database = evidence.database.clone();
                self.step(
                    &database,
                    Event::Evidence {
                        from,
                        zone,
                        evidence,
                    },
                );
            }
        }
    }

    fn set_members(&mut self, members: BTreeMap<name::Instance, name::Zone>) {
        self.members = members;
        let databases: Vec<_> = self.groups.keys().cloned().collect();
        for database in databases {
            self.step(&database, Event::Members(self.members.clone()));
        }
    }

    /// Adds, updates and removes state machines to match the catalogue.
    fn apply_catalog(&mut self, snapshot: &Snapshot) {
        let databases = &snapshot.catalog.databases;
        self.groups.retain(|name, _| databases.contains_key(name));
        for (name, database) in databases {
            let upstreams = members(database);
            if self.groups.contains_key(name) {
                self.step(name, Event::Upstreams(upstreams));
                continue;
            }
            let conf = failover::Conf {
                database: name.clone(),
                instance: self.instance.clone(),
                zone: self.zone.clone(),
                upstreams,
                candidates: pace::candidates(self.members.len()),
                seed: self.seed,
                timing: pace::timing(databases.len(), self.members.len()),
            };
            match Group::open(conf, self.clock.now()) {
                Ok(group) => {
                    let slot = Slot {
                        group,
                        wake: None,
                        announced: None,
                    };
                    self.groups.insert(name.clone(), slot);
                    self.step(name, Event::Members(self.members.clone()));
                }
                Err(error) => log::error!(
                    duty = "control", database = name.as_str(); "invalid state chart: {error}"),
            }
        }
    }

    fn step(&mut self, database: &name::Database, event: Event) {
        let now = self.clock.now();
        let Some(slot) = self.groups.get_mut(database) else {
            return;
        };
        let actions = slot.group.step(now, event);
        for action in actions {
            self.perform(database, action);
        }
        self.announce_primary(database);
    }

    fn perform(&mut self, database: &name::Database, action: Action) {
        let database = database.clone();
        match action {
            Action::Probe { call, upstream } => {
                self.order(Order::Probe {
                    database,
                    call,
                    upstream,
                });
            }
            Action::Order {
                call,
                upstream,
                order,
            } => {
                self.order(Order::Execute {
                    database,
                    call,
                    upstream,
                    order,
                });
            }
            Action::Read { call } => self.request(platform::RecordRequest::Read { database, call }),
            Action::Swap {
                call,
                expected,
                record,
            } => {
                self.request(platform::RecordRequest::Swap {
                    database,
                    call,
                    expected,
                    record,
                });
            }
            Action::Announce(entry) => {
                self.order(Order::SetPrimary {
                    database,
                    record: entry.record,
                });
            }
            Action::Wake { at } => {
                if let Some(slot) = self.groups.get_mut(&database) {
                    slot.wake = Some(at);
                }
            }
            // Lost evidence is sent again.
            Action::SendEvidence { to, evidence } => {
                if self
                    .peer_commands
                    .push(Command::SendEvidence { to, evidence })
                    .is_err()
                {
                    ring_full("says");
                }
            }
        }
    }

    /// A probe or an order that finds the ring full is dropped: the state
    /// machine treats it as unanswered and repeats it, as after a lost packet.
    fn order(&mut self, order: Order) {
        if self.orders.push(order).is_err() {
            ring_full("orders");
        }
    }

    fn request(&mut self, request: platform::RecordRequest) {
        if self.store_requests.push(request).is_err() {
            ring_full("store");
        }
    }

    /// Announces the primary to the upstreams' duty, once for each term.
    fn announce_primary(&mut self, database: &name::Database) {
        let Some(slot) = self.groups.get_mut(database) else {
            return;
        };
        let Some(primary) = slot.group.primary() else {
            return;
        };
        if slot.announced == Some(primary.term) {
            return;
        }
        if slot.announced.replace(primary.term).is_some() {
            metrics::counter!("dandelionlink_failovers_total").increment(1);
        }
        log::info!(
            duty = "control", database = database.as_str();
            "{} is the primary of term {}", primary.upstream, primary.term
        );
        let record = Record {
            term: primary.term,
            phase: Change::Led {
                upstream: primary.upstream.clone(),
            },
            fork: primary.fork,
            attempt: 0,
        };
        let order = Order::SetPrimary {
            database: database.clone(),
            record,
        };
        self.order(order);
    }
}

fn ring_full(ring: &'static str) {
    metrics::counter!("dandelionlink_ring_full_total", "ring" => ring).increment(1);
}

/// Upstreams of a database for the failover state machine.
fn members(database: &catalog::Database) -> BTreeMap<name::Upstream, Member> {
    let member = |it: &catalog::Upstream| {
        let status = if it.leaving {
            Status::Leaving
        } else {
            Status::Active
        };
        Member {
            zone: it.zone.clone(),
            status,
        }
    };
    database
        .upstreams
        .iter()
        .map(|(name, it)| (name.clone(), member(it)))
        .collect()
}
