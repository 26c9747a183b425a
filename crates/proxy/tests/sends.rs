//! Order in which an instance sends catalogues to its peers.

use std::{future::Future, pin::Pin};

use futures_util::FutureExt;
use proxy::catalog_sends::{CatalogSends, Content, Recipient, Slot};

/// More than may be in transit at once.
const SIZE: usize = 1 << 20;

type Acquire = Pin<Box<dyn Future<Output = Slot>>>;

fn request(sends: &CatalogSends, recipient: Recipient) -> Acquire {
    let mut acquire: Acquire = Box::pin(sends.acquire(Content::Catalog, SIZE, recipient));
    assert!((&mut acquire).now_or_never().is_none(), "nothing is free");
    acquire
}

/// Guards against a relay that waits behind the followers of the reader which it asks: its own
/// followers wait as long.
#[test]
fn a_relay_is_sent_a_catalogue_before_the_followers_that_wait() {
    let sends = CatalogSends::new(None);
    let first = sends
        .acquire(Content::Catalog, SIZE, Recipient::Follower)
        .now_or_never();
    let mut followers: Vec<_> = (0..3)
        .map(|_| request(&sends, Recipient::Follower))
        .collect();
    let mut relay = request(&sends, Recipient::Relay);
    drop(first);
    // The follower at the head of the queue keeps its place.
    let second = (&mut followers[0]).now_or_never();
    assert!(second.is_some());
    assert!((&mut followers[1]).now_or_never().is_none());
    drop(second);
    assert!((&mut followers[1]).now_or_never().is_none());
    let third = (&mut relay).now_or_never();
    assert!(third.is_some());
    drop(third);
    for follower in &mut followers[1..] {
        assert!(follower.now_or_never().is_some());
    }
}

/// Guards against a slot that is kept by a recipient which no longer waits.
#[test]
fn a_follower_that_leaves_gives_up_its_place() {
    let sends = CatalogSends::new(None);
    let first = sends
        .acquire(Content::Catalog, SIZE, Recipient::Follower)
        .now_or_never();
    let left: Vec<_> = (0..2)
        .map(|_| request(&sends, Recipient::Follower))
        .collect();
    let mut last = request(&sends, Recipient::Follower);
    drop(left);
    assert!((&mut last).now_or_never().is_none());
    drop(first);
    assert!((&mut last).now_or_never().is_some());
}

/// Guards against a reader that waits for peers which have left, or doesn't wait for those that
/// have not been sent the catalogue yet.
#[test]
fn transfers_are_pending_until_they_end_or_their_peer_leaves() {
    let sends = CatalogSends::new(None);
    assert!(sends.is_idle());
    let first = sends
        .acquire(Content::Catalog, SIZE, Recipient::Relay)
        .now_or_never();
    let second = request(&sends, Recipient::Follower);
    drop(first);
    assert!(!sends.is_idle());
    let third = request(&sends.clone(), Recipient::Follower);
    drop(second);
    assert!(!sends.is_idle());
    drop(third);
    assert!(sends.is_idle());
}

/// Guards against a fleet that starts for a minute: a relay sent one instance after the other the
/// whole, though its link carried a hundred at once.
#[test]
fn as_much_is_in_transit_as_the_link_carries() {
    let count = |link, content| {
        let sends = CatalogSends::new(link);
        let acquire = || sends.acquire(content, SIZE, Recipient::Follower);
        let slots = (0..100).map_while(|_| acquire().now_or_never());
        slots.collect::<Vec<_>>().len()
    };
    let [thin, fast] = [250_000, 125_000_000];
    for content in [Content::Differences, Content::Catalog, Content::Snapshot] {
        assert_eq!(count(None, content), 1);
        assert_eq!(count(Some(thin), content), 1);
        assert_eq!(count(Some(fast), content), 15);
    }
}

/// Guards against a change that is in force late because instances that start are sent whole
/// catalogues one after the other.
#[test]
fn what_is_urgent_does_not_wait_for_instances_that_start() {
    let sends = CatalogSends::new(None);
    let acquire = |content| sends.acquire(content, SIZE, Recipient::Follower);
    let started = acquire(Content::Snapshot).now_or_never();
    let mut waiting = Box::pin(acquire(Content::Snapshot));
    assert!((&mut waiting).now_or_never().is_none());
    let catalog = acquire(Content::Catalog).now_or_never();
    let differences = acquire(Content::Differences).now_or_never();
    assert!(started.is_some() && catalog.is_some() && differences.is_some());
}
