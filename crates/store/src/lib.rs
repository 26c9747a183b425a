//! The platform's key-value service: etcd version 3 over its JSON gateway.
//!
//! The etcd client crate needs a generator of protocol buffers at build time,
//! so its nearest kin is used: the service's own JSON form of the same calls,
//! as its page "gRPC gateway" documents them, over the HTTP client of `ntex`.

pub mod call;
mod gateway;
mod json;
mod watch;

pub use call::{Answer, Call, Compare, Event, Fault, Pair, Put};
pub use gateway::Gateway;
pub use watch::Watch;

/// The edge between the store duty and the platform.
///
/// The daemon uses [`Gateway`]; focused tests may put their own in its place.
pub trait Edge {
    /// Makes one call and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`Fault`] tells whether the call may have taken effect.
    fn call(&self, call: &Call) -> impl Future<Output = Result<Answer, Fault>>;
}
