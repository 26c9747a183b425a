//! Datagrams between instances: heartbeats and short messages.

use std::{net::SocketAddr, time::Duration};

use model::Term;
use serde::{Deserialize, Deserializer, Serialize};

use admit::{load::Load, service::Priority};
use lead::{Verdict, freshness::Watermark};

use crate::node::ServiceState;

/// Format from which an instance follows relays and answers requests for proofs. Heartbeats of
/// older instances have no extension.
pub const RELAY_FORMAT: u8 = 1;

/// Format from which an instance sends differences between versions of the catalogue.
pub const DELTA_FORMAT: u8 = 2;

/// Format from which an instance reads load reports.
pub const LOAD_FORMAT: u8 = 3;

/// Format from which an instance tells since when upstreams leave.
pub const LEAVE_FORMAT: u8 = 4;

/// Format of this version.
pub const FORMAT: u8 = LEAVE_FORMAT;

/// Number of reports by which a datagram may be overtaken by later ones.
const MAX_REORDERED: u16 = 64;

/// First byte of a message. A heartbeat begins with the length of a name, which is never zero.
const MESSAGE: u8 = 0;

/// An instance's verdict on a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Name of the primary's service.
    pub service: String,
    /// Term that the primary leads.
    pub term: Term,
    /// The verdict.
    pub verdict: Verdict,
}

/// State of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub name: String,
    /// Address at which peers reach the instance.
    pub address: SocketAddr,
    /// Version of the instance's catalogue.
    pub version: u64,
    /// Verdicts on the primaries in use.
    pub observations: Vec<Observation>,
    /// Upstreams that refuse the instance its first connection.
    pub locked_out: Vec<String>,
    /// Availability zone of the instance.
    pub zone: String,
    /// Processor capacity, in hundredths of a core.
    pub weight: u32,
    /// Ability of the instance to serve sessions.
    pub service: ServiceState,
    /// Whether the instance is stopping.
    pub leaving: bool,
}

/// Contact of an instance with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreContact {
    /// The instance hasn't called the store recently.
    #[default]
    Unknown,
    /// The store recently answered the instance.
    Reachable,
    /// The instance's calls to the store fail.
    Unreachable,
}

/// Reply that a heartbeat requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ReplyRequest {
    /// No reply.
    #[default]
    None,
    /// A heartbeat, because the sender hasn't heard the recipient yet.
    Answer,
    /// A heartbeat that introduces other instances, because the sender doesn't know any
    /// instance of its zone yet.
    Introduce,
}

/// The part of a heartbeat that the previous version doesn't have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Newest format that the instance reads.
    pub format: u8,
    /// Time until the next heartbeat.
    pub next: Duration,
    /// Contact of the instance with the store.
    pub store: StoreContact,
    /// Whether the instance is a relay of its zone.
    pub is_relay: bool,
    /// The requested reply.
    pub reply_request: ReplyRequest,
    /// Other zones from which the instance no longer hears any instance.
    pub unreachable_zones: Vec<String>,
    /// In reply to [`ReplyRequest::Introduce`]: addresses of some instances of the requester's
    /// zone and of some relays.
    pub introduced: Vec<SocketAddr>,
}

/// Key of an upstream in load reports: a hash of its id.
pub type UpstreamKey = [u8; 4];

/// Load of an instance at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// The load.
    pub load: Load,
}

/// The part of a heartbeat behind the extension, sent only where load reports are in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the report, which wraps around.
    pub number: u16,
    /// Loads at the upstreams at which the instance has any.
    pub loads: Vec<UpstreamLoad>,
}

impl LoadReport {
    /// Returns true if the report was sent before the one with this `number`, and arrives late.
    ///
    /// ```
    /// use proxy::peers::heartbeat::LoadReport;
    ///
    /// let report = LoadReport { number: 65_535, loads: Vec::new() };
    /// assert!(report.is_older_than(1));
    /// assert!(!report.is_older_than(65_534));
    /// // A restarted instance begins anew.
    /// assert!(!report.is_older_than(40_000));
    /// ```
    pub fn is_older_than(&self, number: u16) -> bool {
        (1..=MAX_REORDERED).contains(&number.wrapping_sub(self.number))
    }

    /// Appends the report to an encoded heartbeat.
    ///
    /// Instances of an earlier format stop reading at the end of the extension.
    pub fn append_to(&self, heartbeat: &mut Vec<u8>) {
        heartbeat.extend(postcard::to_stdvec(self).unwrap_or_default());
    }
}

/// A request about a proof or a quota, or the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a proof of the lease: a renewal after this request, or the last one and its age.
    LeaseRequest {
        /// Id of the request.
        id: u64,
        /// Address for the answer.
        reply_to: SocketAddr,
    },
    /// The proof lease was renewed after the request arrived.
    LeaseRenewed {
        /// Id of the request.
        id: u64,
        /// Tag of the proof lease.
        proof_lease: u64,
    },
    /// The proof lease was renewed at most `age` before this answer was sent.
    LeaseAge {
        /// Id of the request.
        id: u64,
        /// Tag of the proof lease.
        proof_lease: u64,
        /// Age of the proof.
        age: Duration,
    },
    /// Asks for the age of the peer's freshness proof.
    FreshnessRequest {
        /// Id of the request.
        id: u64,
        /// Address for the answer.
        reply_to: SocketAddr,
    },
    /// The store held nothing newer than `newest` at a time at most `age` before this answer
    /// was sent.
    FreshnessAge {
        /// Id of the request.
        id: u64,
        /// Newest revisions in the store at that time.
        newest: Watermark,
        /// Age of the proof.
        age: Duration,
    },
    /// Asks for operations of an account.
    QuotaRequest {
        /// Id of the request.
        id: u64,
        /// Address for the answer.
        reply_to: SocketAddr,
        /// Name of the account.
        account: String,
        /// Number of operations.
        count: u32,
        /// Priority of the operations; zero is the most urgent, and that of a request by the
        /// previous version, which ends before it.
        #[serde(deserialize_with = "value_or_default")]
        priority: Priority,
    },
    /// Grants operations.
    QuotaGrant {
        /// Id of the request.
        id: u64,
        /// Number of operations granted.
        count: u32,
        /// Time until an operation is available, if none was granted.
        wait: Duration,
        /// Time after which the caller may come back. The previous version doesn't tell it, which
        /// counts as zero.
        #[serde(deserialize_with = "value_or_default")]
        retry: Duration,
    },
}

/// Reads the last field of a message, which is missing from messages of the previous version.
pub(super) fn value_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// A received datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// A heartbeat, with the parts that the sender's version and features have.
    Heartbeat(Heartbeat, Option<Extension>, Option<LoadReport>),
    /// A request or an answer.
    Message(Message),
}

/// Encodes a heartbeat.
///
/// Instances that know no extension stop reading at its beginning.
pub fn encode(heartbeat: &Heartbeat, extension: &Extension) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(heartbeat).ok()?;
    bytes.extend(postcard::to_stdvec(extension).ok()?);
    Some(bytes)
}

/// Encodes a message.
pub fn encode_message(message: &Message) -> Option<Vec<u8>> {
    let mut bytes = vec![MESSAGE];
    bytes.extend(postcard::to_stdvec(message).ok()?);
    Some(bytes)
}

/// Decodes a datagram; `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(message) = bytes.strip_prefix(&[MESSAGE]) {
        return postcard::from_bytes(message).ok().map(Datagram::Message);
    }
    let (heartbeat, rest) = postcard::take_from_bytes::<Heartbeat>(bytes).ok()?;
    if rest.is_empty() {
        return Some(Datagram::Heartbeat(heartbeat, None, None));
    }
    let (extension, rest) = postcard::take_from_bytes::<Extension>(rest).ok()?;
    let report = postcard::from_bytes(rest).ok();
    Some(Datagram::Heartbeat(heartbeat, Some(extension), report))
}
