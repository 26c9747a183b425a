//! What instances tell each other.

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use model::{Position, Term, name};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// An instance's short name on the wire: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node(pub [u8; 8]);

impl Node {
    /// The short name of `instance`.
    ///
    /// ```
    /// let name = model::name::Instance::new("nl-1").unwrap();
    /// assert_eq!(wire::Node::of(&name), wire::Node::of(&name));
    /// ```
    pub fn of(instance: &name::Instance) -> Self {
        Self(xxh3_64(instance.as_str().as_bytes()).to_le_bytes())
    }

    /// The hash as a number.
    pub fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

/// A state of the store's keys that the fleet mirrors.
///
/// The store's revision orders all changes. The epoch is raised by operators
/// after the store was restored from a backup, and goes before the number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often operators have declared the store restored.
    pub epoch: u32,
    /// The store's revision.
    pub number: u64,
}

impl Revision {
    /// Before any change: what an instance that holds nothing has.
    pub const NONE: Self = Self {
        epoch: 0,
        number: 0,
    };
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// What an instance holds, told with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct View {
    /// The newest revision that it mirrors.
    pub revision: Revision,
    /// A digest over all keys, revisions and values of that revision.
    pub digest: u64,
    /// The catalogue revision in force, where it is not the newest mirrored.
    pub applied: Option<Revision>,
    /// A digest over its table of members.
    pub members: u32,
}

/// Whether a member may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer several peers; it may refute this.
    Suspect,
    /// It finishes what runs and takes no new work.
    Leaving,
    /// It said goodbye, or was silent for long.
    Gone,
}

/// All that is known of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where it listens for peers, by UDP and by TCP.
    pub address: SocketAddr,
    /// Its start in milliseconds since the Unix epoch times 1,024, plus one for
    /// each suspicion that it refuted.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

/// A change of state of a member that the receiver is likely to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The member.
    pub node: Node,
    /// The incarnation that the state is of.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

/// A rumour about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member that joined or restarted.
    Record(Record),
    /// A change of state.
    Mark(Mark),
}

/// One key of the store, as it was at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// The store's revision that wrote or removed it.
    pub revision: u64,
    /// Its value, or `None` where it was removed.
    pub value: Option<Bytes>,
}

/// What leads from one revision to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that it applies to.
    pub from: Revision,
    /// What changed.
    pub changes: Vec<Change>,
}

/// One frame of an answer to [`Message::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The revision that it applies to; `None` when the answer holds every key.
    pub from: Option<Revision>,
    /// The revision that it leads to.
    pub to: Revision,
    /// The digest of that revision.
    pub digest: u64,
    /// Counts the parts of an answer from zero.
    pub index: u32,
    /// How many parts the answer has.
    pub count: u32,
    /// What changed.
    pub changes: Vec<Change>,
}

/// How an instance that probes a database finds its primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It can't tell yet.
    Unsure,
    /// It answers.
    Alive,
    /// It has not answered for too long.
    Silent,
    /// It refuses connections, or says that it is no primary.
    Refused,
}

/// What one candidate tells another of a database's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The database.
    pub database: name::Database,
    /// The term whose primary the verdict is about.
    pub term: Term,
    /// How the teller finds that primary.
    pub verdict: Verdict,
    /// How far that primary's log went when it answered the teller last.
    pub place: Option<Position>,
    /// The claim of a term that the teller is working on.
    pub claim: Option<Term>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// By UDP: a heartbeat that asks for an [`Message::Ack`].
    Ping {
        /// The sender's number for this probe.
        probe: u32,
        /// What the sender holds.
        view: View,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// By UDP: the answer to a ping, or to a probe that a helper passed on.
    Ack {
        /// The number of the probe that is answered.
        probe: u32,
        /// What the sender holds.
        view: View,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// By UDP: asks the receiver to ping `target` for the sender.
    Probe {
        /// The sender's number for this probe.
        probe: u32,
        /// Whom to ping.
        target: SocketAddr,
    },
    /// By UDP: a new revision or member, told at once.
    Rumour {
        /// What the sender holds.
        view: View,
        /// The step to it, where that is small.
        delta: Option<Delta>,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// By UDP: digests of the table of members, a bucket each.
    Buckets(Vec<u32>),
    /// By UDP: what a candidate finds of a database's primary.
    Evidence(Evidence),
    /// By TCP: asks for what leads from a revision to the newest.
    Pull(Revision),
    /// By TCP: an answer to a pull, in parts.
    Part(Part),
    /// By TCP: the receiver answers too many pulls already.
    Busy,
    /// By TCP: asks for members that the sender does not know as they are.
    Members {
        /// The buckets to look at; empty asks for all.
        buckets: Vec<u16>,
        /// Fingerprints of the members that the sender knows in them.
        known: Vec<u32>,
    },
    /// By TCP: the members asked for.
    Table(Vec<Record>),
    /// By TCP: a statement for an upstream connection that the receiver holds.
    Forward {
        /// The generation of the connection; an answer to an earlier one is dropped.
        generation: u64,
        /// Counts the statements of that generation.
        sequence: u64,
        /// The statement, in a form that the pool settles.
        body: Bytes,
    },
    /// By TCP: the answer to a forwarded statement.
    Answer {
        /// The generation of the connection that answers.
        generation: u64,
        /// Which statement is answered.
        sequence: u64,
        /// The answer, in a form that the pool settles.
        body: Bytes,
    },
}
