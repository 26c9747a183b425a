//! The edges of the process: all that another platform puts something else in for.

use std::{fmt::Debug, future::Future, time::Duration};

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    catalog::{Catalog, Upstream},
    message::{Code, Command, Reply, Request, State, Status},
};

/// A platform: its protocol, its store and its orders.
pub trait Edge: Debug + 'static {
    /// The protocol of callers and upstreams.
    type Protocol: Protocol;
    /// The store.
    type Store: Store;
    /// The orders to upstreams that go through the platform.
    type Orders: Orders;

    /// The store.
    fn store(&self) -> &Self::Store;
    /// The orders.
    fn orders(&self) -> &Self::Orders;
    /// The key of the operators' catalogue.
    const CATALOG_KEY: &str;
    /// What the keys of upstreams begin with.
    const UPSTREAMS_PREFIX: &str;
    /// What the keys begin with that instances write.
    const OWN_PREFIX: &str;
    /// Reads a catalogue out of the store's value.
    ///
    /// # Errors
    ///
    /// The value is not a catalogue; the one in force stays.
    fn catalog(value: &[u8]) -> Result<Catalog, Malformed>;
    /// Reads an upstream out of an item's key and value.
    ///
    /// # Errors
    ///
    /// The value is not an upstream's entry.
    fn upstream(key: &str, value: &[u8]) -> Result<Upstream, Malformed>;
}

/// The bytes of callers and upstreams.
///
/// Callers may send anything: half lines, many lines at once, no line for hours;
/// they may leave at any byte. Upstreams may answer late, never, or break off in
/// the middle; none of that is decided here.
pub trait Protocol: 'static {
    /// Takes a caller's next request out of `buf`, `None` if it is not whole.
    ///
    /// # Errors
    ///
    /// The bytes can't be a request; the connection is of no more use.
    fn request(buf: &mut BytesMut) -> Result<Option<Request>, Malformed>;
    /// Writes a success without rows, of this process's own making.
    fn done(state: State, out: &mut BytesMut);
    /// Writes a refusal, and where the session stands behind it.
    fn refusal(code: Code, text: &str, state: State, out: &mut BytesMut);
    /// Writes the answer to a session's start.
    fn welcome(out: &mut BytesMut);
    /// Writes a refusal of a session's start; the connection is closed behind it.
    fn rejection(code: Code, text: &str, out: &mut BytesMut);
    /// Writes a command to an upstream.
    fn command(command: &Command<'_>, out: &mut BytesMut);
    /// Takes an upstream's next answer out of `buf`, `None` if it is not whole.
    ///
    /// # Errors
    ///
    /// The bytes can't be an answer; the connection is of no more use.
    fn reply(buf: &mut BytesMut) -> Result<Option<Reply>, Malformed>;
    /// The code with which an upstream refuses a connection, if `buf` begins with
    /// one; it closes the connection behind it.
    fn rejected(buf: &BytesMut) -> Option<Code>;
    /// Reads the answer to [`Command::Status`] and to orders.
    fn status(reply: &Reply) -> Option<Status>;
}

/// Bytes that are not what they should be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("malformed {what}")]
pub struct Malformed {
    /// What they should be.
    pub what: &'static str,
}

/// How many bits of a revision count the store's own revisions; above them stands its era.
const REVISION_BITS: u32 = 40;

/// A revision in the order that counts: a store that comes back from a copy begins the next
/// era, and gives revisions out again there.
///
/// ```
/// use proxy::edge::{era_of, join_era, store_revision};
/// assert!(join_era(3, 900) < join_era(4, 7));
/// assert_eq!((era_of(join_era(4, 7)), store_revision(join_era(4, 7))), (4, 7));
/// assert_eq!(join_era(4, 0), 0, "there is no such item");
/// ```
pub fn join_era(era: u64, revision: u64) -> u64 {
    match revision {
        0 => 0,
        revision => era << REVISION_BITS | revision,
    }
}

/// The era of the store that a revision is of.
pub fn era_of(revision: u64) -> u64 {
    revision >> REVISION_BITS
}

/// What the store itself calls a revision.
pub fn store_revision(revision: u64) -> u64 {
    revision & ((1 << REVISION_BITS) - 1)
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: u64,
}

/// All items of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the first of them was read.
    pub at: u64,
}

/// What was changed behind a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Written items, and the keys of deleted ones without value, oldest first.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub at: u64,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// A key is gone since this revision.
    Gone(String, u64),
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Gone(key, _) => key,
        }
    }
}

/// A change under a condition: all or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Swap {
    /// Keys with the revision that each must have; zero for none.
    pub expected: Vec<(String, u64)>,
    /// What is written, each with its lease, zero for none.
    pub puts: Vec<(String, Bytes, u64)>,
    /// Keys that are deleted.
    pub deletes: Vec<String>,
}

/// What a conditional change came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect at this revision.
    Done(u64),
    /// A condition did not hold; nothing was changed.
    Conflict,
    /// The lease of an item has ended; nothing was changed.
    NoLease,
}

/// Why a call to the platform has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nothing was done.
    #[error("refused, nothing was done")]
    Refused,
    /// It may have been done, may not, or may be done later.
    #[error("no answer, it may have been done")]
    Unknown,
    /// The history that was asked for is gone: read everything again.
    #[error("the history is gone")]
    Compacted,
    /// What was named does not exist.
    #[error("there is no such thing")]
    Missing,
    /// The answer makes no sense.
    #[error("the answer is malformed")]
    Malformed,
}

/// How long a call's answer may be silent; how long all of it takes says nothing, since a
/// thin link takes a long answer for seconds.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeout {
    /// Until it begins, and between two parts of it; `None` if whoever calls bounds the
    /// whole call.
    limits: Option<(Duration, Duration)>,
}

impl IdleTimeout {
    /// Whoever calls bounds the whole call.
    pub const NONE: Self = Self { limits: None };

    /// The answer begins within `span`, and no pause in it is longer.
    pub fn new(span: Duration) -> Self {
        Self::after_wait(Duration::ZERO, span)
    }

    /// The same behind a `wait` that was asked for.
    pub fn after_wait(wait: Duration, span: Duration) -> Self {
        Self {
            limits: Some((wait + span, span)),
        }
    }

    /// Waits for the beginning of the answer.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] if it does not come, or the call's own fault.
    pub async fn until_first<T, F>(
        self,
        call: impl Future<Output = Result<T, F>>,
    ) -> Result<T, Fault> {
        with_limit(self.limits.map(|(first, _)| first), call).await
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] if it does not come, or the call's own fault.
    pub async fn until_next<T, F>(
        self,
        call: impl Future<Output = Result<T, F>>,
    ) -> Result<T, Fault> {
        with_limit(self.limits.map(|(_, next)| next), call).await
    }
}

async fn with_limit<T, F>(
    span: Option<Duration>,
    call: impl Future<Output = Result<T, F>>,
) -> Result<T, Fault> {
    let called = match span {
        Some(span) => timeout(span, call).await.map_err(|_| Fault::Unknown)?,
        None => call.await,
    };
    called.map_err(|_| Fault::Unknown)
}

/// The platform's store.
///
/// A call may be answered late or never; one that is not answered may have been
/// done, or may be done seconds later if its condition still holds. Dropping a
/// call's future ends its connection. Keys under a lease may vanish unseen.
///
/// It may come back from a copy that is some seconds old: then it is in its next era, and
/// what was written since is gone, leases too, and what had ended since may be back.
/// Revisions carry their era ([`join_era`]), and none of an earlier era holds any more.
pub trait Store {
    /// The newest era that an answer named; zero if none did.
    fn era(&self) -> u64;
    /// Reads all items of a prefix; current, not cached. Gives up once nothing of the
    /// answer came for `quiet`, however long all of it takes.
    fn read(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Items, Fault>>;
    /// Reads the first page of a prefix, for a tenth of the price; it may be seconds old.
    fn read_stale(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Items, Fault>>;
    /// Reads those of the items whose newest revision is not the one beside its key, zero
    /// for none. Those that don't exist are left out.
    fn read_newer(
        &self,
        known: &[(&str, u64)],
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Vec<Item>, Fault>>;
    /// Waits up to `wait` for changes behind revision `after`: each of them as it was,
    /// also where a later one overtook it. Gives up once nothing of the answer came for
    /// `quiet`.
    ///
    /// No changes are no proof that there were none.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;
    /// Changes items under a condition.
    fn swap(&self, swap: &Swap) -> impl Future<Output = Result<Swapped, Fault>>;
    /// Makes a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<u64, Fault>>;
    /// Renews a lease; the era in which the store did. [`Fault::Missing`] if it has ended.
    fn keep_alive(&self, lease: u64) -> impl Future<Output = Result<u64, Fault>>;
    /// Ends a lease; [`Fault::Missing`] if it has ended before.
    fn revoke(&self, lease: u64) -> impl Future<Output = Result<(), Fault>>;
}

/// The orders that go through the platform.
pub trait Orders {
    /// Tells an upstream to lead its service's next term.
    ///
    /// The order takes effect some time behind its answer. Without an answer it
    /// may have been taken, now or later; dropping the future resets the
    /// connection, so that nothing of it can arrive much later.
    fn promote(
        &self,
        service: &str,
        upstream: &str,
        holder: &str,
        fence: u64,
    ) -> impl Future<Output = Result<(), Fault>>;
}
