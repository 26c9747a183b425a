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
const PROOF: u8 = 0;

/// What an instance says of a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Belief {
    /// The primary's service.
    pub service: String,
    /// The term that it leads.
    pub term: Term,
    /// What is seen of it.
    pub verdict: Verdict,
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Its name.
    pub name: String,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// The version of its catalogue.
    pub version: u64,
    /// What it sees of the primaries that it is asked for.
    pub beliefs: Vec<Belief>,
    /// The upstreams that refuse it its first connection.
    pub starved: Vec<String>,
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
pub enum Hearing {
    /// It did not ask lately.
    #[default]
    Unknown,
    /// The store answered it a moment ago.
    Hears,
    /// It asks in vain.
    Deaf,
}

/// Whether a beat asks for an answer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Greeting {
    /// It does not.
    #[default]
    None,
    /// Its sender has not heard whom it tells this.
    Answer,
    /// Its sender knows nobody of its zone yet, and asks to be introduced.
    Introduce,
}

/// What an instance of this version says beside its [`Beat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct More {
    /// The newest format that it reads.
    pub format: u8,
    /// When its next beat is due.
    pub next: Duration,
    /// Whether it hears the store.
    pub hearing: Hearing,
    /// Whether it asks the store for its zone.
    pub relays: bool,
    /// Whether it asks for an answer.
    pub greeting: Greeting,
    /// The other zones of which it hears nobody any more.
    pub silent: Vec<String>,
    /// To one that asks for it: where some instances of its zone, and all relays, are reached.
    pub near: Vec<SocketAddr>,
}

/// A question for a proof or a right, or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proof {
    /// Renew the era, not before this came, and answer here.
    Ask {
        /// What the answer is to name.
        stamp: u64,
        /// Where it is to go.
        answer: SocketAddr,
    },
    /// The era was renewed after the question came.
    Told {
        /// What the question named.
        stamp: u64,
        /// The lease of the era.
        era: u64,
    },
    /// The era was renewed so long before this is told, or later.
    Aged {
        /// What the question named.
        stamp: u64,
        /// The lease of the era.
        era: u64,
        /// How old that proof is.
        age: Duration,
    },
    /// How surely do you know what may be asked for? Answer here.
    AskFresh {
        /// What the answer is to name.
        stamp: u64,
        /// Where it is to go.
        answer: SocketAddr,
    },
    /// For so long nothing newer than this was in the store, at least.
    Fresh {
        /// What the question named.
        stamp: u64,
        /// The newest that was there.
        newest: Watermark,
        /// How old that proof is.
        age: Duration,
    },
    /// May so many operations of this account run? Answer here.
    Take {
        /// What the answer is to name.
        stamp: u64,
        /// Where it is to go.
        answer: SocketAddr,
        /// The account.
        account: String,
        /// How many.
        count: u32,
    },
    /// So many may run.
    Given {
        /// What the question named.
        stamp: u64,
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
    Beat(Beat, Option<More>),
    /// About a proof.
    Proof(Proof),
}

/// A beat as it is sent.
///
/// The version before stops reading where `more` begins.
pub fn encode(beat: &Beat, more: &More) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(beat).ok()?;
    bytes.extend(postcard::to_stdvec(more).ok()?);
    Some(bytes)
}

/// A question or an answer as it is sent.
pub fn encode_proof(proof: &Proof) -> Option<Vec<u8>> {
    let mut bytes = vec![PROOF];
    bytes.extend(postcard::to_stdvec(proof).ok()?);
    Some(bytes)
}

/// Reads a datagram; `None` if it is none of ours.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(proof) = bytes.strip_prefix(&[PROOF]) {
        return postcard::from_bytes(proof).ok().map(Datagram::Proof);
    }
    let (beat, rest) = postcard::take_from_bytes::<Beat>(bytes).ok()?;
    let more = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest).ok()?),
    };
    Some(Datagram::Beat(beat, more))
}
