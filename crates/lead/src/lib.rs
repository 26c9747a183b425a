//! Leadership of a database: proofs that a primary still leads, votes on its replacement, the
//! choice of its successor, the age of reads, and the choice of their upstreams.
//!
//! The functions read no clock or socket; moments are passed in. The moments must come from a
//! clock that includes suspensions ([`clock::Boot`]).

pub mod absence;
pub mod choose;
pub mod commits;
pub mod drain;
pub mod floor;
pub mod freshness;
pub mod proof;
pub mod quorum;
pub mod reach;
pub mod read;
pub mod record;
pub mod vote;

pub use absence::{Absence, Departure};
pub use commits::Commits;
pub use drain::Drain;
pub use floor::Samples;
pub use freshness::Freshness;
pub use proof::Proof;
pub use record::{Phase, Record};
pub use vote::{Tally, Verdict};
