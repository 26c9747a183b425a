//! What a group is told, and what it asks for in return.

use std::collections::BTreeMap;

use clock::Instant;
use model::{Position, Record, Report, Term, name};
use serde::{Deserialize, Serialize};

/// Ties an answer to what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// An upstream of the group, as the catalogue has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its availability zone.
    pub zone: name::Zone,
    /// Whether it is leaving, and can't become primary if another can.
    pub status: Status,
}

/// Whether an upstream stays in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It stays.
    Active,
    /// It is being taken out of service.
    Leaving,
}

/// The store's record with the revision that a swap must expect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The store's revision of the record.
    pub revision: u64,
    /// The record.
    pub record: Record,
}

/// The revision to expect when there must be no record yet.
pub const ABSENT_REVISION: u64 = 0;

/// Why an upstream gave no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Fault {
    /// The host refuses connections.
    #[error("connection refused")]
    Refused,
    /// The connection broke before the answer was whole.
    #[error("connection broken")]
    Broken,
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The upstream runs and has no room for another connection.
    #[error("no room for another connection")]
    Full,
    /// It is fenced to a higher term than the order's.
    #[error("fenced to term {0}")]
    Fenced(Term),
}

/// Why the store gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// The record is not at the expected revision.
    #[error("the record has changed")]
    Conflict,
    /// No answer came; a swap may have taken effect or may yet do so.
    #[error("no answer from the store")]
    Unanswered,
}

/// What one candidate tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The group.
    pub database: name::Database,
    /// The term whose primary `view` is about.
    pub term: Term,
    /// How the teller finds that primary.
    pub view: View,
    /// How far that primary's log went when it answered the teller last.
    pub place: Option<Position>,
    /// The claim that the teller is working on.
    pub claim: Option<Term>,
}

/// How a candidate finds an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// It can't tell yet.
    Unsure,
    /// It answers.
    Alive,
    /// It has not answered for too long.
    Silent,
    /// It refuses connections, or says that it is no primary.
    Refused,
}

/// What an upstream is ordered; each order may be repeated without harm.
///
/// An upstream refuses with [`Fault::Fenced`] every order whose term is below
/// the one it is fenced to, and keeps that term over restarts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Take no write and follow no log of a lower term; then report.
    Fence {
        /// The claimed term.
        term: Term,
    },
    /// Become the primary of this term.
    Promote {
        /// The claimed term.
        term: Term,
    },
    /// Follow the primary of this term, dropping log that it does not have.
    Follow {
        /// The primary's term.
        term: Term,
        /// The primary.
        upstream: name::Upstream,
    },
}

/// What a group is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A moment that was asked for with [`Action::Wake`] has come.
    Tick,
    /// The live instances, with their zones.
    Members(BTreeMap<name::Instance, name::Zone>),
    /// The group's upstreams, as the catalogue has them now.
    Upstreams(BTreeMap<name::Upstream, Member>),
    /// An upstream answered a probe or an order, or failed to.
    Answer {
        /// What was asked.
        call: Call,
        /// The upstream.
        upstream: name::Upstream,
        /// Its report.
        result: Result<Report, Fault>,
    },
    /// Another candidate told its evidence.
    Evidence {
        /// The teller.
        from: name::Instance,
        /// The teller's zone.
        zone: name::Zone,
        /// What it tells.
        evidence: Evidence,
    },
    /// The store answered an [`Action::Read`]; `None` means no record.
    Read {
        /// What was asked.
        call: Call,
        /// The record.
        result: Result<Option<Entry>, StoreFault>,
    },
    /// The store answered an [`Action::Swap`] with the new revision.
    Swapped {
        /// What was asked.
        call: Call,
        /// The record's new revision.
        result: Result<u64, StoreFault>,
    },
    /// A watch of the store showed the record.
    Watched(Entry),
    /// Another instance announced the record.
    Announced(Entry),
}

/// What a group asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask an upstream for its report.
    Probe {
        /// To answer with.
        call: Call,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Send an upstream an order, and answer with the report that follows it.
    Order {
        /// To answer with.
        call: Call,
        /// The upstream.
        upstream: name::Upstream,
        /// The order.
        order: Order,
    },
    /// Tell another candidate, without confirmation.
    SendEvidence {
        /// The candidate.
        to: name::Instance,
        /// What to tell.
        evidence: Evidence,
    },
    /// Read the record.
    Read {
        /// To answer with.
        call: Call,
    },
    /// Replace the record if it is still at a revision.
    Swap {
        /// To answer with.
        call: Call,
        /// The revision it must have, or [`ABSENT_REVISION`].
        expected: u64,
        /// The new record.
        record: Record,
    },
    /// Spread to all instances who leads. The revision is that of the claim
    /// while the record of the promotion is still on its way to the store.
    Announce(Entry),
    /// Send [`Event::Tick`] at this moment; replaces earlier wishes.
    Wake {
        /// The moment.
        at: Instant,
    },
}
