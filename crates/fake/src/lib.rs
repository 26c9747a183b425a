//! Fakes of the upstreams and of the key-value store, for tests and the
//! quickstart only.
//!
//! The fakes speak the published protocols on ephemeral loopback ports, run in
//! threads of the process that opens them, and can inject faults.

pub mod group;
mod serve;
mod server;
mod sql;

pub mod store;
mod table;

pub use group::Group;
pub use store::Store;
