//! Time as a value, and a timer service.
//!
//! Decision code reads no clock; an [`Instant`] is passed in. The daemon takes instants from a
//! monotonic clock, holders of time-limited proofs from a clock that includes suspensions, and
//! tests advance them on their own.

mod boot;
mod instant;
mod timer;

pub use boot::Boot;
pub use instant::{Clock, Instant};
pub use timer::{Timer, Token};
