//! Connection pools of upstreams: holders, limits, admission and failure
//! handling.
//!
//! [`Pool`] manages one upstream at the instance that holds it: it admits,
//! queues and refuses requests, and opens and closes connections. [`holder`]
//! ranks the instances that should hold an upstream; [`lease`] and [`seat`]
//! ensure that only one of them holds each share of its connections.
//! [`Breaker`] and [`Budget`] keep failures from amplifying themselves. This
//! crate reads no clock and no socket.

pub mod breaker;
pub mod budget;
pub mod conn;
pub mod demand;
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
