//! Client of the platform's key-value store: etcd version 3 over its JSON gateway.
//!
//! The etcd client crate needs a protocol buffer compiler at build time. This crate uses
//! etcd's JSON form of the same calls instead, as documented on its page "gRPC gateway", over
//! the HTTP client of `ntex`.

pub mod call;
mod gateway;
mod json;
mod watch;

pub use call::{Answer, Call, Compare, Event, Fault, Pair, Put};
pub use gateway::Gateway;
pub use watch::Watch;

/// Interface to the platform's store.
///
/// The daemon uses [`Gateway`]; tests may substitute their own implementation.
pub trait Edge {
    /// Makes a call and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`], which says whether the call may have taken effect.
    fn call(&self, call: &Call) -> impl Future<Output = Result<Answer, Fault>>;
}
