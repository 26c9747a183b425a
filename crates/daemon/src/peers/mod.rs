//! The peers' duty: membership, distribution of the catalogue, and messages
//! between instances.

mod apply;
mod datagram;
mod evidence;
mod forward;
mod stream;
mod view;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, UdpSocket},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use catalog::layout::Snapshot;
use clock::{Clock, Instant};
use failover::{Entry, Evidence};
use fleet::{Action, Event, Fleet, Notice};
use model::name;
use ntex::time::sleep;
use wire::{Endpoint, Message, Node, Ring};

use crate::{
    duty::{self, Phase, Watch},
    forward::{In, Out},
    introspect::{self, Requests},
    platform::{self, PRIMARIES},
    ring,
};

use self::view::Diagnostics;
use apply::AppliedCatalog;
use forward::{Forwards, StopNotice};
use stream::Received;

/// Command of the control duty.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send evidence to another candidate, without acknowledgement.
    SendEvidence {
        /// Recipient.
        to: name::Instance,
        /// Evidence to send.
        evidence: Evidence,
    },
}

/// Update for the control duty.
#[derive(Debug)]
pub(crate) enum Update {
    /// Available instances with their zones.
    Members(BTreeMap<name::Instance, name::Zone>),
    /// Catalogue that is in force now.
    Catalog(Arc<Snapshot>),
    /// Record of a primary in the store.
    Primary {
        /// The database.
        database: name::Database,
        /// The record.
        entry: Entry,
    },
    /// Evidence of another candidate.
    Evidence {
        /// Sender.
        from: name::Instance,
        /// Zone of the sender.
        zone: name::Zone,
        /// Evidence of the sender.
        evidence: Evidence,
    },
}

/// Configuration of the peers' duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Configuration of the fleet state machine.
    pub(crate) fleet: fleet::Conf,
    /// Socket for datagrams.
    pub(crate) socket: UdpSocket,
    /// Listener for streams.
    pub(crate) listener: TcpListener,
    /// Keys that seal frames.
    pub(crate) ring: Ring,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// Commands of the control duty.
    pub(crate) commands: ring::Receiver<Command>,
    /// Updates for the control duty.
    pub(crate) updates: ring::Sender<Update>,
    /// New catalogues for the callers' duty.
    pub(crate) catalogs: ring::Sender<Arc<Snapshot>>,
    /// Messages of the upstreams' duty.
    pub(crate) outs: ring::Receiver<Out>,
    /// Messages to the upstreams' duty.
    pub(crate) ins: ring::Sender<In>,
    /// Calls to the store's duty.
    pub(crate) store_calls: ring::Sender<fleet::Store>,
    /// Answers of the store's duty.
    pub(crate) store_answers: ring::Receiver<platform::FleetAnswer>,
    /// Requests of the operators' port.
    pub(crate) inquiries: Requests<introspect::Fleet>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// The state of the duty.
struct Peers {
    clock: Clock,
    fleet: Fleet,
    endpoint: Endpoint,
    socket: Rc<tokio::net::UdpSocket>,
    streams: stream::Streams,
    forwards: Forwards,
    updates: ring::Shared<Update>,
    catalogs: ring::Shared<Arc<Snapshot>>,
    store_calls: ring::Shared<fleet::Store>,
    catalog: AppliedCatalog,
    wake: Option<Instant>,
    members: BTreeMap<name::Instance, name::Zone>,
    diagnostics: Diagnostics,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(mut conf: Conf) {
    let Ok(socket) = tokio::net::UdpSocket::from_std(conf.socket) else {
        log::error!(duty = "peers"; "can't serve the peers' port");
        return;
    };
    // A newly bound socket refuses to send until the runtime has polled it, so
    // the greetings at the start would be lost.
    if let Err(error) = socket.writable().await {
        log::warn!(duty = "peers"; "the peers' port is not writable: {error}");
    }
    let node = Node::of(&conf.fleet.name);
    let incarnation = conf.fleet.incarnation();
    let address = conf.fleet.address;
    let forwards = Forwards::open(ring::Shared::new(conf.ins));
    let keys = conf.ring.clone();
    let (streams, mut received) =
        stream::Streams::open(conf.listener, node, incarnation, keys, forwards.clone());
    let (fleet, actions) = Fleet::open(conf.fleet, conf.clock.now());
    let mut peers = Peers {
        clock: conf.clock,
        fleet,
        endpoint: Endpoint::open(node, incarnation, address, conf.ring),
        socket: Rc::new(socket),
        streams,
        forwards,
        updates: ring::Shared::new(conf.updates),
        catalogs: ring::Shared::new(conf.catalogs),
        store_calls: ring::Shared::new(conf.store_calls),
        catalog: AppliedCatalog::default(),
        wake: None,
        members: BTreeMap::new(),
        diagnostics: Diagnostics::default(),
    };
    peers.perform(actions).await;
    // An instance that is alone gets no event about members.
    peers.update_members().await;
    let mut buf = vec![0; wire::DATAGRAM_MAX + 1];
    let mut draining = conf.watch.clone();
    let mut leaving = false;
    loop {
        let pause = peers.pause();
        let socket = Rc::clone(&peers.socket);
        tokio::select! {
            () = duty::wait_for(&mut conf.watch, Phase::Stop) => break,
            () = duty::wait_for(&mut draining, Phase::Drain), if !leaving => {
                leaving = true;
                peers.step(Event::Leave).await;
            }
            Ok((len, from)) = socket.recv_from(&mut buf) => peers.datagram(&buf[..len], from).await,
            Some(received) = received.recv() => peers.received(received).await,
            Some(command) = conf.commands.recv() => peers.command(command),
            Some(out) = conf.outs.recv() => peers.out(out).await,
            Some(answer) = conf.store_answers.recv() => {
                let platform::FleetAnswer { call, answer } = answer;
                peers.step(Event::Store { call, answer }).await;
            }
            Some(answer) = conf.inquiries.recv() => drop(answer.send(peers.view())),
            () = sleep(pause) => peers.step(Event::Wake).await,
        }
    }
    peers.step(Event::Stop).await;
}

impl Peers {
    /// Time until the fleet state machine is due.
    fn pause(&self) -> Duration {
        const MAX_PAUSE: Duration = Duration::from_secs(1);
        self.wake.map_or(MAX_PAUSE, |at| at.since(self.clock.now()))
    }

    async fn step(&mut self, event: Event) {
        let actions = self.fleet.step(self.clock.now(), event);
        self.perform(actions).await;
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::Ask { call, to, message } => self.streams.request(call, to, message),
                Action::Reply { stream, messages } => self.streams.reply(stream, messages),
                Action::Store(store) => self.call_store(store),
                Action::Catalog {
                    revision,
                    scope,
                    changes,
                } => {
                    self.apply(revision, scope, &changes).await;
                }
                Action::Primary(change) => self.primary(&change).await,
                Action::Member(_) => changed = true,
                Action::Zone { zone, path } => log_zone_path(&zone, path),
                Action::Notice(notice) => {
                    self.diagnostics.note(&notice);
                    log_notice(&notice);
                }
                Action::Wake(at) => self.wake = Some(at),
            }
        }
        if changed {
            self.update_members().await;
        }
    }

    /// Passes a call to the store's duty. A call that finds the ring full is
    /// dropped: the fleet state machine treats it as unanswered and repeats it.
    fn call_store(&mut self, store: fleet::Store) {
        if self.store_calls.push(store).is_err() {
            metrics::counter!("dandelionlink_ring_full_total", "ring" => "fleet").increment(1);
        }
    }

    async fn apply(
        &mut self,
        revision: wire::Revision,
        scope: fleet::Scope,
        changes: &[wire::Change],
    ) {
        match self.catalog.apply(scope, changes) {
            Ok(snapshot) => {
                let snapshot = Arc::new(snapshot);
                self.diagnostics.applied(self.clock.now());
                metrics::gauge!("dandelionlink_catalog_revision").set(snapshot.revision as f64);
                self.updates
                    .send(Update::Catalog(Arc::clone(&snapshot)))
                    .await;
                self.catalogs.send(snapshot).await;
            }
            Err(error) => {
                log::error!(duty = "peers"; "catalogue {revision} is invalid and not applied: {error}");
                self.diagnostics.refused(revision, error.to_string());
                let actions = self.fleet.step(self.clock.now(), Event::Refused(revision));
                // A refusal only causes notices, never another catalogue.
                Box::pin(self.perform(actions)).await;
            }
        }
    }

    async fn primary(&mut self, change: &wire::Change) {
        let name = change.key.strip_prefix("primary/");
        let database = name.and_then(|it| name::Database::new(it).ok());
        let record = change
            .value
            .as_ref()
            .and_then(|it| serde_json::from_slice(it).ok());
        if let (Some(database), Some(record)) = (database, record) {
            let entry = Entry {
                revision: change.revision,
                record,
            };
            self.updates.send(Update::Primary { database, entry }).await;
        }
    }

    async fn update_members(&mut self) {
        let available = self.fleet.table().members().filter(|it| it.is_available());
        let members: BTreeMap<_, _> = available
            .map(|it| (it.record.name.clone(), it.record.zone.clone()))
            .collect();
        if members != self.members {
            metrics::gauge!("dandelionlink_members").set(members.len() as f64);
            self.members.clone_from(&members);
            self.forwards.ins.send(In::Members(members.clone())).await;
            self.updates.send(Update::Members(members)).await;
        }
    }

    async fn out(&mut self, out: Out) {
        match out {
            Out::Ask { to, seq, command } => {
                let member = self.fleet.table().find(Node::of(&to));
                let address = member.map(|it| it.record.address);
                self.forwards
                    .send_command(&self.streams, &to, address, seq, command)
                    .await;
            }
            Out::Answer {
                conn,
                seq,
                response,
            } => {
                self.forwards.send_answer(conn, seq, &response).await;
            }
            Out::Leaving => self.forwards.notify_stop(StopNotice::Leaving).await,
            Out::Bye => self.forwards.notify_stop(StopNotice::Bye).await,
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::SendEvidence { to, evidence } => {
                let node = Node::of(&to);
                let address = self.fleet.table().find(node).map(|it| it.record.address);
                if let Some(address) = address {
                    let message = Message::Evidence(evidence::to_wire(&evidence));
                    self.send(address, &message);
                }
            }
        }
    }

    async fn received(&mut self, received: Received) {
        let event = match received {
            Received::Answer { call, message } => Event::Answer { call, message },
            Received::Failed { call } => Event::Failed(call),
            Received::Request { stream, message } => Event::Asked { stream, message },
        };
        self.step(event).await;
    }

    async fn evidence(&mut self, from: Node, evidence: &wire::Evidence) {
        let Some(member) = self.fleet.table().find(from) else {
            return;
        };
        let (from, zone) = (member.record.name.clone(), member.record.zone.clone());
        let evidence = evidence::from_wire(evidence);
        self.updates
            .send(Update::Evidence {
                from,
                zone,
                evidence,
            })
            .await;
    }
}

/// Counts and logs a notice for operators.
fn log_notice(notice: &Notice) {
    let kind = match notice {
        Notice::StoreBehind { .. } => "store_behind",
        Notice::StoreDown => "store_down",
        Notice::StoreBack => "store_back",
        Notice::Held(_) => "held",
        Notice::Diverged { .. } => "diverged",
        Notice::BadAnswer { .. } => "bad_answer",
        Notice::ListDistrusted { .. } => "list_distrusted",
        Notice::Paused(_) => "paused",
        Notice::ListedLeaving => "listed_leaving",
    };
    metrics::counter!("dandelionlink_fleet_notices_total", "kind" => kind).increment(1);
    log::warn!(duty = "peers"; "{notice:?}");
}

/// Logs that a zone became unreachable from this instance, or reachable again.
fn log_zone_path(zone: &name::Zone, path: fleet::Path) {
    let kind = "zone";
    metrics::counter!("dandelionlink_fleet_notices_total", "kind" => kind).increment(1);
    log::warn!(duty = "peers", zone = zone.as_str(); "path to zone {zone}: {path:?}");
}

/// Store key of a key that the fleet replicates.
///
/// Keys between instances omit the prefix that all of them share.
pub(crate) fn full_key(key: &str) -> String {
    let root = PRIMARIES.trim_end_matches("primary/");
    format!("{root}{key}")
}

/// Key between instances of a store key; `None` without the common prefix.
pub(crate) fn short_key(key: &str) -> Option<&str> {
    key.strip_prefix(PRIMARIES.trim_end_matches("primary/"))
}

/// Address that peers use for an instance that binds `address`.
pub(crate) fn reachable(address: SocketAddr, bound: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), bound.port())
}
