//! Messages between instances.

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use model::{Position, Term, name};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of an instance on the wire: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node(pub [u8; 8]);

impl Node {
    /// The identifier of `instance`.
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

/// Revision of the store's keys that the instances mirror.
///
/// The store's revision orders all changes. Operators raise the epoch after the
/// store was restored from a backup, and the epoch takes precedence over the
/// number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of times that operators have declared the store restored.
    pub epoch: u32,
    /// The store's revision.
    pub number: u64,
}

impl Revision {
    /// Revision before any change, held by an instance that has mirrored
    /// nothing.
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

/// Summary of an instance's state, sent with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct View {
    /// Newest mirrored revision.
    pub revision: Revision,
    /// Digest of all keys, revisions and values at that revision.
    pub digest: u64,
    /// Catalogue revision in force, if that is not the newest mirrored one.
    pub applied: Option<Revision>,
    /// Digest of the member table.
    pub members: u32,
}

/// State of a member, which decides if the member may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer probes, and may refute the suspicion.
    Suspect,
    /// The member finishes its running work and takes no new work.
    Leaving,
    /// The member announced its stop, or was silent for too long.
    Gone,
}

/// Full record of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the instance.
    pub name: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Address on which the instance listens for peers, by UDP and TCP.
    pub address: SocketAddr,
    /// Start of the process in milliseconds since the Unix epoch times 1,024,
    /// plus one for each refuted suspicion.
    pub incarnation: u64,
    /// State of the member.
    pub state: State,
}

/// Change of a member's state, for receivers that are likely to have the
/// member's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Identifier of the member.
    pub node: Node,
    /// Incarnation to which the state applies.
    pub incarnation: u64,
    /// State of the member.
    pub state: State,
}

/// A rumour about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member that joined or restarted.
    Record(Record),
    /// A change of a member's state.
    Mark(Mark),
}

/// A key of the store at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// Store revision that wrote or removed the key.
    pub revision: u64,
    /// Value of the key, or `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Changes that lead from one revision to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision to which the changes apply.
    pub from: Revision,
    /// Changed keys.
    pub changes: Vec<Change>,
}

/// One frame of an answer to [`Message::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Revision to which the changes apply; `None` if the answer contains every
    /// key.
    pub from: Option<Revision>,
    /// Revision to which the changes lead.
    pub to: Revision,
    /// Digest of that revision.
    pub digest: u64,
    /// Index of the part in the answer, from zero.
    pub index: u32,
    /// Number of parts in the answer.
    pub count: u32,
    /// Changed keys.
    pub changes: Vec<Change>,
}

/// State of a database's primary, as judged by an instance that probes the
/// primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// There is no verdict yet.
    Unsure,
    /// The primary answers.
    Alive,
    /// The primary has not answered for too long.
    Silent,
    /// The primary refuses connections, or reports that it is no primary.
    Refused,
}

/// Report about a database's primary from one failover candidate to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The database.
    pub database: name::Database,
    /// Term whose primary the verdict is about.
    pub term: Term,
    /// Verdict of the sender about that primary.
    pub verdict: Verdict,
    /// Log position of that primary at its last answer to the sender.
    pub place: Option<Position>,
    /// Term that the sender is claiming.
    pub claim: Option<Term>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// UDP: heartbeat that requests a [`Message::Ack`].
    Ping {
        /// Number of the probe, chosen by the sender.
        probe: u32,
        /// Summary of the sender's state.
        view: View,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// UDP: answer to a ping, or to a ping that a helper sent on the receiver's
    /// behalf.
    Ack {
        /// Number of the answered probe.
        probe: u32,
        /// Summary of the sender's state.
        view: View,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// UDP: asks the receiver to ping `target` on behalf of the sender.
    Probe {
        /// Number of the probe, chosen by the sender.
        probe: u32,
        /// Address to ping.
        target: SocketAddr,
    },
    /// UDP: a new revision or a change of a member, sent without waiting for
    /// the next heartbeat.
    Rumour {
        /// Summary of the sender's state.
        view: View,
        /// Changes that lead to the sender's revision, if they are small.
        delta: Option<Delta>,
        /// Rumours about members.
        updates: Vec<Update>,
    },
    /// UDP: digests of the member table, one per bucket.
    Buckets(Vec<u32>),
    /// UDP: report of a failover candidate about a database's primary.
    Evidence(Evidence),
    /// TCP: request for the changes from a revision to the newest one.
    Pull(Revision),
    /// TCP: one part of the answer to a pull.
    Part(Part),
    /// TCP: refusal of a pull by an instance that is answering too many pulls.
    Busy,
    /// TCP: request for members whose current record the sender lacks.
    Members {
        /// Buckets of the member table to return; empty for all.
        buckets: Vec<u16>,
        /// Fingerprints of the records in these buckets that the sender has.
        known: Vec<u32>,
    },
    /// TCP: the requested members.
    Table(Vec<Record>),
    /// TCP: a statement for an upstream connection that the receiver holds.
    Forward {
        /// Generation of the connection; answers of an earlier generation are
        /// dropped.
        generation: u64,
        /// Number of the statement within that generation.
        sequence: u64,
        /// The statement, in an encoding that the pool defines.
        body: Bytes,
    },
    /// TCP: the answer to a forwarded statement.
    Answer {
        /// Generation of the connection that ran the statement.
        generation: u64,
        /// Number of the answered statement.
        sequence: u64,
        /// The answer, in an encoding that the pool defines.
        body: Bytes,
    },
}
