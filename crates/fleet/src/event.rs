//! What a fleet part is told, and what it asks for.

use std::net::SocketAddr;

use clock::Instant;
use model::name;
use wire::{Change, Message, Node, Record, Revision};

use crate::{Held, Path};

/// Numbers a call, so that an answer that comes late finds no taker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The moment of [`Action::Wake`] has come.
    Wake,
    /// An authentic datagram came.
    Message {
        /// Its sender.
        from: Node,
        /// Where it came from.
        address: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// A frame of the answer to [`Action::Ask`] came.
    Answer {
        /// The call that is answered.
        call: Call,
        /// What the peer says.
        message: Message,
    },
    /// The call of [`Action::Ask`] failed: refused, broken or badly sealed.
    Failed(Call),
    /// A peer asks by TCP; [`Action::Reply`] names the same stream.
    Asked {
        /// The stream it asks on.
        stream: u64,
        /// What it asks for.
        message: Message,
    },
    /// The store answered a call of [`Action::Store`].
    Store {
        /// The call that is answered.
        call: Call,
        /// What the store said.
        answer: Answer,
    },
    /// The platform's list was read.
    Instances(Vec<Listing>),
    /// The catalogue of this revision was read and can't be put in force.
    Refused(Revision),
    /// Ask every member what it holds, for `status` and `wait`.
    Survey,
    /// This instance takes no new work from now on.
    Leave,
    /// This instance stops now.
    Stop,
}

/// What a store call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// All keys from [`crate::RANGE_START`] up to [`crate::RANGE_END`].
    Range,
    /// Their changes, from this revision of the store on.
    Watch {
        /// The first revision to tell.
        from: u64,
    },
    /// The key [`crate::HEAD`] alone.
    Head,
    /// End the watch of this call.
    Unwatch,
}

/// What the store answers.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// To a range: the keys as they were at the store's revision.
    Range {
        /// The store's revision.
        revision: u64,
        /// Every key with its value.
        changes: Vec<Change>,
    },
    /// To a head request.
    Head {
        /// The store's revision.
        revision: u64,
        /// The store's revision that wrote the head; `None` without a head.
        written: Option<u64>,
    },
    /// To a watch: it is set up.
    Watching {
        /// The store's revision.
        revision: u64,
    },
    /// To a watch: all changes of one revision of the store. An answer that the
    /// store sent in fragments must be put together first.
    Changes {
        /// The revision that made them.
        revision: u64,
        /// What it changed.
        changes: Vec<Change>,
    },
    /// To a watch: the revision it should start from was compacted away.
    Compacted,
    /// The call failed, timed out, or the watch broke.
    Down,
}

/// One instance of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub name: name::Instance,
    /// Its zone.
    pub zone: name::Zone,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub lifecycle: Lifecycle,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It runs.
    Live,
    /// It is being taken away.
    Leaving,
}

/// Whom to ask the store, and what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Store {
    /// Numbers the call; an unwatch carries the watch's number.
    pub call: Call,
    /// What to ask.
    pub request: Request,
}

/// What a fleet part asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What to say.
        message: Message,
    },
    /// Ask a peer by TCP.
    Ask {
        /// Numbers the call.
        call: Call,
        /// Whom to ask.
        to: SocketAddr,
        /// What to ask for.
        message: Message,
    },
    /// Answer on a stream that a peer asked on, and end the answer.
    Reply {
        /// The stream.
        stream: u64,
        /// The frames of the answer.
        messages: Vec<Message>,
    },
    /// Call the store.
    Store(Store),
    /// Put a revision of the catalogue in force: all of it, or answer
    /// [`Event::Refused`] and keep the last.
    Catalog {
        /// The revision.
        revision: Revision,
        /// Whether `changes` hold every key, or what differs from the last.
        scope: Scope,
        /// The keys under `catalog/`.
        changes: Vec<Change>,
    },
    /// A primary's record under `primary/` changed.
    Primary(Change),
    /// A member joined, changed its state or restarted.
    Member(Record),
    /// Nobody in a zone answers this instance, or someone does again. Its
    /// members keep their states: it may be this instance that is cut off.
    Zone {
        /// The zone.
        zone: name::Zone,
        /// Whether it answers.
        path: Path,
    },
    /// Something an operator wants to know.
    Notice(Notice),
    /// Step with [`Event::Wake`] at this moment, in place of the one before.
    Wake(Instant),
}

/// How much of the catalogue an [`Action::Catalog`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every key; keys not told are gone.
    Whole,
    /// What differs from the revision put in force before.
    Delta,
}

/// Something an operator wants to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The store is older than what was seen; what it says is refused.
    StoreBehind {
        /// The store's revision, under the epoch in its head.
        store: Revision,
        /// The revision held here.
        held: Revision,
    },
    /// The store does not answer; the last revision is kept.
    StoreDown,
    /// The store answers again.
    StoreBack,
    /// A revision is held and not in force.
    Held(Held),
    /// A peer holds other content under the same revision.
    Diverged {
        /// The peer.
        peer: Node,
        /// The revision.
        revision: Revision,
    },
    /// A peer's answer did not add up and was dropped.
    BadAnswer {
        /// Why.
        error: crate::Error,
    },
    /// The platform's list would take away most members that answer.
    ListDistrusted {
        /// How many members the list would take away.
        lost: usize,
        /// How many members answer.
        alive: usize,
    },
    /// This instance was paused for this many milliseconds.
    Paused(u64),
    /// The platform's list says that this instance leaves.
    ListedLeaving,
}
