//! Time as a value, and the timer service that parts subscribe to.
//!
//! No decision reads the machine's clock: it is handed an [`Instant`], which
//! the daemon takes from a monotonic clock, an instance that holds proofs with a
//! span from one that counts suspensions, and tests count up themselves.

mod boot;
mod instant;
mod timer;

pub use boot::Boot;
pub use instant::{Clock, Instant};
pub use timer::{Timer, Token};
