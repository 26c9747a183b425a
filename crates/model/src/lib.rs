//! Names, log positions, classes and outcomes that every area shares.
//!
//! Nothing here decides anything: these are the words that the decision
//! crates, the daemon and the stand-ins use to talk to each other.

pub mod class;
pub mod name;
pub mod outcome;
pub mod position;
pub mod primary;

pub use class::{Class, Freshness, Priority, Repeat};
pub use outcome::{Cause, Outcome};
pub use position::{Lsn, Position, Term};
pub use primary::{Phase, Record, Report, Role};
