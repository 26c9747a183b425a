//! Who leads a database: detection, promotion, and acknowledgement.
//!
//! [`Group`] decides at each candidate instance of a database when its primary
//! has failed and carries a change of primary through; [`quorum::Quorum`]
//! decides at each instance when a write may be acknowledged. Both are pure:
//! they are told what happened and when, and say what to do. How a group moves
//! is written in `charts/failover.toml`; `docs/design/failover.md` argues it.
//!
//! Upstreams are assumed to refuse orders below the term they are fenced to,
//! to keep that term over restarts, and to report a term as received only once
//! they hold log of that term, not as soon as they are ordered to follow it.

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
