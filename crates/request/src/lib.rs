//! Processing of one request: outcomes, retries, request ids and cancels.

pub mod cancel;
pub mod ledger;
pub mod once;
mod request;

pub use once::Once;
pub use request::{Action, Answer, Event, Request, Target};
