//! Interfaces to everything outside the process; a platform implements them.

use std::{fmt::Debug, future::Future, time::Duration};

use bytes::{Bytes, BytesMut};
use clock::Instant;
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    catalog::{Catalog, Upstream},
    message::{Code, Command, Reply, Request, State, Status},
};

/// A platform: protocol, store and orders.
pub trait Edge: Debug + 'static {
    /// Protocol of callers and upstreams.
    type Protocol: Protocol;
    /// The store.
    type Store: Store;
    /// The orders to upstreams that go through the platform.
    type Orders: Orders;

    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the orders.
    fn orders(&self) -> &Self::Orders;
    /// The key of the operators' catalogue.
    const CATALOG_KEY: &str;
    /// Prefix of the upstreams' keys.
    const UPSTREAMS_PREFIX: &str;
    /// Prefix of the keys that instances write.
    const OWN_PREFIX: &str;
    /// Parses a catalogue from the store's value.
    ///
    /// # Errors
    ///
    /// The value is not a catalogue; the one in force stays.
    fn catalog(value: &[u8]) -> Result<Catalog, Malformed>;
    /// Parses an upstream's entry from its key and value.
    ///
    /// # Errors
    ///
    /// The value is not an upstream's entry.
    fn upstream(key: &str, value: &[u8]) -> Result<Upstream, Malformed>;
}

/// Wire format of callers and upstreams.
///
/// Callers may send anything: partial lines, many lines at once, nothing for hours; they may
/// disconnect at any byte. Upstreams may answer late or never, or break off within an answer. An
/// implementation only parses and writes; it handles none of these cases.
pub trait Protocol: 'static {
    /// Takes a caller's next request out of `buf`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not a request; the connection can't be used any more.
    fn request(buf: &mut BytesMut) -> Result<Option<Request>, Malformed>;
    /// Writes a success without rows that this process produced.
    fn done(state: State, out: &mut BytesMut);
    /// Writes a refusal and the session's state after it.
    fn refusal(code: Code, text: &str, state: State, out: &mut BytesMut);
    /// Writes the answer to a session's start.
    fn welcome(out: &mut BytesMut);
    /// Writes a refusal of a session's start; the connection is closed after it.
    fn rejection(code: Code, text: &str, out: &mut BytesMut);
    /// Writes a command to an upstream.
    fn command(command: &Command<'_>, out: &mut BytesMut);
    /// Takes an upstream's next answer out of `buf`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not an answer; the connection can't be used any more.
    fn reply(buf: &mut BytesMut) -> Result<Option<Reply>, Malformed>;
    /// Returns the code with which an upstream refuses a connection, if `buf` begins with one; the
    /// upstream closes the connection after it.
    fn rejected(buf: &BytesMut) -> Option<Code>;
    /// Parses the answer to [`Command::Status`] and to orders.
    fn status(reply: &Reply) -> Option<Status>;
}

/// Input that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("malformed {what}")]
pub struct Malformed {
    /// Name of the expected format.
    pub what: &'static str,
}

/// Number of a revision's low bits that hold the store's own revision; the bits above hold the
/// store's era.
const REVISION_BITS: u32 = 40;

/// The same for own revisions that need more bits. The largest one is the largest number that each
/// reader of JSON holds exactly.
const WIDE_REVISION_BITS: u32 = 53;

/// Marks a revision with [`WIDE_REVISION_BITS`].
const WIDE: u64 = 1 << 63;

/// Joins the store's era and its own revision into one number that never goes back: a store that is
/// restored from a copy begins a new era and issues revision numbers again.
///
/// ```
/// use proxy::edge::{era_of, join_era, store_revision};
/// assert!(join_era(3, 900) < join_era(4, 7));
/// assert_eq!((era_of(join_era(4, 7)), store_revision(join_era(4, 7))), (4, 7));
/// assert_eq!(join_era(4, 0), 0, "there is no such item");
/// let wide = 1 << 41;
/// assert!(join_era(0, 7) < join_era(0, wide) && join_era(0, wide) < join_era(1, wide));
/// assert_eq!((era_of(join_era(0, wide)), store_revision(join_era(0, wide))), (0, wide));
/// ```
pub fn join_era(era: u64, revision: u64) -> u64 {
    match revision {
        0 => 0,
        _ if revision >> REVISION_BITS == 0 => era << REVISION_BITS | revision,
        _ => WIDE | era << WIDE_REVISION_BITS | revision,
    }
}

fn revision_bits(revision: u64) -> u32 {
    match revision & WIDE {
        0 => REVISION_BITS,
        _ => WIDE_REVISION_BITS,
    }
}

/// Returns the store's era in which a revision was issued.
pub fn era_of(revision: u64) -> u64 {
    fencing_token(revision) >> revision_bits(revision)
}

/// Returns the number by which the store itself knows a revision.
pub fn store_revision(revision: u64) -> u64 {
    revision & ((1 << revision_bits(revision)) - 1)
}

/// Returns the fencing token of a lock that was taken at `revision`: a number of 63 bits that rises
/// with the revision.
///
/// ```
/// use proxy::edge::{fencing_token, join_era};
/// assert_eq!(fencing_token(join_era(0, 7)), 7);
/// assert_eq!(fencing_token(join_era(0, 1 << 41)), 1 << 41);
/// ```
pub fn fencing_token(revision: u64) -> u64 {
    revision & !WIDE
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// The item's key.
    pub key: String,
    /// The item's value.
    pub value: Bytes,
    /// The revision of the item's last change.
    pub revision: u64,
}

/// All items of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the first item was read.
    pub at: u64,
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Written items and the keys of deleted ones, oldest first.
    pub changes: Vec<Change>,
    /// The revision to continue from.
    pub at: u64,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// A key was deleted at this revision.
    Gone(String, u64),
}

impl Change {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Gone(key, _) => key,
        }
    }

    /// Returns the item that was written, if the change is no deletion.
    pub fn item(&self) -> Option<&Item> {
        match self {
            Self::Put(item) => Some(item),
            Self::Gone(..) => None,
        }
    }
}

/// An atomic conditional change of several keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Swap {
    /// Keys with the revision that each must have; zero for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys and values to write, each with its lease; zero for none.
    pub puts: Vec<(String, Bytes, u64)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Result of a conditional change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swapped {
    /// The change took effect at this revision.
    Done(u64),
    /// A condition did not hold; nothing was changed.
    Conflict,
    /// The lease of an item has ended; nothing was changed.
    NoLease,
}

/// A failed call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nothing was done.
    #[error("refused; nothing was done")]
    Refused,
    /// The call may have been executed, or may be executed later.
    #[error("no answer; the call may have been executed")]
    Unknown,
    /// The requested history was compacted: the section has to be read again.
    #[error("the requested history was compacted")]
    Compacted,
    /// The named object does not exist.
    #[error("not found")]
    Missing,
    /// The answer can't be parsed.
    #[error("malformed answer")]
    Malformed,
}

/// Limits on the silence within a call's answer. The total time is not limited, since a long answer
/// takes seconds on a slow link.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeout {
    /// Longest wait for the answer's beginning, and between two parts of it; `None` if the calling
    /// code limits the whole call.
    limits: Option<(Duration, Duration)>,
}

impl IdleTimeout {
    /// No limit: the calling code limits the whole call.
    pub const NONE: Self = Self { limits: None };

    /// Limits the wait for the answer and each pause in it to `limit`.
    pub fn new(limit: Duration) -> Self {
        Self::after_wait(Duration::ZERO, limit)
    }

    /// Adds the requested `wait` to the limit on the answer's beginning.
    pub fn after_wait(wait: Duration, limit: Duration) -> Self {
        Self {
            limits: Some((wait + limit, limit)),
        }
    }

    /// Waits for the beginning of the answer.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] if the limit is exceeded or the call fails.
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
    /// [`Fault::Unknown`] if the limit is exceeded or the call fails.
    pub async fn until_next<T, F>(
        self,
        call: impl Future<Output = Result<T, F>>,
    ) -> Result<T, Fault> {
        with_limit(self.limits.map(|(_, next)| next), call).await
    }
}

async fn with_limit<T, F>(
    limit: Option<Duration>,
    call: impl Future<Output = Result<T, F>>,
) -> Result<T, Fault> {
    let called = match limit {
        Some(limit) => timeout(limit, call).await.map_err(|_| Fault::Unknown)?,
        None => call.await,
    };
    called.map_err(|_| Fault::Unknown)
}

/// The platform's store.
///
/// A call may be answered late or never; a call without an answer may have been executed, or may be
/// executed seconds later if its condition still holds. Dropping a call's future closes its
/// connection. Keys under a lease may expire unnoticed.
///
/// The store may be restored from a copy that is some seconds old. It is in its next era then:
/// later writes and leases are lost, and deleted items may be back. Revisions carry their era
/// ([`join_era`]), and none of an earlier era is valid any more.
pub trait Store {
    /// Returns the newest era that an answer named; zero if none did.
    fn era(&self) -> u64;
    /// Returns the time at which the last part of any answer other than a refusal arrived.
    fn received_at(&self) -> Instant;
    /// Reads the current items of a prefix, past any cache. Fails if the answer stays silent for
    /// `idle_timeout`, however long all of it takes.
    fn read(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Items, Fault>>;
    /// Reads a prefix for a tenth of the price. The items may be some seconds older than `at`.
    fn read_stale(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Items, Fault>>;
    /// Reads the items whose current revision differs from the one given with the key (zero for
    /// none). Items that do not exist are left out.
    fn read_newer(
        &self,
        known: &[(&str, u64)],
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Vec<Item>, Fault>>;
    /// Waits up to `wait` for changes after revision `after`. Each change is returned as it was,
    /// also if a later one superseded it. Fails if the answer stays silent for `idle_timeout`.
    ///
    /// An empty answer does not prove that nothing changed.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;
    /// Executes a conditional change.
    fn swap(&self, swap: &Swap) -> impl Future<Output = Result<Swapped, Fault>>;
    /// Creates a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<u64, Fault>>;
    /// Renews a lease and returns the store's era in which it was renewed; [`Fault::Missing`] if
    /// the lease has ended.
    fn keep_alive(&self, lease: u64) -> impl Future<Output = Result<u64, Fault>>;
    /// Ends a lease; [`Fault::Missing`] if it had ended before.
    fn revoke(&self, lease: u64) -> impl Future<Output = Result<(), Fault>>;
}

/// The orders that go through the platform.
pub trait Orders {
    /// Orders an upstream to lead its service's next term.
    ///
    /// `may_send` is asked right before the order is sent: opening the connection takes time, and
    /// the process may be suspended meanwhile. If it returns false, the order is refused.
    ///
    /// The order takes effect some time after its answer. Without an answer it may have been
    /// accepted, now or later; dropping the future resets the connection, so that no part of the
    /// request can arrive much later.
    fn promote(
        &self,
        service: &str,
        upstream: &str,
        holder: &str,
        fence: u64,
        may_send: &dyn Fn() -> bool,
    ) -> impl Future<Output = Result<(), Fault>>;
}
