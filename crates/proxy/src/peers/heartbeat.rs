//! What instances tell each other by datagram.

use std::{net::SocketAddr, time::Duration};

use model::Term;
use serde::{Deserialize, Serialize};

use lead::{Verdict, freshness::Watermark};

use crate::node::ServiceState;

/// The format that this version writes. The version before wrote beats without one, and
/// reads the first part of a beat.
pub const FORMAT: u8 = 1;

/// The first byte of a question for a proof and of its answer; a beat begins with the
/// length of a name, which is never zero.
const MESSAGE: u8 = 0;

/// What an instance says of a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The primary's service.
    pub service: String,
    /// The term that it leads.
    pub term: Term,
    /// What is seen of it.
    pub verdict: Verdict,
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its name.
    pub name: String,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// The version of its catalogue.
    pub version: u64,
    /// What it sees of the primaries that it is asked for.
    pub observations: Vec<Observation>,
    /// The upstreams that refuse it its first connection.
    pub locked_out: Vec<String>,
    /// Its availability zone.
    pub zone: String,
    /// How much processor it has, in hundredths of a core.
    pub weight: u32,
    /// Whether it serves.
    pub service: ServiceState,
    /// Whether it stops.
    pub leaving: bool,
}

/// Whether an instance hears the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreContact {
    /// It did not ask lately.
    #[default]
    Unknown,
    /// The store answered it a moment ago.
    Reachable,
    /// It asks in vain.
    Unreachable,
}

/// Whether a beat asks for an answer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ReplyRequest {
    /// It does not.
    #[default]
    None,
    /// Its sender has not heard whom it tells this.
    Answer,
    /// Its sender knows nobody of its zone yet, and asks to be introduced.
    Introduce,
}

/// What an instance of this version says beside its [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The newest format that it reads.
    pub format: u8,
    /// When its next beat is due.
    pub next: Duration,
    /// Whether it hears the store.
    pub store: StoreContact,
    /// Whether it asks the store for its zone.
    pub is_relay: bool,
    /// Whether it asks for an answer.
    pub reply_request: ReplyRequest,
    /// The other zones of which it hears nobody any more.
    pub unreachable_zones: Vec<String>,
    /// To one that asks for it: where some instances of its zone, and all relays, are reached.
    pub introduced: Vec<SocketAddr>,
}

/// A question for a proof or a right, or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Renew the era, not before this came, and answer here.
    LeaseRequest {
        /// What the answer is to name.
        id: u64,
        /// Where it is to go.
        reply_to: SocketAddr,
    },
    /// The era was renewed after the question came.
    LeaseRenewed {
        /// What the question named.
        id: u64,
        /// The lease of the era.
        proof_lease: u64,
    },
    /// The era was renewed so long before this is told, or later.
    LeaseAge {
        /// What the question named.
        id: u64,
        /// The lease of the era.
        proof_lease: u64,
        /// How old that proof is.
        age: Duration,
    },
    /// How surely do you know what may be asked for? Answer here.
    FreshnessRequest {
        /// What the answer is to name.
        id: u64,
        /// Where it is to go.
        reply_to: SocketAddr,
    },
    /// For so long nothing newer than this was in the store, at least.
    FreshnessAge {
        /// What the question named.
        id: u64,
        /// The newest that was there.
        newest: Watermark,
        /// How old that proof is.
        age: Duration,
    },
    /// May so many operations of this account run? Answer here.
    QuotaRequest {
        /// What the answer is to name.
        id: u64,
        /// Where it is to go.
        reply_to: SocketAddr,
        /// The account.
        account: String,
        /// How many.
        count: u32,
    },
    /// So many may run.
    QuotaGrant {
        /// What the question named.
        id: u64,
        /// How many.
        count: u32,
        /// If none: how long it takes until one may.
        wait: Duration,
    },
}

/// A datagram that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// An instance lives.
    Heartbeat(Heartbeat, Option<Extension>),
    /// About a proof.
    Message(Message),
}

/// A beat as it is sent.
///
/// The version before stops reading where `more` begins.
pub fn encode(heartbeat: &Heartbeat, extension: &Extension) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(heartbeat).ok()?;
    bytes.extend(postcard::to_stdvec(extension).ok()?);
    Some(bytes)
}

/// A question or an answer as it is sent.
pub fn encode_message(message: &Message) -> Option<Vec<u8>> {
    let mut bytes = vec![MESSAGE];
    bytes.extend(postcard::to_stdvec(message).ok()?);
    Some(bytes)
}

/// Reads a datagram; `None` if it is none of ours.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(message) = bytes.strip_prefix(&[MESSAGE]) {
        return postcard::from_bytes(message).ok().map(Datagram::Message);
    }
    let (heartbeat, rest) = postcard::take_from_bytes::<Heartbeat>(bytes).ok()?;
    let extension = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest).ok()?),
    };
    Some(Datagram::Heartbeat(heartbeat, extension))
}
