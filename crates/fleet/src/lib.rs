//! Membership of instances, and replication of the store's keys to all of them.
//!
//! [`Fleet`] is the state machine of one instance. It does no I/O: each step
//! takes a time and an [`Event`] and returns [`Action`]s. Each instance
//!
//! * maintains a [`Table`] of members from heartbeats, announced stops, rumours
//!   and the platform's list;
//! * holds a [`Mirror`] of the store's catalogue and primary records, which
//!   only advances, by whole revisions;
//! * watches the store itself only while it is one of the few relays of its
//!   zone.

mod activation;
mod answer;
mod choose;
mod conf;
mod event;
mod fleet;
mod gossip;
mod keys;
mod list;
mod member;
mod mirror;
mod probe;
mod pull;
mod push;
mod rank;
mod receive;
mod relay;
mod status;
mod table;

pub use activation::{Held, Reason};
pub use conf::Conf;
pub use event::{Action, Answer, Call, Event, Lifecycle, Listing, Notice, Request, Scope, Store};
pub use fleet::Fleet;
pub use keys::{HEAD, Head, RANGE_END, RANGE_START};
pub use member::{Member, Path};
pub use mirror::{Error, Mirror};
pub use rank::{Assignments, rank, weight};
pub use status::{Reply, Status, Watch, ZoneStatus};
pub use table::Table;
