//! Communication between instances.
//!
//! Every instance sends short heartbeats by UDP: frequent ones to the peers that depend on its
//! state, infrequent ones to all others. Over TCP, an instance that can't reach the store reads
//! it through a peer, instances that aren't readers follow a relay, and sessions are forwarded.

mod encoder;
pub(crate) mod frame;
pub mod heartbeat;
mod loads;
mod membership;
mod peer;
mod table;
mod zones;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use admit::relays::FREQUENT_INTERVAL;
use clock::{Boot, Instant};
use lead::Verdict;
use rand::seq::IndexedRandom;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    control,
    edge::{Change, Edge, Fault, Item, Items, Store},
    leaves,
    node::Node,
    presence, probe, proofs, relay, session,
    session_state::SessionState,
    shares,
    work::Kind,
};

use encoder::Encoder;
use frame::{Held, IO_TIMEOUT, Request, Response, call, connect, receive, send};
use heartbeat::{
    DELTA_FORMAT, Datagram, Extension, Heartbeat, LoadReport, Observation, RELAY_FORMAT,
    ReplyRequest, StoreContact,
};
pub(crate) use loads::GroupLoads;
pub(crate) use membership::Changes;
use membership::Roles;
pub use peer::Relay;
use peer::{Outgoing, Peer, Role, Urgency};
pub use table::{Audience, LOST_HEARTBEATS, Peers};

/// Minimum pause between two rounds of heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which an instance without known peers contacts its seeds.
const SEED_INTERVAL: Duration = Duration::from_millis(30);

/// Timeout of a read from the store on behalf of a peer.
const STORE_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a peer's request for the catalogue waits for other transfers: less than the time
/// for which the peer waits for the answer.
const CATALOG_WAIT: Duration = Duration::from_millis(300);

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Time after its last use for which an instance still sends frequent heartbeats: longer than
/// the pauses between the requests of a few callers.
const SERVING_MEMORY: Duration = Duration::from_secs(3);

/// Sends and receives heartbeats until the process ends.
pub async fn run_heartbeats<E: Edge>(node: Rc<Node<E>>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let receiver = Rc::clone(&socket);
    let receiving = Rc::clone(&node);
    spawn_local(async move {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, _)) = receiver.recv_from(&mut buf).await else {
                sleep(MIN_HEARTBEAT_INTERVAL).await;
                continue;
            };
            match heartbeat::decode(&buf[..size]) {
                Some(Datagram::Heartbeat(heard, extension, report)) => {
                    let outgoing = receive_heartbeat(&receiving, heard, extension, report);
                    if !outgoing.is_empty() {
                        let mut encoder = Encoder::new(&receiving);
                        for message in outgoing {
                            encoder.send(&receiving, &receiver, message);
                        }
                    }
                }
                Some(Datagram::Message(message)) => proofs::handle_message(&receiving, message),
                None => {}
            }
        }
    });
    *node.proofs.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut last_served = Instant::ZERO;
    loop {
        let changes = node.peers.take_changes();
        node.work.add(
            Kind::ChangedInstance,
            changes.joined.len() + changes.silent.len(),
        );
        presence::log_changes(changes);
        presence::log_lost_callers(&node.lost_callers);
        let now = Boot.now();
        if !node.is_idle() {
            last_served = now;
        }
        node.peers.role.set(Role {
            serves: last_served + SERVING_MEMORY > now,
            is_relay: relay::is_relay(&node),
        });
        let urgent = node.peers.urgent.replace(Urgency::Scheduled);
        let mut encoder = Encoder::new(&node);
        for message in node.peers.due(urgent) {
            encoder.send(&node, &socket, message);
        }
        sleep(MIN_HEARTBEAT_INTERVAL).await;
        let pause = match node.peers.is_new() {
            true => SEED_INTERVAL,
            false => FREQUENT_INTERVAL - MIN_HEARTBEAT_INTERVAL,
        };
        let _ = timeout(pause, node.peers.wake.notified()).await;
    }
}

/// Applies a heartbeat. Returns the datagrams to send at once: a reply if the sender requests
/// one or wasn't known, and greetings to the instances that the heartbeat introduces.
///
/// The reply can't wait for the next round: a sender that has just started would take itself
/// for the only instance, and serve callers itself.
fn receive_heartbeat<E: Edge>(
    node: &Rc<Node<E>>,
    heartbeat: Heartbeat,
    extension: Option<Extension>,
    report: Option<LoadReport>,
) -> Vec<Outgoing> {
    if heartbeat.name == node.settings.name {
        return Vec::new();
    }
    node.work.add(Kind::HeardHeartbeat, 1);
    check_reported_failures(node, &heartbeat.observations);
    let now = Boot.now();
    for id in &heartbeat.locked_out {
        if let Some(member) = node.member(id) {
            member.pool.release_idle(now);
        }
    }
    if heartbeat.leaving {
        node.peers.remove(&heartbeat.name);
        node.peers.mark_leaving(heartbeat.address, now);
        return Vec::new();
    }
    let mut table = node.peers.table.borrow_mut();
    let now_unstalled = node.peers.unstalled_now();
    let new = || Peer::new(heartbeat.address, now_unstalled);
    let peer = table.entry(heartbeat.name.clone()).or_insert_with(new);
    let is_known =
        peer.was_heard(now_unstalled, LOST_HEARTBEATS) && peer.address == heartbeat.address;
    let asked = extension
        .as_ref()
        .map_or(ReplyRequest::None, |extension| extension.reply_request);
    let reply_request = match is_known {
        true => asked,
        false => asked.max(ReplyRequest::Answer),
    };
    let store = extension
        .as_ref()
        .map_or(peer.store, |extension| extension.store);
    let is_same = is_known
        && peer.zone == heartbeat.zone
        && peer.weight == heartbeat.weight
        && peer.service == heartbeat.service
        && peer.store == store;
    if !is_same {
        node.peers.membership.mark_stale();
    }
    if peer.zone != heartbeat.zone {
        node.peers.membership.remove(&heartbeat.name, peer);
        peer.roles = Roles::default();
    }
    peer.zone = heartbeat.zone;
    peer.weight = heartbeat.weight;
    peer.service = heartbeat.service;
    peer.address = heartbeat.address;
    peer.heard = Some(now_unstalled);
    peer.observations = heartbeat.observations;
    peer.record_report(report, now_unstalled);
    peer.version = heartbeat.version;
    let mut introduced = Vec::new();
    peer.unreachable_zones = Vec::new();
    (peer.next, peer.format) = (FREQUENT_INTERVAL, 0);
    if let Some(extension) = extension {
        (peer.next, peer.format) = (extension.next, extension.format);
        if extension.store == StoreContact::Reachable && peer.store == StoreContact::Unreachable {
            node.renewal_failures.set(0);
            node.proof_wanted.notify_one();
        }
        (peer.store, peer.is_relay) = (extension.store, extension.is_relay);
        (peer.unreachable_zones, introduced) = (extension.unreachable_zones, extension.introduced);
    }
    drop(table);
    let mut catalog_lag = node.peers.catalog_lag.get();
    let overdue = catalog_lag.observe(heartbeat.version, node.catalog().version, now);
    node.peers.catalog_lag.set(catalog_lag);
    let is_newer = heartbeat.version > node.catalog().version;
    let is_relay = node.peers.role.get().is_relay && node.instances_listed_at.get().is_some();
    let is_wanted = (overdue || is_newer && is_relay) && !relay::is_catalog_coming(node);
    if is_wanted && !node.peers.fetching.replace(true) {
        let node = Rc::clone(node);
        let address = heartbeat.address;
        spawn_local(async move {
            fetch_catalog(&node, address).await;
            node.peers.fetching.set(false);
        });
    }
    let new = node.peers.greet(introduced).into_iter();
    let greet = |address| Outgoing::greeting(address, ReplyRequest::Answer);
    let mut outgoing: Vec<_> = new.map(greet).collect();
    if reply_request != ReplyRequest::None {
        outgoing.extend(node.peers.reply(&heartbeat.name, reply_request));
    }
    outgoing
}

/// Probes a primary that a peer reports as failing, so that the report is verified.
///
/// Only a few instances do so: if all instances connected at once, a primary that was merely
/// busy would have no slot left for statements, and would fail for everyone.
fn check_reported_failures<E: Edge>(node: &Rc<Node<E>>, observations: &[Observation]) {
    for observation in observations
        .iter()
        .filter(|observation| observation.verdict == Verdict::Failing)
    {
        let service: Rc<str> = observation.service.as_str().into();
        let group = node.group_of(&service);
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        let is_quiet = primary.health().answered + FREQUENT_INTERVAL / 2 < Boot.now();
        if term == observation.term && is_quiet && node.is_judge(&group) {
            probe::monitor(node, &group, &primary);
        }
    }
}

/// Sends a peer what brings the catalogue that it holds up to date, or nothing if too many transfers
/// are waiting.
async fn send_catalog<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    held: Held,
) -> io::Result<()> {
    let (content, size) = relay::update(node, &held);
    let Ok(slot) = timeout(
        CATALOG_WAIT,
        node.catalog_sends.acquire(content, size, held.recipient),
    )
    .await
    else {
        return send(&mut stream, &Response::CompressedCatalog(None)).await;
    };
    let transfer = async {
        let deltas = node.deltas.borrow_mut().since(held.hash);
        let response = match deltas {
            Some(deltas) => Response::CatalogDeltas(deltas),
            None => Response::CompressedCatalog(node.packed()),
        };
        send(&mut stream, &response).await?;
        // The peer closes the connection when it has the catalogue.
        stream.read(&mut [0]).await.map(drop)
    };
    slot.hold(transfer).await
}

/// Fetches the catalogue from the peer at `address`.
async fn fetch_catalog<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) {
    let fetches = &node.peers.fetches;
    fetches.set(fetches.get() + 1);
    let request = match node.peers.format(address) {
        DELTA_FORMAT.. => Request::CatalogFrom(relay::held(node)),
        RELAY_FORMAT => Request::CompressedCatalog,
        _ => Request::Catalog,
    };
    let item = match call(address, &request).await {
        Ok(Response::Catalog(item)) => item,
        Ok(Response::CompressedCatalog(compressed)) => {
            compressed.and_then(|compressed| compressed.decompress().ok())
        }
        Ok(Response::CatalogDeltas(deltas)) => relay::apply_deltas(node, deltas).unwrap_or(None),
        _ => None,
    };
    if let Some(item) = item {
        control::apply_change(node, Change::Put(item));
    }
}

/// Reads the store through a peer.
///
/// # Errors
///
/// No peer that was recently heard could read it.
pub async fn read<E: Edge>(node: &Node<E>, prefix: &str) -> Result<Items, Fault> {
    let mut addresses = node.peers.with_store_contact();
    if addresses.is_empty() {
        addresses = node.peers.heard();
    }
    for _ in 0..2 {
        let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
            return Err(Fault::Unknown);
        };
        addresses.retain(|other| *other != address);
        let request = Request::Read(prefix.to_owned());
        if let Ok(Response::Items(items)) = call(address, &request).await {
            return Ok(items);
        }
    }
    Err(Fault::Unknown)
}

/// Reads the records through the relay at `address`.
///
/// # Errors
///
/// The relay couldn't read the records or can't be reached.
pub(crate) async fn records(address: SocketAddr) -> Result<Items, Fault> {
    match call(address, &Request::Records).await {
        Ok(Response::Items(items)) => Ok(items),
        _ => Err(Fault::Unknown),
    }
}

/// Fetches the table of quota shares from the peer at `address`.
///
/// # Errors
///
/// The peer can't be reached, or runs the previous version.
pub(crate) async fn shares(address: SocketAddr) -> Result<Option<Item>, Fault> {
    match call(address, &Request::Shares).await {
        Ok(Response::Shares(item)) => Ok(item),
        _ => Err(Fault::Unknown),
    }
}

/// Forwards a session to the peer at `address`.
///
/// # Errors
///
/// The peer can't be reached.
pub async fn forward(address: SocketAddr, kept: &SessionState) -> io::Result<TcpStream> {
    let mut stream = connect(address).await?;
    let request = match &kept.account {
        Some(account) => Request::AccountSession(account.to_string(), kept.clone()),
        None => Request::Session(kept.clone()),
    };
    send(&mut stream, &request).await?;
    Ok(stream)
}

/// Answers requests of peers until the process ends.
pub async fn serve<E: Edge>(node: Rc<Node<E>>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(MIN_HEARTBEAT_INTERVAL).await;
            continue;
        };
        let node = Rc::clone(&node);
        spawn_local(async move {
            let _ = answer_request(&node, stream, from).await;
        });
    }
}

async fn answer_request<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    from: SocketAddr,
) -> io::Result<()> {
    let response = match receive(&mut stream, IO_TIMEOUT).await? {
        Request::Session(kept) => {
            let _forwarded = node.peers.count_forwarded(from.ip());
            return session::serve_forwarded(node, stream, kept).await;
        }
        Request::AccountSession(account, kept) => {
            let _forwarded = node.peers.count_forwarded(from.ip());
            let account = Some(account.into());
            return session::serve_forwarded(node, stream, SessionState { account, ..kept }).await;
        }
        Request::Follow(cursor) => {
            return relay::serve_follower(node, stream, cursor, Held::default()).await;
        }
        Request::FollowFrom(cursor, held) => {
            return relay::serve_follower(node, stream, cursor, held).await;
        }
        Request::Read(prefix) => match node.store().read(&prefix, STORE_TIMEOUT).await {
            Ok(items) => Response::Items(items),
            Err(_) => Response::Nothing,
        },
        Request::Records => match proofs::read_records(node).await {
            Ok(items) => Response::Items(items),
            Err(_) => Response::Nothing,
        },
        Request::Shares => Response::Shares(node.mirror.borrow().item(&shares::table_key::<E>())),
        Request::Catalog => Response::Catalog(node.catalog_item()),
        Request::CompressedCatalog => return send_catalog(node, stream, Held::default()).await,
        Request::CatalogFrom(held) => return send_catalog(node, stream, held).await,
        Request::Leaves(upstreams) => {
            let ids = upstreams.iter().map(String::as_str);
            Response::Leaves(leaves::known(node, ids))
        }
    };
    send(&mut stream, &response).await
}
