//! Admission control: queueing, connection budgets, quotas and the choice of holders.
//!
//! The functions read no clock, socket or source of randomness; moments and random numbers
//! are passed in. `proxy` carries out the decisions.

pub mod bucket;
pub mod budget;
pub mod fair;
pub mod holders;
pub mod limiter;
pub mod load;
pub mod occupancy;
pub mod placement;
pub mod queue;
pub mod relays;
pub mod schedule;
pub mod service;
pub mod shares;
pub mod stock;
pub mod windows;

pub use budget::Budget;
pub use queue::{Queue, Waiter};
pub use schedule::Schedule;
