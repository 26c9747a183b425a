//! Names, log positions, classes and outcomes shared by all crates.
//!
//! The crate makes no decisions; it holds the vocabulary that the decision crates, the daemon
//! and the simulated servers have in common.

pub mod class;
pub mod name;
pub mod outcome;
pub mod position;
pub mod primary;

pub use class::{Class, Freshness, Priority, Repeat};
pub use outcome::{Cause, Outcome};
pub use position::{Lsn, Position, Term};
pub use primary::{Phase, Record, Report, Role};
