//! Time as a value, and the timer service that parts subscribe to.
//!
//! No decision reads the machine's clock: it is handed an [`Instant`], which
//! the daemon takes from a monotonic clock and tests count up themselves.

mod instant;
mod timer;

pub use instant::{Clock, Instant};
pub use timer::{Timer, Token};
