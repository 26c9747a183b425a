//! Invariant checkers over a history of typed events.
//!
//! A test or bench feeds each [`Event`] of its run to a [`Suite`], in the order
//! of time; the suite hands it to one checker for each promise and collects
//! the [`Violation`]s. Events say what truly happened, as the stand-ins know
//! it, so a checker never trusts what the logic under test believes.

mod event;
mod fresh;
mod leaving;
mod limit;
mod lost;
mod not_run;
mod once;
mod replaced;
mod revision;
mod session;
mod stop;
mod suite;
mod transaction;
mod violation;
mod whole;

pub use event::{
    Answer, Connection, Effect, Event, Holder, Operation, Request, Session, Transaction,
};
pub use fresh::Fresh;
pub use leaving::{GRACE, Leaving};
pub use limit::Limit;
pub use lost::Lost;
pub use not_run::NotRun;
pub use once::Once;
pub use replaced::Replaced;
pub use revision::Revision;
pub use session::ReadYourWrites;
pub use stop::Stop;
pub use suite::Suite;
pub use transaction::Unmixed;
pub use violation::Violation;
pub use whole::Whole;
