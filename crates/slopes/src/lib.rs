//! Measures how the fleet's costs grow with its size, in virtual time.
//!
//! A [`World`] passes the messages of many [`fleet::Fleet`]s through one seeded
//! queue with delay and loss, before a stand-in of the platform's store. It is a
//! fake at the peer and store edges, not a simulator: three constants make up
//! its latencies, and its failures are a killed slot, an island and a lost
//! datagram.

mod bench;
mod count;
mod delay;
mod edge;
mod fit;
mod monitor;
mod queue;
mod report;
mod setup;
mod store;
mod world;

pub use bench::{Row, Scenario, measure};
pub use count::Count;
pub use fit::{Fit, fit};
pub use monitor::{Monitor, Violation};
pub use report::table;
pub use setup::Setup;
pub use store::Store;
pub use world::{Tamper, World};
