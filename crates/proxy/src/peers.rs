//! Other instances: what they say of themselves, and what they pass on.
//!
//! Every instance sends short beats to others by UDP, often to those who wait for them and
//! now and then to all. Over TCP an instance that the store turns away asks another one to
//! read the store for it, and one that is no relay follows one that is.

pub mod beat;
mod census;
pub(crate) mod frame;
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

use beat::{Beat, Belief, Datagram, FORMAT, Greeting, Hearing, More};
pub(crate) use census::Roll;
use census::Seen;
use frame::{Ask, QUIET, Told, call, connect, receive, send};
pub use peer::Relay;
use peer::{Due, Peer, Standing, Urgent};
pub use table::{LOST, Peers};

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
pub async fn beats<E: Edge>(node: Rc<Node<E>>, socket: UdpSocket) {
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
            match beat::decode(&buf[..size]) {
                Some(Datagram::Beat(heard, more)) => {
                    let dues = take(&receiving, heard, more);
                    if !dues.is_empty() {
                        let mut beats = Beats::new(&receiving);
                        for due in dues {
                            beats.send(&receiving, &receiver, due);
                        }
                    }
                }
                Some(Datagram::Proof(proof)) => proofs::take(&receiving, proof),
                None => {}
            }
        }
    });
    *node.proofs.socket.borrow_mut() = Some(Rc::clone(&socket));
    let mut served = Instant::ZERO;
    loop {
        let news = node.peers.roll();
        node.work
            .add(Kind::ChangedInstance, news.came.len() + news.went.len());
        presence::log_changes(news);
        presence::log_lost_callers(&node.lost_callers);
        let now = Boot.now();
        if !node.is_idle() {
            served = now;
        }
        node.peers.standing.set(Standing {
            serves: served + SERVED > now,
            relays: relay::is_own(&node),
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
    beat: Beat,
    more: More,
    encoded: HashMap<(Duration, Greeting), Vec<u8>>,
}

impl Beats {
    fn new<E: Edge>(node: &Node<E>) -> Self {
        let more = More {
            format: FORMAT,
            next: FREQUENT_INTERVAL,
            hearing: node.store_contact(),
            relays: node.peers.standing.get().relays,
            greeting: Greeting::None,
            silent: node.peers.silent(),
            near: Vec::new(),
        };
        Self {
            beat: beat(node),
            more,
            encoded: HashMap::new(),
        }
    }

    fn send<E: Edge>(&mut self, node: &Node<E>, socket: &UdpSocket, due: Due) {
        let kind = match due.next <= FREQUENT_INTERVAL {
            true => Kind::FrequentHeartbeat,
            false => Kind::InfrequentHeartbeat,
        };
        node.work.add(kind, 1);
        let more = More {
            next: due.next,
            greeting: due.greeting,
            near: due.near,
            ..self.more.clone()
        };
        let beat = &self.beat;
        let encode = || beat::encode(beat, &more).unwrap_or_default();
        if !more.near.is_empty() {
            let bytes = encode();
            node.work.add(Kind::HeartbeatByte, bytes.len());
            let _ = socket.try_send_to(&bytes, due.address);
            return;
        }
        let bytes = self.encoded.entry((due.next, due.greeting));
        let bytes = bytes.or_insert_with(encode);
        node.work.add(Kind::HeartbeatByte, bytes.len());
        let _ = socket.try_send_to(bytes, due.address);
    }
}

fn beat<E: Edge>(node: &Node<E>) -> Beat {
    let now = Boot.now();
    let mut beliefs = Vec::new();
    let mut starved = Vec::new();
    for group in node.active() {
        for member in group.members() {
            if member.pool.is_locked_out(now) {
                starved.push(member.upstream.id.to_string());
            }
        }
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        // Who is not asked has nothing to say, and says it to all.
        if !group.is_proof_wanted(now) {
            continue;
        }
        beliefs.push(Belief {
            service: group.service.to_string(),
            term,
            verdict: primary.verdict(now),
        });
    }
    Beat {
        name: node.settings.name.clone(),
        address: node.settings.peers,
        version: node.catalog().version,
        beliefs,
        starved,
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
fn take<E: Edge>(node: &Rc<Node<E>>, beat: Beat, more: Option<More>) -> Vec<Due> {
    if beat.name == node.settings.name {
        return Vec::new();
    }
    node.work.add(Kind::HeardHeartbeat, 1);
    look_too(node, &beat.beliefs);
    let now = Boot.now();
    for id in &beat.starved {
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
    let awake = node.peers.awake();
    let known = peer.was_heard(awake, LOST) && peer.address == beat.address;
    let asked = more.as_ref().map_or(Greeting::None, |more| more.greeting);
    let greeting = match known {
        true => asked,
        false => asked.max(Greeting::Answer),
    };
    let hearing = more.as_ref().map_or(peer.hearing, |more| more.hearing);
    let is_same = known
        && peer.zone == beat.zone
        && peer.weight == beat.weight
        && peer.service == beat.service
        && peer.hearing == hearing;
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
    peer.beliefs = beat.beliefs;
    peer.version = beat.version;
    let mut near = Vec::new();
    peer.silent = Vec::new();
    (peer.next, peer.format) = (FREQUENT_INTERVAL, 0);
    if let Some(more) = more {
        (peer.next, peer.format) = (more.next, more.format);
        if more.hearing == Hearing::Hears && peer.hearing == Hearing::Deaf {
            node.renewal_failures.set(0);
            node.proof_wanted.notify_one();
        }
        (peer.hearing, peer.relays) = (more.hearing, more.relays);
        (peer.silent, near) = (more.silent, more.near);
    }
    drop(table);
    let mut news = node.peers.news.get();
    let overdue = news.heard(beat.version, node.catalog().version, now);
    node.peers.news.set(news);
    let is_newer = beat.version > node.catalog().version;
    let relays = node.peers.standing.get().relays && node.instances_listed_at.get().is_some();
    if (overdue || is_newer && relays) && !node.peers.fetching.replace(true) {
        let node = Rc::clone(node);
        let address = beat.address;
        spawn_local(async move {
            fetch(&node, address).await;
            node.peers.fetching.set(false);
        });
    }
    let new = node.peers.greet(near).into_iter();
    let greet = |address| Due::greeting(address, Greeting::Answer);
    let mut dues: Vec<_> = new.map(greet).collect();
    if greeting != Greeting::None {
        dues.extend(node.peers.answer(&beat.name, greeting));
    }
    dues
}

/// Asks a primary that another instance sees fail, so that one's word is checked.
///
/// A few instances do. Were all that hear of it to connect at once, a primary that was
/// only busy would have no slot left for statements, and fail for everybody.
fn look_too<E: Edge>(node: &Rc<Node<E>>, beliefs: &[Belief]) {
    for belief in beliefs.iter().filter(|b| b.verdict == Verdict::Failing) {
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
        0 => Ask::Catalog,
        _ => Ask::Packed,
    };
    let item = match call(address, &ask).await {
        Ok(Told::Catalog(item)) => item,
        Ok(Told::Packed(packed)) => packed.and_then(|packed| packed.unpack().ok()),
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
        let ask = Ask::Read(prefix.to_owned());
        if let Ok(Told::Items(items)) = call(address, &ask).await {
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
    match call(address, &Ask::Records).await {
        Ok(Told::Items(items)) => Ok(items),
        _ => Err(Fault::Unknown),
    }
}

/// The accounts' shares that the instance at `address` has.
///
/// # Errors
///
/// It can't be reached, or is of the version before.
pub(crate) async fn shares(address: SocketAddr) -> Result<Option<Item>, Fault> {
    match call(address, &Ask::Shares).await {
        Ok(Told::Shares(item)) => Ok(item),
        _ => Err(Fault::Unknown),
    }
}

/// Hands a session to the instance at `address`.
///
/// # Errors
///
/// It can't be reached.
pub async fn hand(address: SocketAddr, kept: &SessionState) -> io::Result<TcpStream> {
    let mut stream = connect(address).await?;
    let ask = match &kept.account {
        Some(account) => Ask::Keyed(account.to_string(), kept.clone()),
        None => Ask::Session(kept.clone()),
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
        Ask::Session(kept) => {
            let _guest = node.peers.host(from.ip());
            return session::serve_forwarded(node, stream, kept).await;
        }
        Ask::Keyed(account, kept) => {
            let _guest = node.peers.host(from.ip());
            let account = Some(account.into());
            return session::serve_forwarded(node, stream, SessionState { account, ..kept }).await;
        }
        Ask::Follow(followed) => return relay::lead(node, stream, followed).await,
        Ask::Read(prefix) => match node.store().read(&prefix, READ).await {
            Ok(items) => Told::Items(items),
            Err(_) => Told::Nothing,
        },
        Ask::Records => match proofs::records(node).await {
            Ok(items) => Told::Items(items),
            Err(_) => Told::Nothing,
        },
        Ask::Shares => Told::Shares(node.mirror.borrow().item(&shares::key::<E>())),
        Ask::Catalog => Told::Catalog(node.catalog_item()),
        Ask::Packed => Told::Packed(node.packed()),
    };
    send(&mut stream, &told).await
}
