//! Following the sections of the store.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use tokio::time::{sleep, timeout};

use super::{
    READ_TIMEOUT, RELAY_CHECK_INTERVAL, RETRY_PAUSES, apply_change, read, record_key,
    takeover_lock_key,
};
use crate::{
    edge::{Change, Edge, Fault, Store, era_of},
    freshness,
    mirror::Section,
    node::Node,
    relay::{self, Source},
};

/// Longest wait of a watch. TCP keep-alive detects a dead connection sooner.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The same for the catalogue at the first reader, and for the upstreams. An answer may be lost
/// while its connection stays open; changes of these sections are due within seconds, and nothing
/// else tells that they were missed. The drain of an upstream counts from the watch before the one
/// that tells of it, so a long wait would leave little of the drain.
const URGENT_WATCH_WAITS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(1));

/// Time that a watch's answer may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Time for which a newer catalogue isn't read while the last one is sent to peers: short compared
/// with the 3.7 s that a large one takes on a link of 2 Mbit/s.
const PASS_ON_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an instance goes on watching after it has ceased to be a relay of its zone.
const WATCH_LINGER: Duration = Duration::from_secs(3);

/// Time for which changes without urgency are collected before the next watch: instances, upstreams
/// and first records arrive one by one if all of them start at once. Each change would wake all
/// watchers: 24 calls each for the 15 upstreams and 5 groups of a small fleet.
const BATCH_DELAY: Duration = Duration::from_millis(400);

/// Returns true if this instance has to follow `section` in the store.
fn is_followed<E: Edge>(node: &Node<E>, section: Section) -> bool {
    match section {
        // While no instance has a catalogue, there is none to pass on, and waiting for one is
        // useless.
        Section::Catalog => {
            let none = node.catalog().version == 0 && !node.peers.is_catalog_known();
            none && relay::is_relay(node) || relay::is_reader(node)
        }
        Section::Upstreams | Section::Records => relay::is_reader(node),
    }
}

/// Returns the key prefix of a section.
pub(crate) fn section_prefix<E: Edge>(section: Section) -> String {
    match section {
        Section::Catalog => E::CATALOG_KEY.to_owned(),
        Section::Upstreams => E::UPSTREAMS_PREFIX.to_owned(),
        Section::Records => record_key::<E>(""),
    }
}

/// The next step of following a section after an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// To watch the section at once.
    Watch,
    /// To collect further changes, which come one by one and are not urgent.
    Pause,
    /// To read the catalogue if there is a newer one.
    ReadNewer,
}

/// Follows one section in the store while this instance is one of its zone's relays.
///
/// A watch returns every version since its revision, each with the whole catalogue, of which only
/// the newest matters. So the catalogue is brought up to date by conditional reads before a watch:
/// versions may be written during the transfer of an answer, an outage of the store, or while this
/// instance follows a relay.
pub(super) async fn follow_section<E: Edge>(node: Rc<Node<E>>, section: Section) {
    let mut pause = RETRY_PAUSES.0;
    let mut is_store_lost = false;
    let mut needs_full_read = false;
    let mut is_current = false;
    let mut passed_on = 0;
    loop {
        if !is_followed(&node, section) {
            is_current = false;
            sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        let known = node.mirror.borrow().known(section);
        let result = if known > 0 && needs_full_read && section == Section::Catalog {
            reread_catalog(&node).await
        } else if known == 0 || needs_full_read {
            let read = read_section(&node, section).await;
            passed_on = node.catalog().version;
            read
        } else if section == Section::Catalog && !is_current {
            let version = node.catalog().version;
            if version > passed_on {
                let _ = timeout(PASS_ON_TIMEOUT, wait_until_passed_on(&node)).await;
                passed_on = version;
            }
            read_newer_catalog(&node).await
        } else {
            watch(&node, section, known).await
        };
        needs_full_read = matches!(result, Err(Fault::Compacted));
        is_current = matches!(result, Ok(Next::Watch));
        let next = match result {
            Ok(next) => next,
            Err(Fault::Compacted) => continue,
            Err(_) => {
                if !is_store_lost && section == Section::Records {
                    log::warn!(dependency = "store"; "lost");
                }
                is_store_lost = true;
                // The task that renews the proof lease signals when the store answers again.
                let _ = timeout(pause, node.store_returned.notified()).await;
                pause = (pause * 2).min(RETRY_PAUSES.1);
                continue;
            }
        };
        if is_store_lost && section == Section::Records {
            log::info!(dependency = "store"; "regained");
        }
        is_store_lost = false;
        pause = RETRY_PAUSES.0;
        if next == Next::Pause {
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Reads a whole section.
pub(super) async fn read_section<E: Edge>(
    node: &Rc<Node<E>>,
    section: Section,
) -> Result<Next, Fault> {
    let prefix = section_prefix::<E>(section);
    let sent = Boot.now();
    let read = read(node, &prefix).await?;
    let next = match section {
        Section::Catalog => Next::ReadNewer,
        Section::Upstreams | Section::Records => Next::Pause,
    };
    let missing = node.mirror.borrow().missing(&prefix, &read.items, read.at);
    let present = read.items.into_iter().map(Change::Put);
    present
        .chain(missing)
        .for_each(|change| apply_change(node, change));
    node.mirror.borrow_mut().advance(section, read.at);
    note_current(node, section, sent);
    if section == Section::Upstreams {
        node.is_upstream_list_read.set(true);
    }
    Ok(next)
}

/// Returns true if a change is not urgent: all changes but a new catalogue and the record of a
/// primary that replaces another one.
fn is_deferrable<E: Edge>(node: &Node<E>, change: &Change) -> bool {
    let record = change.key().strip_prefix(&record_key::<E>(""));
    let is_replaced = record.is_some_and(|service| node.has_primary(service));
    !is_replaced && change.key() != E::CATALOG_KEY
}

/// Waits for changes of a section after revision `after`, and applies them.
async fn watch<E: Edge>(node: &Rc<Node<E>>, section: Section, after: u64) -> Result<Next, Fault> {
    let store = node.store();
    let prefix = section_prefix::<E>(section);
    let sent = Boot.now();
    let wait = watch_wait(node, section);
    let watching = store.watch(&prefix, after, wait, WATCH_SLACK);
    let answer = tokio::select! {
        answer = watching => answer,
        () = wait_until_urgent(node, section, wait) => return Ok(Next::ReadNewer),
        () = wait_for_refresh(node, section) => return Err(Fault::Compacted),
        () = wait_until_relieved(node, section) => return Ok(Next::Watch),
    };
    let answer = answer.inspect_err(|error| {
        node.store_failed();
        if section == Section::Catalog {
            let waited = Boot.now().since(sent);
            log::info!(error:?, waited_ms = waited.as_millis() as u64; "catalogue watch failed");
        }
    })?;
    node.store_answered();
    node.watch_answered_at.set(Boot.now());
    let mut changes = answer.changes.iter();
    let next = match changes.all(|change| is_deferrable(node, change)) {
        true => Next::Pause,
        false if section == Section::Catalog => Next::ReadNewer,
        false => Next::Watch,
    };
    // An empty answer does not prove that nothing changed: the next watch begins at the same
    // revision, and is told so if the history no longer has it.
    if !answer.changes.is_empty() {
        for change in answer.changes {
            apply_change(node, change);
        }
        node.mirror.borrow_mut().advance(section, answer.at);
    }
    note_current(node, section, sent);
    Ok(next)
}

/// Records that all changes of `section` until `sent` have been applied, at which a request was sent
/// that the store has answered.
///
/// The time of the answer would be too late: an answer may arrive seconds after a change that it
/// lacks.
fn note_current<E: Edge>(node: &Node<E>, section: Section, sent: Instant) {
    if section == Section::Upstreams {
        node.list_current_at.set(Some(sent));
    }
}

/// Waits until the list of upstreams has to be read again. Other sections are not concerned: a
/// catalogue's transfer would begin anew whenever an upstream fails.
async fn wait_for_refresh<E: Edge>(node: &Node<E>, section: Section) {
    match section {
        Section::Upstreams => node.refresh.notified().await,
        Section::Catalog | Section::Records => std::future::pending().await,
    }
}

/// Returns how long a watch of `section` waits.
fn watch_wait<E: Edge>(node: &Node<E>, section: Section) -> Duration {
    match section {
        Section::Upstreams => URGENT_WATCH_WAITS.1,
        // With accounts, the proof that no key was revoked reads the catalogue more often.
        Section::Catalog
            if node.catalog().accounts.is_empty() && freshness::source(node) == Source::Store =>
        {
            URGENT_WATCH_WAITS.0
        }
        Section::Catalog | Section::Records => WATCH_WAIT,
    }
}

/// Waits until a watch of `section` would wait for less than `wait`.
///
/// An answer that was lost would otherwise be missed for as long as the watch was to wait when it
/// began, by an instance on which the others rely since.
async fn wait_until_urgent<E: Edge>(node: &Node<E>, section: Section, wait: Duration) {
    while watch_wait(node, section) >= wait {
        sleep(RELAY_CHECK_INTERVAL).await;
    }
    log::info!(section:?; "watch is urgent now");
}

/// Waits until the peers that were waiting for this instance's catalogue have it. A newer one would
/// fill the link on which their requests arrive.
async fn wait_until_passed_on<E: Edge>(node: &Node<E>) {
    loop {
        // Those that wait for a change become known after it.
        sleep(RELAY_CHECK_INTERVAL / 5).await;
        if node.catalog_sends.is_idle() {
            return;
        }
    }
}

/// Reads the catalogue if the store has another one than this instance.
async fn read_newer_catalog<E: Edge>(node: &Rc<Node<E>>) -> Result<Next, Fault> {
    let reached = node.mirror.borrow().known(Section::Catalog);
    let held = node.catalog_item().map_or(0, |item| item.revision);
    // A store restored from an older copy doesn't know the revision of the catalogue in force.
    let revision = match era_of(held) == era_of(reached) {
        true => held,
        false => 0,
    };
    let known = [(E::CATALOG_KEY, revision)];
    let newer = node.store().read_newer(&known, READ_TIMEOUT).await;
    let newer = newer.inspect_err(|_| node.store_failed())?;
    node.store_answered();
    // A catalogue that can't be put in force is returned by each conditional read.
    let next = match newer.iter().any(|item| item.revision > reached) {
        true => Next::ReadNewer,
        false => Next::Watch,
    };
    let newest = newer.iter().map(|item| item.revision);
    let newest = newest.fold(revision, u64::max);
    for item in newer {
        apply_change(node, Change::Put(item));
    }
    node.mirror.borrow_mut().advance(Section::Catalog, newest);
    Ok(next)
}

/// Reads the catalogue after its history was compacted. An unchanged one is not transferred.
async fn reread_catalog<E: Edge>(node: &Rc<Node<E>>) -> Result<Next, Fault> {
    // Any small item tells the store's revision.
    let read = read(node, &takeover_lock_key::<E>()).await?;
    let next = match read_newer_catalog(node).await {
        Err(Fault::Compacted) => return read_section(node, Section::Catalog).await,
        next => next?,
    };
    node.mirror.borrow_mut().advance(Section::Catalog, read.at);
    // A store that refuses each watch isn't asked without a pause.
    match next {
        Next::Watch => Ok(Next::Pause),
        next => Ok(next),
    }
}

/// Waits until this instance has not been a relay of its zone for a while.
async fn wait_until_relieved<E: Edge>(node: &Node<E>, section: Section) {
    let mut since = Boot.now();
    while since + WATCH_LINGER > Boot.now() {
        sleep(RELAY_CHECK_INTERVAL).await;
        if is_followed(node, section) {
            since = Boot.now();
        }
    }
}
