//! Events and actions of [`crate::Fleet`].

use std::net::SocketAddr;

use clock::Instant;
use model::name;
use wire::{Change, Message, Node, Record, Revision};

use crate::{Held, Path};

/// Identifier of a call, by which late answers are recognised and dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// Input of [`crate::Fleet::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The time of [`Action::Wake`] has come.
    Wake,
    /// An authentic datagram arrived.
    Message {
        /// Sender of the datagram.
        from: Node,
        /// Source address of the datagram.
        address: SocketAddr,
        /// Message in the datagram.
        message: Message,
    },
    /// A frame of the answer to [`Action::Ask`] arrived.
    Answer {
        /// The answered call.
        call: Call,
        /// Message from the peer.
        message: Message,
    },
    /// The call of [`Action::Ask`] failed: it was refused, disconnected or not
    /// authentic.
    Failed(Call),
    /// A peer sent a request by TCP; [`Action::Reply`] refers to the same
    /// stream.
    Asked {
        /// Stream of the request.
        stream: u64,
        /// The request.
        message: Message,
    },
    /// The store answered a call of [`Action::Store`].
    Store {
        /// The answered call.
        call: Call,
        /// Answer of the store.
        answer: Answer,
    },
    /// The platform's list of instances was read.
    Instances(Vec<Listing>),
    /// The catalogue of this revision was read and can't be put in force.
    Refused(Revision),
    /// Request to ask every member for its state, for `status` and `wait`.
    Survey,
    /// This instance takes no new work from now on.
    Leave,
    /// This instance stops now.
    Stop,
}

/// Request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// All keys from [`crate::RANGE_START`] up to [`crate::RANGE_END`].
    Range,
    /// Changes of these keys.
    Watch {
        /// First store revision to report.
        from: u64,
    },
    /// The key [`crate::HEAD`] alone.
    Head,
    /// End of the watch with the identifier of this call.
    Unwatch,
}

/// Answer of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Answer to a range: the keys at the store's revision.
    Range {
        /// The store's revision.
        revision: u64,
        /// Every key with its value.
        changes: Vec<Change>,
    },
    /// Answer to a head request.
    Head {
        /// The store's revision.
        revision: u64,
        /// Store revision that wrote the head; `None` without a head.
        written: Option<u64>,
    },
    /// Answer to a watch: the watch is established.
    Watching {
        /// The store's revision.
        revision: u64,
    },
    /// Answer to a watch: all changes of one store revision. An answer that the
    /// store sent in fragments must be reassembled first.
    Changes {
        /// Revision of the changes.
        revision: u64,
        /// Changed keys.
        changes: Vec<Change>,
    },
    /// Answer to a watch: the revision to start from was compacted away.
    Compacted,
    /// The call failed, timed out, or the watch broke.
    Down,
}

/// One instance of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Name of the instance.
    pub name: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Address for peers.
    pub address: SocketAddr,
    /// State of the instance according to the platform.
    pub lifecycle: Lifecycle,
}

/// State of an instance according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The instance runs.
    Live,
    /// The instance is being removed.
    Leaving,
}

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Store {
    /// Identifier of the call; an unwatch carries the identifier of the watch.
    pub call: Call,
    /// The request.
    pub request: Request,
}

/// Output of [`crate::Fleet::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// Send a request to a peer by TCP.
    Ask {
        /// Identifier of the call.
        call: Call,
        /// Address of the peer.
        to: SocketAddr,
        /// The request.
        message: Message,
    },
    /// Answer a peer's request on its stream, and end the answer.
    Reply {
        /// Stream of the request.
        stream: u64,
        /// The frames of the answer.
        messages: Vec<Message>,
    },
    /// Call the store.
    Store(Store),
    /// Put a revision of the catalogue in force as a whole, or answer
    /// [`Event::Refused`] and keep the revision before.
    Catalog {
        /// The revision.
        revision: Revision,
        /// Extent of `changes`: every key, or differences only.
        scope: Scope,
        /// Keys under `catalog/`.
        changes: Vec<Change>,
    },
    /// A primary's record under `primary/` changed.
    Primary(Change),
    /// A member joined, changed its state or restarted.
    Member(Record),
    /// A zone became unreachable from this instance, or reachable again. The
    /// zone's members keep their states, since this instance may be the one
    /// that is cut off.
    Zone {
        /// The zone.
        zone: name::Zone,
        /// Reachability of the zone.
        path: Path,
    },
    /// A notice for operators.
    Notice(Notice),
    /// Step with [`Event::Wake`] at this time, which replaces the time
    /// requested before.
    Wake(Instant),
}

/// Extent of the changes in an [`Action::Catalog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every key; absent keys are removed.
    Whole,
    /// Differences from the revision put in force before.
    Delta,
}

/// A notice for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The store is older than the mirrored revision, and its answers are
    /// refused.
    StoreBehind {
        /// Revision of the store, under the epoch in its head.
        store: Revision,
        /// Mirrored revision.
        held: Revision,
    },
    /// The store does not answer; the last revision is kept.
    StoreDown,
    /// The store answers again.
    StoreBack,
    /// A revision is mirrored but not in force.
    Held(Held),
    /// A peer has other content for the same revision.
    Diverged {
        /// The peer.
        peer: Node,
        /// The revision.
        revision: Revision,
    },
    /// Changes were inconsistent and were dropped.
    BadAnswer {
        /// Fault of the changes.
        error: crate::Error,
    },
    /// The platform's list would remove most members that answer, so its states
    /// are not applied.
    ListDistrusted {
        /// Number of members that the list would remove.
        lost: usize,
        /// Number of members that answer.
        alive: usize,
    },
    /// This instance was paused for this many milliseconds.
    Paused(u64),
    /// The platform's list marks this instance as leaving.
    ListedLeaving,
}
