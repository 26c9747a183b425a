//! Who leads a database, how long that may be believed, and how old a read may be.
//!
//! Nothing here reads a clock or a socket: moments are passed in. The moments
//! must come from a clock that counts suspensions ([`clock::Boot`]).

pub mod choose;
pub mod floor;
pub mod freshness;
pub mod proof;
pub mod quorum;
pub mod record;
pub mod vote;

pub use floor::Samples;
pub use freshness::Freshness;
pub use proof::Proof;
pub use record::{Phase, Record};
pub use vote::{Tally, Verdict};
