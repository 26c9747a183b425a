//! The life of one request: outcomes, retries, request ids and cancels.

pub mod cancel;
pub mod ledger;
mod request;

pub use request::{Action, Answer, Event, Request, Target};
