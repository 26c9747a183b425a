//! Calls to the store, their answers and errors, in the store's own terms.

use std::time::Duration;

/// Key-value pair with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the store at the last change of the key.
    pub revision: u64,
}

/// Condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key to compare.
    pub key: String,
    /// Required revision of the key's last change; 0 if the key must be absent.
    pub revision: u64,
}

/// Write of a key in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
    /// The lease that the key is attached to, if any.
    pub lease: Option<u64>,
}

/// Call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads all keys that begin with `prefix`.
    Range {
        /// The prefix.
        prefix: String,
    },
    /// Reads all keys from `from` up to `to`, which is excluded.
    Span {
        /// The first key.
        from: String,
        /// The first key after the range.
        to: String,
    },
    /// Writes `puts` and removes `deletes` if all conditions hold; otherwise changes nothing and
    /// reads the compared keys.
    Txn {
        /// The conditions.
        compares: Vec<Compare>,
        /// The writes.
        puts: Vec<Put>,
        /// The keys to remove.
        deletes: Vec<String>,
    },
    /// Requests a lease that expires unless it is kept alive within `ttl`.
    Grant {
        /// Time to live, in whole seconds.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease.
        lease: u64,
    },
    /// Revokes a lease and removes its keys.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Answer to [`Call::Range`] and [`Call::Span`].
    Pairs {
        /// The pairs found.
        pairs: Vec<Pair>,
        /// The store's revision.
        revision: u64,
    },
    /// Answer to a [`Call::Txn`] whose conditions held.
    Swapped {
        /// The store's revision after the change.
        revision: u64,
    },
    /// Answer to a [`Call::Txn`] with a failed condition.
    Conflict {
        /// Current pairs of the compared keys, without those of absent keys.
        pairs: Vec<Pair>,
        /// The store's revision.
        revision: u64,
    },
    /// Answer to the calls on leases.
    Lease {
        /// The lease.
        lease: u64,
        /// Remaining time to live; zero if the lease has expired.
        ttl: Duration,
    },
}

/// Change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Pair),
    /// A key was removed.
    Delete {
        /// The key.
        key: String,
        /// The store's revision at the removal.
        revision: u64,
    },
}

/// Reason a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call was not sent, so it had no effect.
    #[error("the store at {endpoint} can't be reached")]
    Unreachable {
        /// Address of the endpoint.
        endpoint: String,
    },
    /// The call was sent and not answered, so it may have taken effect.
    #[error("the store's answer was lost; the call may have taken effect")]
    Lost,
    /// The store refused the call.
    #[error("the store refused the call with code {code}: {message}")]
    Refused {
        /// The gRPC status code.
        code: i64,
        /// Message of the store.
        message: String,
    },
    /// The watch requested changes that the store has compacted.
    #[error("the store has compacted its history up to revision {revision}")]
    Compacted {
        /// The earliest revision available.
        revision: u64,
    },
    /// The answer does not have the expected form.
    #[error("the store's answer is malformed: {what}")]
    Malformed {
        /// The malformed part.
        what: &'static str,
    },
}

/// Returns true if a gRPC status code proves that the store has not executed a call and will
/// not execute it.
///
/// If a code wrongly counted as such a proof, a swap that took effect would be reported as
/// not run and made a second time. Codes 4 (deadline exceeded), 13 (internal) and 14
/// (unavailable) prove nothing: etcd also returns them when it has proposed the change and
/// timed out before the commit was known, so the change may still be committed. Codes 1
/// (cancelled), 2 (unknown), 10 (aborted) and 15 (data loss) do not say how far the call got,
/// and 6 (already exists) may answer the repetition of a call that was executed.
fn proves_not_run(code: i64) -> bool {
    match code {
        // Invalid argument: etcd validates a call before it proposes it.
        3 => true,
        // Not found: the lease named in the call does not exist, and the whole change is
        // refused.
        5 => true,
        // Permission denied: permissions are checked before a change is applied.
        7 => true,
        // Resource exhausted: too many calls, or no space left, which is checked before a
        // change is proposed. One change is in doubt, the one that fills the space: etcd is
        // said to check again when it applies the change, and to return this code although
        // the change took effect.
        8 => true,
        // Failed precondition: the store's state does not permit the call, for example
        // because authentication is not enabled; nothing is applied.
        9 => true,
        // Out of range: the requested revision is compacted or in the future.
        11 => true,
        // Unimplemented: the server does not support the call.
        12 => true,
        // Unauthenticated: the caller is checked first.
        16 => true,
        _ => false,
    }
}

impl Fault {
    /// Returns true if the requested change may have taken effect or may still do so.
    ///
    /// ```
    /// use store::Fault;
    ///
    /// let message = "etcdserver: request timed out".to_owned();
    /// assert!(Fault::Refused { code: 14, message }.may_have_run());
    /// let message = "etcdserver: permission denied".to_owned();
    /// assert!(!Fault::Refused { code: 7, message }.may_have_run());
    /// ```
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Compacted { .. } => false,
            Self::Lost | Self::Malformed { .. } => true,
            Self::Refused { code, .. } => !proves_not_run(*code),
        }
    }
}
