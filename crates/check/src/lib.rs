//! Invariant checkers over a history of typed events.
//!
//! A test or simulation feeds each [`Event`] of its run to a [`Suite`], in
//! chronological order. The suite passes the event to one checker per invariant
//! and collects the [`Violation`]s. Events are recorded by the simulated servers
//! and callers, so that checkers don't depend on the state of the logic under
//! test.

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
