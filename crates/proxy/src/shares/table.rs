//! Maintains the table of quota shares: the relay that reads the catalogue writes it, all other
//! instances fetch it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use admit::shares::{Planner, Stored, Table};
use bytes::Bytes;
use clock::Boot;
use tokio::time::{sleep, timeout};

use super::{FORMAT, limiter, table_key};
use crate::{
    control,
    edge::{Change, Edge, Fault, Item, Store, Swap, Swapped},
    freshness,
    node::Node,
    peers,
    relay::{self, Source},
};

/// Interval at which the table is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start before an instance writes the table, so that the peers that could be
/// limiters have been heard.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Rebalances the table while this instance reads the catalogue, and fetches the table
/// otherwise, until the process ends.
pub(crate) async fn run<E: Edge>(node: Rc<Node<E>>) {
    let began = Boot.now();
    loop {
        let _ = timeout(CHECK_INTERVAL, node.shares.outdated.notified()).await;
        if node.catalog().accounts.is_empty() {
            continue;
        }
        limiter::log_refusals(&node);
        let result = match freshness::source(&node) {
            Source::Relay(address) if is_outdated(&node) => fetch(&node, address).await,
            Source::Relay(_) => Ok(()),
            Source::Store if began + STARTUP_DELAY > Boot.now() => Ok(()),
            Source::Store => rebalance(&node).await,
        };
        if let Err(fault) = result {
            log::info!(error:% = fault; "quota shares not updated");
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns true if the store has a newer table than this instance.
fn is_outdated<E: Edge>(node: &Node<E>) -> bool {
    let pending = node.freshness.pending();
    pending.is_some_and(|mark| mark.shares > node.mark().shares)
}

async fn fetch<E: Edge>(node: &Rc<Node<E>>, address: SocketAddr) -> Result<(), Fault> {
    if let Some(item) = peers::shares(address).await? {
        control::apply_change(node, Change::Put(item));
    }
    Ok(())
}

/// Changes the table if limiters are lost or missing.
async fn rebalance<E: Edge>(node: &Rc<Node<E>>) -> Result<(), Fault> {
    // Without a proof the known table may be outdated, and the write would fail.
    if !node
        .freshness
        .covers(Boot.now(), node.settings.agreement_ttl())
    {
        return Ok(());
    }
    let shares = &node.shares;
    let now = Boot.now();
    if shares.is_previous_in_use(now) {
        return Ok(());
    }
    // A share isn't reassigned until the window in which it was last used has ended.
    let window = node
        .settings
        .slack
        .map_or(Duration::ZERO, |slack| slack.window);
    let span = node.settings.agreement_ttl().max(window);
    let new_planner = || Planner::new(span, now);
    let mut planner = shares.planner.take().unwrap_or_else(new_planner);
    let catalog = node.catalog();
    let mut accounts: Vec<_> = catalog.accounts.with_quota().collect();
    accounts.sort_unstable();
    let relays = node.peers.all_relays(relay::candidate(node));
    let candidates: Vec<_> = relays.iter().map(peers::Relay::candidate).collect();
    let mut heard = node.peers.names();
    heard.push(node.settings.name.clone());
    let heard: Vec<_> = heard.iter().map(String::as_str).collect();
    let table = shares.table.borrow().clone();
    let stored = Stored {
        table: &table,
        revision: node.mark().shares,
    };
    let next = planner.plan(stored, &accounts, &heard, &candidates, now);
    *shares.planner.borrow_mut() = Some(planner);
    match next {
        Some(next) => write_table(node, &next).await,
        None => Ok(()),
    }
}

/// Writes the next table. If the store has another table by now, applies that one instead.
async fn write_table<E: Edge>(node: &Rc<Node<E>>, next: &Table) -> Result<(), Fault> {
    let key = table_key::<E>();
    let known = node.mark().shares;
    let mut value = vec![FORMAT];
    value.extend(postcard::to_stdvec(next).map_err(|_| Fault::Malformed)?);
    let value = Bytes::from(value);
    let swap = Swap {
        expected: vec![(key.clone(), known)],
        puts: vec![(key.clone(), value.clone(), 0)],
        deletes: Vec::new(),
    };
    let swapped = timeout(STORE_TIMEOUT, node.store().swap(&swap)).await;
    match swapped.map_err(|_| Fault::Unknown)?? {
        Swapped::Done(revision) => {
            let item = Item {
                key,
                value,
                revision,
            };
            log::info!(revision, size = item.value.len(); "quota shares changed");
            control::apply_change(node, Change::Put(item));
            if let Some(planner) = &mut *node.shares.planner.borrow_mut() {
                planner.note_write(revision);
            }
        }
        Swapped::Conflict | Swapped::NoLease => {
            let newer = node
                .store()
                .read_newer(&[(&key, known)], STORE_TIMEOUT)
                .await?;
            for item in newer {
                control::apply_change(node, Change::Put(item));
            }
        }
    }
    Ok(())
}
