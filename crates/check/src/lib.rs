//! Invariant checkers over a history of typed events.
//!
//! A test or bench feeds each [`Event`] of its run to a [`Suite`], in the order
//! of time; the suite hands it to one checker for each promise and collects
//! the [`Violation`]s. Events say what truly happened, as the stand-ins know
//! it, so a checker never trusts what the logic under test believes.

mod at_most_once;
mod delivery;
mod durability;
mod event;
mod fencing;
mod leaving;
mod limit;
mod not_run;
mod pinning;
mod revision;
mod session;
mod shutdown;
mod staleness;
mod suite;
mod violation;

pub use at_most_once::AtMostOnce;
pub use delivery::Delivery;
pub use durability::Durability;
pub use event::{
    Answer, Connection, Effect, Event, Holder, Operation, Request, Session, Transaction,
};
pub use fencing::Fencing;
pub use leaving::{GRACE, Leaving};
pub use limit::Limit;
pub use not_run::NotRun;
pub use pinning::Pinning;
pub use revision::Revision;
pub use session::ReadYourWrites;
pub use shutdown::Shutdown;
pub use staleness::Staleness;
pub use suite::Suite;
pub use violation::Violation;
