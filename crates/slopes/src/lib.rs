//! Measures how the fleet's costs grow with its size, in virtual time.
//!
//! A [`World`] passes the messages of many [`fleet::Fleet`]s through one seeded
//! queue with delay and loss, with a fake of the platform's store. It is
//! not a full simulator: one-way delays are constants, with jitter between
//! instances, and the failures are a killed or paused instance, a network
//! partition, a lost datagram and a store that is down.

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
