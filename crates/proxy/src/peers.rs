//! Other instances: what they say of themselves, and what they pass on.
//!
//! Every instance sends short beats to others by UDP, often to those who wait for them and
//! now and then to all. Over TCP an instance that the store turns away asks another one to
//! read the store for it, and one that is no relay follows one that is.

pub(crate) mod frame;
pub mod heartbeat;
mod membership;
mod peer;
mod table;
mod zones;

use std::{collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use admit::relays::FREQUENT_INTERVAL;
use clock::{Boot, Instant};
use lead::Verdict;
use rand::seq::IndexedRandom;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    control,
    edge::{Change, Edge, Fault, Item, Items, Store},
    node::Node,
    presence, probe, proofs, relay, session,
    session_state::SessionState,
    shares,
    work::Kind,
};

use frame::{QUIET, Request, Response, call, connect, receive, send};
use heartbeat::{Datagram, Extension, FORMAT, Heartbeat, Observation, ReplyRequest, StoreContact};
pub(crate) use membership::Changes;
use membership::Seen;
pub use peer::Relay;
use peer::{Due, Peer, Standing, Urgent};
pub use table::{LOST_HEARTBEATS, Peers};

/// The shortest pause between two beats.
const CALM: Duration = Duration::from_millis(20);

/// How often an instance that knows nobody yet asks its seeds.
const GREET: Duration = Duration::from_millis(30);

/// How long a store's answer may be silent for a peer.
const READ: Duration = Duration::from_millis(350);

/// The longest datagram.
const DATAGRAM: usize = 8 << 10;

/// How long an instance that nobody asks any more goes on telling promptly that it lives:
/// longer than the pauses between what few callers ask.
const SERVED: Duration = Duration::from_secs(3);

/// Sends and takes beats until the process ends.
pub async fn run_heartbeats<E: Edge>(node: Rc<Node<E>>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let receiver = Rc::clone(&socket);
    let receiving = Rc::clone(&node);
    spawn_local(async move {
        let mut buf = vec![0; DATAGRAM];
        loop {
            let Ok((size, _)) = receiver.recv_from(&mut buf).await else {
                sleep(CALM).await;
                continue;
            };
            match heartbeat::decode(&buf[..size]) {
                Some(Datagram::Heartbeat(heard, extension)) => {
                    let dues = take(&receiving, heard, extension);
                    if !dues.is_empty() {
                        let mut beats = Beats::new(&receiving);
                        for due in dues {
                            beats.send(&receiving, &receiver, due);
                        }
                    }
                }
                Some(Datagram::Message(proof)) => proofs::take(&receiving, proof),
                None => {}
            }
        }
    });
    *node.proofs.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut served = Instant::ZERO;
    loop {
        let news = node.peers.take_changes();
        node.work
            .add(Kind::ChangedInstance, news.joined.len() + news.silent.len());
        presence::log_changes(news);
        presence::log_lost_callers(&node.lost_callers);
        let now = Boot.now();
        if !node.is_idle() {
            served = now;
        }
        node.peers.standing.set(Standing {
            serves: served + SERVED > now,
            is_relay: relay::is_relay(&node),
        });
        let urgent = node.peers.urgent.replace(Urgent::Nobody);
        let mut beats = Beats::new(&node);
        for due in node.peers.due(urgent) {
            beats.send(&node, &socket, due);
        }
        sleep(CALM).await;
        let pause = match node.peers.is_new() {
            true => GREET,
            false => FREQUENT_INTERVAL - CALM,
        };
        let _ = timeout(pause, node.peers.called.notified()).await;
    }
}

/// A beat, encoded once for all to whom the same is told.
struct Beats {
    beat: Heartbeat,
    extension: Extension,
    encoded: HashMap<(Duration, ReplyRequest), Vec<u8>>,
}

impl Beats {
    fn new<E: Edge>(node: &Node<E>) -> Self {
        let extension = Extension {
            format: FORMAT,
            next: FREQUENT_INTERVAL,
            store: node.store_contact(),
            is_relay: node.peers.standing.get().is_relay,
            reply_request: ReplyRequest::None,
            unreachable_zones: node.peers.silent(),
            introduced: Vec::new(),
        };
        Self {
            beat: beat(node),
            extension,
            encoded: HashMap::new(),
        }
    }

    fn send<E: Edge>(&mut self, node: &Node<E>, socket: &UdpSocket, due: Due) {
        let kind = match due.next <= FREQUENT_INTERVAL {
            true => Kind::FrequentHeartbeat,
            false => Kind::InfrequentHeartbeat,
        };
        node.work.add(kind, 1);
        let extension = Extension {
            next: due.next,
            reply_request: due.reply_request,
            introduced: due.introduced,
            ..self.extension.clone()
        };
        let beat = &self.beat;
        let encode = || heartbeat::encode(beat, &extension).unwrap_or_default();
        if !extension.introduced.is_empty() {
            let bytes = encode();
            node.work.add(Kind::HeartbeatByte, bytes.len());
            let _ = socket.try_send_to(&bytes, due.address);
            return;
        }
        let bytes = self.encoded.entry((due.next, due.reply_request));
        let bytes = bytes.or_insert_with(encode);
        node.work.add(Kind::HeartbeatByte, bytes.len());
        let _ = socket.try_send_to(bytes, due.address);
    }
}

fn beat<E: Edge>(node: &Node<E>) -> Heartbeat {
    let now = Boot.now();
    let mut observations = Vec::new();
    let mut locked_out = Vec::new();
    for group in node.active() {
        for member in group.members() {
            if member.pool.is_locked_out(now) {
                locked_out.push(member.upstream.id.to_string());
            }
        }
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        // Who is not asked has nothing to say, and says it to all.
        if !group.is_proof_wanted(now) {
            continue;
        }
        observations.push(Observation {
            service: group.service.to_string(),
            term,
            verdict: primary.verdict(now),
        });
    }
    Heartbeat {
        name: node.settings.name.clone(),
        address: node.settings.peers,
        version: node.catalog().version,
        observations,
        locked_out,
        zone: node.settings.zone.clone(),
        weight: node.settings.weight,
        service: node.service(),
        leaving: node.is_stopping(),
    }
}

/// Takes in a beat; what is to be said at once: the answer, if its sender asks for one,
/// and greetings to those whom it introduces.
///
/// It may have just started, and must not take itself for alone until the next beat: it
/// would serve its callers itself.
fn take<E: Edge>(node: &Rc<Node<E>>, beat: Heartbeat, extension: Option<Extension>) -> Vec<Due> {
    if beat.name == node.settings.name {
        return Vec::new();
    }
    node.work.add(Kind::HeardHeartbeat, 1);
    look_too(node, &beat.observations);
    let now = Boot.now();
    for id in &beat.locked_out {
        if let Some(member) = node.member(id) {
            member.pool.release_idle(now);
        }
    }
    if beat.leaving {
        node.peers.remove(&beat.name);
        node.peers.leaves(beat.address, now);
        return Vec::new();
    }
    let mut table = node.peers.table.borrow_mut();
    let new = || Peer::new(beat.address);
    let peer = table.entry(beat.name.clone()).or_insert_with(new);
    let awake = node.peers.unstalled_now();
    let known = peer.was_heard(awake, LOST_HEARTBEATS) && peer.address == beat.address;
    let asked = extension
        .as_ref()
        .map_or(ReplyRequest::None, |extension| extension.reply_request);
    let greeting = match known {
        true => asked,
        false => asked.max(ReplyRequest::Answer),
    };
    let hearing = extension
        .as_ref()
        .map_or(peer.store, |extension| extension.store);
    let is_same = known
        && peer.zone == beat.zone
        && peer.weight == beat.weight
        && peer.service == beat.service
        && peer.store == hearing;
    if !is_same {
        node.peers.census.touch();
    }
    if peer.zone != beat.zone {
        node.peers.census.remove(&beat.name, peer);
        peer.seen = Seen::default();
    }
    peer.zone = beat.zone;
    peer.weight = beat.weight;
    peer.service = beat.service;
    peer.address = beat.address;
    peer.heard = Some(awake);
    peer.observations = beat.observations;
    peer.version = beat.version;
    let mut near = Vec::new();
    peer.unreachable_zones = Vec::new();
    (peer.next, peer.format) = (FREQUENT_INTERVAL, 0);
    if let Some(extension) = extension {
        (peer.next, peer.format) = (extension.next, extension.format);
        if extension.store == StoreContact::Reachable && peer.store == StoreContact::Unreachable {
            node.renewal_failures.set(0);
            node.proof_wanted.notify_one();
        }
        (peer.store, peer.is_relay) = (extension.store, extension.is_relay);
        (peer.unreachable_zones, near) = (extension.unreachable_zones, extension.introduced);
    }
    drop(table);
    let mut news = node.peers.news.get();
    let overdue = news.observe(beat.version, node.catalog().version, now);
    node.peers.news.set(news);
    let is_newer = beat.version > node.catalog().version;
    let relays = node.peers.standing.get().is_relay && node.instances_listed_at.get().is_some();
    if (overdue || is_newer && relays) && !node.peers.fetching.replace(true) {
        let node = Rc::clone(node);
        let address = beat.address;
        spawn_local(async move {
            fetch(&node, address).await;
            node.peers.fetching.set(false);
        });
    }
    let new = node.peers.greet(near).into_iter();
    let greet = |address| Due::greeting(address, ReplyRequest::Answer);
    let mut dues: Vec<_> = new.map(greet).collect();
    if greeting != ReplyRequest::None {
        dues.extend(node.peers.answer(&beat.name, greeting));
    }
    dues
}

/// Asks a primary that another instance sees fail, so that one's word is checked.
///
/// A few instances do. Were all that hear of it to connect at once, a primary that was
/// only busy would have no slot left for statements, and fail for everybody.
fn look_too<E: Edge>(node: &Rc<Node<E>>, observations: &[Observation]) {
    for belief in observations
        .iter()
        .filter(|b| b.verdict == Verdict::Failing)
    {
        let service: Rc<str> = belief.service.as_str().into();
        let group = node.group_of(&service);
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        let quiet = primary.health().answered + FREQUENT_INTERVAL / 2 < Boot.now();
        if term == belief.term && quiet && node.is_judge(&group) {
            probe::monitor(node, &group, &primary);
        }
    }
}

/// Takes the catalogue of another instance.
async fn fetch<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) {
    let fetches = &node.peers.fetches;
    fetches.set(fetches.get() + 1);
    let ask = match node.peers.format(address) {
        0 => Request::Catalog,
        _ => Request::CompressedCatalog,
    };
    let item = match call(address, &ask).await {
        Ok(Response::Catalog(item)) => item,
        Ok(Response::CompressedCatalog(packed)) => {
            packed.and_then(|packed| packed.decompress().ok())
        }
        _ => None,
    };
    if let Some(item) = item {
        control::apply_change(node, Change::Put(item));
    }
}

/// Reads the store through another instance.
///
/// # Errors
///
/// No instance that was heard lately could read it.
pub async fn read<E: Edge>(node: &Node<E>, prefix: &str) -> Result<Items, Fault> {
    let mut heard = node.peers.hearing();
    if heard.is_empty() {
        heard = node.peers.heard();
    }
    for _ in 0..2 {
        let Some(address) = heard.choose(&mut rand::rng()).copied() else {
            return Err(Fault::Unknown);
        };
        heard.retain(|other| *other != address);
        let ask = Request::Read(prefix.to_owned());
        if let Ok(Response::Items(items)) = call(address, &ask).await {
            return Ok(items);
        }
    }
    Err(Fault::Unknown)
}

/// Reads the records through the relay at `address`.
///
/// # Errors
///
/// It could not read them, or can't be reached.
pub(crate) async fn records(address: SocketAddr) -> Result<Items, Fault> {
    match call(address, &Request::Records).await {
        Ok(Response::Items(items)) => Ok(items),
        _ => Err(Fault::Unknown),
    }
}

/// The accounts' shares that the instance at `address` has.
///
/// # Errors
///
/// It can't be reached, or is of the version before.
pub(crate) async fn shares(address: SocketAddr) -> Result<Option<Item>, Fault> {
    match call(address, &Request::Shares).await {
        Ok(Response::Shares(item)) => Ok(item),
        _ => Err(Fault::Unknown),
    }
}

/// Hands a session to the instance at `address`.
///
/// # Errors
///
/// It can't be reached.
pub async fn forward(address: SocketAddr, kept: &SessionState) -> io::Result<TcpStream> {
    let mut stream = connect(address).await?;
    let ask = match &kept.account {
        Some(account) => Request::AccountSession(account.to_string(), kept.clone()),
        None => Request::Session(kept.clone()),
    };
    send(&mut stream, &ask).await?;
    Ok(stream)
}

/// Answers other instances until the process ends.
pub async fn serve<E: Edge>(node: Rc<Node<E>>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(CALM).await;
            continue;
        };
        let node = Rc::clone(&node);
        spawn_local(async move {
            let _ = answer(&node, stream, from).await;
        });
    }
}

async fn answer<E: Edge>(
    node: &Rc<Node<E>>,
    mut stream: TcpStream,
    from: SocketAddr,
) -> io::Result<()> {
    let told = match receive(&mut stream, QUIET).await? {
        Request::Session(kept) => {
            let _guest = node.peers.host(from.ip());
            return session::serve_forwarded(node, stream, kept).await;
        }
        Request::AccountSession(account, kept) => {
            let _guest = node.peers.host(from.ip());
            let account = Some(account.into());
            return session::serve_forwarded(node, stream, SessionState { account, ..kept }).await;
        }
        Request::Follow(cursor) => return relay::lead(node, stream, cursor).await,
        Request::Read(prefix) => match node.store().read(&prefix, READ).await {
            Ok(items) => Response::Items(items),
            Err(_) => Response::Nothing,
        },
        Request::Records => match proofs::records(node).await {
            Ok(items) => Response::Items(items),
            Err(_) => Response::Nothing,
        },
        Request::Shares => Response::Shares(node.mirror.borrow().item(&shares::table_key::<E>())),
        Request::Catalog => Response::Catalog(node.catalog_item()),
        Request::CompressedCatalog => Response::CompressedCatalog(node.packed()),
    };
    send(&mut stream, &told).await
}
