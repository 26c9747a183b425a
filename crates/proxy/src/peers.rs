//! Other instances: what they say of themselves, and what they pass on.
//!
//! Every instance sends a short beat to all others by UDP, more often when it has
//! something urgent to say. Over TCP an instance that the store turns away asks
//! another one to read the store for it.

mod table;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{BufMut, BytesMut};
use clock::Boot;
use lead::Verdict;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    edge::{Edge, Fault, Item, Items, Store},
    kept::Kept,
    line,
    node::{Node, Service},
    probe,
    roll::{self, Roll},
    session,
};

use table::{Belief, Peer};
pub use table::{LOST, Peers};

/// How often beats are sent when nothing is urgent.
const BEAT: Duration = Duration::from_millis(300);

/// The shortest pause between two beats.
const CALM: Duration = Duration::from_millis(20);

/// How long a peer may take to pass something on.
const PASS: Duration = Duration::from_millis(500);

/// How long a store's answer may take for a peer.
const READ: Duration = Duration::from_millis(350);

/// The longest frame.
const FRAME: usize = 16 << 20;

/// The longest beat.
const DATAGRAM: usize = 8 << 10;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Beat {
    name: String,
    address: SocketAddr,
    version: u64,
    beliefs: Vec<Belief>,
    starved: Vec<String>,
    zone: String,
    weight: u32,
    service: Service,
    leaving: bool,
}

/// What an instance asks another.
#[derive(Debug, Serialize, Deserialize)]
enum Ask {
    /// Read the store for me, now.
    Read(String),
    /// The catalogue you have.
    Catalog,
    /// Serve this session: its statements follow.
    Session(Kept),
}

/// What it is told.
#[derive(Debug, Serialize, Deserialize)]
enum Told {
    Items(Items),
    Catalog(Option<Item>),
    Nothing,
}

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
            let Ok(heard) = postcard::from_bytes::<Beat>(&buf[..size]) else {
                continue;
            };
            let address = heard.address;
            if take(&receiving, heard) == Heard::New {
                // It may have just started, and must not take itself for alone until the
                // next beat: it would serve its callers itself.
                if let Ok(bytes) = postcard::to_stdvec(&beat(&receiving)) {
                    let _ = receiver.try_send_to(&bytes, address);
                }
            }
        }
    });
    let mut roll = Roll::default();
    loop {
        roll.call(node.peers.names());
        roll::lost(&node.lost);
        let beat = beat(&node);
        if let Ok(bytes) = postcard::to_stdvec(&beat) {
            for address in node.peers.addresses() {
                let _ = socket.try_send_to(&bytes, address);
            }
        }
        sleep(CALM).await;
        let _ = timeout(BEAT, node.peers.urgent.notified()).await;
    }
}

fn beat<E: Edge>(node: &Node<E>) -> Beat {
    let now = Boot.now();
    let mut beliefs = Vec::new();
    let mut starved = Vec::new();
    for group in node.groups() {
        for member in group.members() {
            if member.pool.is_starved(now) {
                starved.push(member.upstream.id.to_string());
            }
        }
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        // Who is not asked has nothing to say, and says it to all.
        if !group.is_wanted(now) {
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

/// Whose beat was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    /// An instance's that was not heard lately.
    New,
    /// Any other.
    Again,
}

fn take<E: Edge>(node: &Rc<Node<E>>, beat: Beat) -> Heard {
    if beat.name == node.settings.name {
        return Heard::Again;
    }
    look_too(node, &beat.beliefs);
    let now = Boot.now();
    for id in &beat.starved {
        if let Some(member) = node.member(id) {
            member.pool.spare(now);
        }
    }
    let mut table = node.peers.table.borrow_mut();
    if beat.leaving {
        table.remove(&beat.name);
        node.peers.leaves(beat.address, now);
        return Heard::Again;
    }
    let new = || Peer::new(beat.address);
    let peer = table.entry(beat.name).or_insert_with(new);
    peer.zone = beat.zone;
    peer.weight = beat.weight;
    peer.service = beat.service;
    let heard = match peer.was_heard(now, LOST) && peer.address == beat.address {
        true => Heard::Again,
        false => Heard::New,
    };
    peer.address = beat.address;
    peer.heard = Some(now);
    peer.beliefs = beat.beliefs;
    drop(table);
    let mut news = node.peers.news.get();
    let due = news.heard(beat.version, node.catalog().version, now);
    node.peers.news.set(news);
    if due {
        let node = Rc::clone(node);
        let address = beat.address;
        spawn_local(async move { fetch(&node, address).await });
    }
    heard
}

/// Asks a primary that another instance sees fail, so that one's word is checked.
fn look_too<E: Edge>(node: &Rc<Node<E>>, beliefs: &[Belief]) {
    for belief in beliefs.iter().filter(|b| b.verdict == Verdict::Failing) {
        let service: Rc<str> = belief.service.as_str().into();
        let group = node.group_of(&service);
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        let quiet = primary.health().answered + BEAT / 2 < Boot.now();
        if term == belief.term && quiet {
            probe::check(node, &group, &primary);
        }
    }
}

/// Takes the catalogue of another instance.
async fn fetch<E: Edge>(node: &Node<E>, address: SocketAddr) {
    let fetches = &node.peers.fetches;
    fetches.set(fetches.get() + 1);
    let Ok(Ok(Told::Catalog(Some(item)))) = timeout(PASS, call(address, &Ask::Catalog)).await
    else {
        return;
    };
    if let Ok(catalog) = E::catalog(&item.value) {
        node.apply(catalog);
        *node.peers.catalog.borrow_mut() = Some(item);
    }
}

/// Reads the store through another instance.
///
/// # Errors
///
/// No instance that was heard lately could read it.
pub async fn read<E: Edge>(node: &Node<E>, prefix: &str) -> Result<Items, Fault> {
    let mut heard = node.peers.heard();
    for _ in 0..2 {
        let Some(address) = heard.choose(&mut rand::rng()).copied() else {
            return Err(Fault::Unknown);
        };
        heard.retain(|other| *other != address);
        let ask = Ask::Read(prefix.to_owned());
        if let Ok(Ok(Told::Items(items))) = timeout(PASS, call(address, &ask)).await {
            return Ok(items);
        }
    }
    Err(Fault::Unknown)
}

/// Hands a session to the instance at `address`.
///
/// # Errors
///
/// It can't be reached.
pub async fn hand(address: SocketAddr, kept: &Kept) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = line::tune(&stream);
    send(&mut stream, &Ask::Session(kept.clone())).await?;
    Ok(stream)
}

async fn call(address: SocketAddr, ask: &Ask) -> io::Result<Told> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = line::tune(&stream);
    send(&mut stream, ask).await?;
    receive(&mut stream).await
}

/// Answers other instances until the process ends.
pub async fn serve<E: Edge>(node: Rc<Node<E>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(CALM).await;
            continue;
        };
        let node = Rc::clone(&node);
        spawn_local(async move {
            let _ = answer(&node, stream).await;
        });
    }
}

async fn answer<E: Edge>(node: &Rc<Node<E>>, mut stream: TcpStream) -> io::Result<()> {
    let asked = timeout(PASS, receive::<Ask>(&mut stream)).await??;
    let told = match asked {
        Ask::Session(kept) => return session::host(node, stream, kept).await,
        Ask::Read(prefix) => match timeout(READ, node.edge.store().read(&prefix)).await {
            Ok(Ok(items)) => Told::Items(items),
            _ => Told::Nothing,
        },
        Ask::Catalog => Told::Catalog(node.peers.catalog.borrow().clone()),
    };
    timeout(PASS, send(&mut stream, &told)).await?
}

async fn send<T: Serialize>(stream: &mut TcpStream, frame: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    let size = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut out = BytesMut::with_capacity(body.len() + 4);
    out.put_u32(size);
    out.extend_from_slice(&body);
    stream.write_all(&out).await
}

async fn receive<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let size = stream.read_u32().await? as usize;
    if size > FRAME {
        return Err(io::Error::other("the frame is too long"));
    }
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
