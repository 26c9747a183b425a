//! Keeping what decisions are made with: catalogue, upstreams, records and proofs.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::{Boot, Instant};
use lead::Record;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    edge::{Change, Edge, Fault, Item, Items, Store, Swap, Swapped},
    era::{self, MEMORY},
    group::Group,
    node::Node,
    peers, takeover,
};

/// How long the store may take to answer a read.
const READ: Duration = Duration::from_millis(400);

/// How long a watch waits. The kernel's keep-alive finds a connection that went
/// silent sooner.
const WATCH: Duration = Duration::from_millis(6_000);

/// How long a watch's answer may come behind its wait.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// The pause behind a failed call, and how far it grows.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(700));

/// How long an instance stays in the store's list without a sign of life.
const LISTED: Duration = Duration::from_secs(10);

/// How long changes are gathered until they are asked for: news of other instances, and
/// any news at an instance that holds no connections. Both are short beside the seconds
/// that a catalogue has to be in force (3 s, the platform's pages).
///
/// Every change wakes the watches of all instances: where n of them start at once that is
/// n times n calls. What comes meanwhile is told by one answer: 58 instances made 3,800
/// calls on a quiet day before, and 2,000 since.
const GATHER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(800));

/// How often connections are looked through.
const TIDY: Duration = Duration::from_millis(100);

/// How long a connection beyond an even share may lie idle.
const IDLE: Duration = Duration::from_millis(400);

/// The key of a group's record.
pub fn lead_key<E: Edge>(service: &str) -> String {
    format!("{}lead/{service}", E::OWN)
}

/// The key of the right to give orders.
pub fn duty_key<E: Edge>() -> String {
    format!("{}duty", E::OWN)
}

fn instances<E: Edge>() -> String {
    format!("{}instance/", E::OWN)
}

/// Starts all tasks that keep the node's knowledge up to date.
pub fn spawn<E: Edge>(node: &Rc<Node<E>>) {
    spawn_local(follow(Rc::clone(node)));
    spawn_local(era::prove(Rc::clone(node)));
    spawn_local(register(Rc::clone(node)));
    spawn_local(tidy(Rc::clone(node)));
    spawn_local(takeover::oversee(Rc::clone(node)));
}

/// Reads a prefix from the store, or through another instance.
pub async fn read<E: Edge>(node: &Node<E>, prefix: &str) -> Result<Items, Fault> {
    match timeout(READ, node.store().read(prefix)).await {
        Ok(Ok(items)) => {
            node.store_answered();
            Ok(items)
        }
        _ => peers::read(node, prefix).await,
    }
}

/// Follows the catalogue, the upstreams and the records.
async fn follow<E: Edge>(node: Rc<Node<E>>) {
    let mut pause = AGAIN.0;
    let mut lost = false;
    loop {
        let Ok(mut at) = refresh(&node).await else {
            if !lost {
                log::warn!(dependency = "store"; "lost");
            }
            lost = true;
            sleep(pause).await;
            pause = (pause * 2).min(AGAIN.1);
            continue;
        };
        if lost {
            log::info!(dependency = "store"; "regained");
        }
        lost = false;
        while let Ok((next, news)) = watch(&node, at).await {
            at = next;
            pause = AGAIN.0;
            match news {
                _ if node.is_idle() => sleep(GATHER.1).await,
                News::Peers => sleep(GATHER.0).await,
                News::Other => {}
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(AGAIN.1);
    }
}

/// Reads everything anew; the revision to watch from.
async fn refresh<E: Edge>(node: &Rc<Node<E>>) -> Result<u64, Fault> {
    let catalog = read(node, E::CATALOG).await?;
    for item in &catalog.items {
        take(node, item);
    }
    let upstreams = read(node, E::UPSTREAMS).await?;
    let ids: Vec<&str> = upstreams
        .items
        .iter()
        .map(|item| id_of::<E>(&item.key))
        .collect();
    node.retain(&|id| ids.contains(&id));
    for item in &upstreams.items {
        take(node, item);
    }
    node.listed.set(true);
    let own = read(node, E::OWN).await?;
    list::<E>(node, &own);
    if node.met.get().is_none() {
        node.met.set(Some(Boot.now()));
        node.peers.urgent.notify_one();
    }
    for item in &own.items {
        take(node, item);
    }
    Ok(catalog.at)
}

/// The name and the address of an instance, if `item` is an instance's entry.
fn instance<E: Edge>(item: &Item) -> Option<(&str, SocketAddr)> {
    let prefix = instances::<E>();
    let name = item.key.strip_prefix(&prefix)?;
    let text = std::str::from_utf8(&item.value).ok()?;
    Some((name, text.parse().ok()?))
}

fn list<E: Edge>(node: &Node<E>, own: &Items) {
    let listed: HashMap<_, _> = own.items.iter().filter_map(instance::<E>).collect();
    node.peers.list(&listed);
}

/// What a watch's answer told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Nothing, or other instances.
    Peers,
    /// The catalogue, upstreams or primaries.
    Other,
}

async fn watch<E: Edge>(node: &Rc<Node<E>>, after: u64) -> Result<(u64, News), Fault> {
    let store = node.store();
    let waiting = timeout(WATCH + WATCH_SLACK, store.watch("", after, WATCH));
    let changes = tokio::select! {
        changes = waiting => changes.map_err(|_| Fault::Unknown)??,
        () = node.refresh.notified() => return Err(Fault::Refused),
    };
    node.store_answered();
    node.watched.set(Boot.now());
    let mut news = News::Peers;
    let own = instances::<E>();
    for change in &changes.changes {
        let key = match change {
            Change::Put(item) => &item.key,
            Change::Gone(key) => key,
        };
        if !key.starts_with(&own) {
            news = News::Other;
        }
        match change {
            Change::Put(item) => {
                take(node, item);
                if let Some((name, address)) = instance::<E>(item) {
                    node.peers.add(name, address);
                }
            }
            Change::Gone(key) => {
                if key.starts_with(E::UPSTREAMS) {
                    node.unlist(id_of::<E>(key));
                }
                if let Some(name) = key.strip_prefix(&instances::<E>()) {
                    node.peers.unlist(name);
                }
            }
        }
    }
    Ok((changes.at, news))
}

fn id_of<E: Edge>(key: &str) -> &str {
    key.strip_prefix(E::UPSTREAMS).unwrap_or(key)
}

/// Takes in one item of the store.
fn take<E: Edge>(node: &Rc<Node<E>>, item: &Item) {
    if item.key == E::CATALOG {
        match E::catalog(&item.value) {
            Ok(catalog) => {
                node.apply(catalog);
                *node.peers.catalog.borrow_mut() = Some(item.clone());
            }
            Err(error) => log::error!(error:%; "the catalogue can't be read"),
        }
    } else if item.key.starts_with(E::UPSTREAMS) {
        match E::upstream(&item.key, &item.value) {
            Ok(upstream) => node.put(upstream),
            Err(error) => {
                log::error!(error:%, key = &*item.key; "an upstream can't be read");
                node.unlist(id_of::<E>(&item.key));
            }
        }
    } else if item.key.starts_with(&lead_key::<E>("")) {
        record(node, item);
    } else if item.key == duty_key::<E>() && node.duty.get().0 < item.revision {
        node.duty.set((item.revision, Boot.now()));
    }
}

/// Takes in a group's record.
pub fn record<E: Edge>(node: &Node<E>, item: &Item) -> Option<Rc<Group>> {
    let service = item.key.strip_prefix(&lead_key::<E>(""))?;
    let record: Record = serde_json::from_slice(&item.value).ok()?;
    let group = node.group_of(&service.into());
    let text = format!("{record:?}");
    if group.learn(record, item.revision) {
        log::info!(service, revision = item.revision; "record: {text}");
    }
    Some(group)
}

/// A record as the store keeps it.
pub fn encode<T: serde::Serialize>(record: &T) -> Bytes {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Keeps this instance in the store's list.
async fn register<E: Edge>(node: Rc<Node<E>>) {
    let mut lease = 0;
    loop {
        if lease == 0 {
            lease = enlist(&node).await.unwrap_or_default();
        } else {
            let kept = timeout(READ, node.store().keep(lease)).await;
            if kept == Ok(Err(Fault::Missing)) {
                lease = 0;
                continue;
            }
        }
        let pause = match lease {
            0 => AGAIN.1,
            _ => LISTED / 3,
        };
        sleep(pause).await;
    }
}

async fn enlist<E: Edge>(node: &Node<E>) -> Option<u64> {
    let store = node.store();
    let lease = timeout(READ, store.grant(LISTED)).await.ok()?.ok()?;
    let key = format!("{}{}", instances::<E>(), node.settings.name);
    let value = Bytes::from(node.settings.peers.to_string());
    let swap = Swap {
        puts: vec![(key, value, lease)],
        ..Swap::default()
    };
    match timeout(READ, store.swap(&swap)).await {
        Ok(Ok(Swapped::Done(_))) => Some(lease),
        _ => None,
    }
}

/// Closes connections that others may need.
async fn tidy<E: Edge>(node: Rc<Node<E>>) {
    let mut unable = None;
    loop {
        sleep(TIDY).await;
        let now: Instant = Boot.now();
        let since = node.unable_since();
        if since.is_some() != unable.is_some() {
            log::info!(able = since.is_none(); "whether callers can be served here");
            node.staged.notify_waiters();
        }
        unable = since;
        let catalog = node.catalog();
        for group in node.groups() {
            group.expire(now);
            group.is_whole(now, MEMORY);
            let entry = catalog.services.get(&group.service);
            let connections = entry.map_or(1, |entry| entry.connections);
            let holders = node.holder_count(&group.service);
            // One part more than there are holders: probes, orders and an instance that
            // has just become one find a free connection.
            let share = match group.is_wanted(now) {
                true => (connections / (holders + 1)).max(1),
                false => 0,
            };
            for member in group.members() {
                member.holders.set(holders);
                if member.pool.is_starved(now) {
                    node.peers.urgent.notify_one();
                }
                member.pool.trim(now, share, IDLE);
            }
        }
    }
}
