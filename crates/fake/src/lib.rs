//! Small stand-ins for what the proxy stands between, for tests and the
//! quickstart only.
//!
//! They speak the published protocols on ephemeral loopback ports, run in
//! threads of the process that opens them, and have switches for faults.

pub mod group;
mod serve;
mod server;
mod sql;

pub mod store;
mod table;

pub use group::Group;
pub use store::Store;
