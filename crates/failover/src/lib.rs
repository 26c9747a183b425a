//! Failure detection, promotion and write acknowledgement for the primary of a
//! database.
//!
//! [`Group`] runs at each candidate instance of a database, detects the failure
//! of its primary and carries out the promotion of a replica.
//! [`quorum::Quorum`] runs at each instance and decides when a write may be
//! acknowledged. Both are free of I/O: events and times go in, actions come
//! out. The state chart of a group is `charts/failover.toml`; the design is in
//! `docs/design/failover.md`.
//!
//! Upstreams must refuse orders below the term to which they are fenced, must
//! keep that term over restarts, and must report a term as received only once
//! they hold log of that term, not as soon as they are ordered to follow its
//! primary.

mod detector;
pub mod event;
mod group;
mod machine;
mod peers;
mod promotion;
pub mod quorum;
mod register;
pub mod timing;

pub use event::{
    ABSENT_REVISION, Action, Call, Entry, Event, Evidence, Fault, Member, Order, Status,
    StoreFault, View,
};
pub use group::{Conf, Group, Primary};
pub use machine::State;
pub use peers::{CANDIDATES, candidates};
pub use quorum::Quorum;
pub use timing::Timing;
