//! Who is served next, and when a connection may be opened, when there is not enough.
//!
//! Nothing here reads a clock, a socket or a source of randomness: moments and chances
//! are passed in. `proxy` carries out what is decided here.

pub mod bucket;
pub mod budget;
pub mod holders;
pub mod placement;
pub mod queue;
pub mod relays;
pub mod shares;

pub use budget::Budget;
pub use queue::{Queue, Waiter};
