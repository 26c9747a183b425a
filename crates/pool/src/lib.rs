//! Connections to upstreams: who may hold them, and which request uses one.
//!
//! [`Pool`] is one upstream as seen by the instance that holds it: it admits,
//! queues and refuses requests, and opens and closes connections. [`holder`]
//! ranks the instances that should hold an upstream, [`lease`] and [`seat`]
//! make sure that no two of them do. [`Breaker`] and [`Budget`] keep failures
//! from feeding themselves. Nothing here reads a clock or a socket.

pub mod breaker;
pub mod budget;
pub mod conn;
pub mod estimate;
pub mod holder;
pub mod lease;
pub mod pool;
pub mod queue;
pub mod seat;

pub use breaker::Breaker;
pub use budget::Budget;
pub use conn::Handle;
pub use lease::Lease;
pub use pool::{Action, Conf, Event, Pool, Request, Ticket};
pub use seat::Seat;
