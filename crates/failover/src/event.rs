//! Events, actions and messages of a group.

use std::collections::BTreeMap;

use clock::Instant;
use model::{Position, Record, Report, Term, name};
use serde::{Deserialize, Serialize};

/// Number of a call, which matches an answer to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// An upstream of the group as listed in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Service status; a leaving upstream becomes primary only if no active one
    /// can.
    pub status: Status,
}

/// Service status of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The upstream stays in service.
    Active,
    /// The upstream is being taken out of service.
    Leaving,
}

/// A record of the store with the revision that a compare-and-swap must expect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Store revision of the record.
    pub revision: u64,
    /// Record in the store.
    pub record: Record,
}

/// Revision to expect when no record exists yet.
pub const ABSENT_REVISION: u64 = 0;

/// Reason for which an upstream gave no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Fault {
    /// The host refuses connections.
    #[error("connection refused")]
    Refused,
    /// The connection broke before the answer was complete.
    #[error("connection broken")]
    Broken,
    /// No answer arrived before the time-out.
    #[error("no answer in time")]
    Timeout,
    /// The upstream runs, but all of its connections are taken.
    #[error("no room for another connection")]
    Full,
    /// The upstream is fenced to this term, which is higher than the order's.
    #[error("fenced to term {0}")]
    Fenced(Term),
}

/// Reason for which the store gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// The record is not at the expected revision.
    #[error("the record has changed")]
    Conflict,
    /// No answer arrived; a swap may have taken effect or may do so later.
    #[error("no answer from the store")]
    Unanswered,
}

/// Report of one candidate to the others about the primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Database of the group.
    pub database: name::Database,
    /// Term of the primary that `view` describes.
    pub term: Term,
    /// The sender's view of that primary.
    pub view: View,
    /// End of that primary's log in its last answer to the sender.
    pub place: Option<Position>,
    /// Term of the claim on which the sender is working.
    pub claim: Option<Term>,
}

/// State of an upstream as seen by a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// The candidate cannot tell yet: no answer has arrived.
    Unsure,
    /// The upstream answers.
    Alive,
    /// The upstream has not answered within its time-out.
    Silent,
    /// The upstream refuses connections, or reports that it is not a primary.
    Refused,
}

/// An order to an upstream; orders are idempotent.
///
/// An upstream refuses with [`Fault::Fenced`] every order whose term is below
/// the one to which it is fenced, and keeps that term over restarts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Accept no write and no log of a lower term, then report.
    Fence {
        /// Term of the claim.
        term: Term,
    },
    /// Become the primary of this term.
    Promote {
        /// Term of the claim.
        term: Term,
    },
    /// Follow the primary of this term and drop log that the primary does not
    /// have.
    Follow {
        /// Term of the primary.
        term: Term,
        /// Upstream to follow.
        upstream: name::Upstream,
    },
}

/// Input of a group.
#[derive(Debug, Clone)]
pub enum Event {
    /// The time requested by [`Action::Wake`] has come.
    Tick,
    /// Live instances and their zones.
    Members(BTreeMap<name::Instance, name::Zone>),
    /// Upstreams of the group as the catalogue lists them now.
    Upstreams(BTreeMap<name::Upstream, Member>),
    /// An upstream answered a probe or an order, or failed to answer.
    Answer {
        /// Call of the request.
        call: Call,
        /// Upstream concerned.
        upstream: name::Upstream,
        /// Report of the upstream.
        result: Result<Report, Fault>,
    },
    /// Evidence of another candidate arrived.
    Evidence {
        /// Sending instance.
        from: name::Instance,
        /// Zone of the sending instance.
        zone: name::Zone,
        /// Content of the message.
        evidence: Evidence,
    },
    /// The store answered an [`Action::Read`]; `None` means that no record
    /// exists.
    Read {
        /// Call of the request.
        call: Call,
        /// Record in the store.
        result: Result<Option<Entry>, StoreFault>,
    },
    /// The store answered an [`Action::Swap`] with the new revision.
    Swapped {
        /// Call of the request.
        call: Call,
        /// New revision of the record.
        result: Result<u64, StoreFault>,
    },
    /// A store watch delivered the record.
    Watched(Entry),
    /// Another instance announced this record.
    Announced(Entry),
}

/// Output of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request a report from an upstream.
    Probe {
        /// Call to answer.
        call: Call,
        /// Upstream concerned.
        upstream: name::Upstream,
    },
    /// Send an order to an upstream and answer with the report that follows the
    /// order.
    Order {
        /// Call to answer.
        call: Call,
        /// Upstream concerned.
        upstream: name::Upstream,
        /// Order to send.
        order: Order,
    },
    /// Send evidence to another candidate, without acknowledgement.
    SendEvidence {
        /// Receiving candidate.
        to: name::Instance,
        /// Evidence to send.
        evidence: Evidence,
    },
    /// Read the record from the store.
    Read {
        /// Call to answer.
        call: Call,
    },
    /// Replace the record if its revision is the expected one.
    Swap {
        /// Call to answer.
        call: Call,
        /// Expected revision, or [`ABSENT_REVISION`].
        expected: u64,
        /// Record to write.
        record: Record,
    },
    /// Announce the primary to all instances. The revision is that of the claim
    /// until the record of the promotion is in the store.
    Announce(Entry),
    /// Send [`Event::Tick`] at this time; replaces an earlier `Wake`.
    Wake {
        /// Time of the tick.
        at: Instant,
    },
}
